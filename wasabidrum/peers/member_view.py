"""One daemon of the fleet as another daemon sees it."""

import dataclasses

from ..core.instance import Instance, InstanceState
from ..core.status import Status
from ..wire import tls


@dataclasses.dataclass(slots=True)
class MemberView:
    """What is known of a daemon: what the platform lists, and what it says of itself.

    Attributes:
      status: Its latest account of itself, or None where none was heard.
      seen_at: When it was last heard, by the event loop's clock.
      suspected: Whether there is evidence that it is dead; cleared when it is heard again.
    """

    instance: Instance
    status: Status | None = None
    seen_at: float = 0.0
    suspected: bool = False

    @property
    def name(self) -> str:
        """The slot that the daemon fills."""
        return self.instance.name

    @property
    def url(self) -> str:
        """Where the daemon takes the fleet's HTTP requests."""
        return tls.fleet_url(self.instance.host, self.instance.http_port)

    @property
    def leaving(self) -> bool:
        """Whether the list or the daemon itself says that it takes no new work."""
        says_so = self.status is not None and self.status.leaving
        return says_so or self.instance.state is InstanceState.LEAVING


class MemberViews:
    """Daemons by name, with suspicion from this daemon's own traffic; see Membership."""

    __slots__ = ("_views",)

    def __init__(self) -> None:
        self._views: dict[str, MemberView] = {}

    @property
    def members(self) -> list[MemberView]:
        """See Membership."""
        return list(self._views.values())

    def report_failure(self, name: str) -> None:
        """See Membership."""
        if name in self._views:
            self._views[name].suspected = True

    def report_success(self, name: str) -> None:
        """See Membership."""
        if name in self._views:
            self._views[name].suspected = False
