"""The entry's view of its endpoints: identity, last status and liveness."""

import asyncio
import collections.abc
import contextlib
import dataclasses

from tornado import httpclient

from ..core.boot_clock import boot_seconds
from ..core.decoding import decode_json
from ..core.errors import CodedError
from ..core.instance import Instance, InstanceRole, InstanceState
from ..core.status import Status
from ..platform.instance_directory import InstanceDirectory
from ..wire import http_client, tls

POLL_SECONDS = 0.5
STATUS_TIMEOUT_SECONDS = 1.0
STATUS_EXPIRES_SECONDS = 2.0
LAST_RESORT_STATUS_SECONDS = 30.0
# A process that was paused, or whose machine is busy, usually reports again within this time. One
# that is silent for longer is considered hung, and no request waits for it.
MAX_RECOVERABLE_SILENCE_SECONDS = 4.0
STATUS_WAIT_POLL_SECONDS = 0.1
SILENT_FRACTION = 0.5


@dataclasses.dataclass(slots=True)
class EndpointView:
    """One endpoint as this entry sees it.

    Attributes:
      last_status_at: When its sidecar's last status arrived, by the event loop's clock; shifted by
        pauses of this process.
      last_status_boot_time: The same moment by the boot-time clock, which keeps counting while the
        instance is suspended; not shifted by pauses.
      in_progress: The number of this entry's requests that run there.
      lost: Whether it refused connections since its last status.
    """

    instance: Instance
    status: Status | None = None
    last_status_at: float = 0.0
    last_status_boot_time: float = 0.0
    in_progress: int = 0
    lost: bool = False

    @property
    def url(self) -> str:
        """The base URL of the sidecar's internal API."""
        return tls.fleet_url(self.instance.host, self.instance.http_port)

    def update_status(self, status: Status) -> bool:
        """Stores a status of the sidecar, unless the one already stored is newer."""
        held = self.status
        if held is not None and (held.incarnation, held.sequence) > (
            status.incarnation,
            status.sequence,
        ):
            return False
        self.status = status
        self.last_status_at = asyncio.get_running_loop().time()
        self.last_status_boot_time = boot_seconds()
        self.lost = False
        return True


