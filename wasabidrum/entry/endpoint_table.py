"""What an entry knows of the endpoints: who they are, what they hold, how loaded they are."""

import asyncio
import collections.abc
import contextlib
import dataclasses

import msgspec
from tornado import httpclient

from ..core.awake_clock import awake_seconds
from ..core.errors import CodedError
from ..core.instance import Instance, InstanceRole, InstanceState
from ..core.status import Status
from ..platform.instance_directory import InstanceDirectory
from ..wire import http_client, tls

POLL_SECONDS = 0.5
STATUS_TIMEOUT_SECONDS = 1.0
STATUS_EXPIRES_SECONDS = 2.0
LAST_RESORT_SECONDS = 30.0
# A process that slept, or whose machine is busy, is heard again within this time; one that is
# silent for longer is taken for hung.
BACK_WITHIN_SECONDS = 4.0
HEARD_LOOK_SECONDS = 0.1
SILENT_FRACTION = 0.5


@dataclasses.dataclass(slots=True)
class EndpointView:
    """One endpoint as this entry sees it.

    Attributes:
      seen_at: When its sidecar was last heard, by the event loop's clock.
      told_at: When its status arrived, by the clock that counts while suspended.
      in_progress: Requests of this entry that run there.
      lost: Its stream broke, or it refuses connections; cleared when it is heard again.
    """

    instance: Instance
    status: Status | None = None
    seen_at: float = 0.0
    told_at: float = 0.0
    in_progress: int = 0
    lost: bool = False

    @property
    def url(self) -> str:
        """Where the sidecar takes the fleet's requests."""
        return tls.fleet_url(self.instance.host, self.instance.http_port)

    def hear(self, status: Status) -> bool:
        """Takes what the sidecar says of itself, unless it is older than what is held."""
        held = self.status
        if held is not None and (held.incarnation, held.sequence) > (
            status.incarnation,
            status.sequence,
        ):
            return False
        self.status = status
        self.seen_at = asyncio.get_running_loop().time()
        self.told_at = awake_seconds()
        self.lost = False
        return True