class EndpointTable:
    """Keeps a view of each endpoint that this entry works with.

    EndpointWatcher feeds it from streams. Its own run() polls every listed sidecar instead; that
    is the baseline with which the benchmarks compare.

    Attributes:
      find_member: Returns the instance of a daemon that this entry does not watch, or None.
    """

    __slots__ = ("_client", "_directory", "_views", "find_member")

    def __init__(self, client: httpclient.AsyncHTTPClient, directory: InstanceDirectory) -> None:
        self._client = client
        self._directory = directory
        self._views: dict[str, EndpointView] = {}
        self.find_member: collections.abc.Callable[[str], Instance | None] = find_no_member

    @property
    def views(self) -> list[EndpointView]:
        """All known endpoints, including those that cannot take work."""
        return list(self._views.values())

    def find(self, name: str) -> EndpointView | None:
        """Returns the view of an endpoint, even if this entry sends no new work there.

        A caller may ask for the outcome of its call through any entry, while only some entries
        watch the endpoint that ran it.
        """
        view = self._views.get(name)
        if view is not None:
            return view
        instance = self.find_member(name)
        return EndpointView(instance) if instance is not None else None

    async def run(self) -> None:
        """Polls the instance list and the status of every sidecar, forever."""
        while True:
            try:
                listed = await self._directory.read()
                self.update_instances(listed.instances)
            except CodedError:
                pass
            await asyncio.gather(*(self._poll(view) for view in self.views))
            await asyncio.sleep(POLL_SECONDS)

    def update_instances(self, instances: tuple[Instance, ...]) -> None:
        """Applies a new instance list, keeping views whose instance has the same port."""
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

    def record_status(self, status: Status) -> bool:
        """Records a status of a sidecar, unless the one already stored is newer.

        Returns:
          Whether an endpoint that was marked as lost has returned.
        """
        view = self._views.get(status.name)
        if view is None:
            return False
        was_lost = view.lost
        return view.update_status(status) and was_lost

    def record_loss(self, name: str, refused: bool) -> bool:
        """Records the loss of a sidecar's stream; only a refused connection marks it as lost.

        Returns:
          Whether the endpoint has just been taken out of routing.
        """
        view = self._views.get(name)
        if view is None or view.lost:
            return False
        view.lost = refused
        was_routable = view.last_status_at > float("-inf")
        return refused and was_routable

    def exclude_pause(self, seconds: float) -> None:
        """Shifts the times of all views by a pause of this process, which explains silence."""
        for view in self._views.values():
            view.last_status_at += seconds

    def candidates(self, model: str, service: str) -> list[EndpointView]:
        """Returns the endpoints that can take a request for a model or a service now."""
        now = asyncio.get_running_loop().time()
        capable = [view for view in self._views.values() if can_serve(view, model, service)]
        current = [view for view in capable if now - view.last_status_at <= STATUS_EXPIRES_SECONDS]
        if current:
            return current
        # If most endpoints fell silent together, the fault is probably this entry's own. Routing
        # nowhere would turn it into an outage for all callers, while a wrong guess costs one
        # attempt. Endpoints that were silent for a limited time are therefore still used.
        reported_before = [
            view for view in self._views.values() if view.last_status_at > 0.0 and not view.lost
        ]
        silent = sum(now - view.last_status_at > STATUS_EXPIRES_SECONDS for view in reported_before)
        if silent <= len(reported_before) * SILENT_FRACTION:
            return []
        return [view for view in capable if now - view.last_status_at <= LAST_RESORT_STATUS_SECONDS]

    async def wait_for_status(
        self, model: str, service: str, deadline: float, tried: frozenset[str] = frozenset()
    ) -> bool:
        """Waits for endpoints that are silent; returns whether one can take work again.

        If one instance of a service is paused for two seconds while the other one leaves, the
        service's callers should wait and not all be refused.

        Args:
          deadline: When to give up, by the event loop's clock.
          tried: Endpoints that do not count, since they were already tried.
        """
        if self._has_candidate(model, service, tried):
            # An endpoint's status is current, so silence is not the reason that none takes work.
            return False
        loop = asyncio.get_running_loop()
        while loop.time() < deadline and self._may_report_again(model, service, tried):
            await asyncio.sleep(STATUS_WAIT_POLL_SECONDS)
            if self._has_candidate(model, service, tried):
                return True
        return False

    def _has_candidate(self, model: str, service: str, tried: frozenset[str]) -> bool:
        return any(view.instance.name not in tried for view in self.candidates(model, service))

    def _may_report_again(self, model: str, service: str, tried: frozenset[str]) -> bool:
        now = asyncio.get_running_loop().time()
        return any(
            name not in tried
            and can_serve(view, model, service)
            and now - view.last_status_at <= MAX_RECOVERABLE_SILENCE_SECONDS
            for name, view in self._views.items()
        )

    async def fetch_status(self, view: EndpointView, timeout: float) -> None:
        """Fetches a sidecar's status, even if this entry does not watch it.

        Raises:
          CodedError: It did not respond or its status is invalid; nothing was started.
        """
        request = httpclient.HTTPRequest(view.url + "/internal/status", request_timeout=timeout)
        try:
            response = await http_client.fetch(self._client, request, "status")
            view.update_status(decode_json(response.body, Status, "status_unreadable"))
        except CodedError as error:
            raise CodedError("status_unread", str(error), 502) from error

    async def _poll(self, view: EndpointView) -> None:
        with contextlib.suppress(CodedError):
            await self.fetch_status(view, STATUS_TIMEOUT_SECONDS)


def can_serve(view: EndpointView, model: str, service: str) -> bool:
    """Returns whether an endpoint can take a request, by the last status it reported."""
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


def find_no_member(name: str) -> None:
    """The default of find_member: no other members are known."""