class EndpointTable:
    """Keeps views of the endpoints that this entry works over.

    EndpointWatcher feeds it from streams. Its own run() polls every listed sidecar, and is
    the baseline that benches compare with.

    Attributes:
      find_member: Returns where a daemon listens that this entry does not watch, or None.
    """

    __slots__ = ("_client", "_directory", "_views", "find_member")

    def __init__(self, client: httpclient.AsyncHTTPClient, directory: InstanceDirectory) -> None:
        self._client = client
        self._directory = directory
        self._views: dict[str, EndpointView] = {}
        self.find_member: collections.abc.Callable[[str], Instance | None] = find_nobody

    @property
    def views(self) -> list[EndpointView]:
        """Every endpoint known, also those that cannot take work."""
        return list(self._views.values())

    def find(self, name: str) -> EndpointView | None:
        """Returns the view of an endpoint, also of one that this entry sends no new work to.

        A caller may ask for the outcome of its call through any entry, while only some
        watch the endpoint that ran it.
        """
        view = self._views.get(name)
        if view is not None:
            return view
        instance = self.find_member(name)
        return EndpointView(instance) if instance is not None else None

    async def run(self) -> None:
        """Asks for ever."""
        while True:
            try:
                listed = await self._directory.read()
                self.take_list(listed.instances)
            except CodedError:
                pass
            await asyncio.gather(*(self._poll(view) for view in self.views))
            await asyncio.sleep(POLL_SECONDS)

    def take_list(self, instances: tuple[Instance, ...]) -> None:
        """Takes the platform's list, keeping what is known of those that stay."""
        views = {}
        for instance in instances:
            if instance.role is not InstanceRole.SIDECAR:
                continue
            known = self._views.get(instance.name)
            if known is not None and known.instance.http_port == instance.http_port:
                known.instance = instance
                views[instance.name] = known
            else:
                views[instance.name] = EndpointView(instance)
        self._views = views

    def take_status(self, status: Status) -> bool:
        """Takes what a sidecar says of itself; an older account than the one held is dropped.

        Returns:
          Whether the endpoint was out of routing for silence and is back.
        """
        view = self._views.get(status.name)
        if view is None:
            return False
        was_lost = view.lost
        return view.hear(status) and was_lost

    def record_loss(self, name: str, broken: bool) -> bool:
        """Records evidence that a sidecar is gone, or for now only that it is silent.

        Returns:
          Whether that takes it out of routing just now.
        """
        view = self._views.get(name)
        if view is None or view.lost:
            return False
        view.lost = broken
        was_in = view.seen_at > float("-inf")
        return broken and was_in

    def forgive(self, seconds: float) -> None:
        """Takes that this process itself slept: silence meanwhile is no evidence."""
        for view in self._views.values():
            view.seen_at += seconds

    def candidates(self, model: str, service: str) -> list[EndpointView]:
        """Returns the endpoints that can take a request for a model or a service now."""
        now = asyncio.get_running_loop().time()
        able = [view for view in self._views.values() if can_serve(view, model, service)]
        heard = [view for view in able if now - view.seen_at <= STATUS_EXPIRES_SECONDS]
        if heard:
            return heard
        # Where most endpoints fell silent together, this entry may be the one that hears
        # nothing. To route to nobody would turn its deafness into an outage for its
        # callers; a wrong guess costs one attempt.
        lately = [view for view in self._views.values() if view.seen_at > 0.0 and not view.lost]
        silent = sum(now - view.seen_at > STATUS_EXPIRES_SECONDS for view in lately)
        if silent <= len(lately) * SILENT_FRACTION:
            return []
        return [view for view in able if now - view.seen_at <= LAST_RESORT_SECONDS]

    async def wait_until_heard(
        self, model: str, service: str, deadline: float, tried: frozenset[str] = frozenset()
    ) -> bool:
        """Waits for an endpoint that is only silent; returns whether one can take work again.

        An instance that sleeps for two seconds while the other one of its service leaves is no
        reason to refuse every caller of that service.

        Args:
          deadline: When to give up, by the event loop's clock.
          tried: Endpoints that are of no use here.
        """
        if self._is_heard(model, service, tried):
            # Not for silence, then, does none take work.
            return False
        loop = asyncio.get_running_loop()
        while loop.time() < deadline and self._may_be_heard(model, service, tried):
            await asyncio.sleep(HEARD_LOOK_SECONDS)
            if self._is_heard(model, service, tried):
                return True
        return False

    def _is_heard(self, model: str, service: str, tried: frozenset[str]) -> bool:
        return any(view.instance.name not in tried for view in self.candidates(model, service))

    def _may_be_heard(self, model: str, service: str, tried: frozenset[str]) -> bool:
        now = asyncio.get_running_loop().time()
        return any(
            name not in tried
            and can_serve(view, model, service)
            and now - view.seen_at <= BACK_WITHIN_SECONDS
            for name, view in self._views.items()
        )

    async def ask(self, view: EndpointView, timeout: float) -> None:
        """Has a sidecar say how it is now, also one that this entry does not watch.

        Raises:
          CodedError: It did not answer; nothing was started.
        """
        request = httpclient.HTTPRequest(view.url + "/internal/status", request_timeout=timeout)
        try:
            response = await http_client.fetch(self._client, request, "status")
            view.hear(msgspec.json.decode(response.body, type=Status))
        except (CodedError, msgspec.MsgspecError) as error:
            raise CodedError("status_unread", str(error), 502) from error

    async def _poll(self, view: EndpointView) -> None:
        with contextlib.suppress(CodedError):
            await self.ask(view, STATUS_TIMEOUT_SECONDS)


def can_serve(view: EndpointView, model: str, service: str) -> bool:
    """Returns whether what an endpoint last said of itself lets it take a request."""
    status = view.status
    return (
        status is not None
        and not view.lost
        and not status.leaving
        and view.instance.state is InstanceState.LIVE
        and status.model == model
        and status.service == service
        and bool(not model or status.version)
    )


def find_nobody(name: str) -> None:
    """Stands where nothing is known of members beside the table."""
