"""Counts the engine seconds that requests of each workspace take at this entry."""

from ..config.deployment import Deployment
from ..core.boot_clock import boot_seconds
from ..core.published import EngineFigures
from ..core.request_head import RequestHead
from ..core.route import RouteKind
from ..decisions.engine_forecast import engine_seconds
from ..decisions.refused_callers import RefusedCallers, Return
from ..decisions.workspace_shares import WorkspaceShares
from ..observe.event import Event
from ..observe.event_log import EventLog
from .call import Call
from .published_state import PublishedState

MIN_WORKSPACES = 2
# A workspace whose use exceeds its share by half is logged, until it is back at its share.
OVER_SHARE_POSITION = 0.6
AT_SHARE_POSITION = 0.5


class RequestUse:
    """Counts the engine seconds of one request."""

    __slots__ = ("_usage", "_call", "_figures", "_fingerprint", "_returned")
    __slots__ += ("_expected", "_placed_at")

    def __init__(
        self,
        usage: "WorkspaceUsage",
        call: Call,
        figures: EngineFigures,
        fingerprint: str,
        returned: bool,
    ) -> None:
        self._usage = usage
        self._call = call
        self._figures = figures
        self._fingerprint = fingerprint
        # Whether the caller was refused before, so that another refusal adds no demand.
        self._returned = returned
        self._expected = expected_seconds(figures, call.head)
        # None until the request is placed, and after its use was corrected.
        self._placed_at: float | None = None

    def record_placed(self) -> None:
        """Records that the request was placed; only the first time counts."""
        if self._placed_at is None:
            self._placed_at = boot_seconds()
            self._usage.shares.record_use(self._call.workspace, self._expected, self._placed_at)

    def record_refused(self, retry_after: float) -> float:
        """Records that the request was refused without having run.

        Args:
          retry_after: In how many seconds its caller was told to return.

        Returns:
          The position of its workspace.
        """
        shares, workspace, now = self._usage.shares, self._call.workspace, boot_seconds()
        self._correct(0.0)
        if not self._returned:
            shares.record_refused(workspace, self._expected, now)
        self._usage.record_told(self._fingerprint, retry_after)
        position = shares.position(workspace, now)
        self._usage.log_position(workspace, position)
        return position

    def record_end(self, events: int) -> None:
        """Corrects the use of a request that was sent and has ended.

        Args:
          events: The events of its answer that were passed on; an engine sends one after each
            group of steps that it runs between two looks at its queue.
        """
        if self._call.route.kind is RouteKind.STREAM:
            prompt = self._call.head.prompt_tokens or self._figures.usual_prompt
            tokens = events * self._figures.stride
            self._correct(engine_seconds(self._figures, prompt, tokens))

    def _correct(self, actual: float) -> None:
        if self._placed_at is None:
            return
        placed_at, self._placed_at = self._placed_at, None
        self._usage.shares.correct_use(
            self._call.workspace, self._expected, actual, placed_at, boot_seconds()
        )


class WorkspaceUsage:
    """The use and the shares of the workspaces of an entry.

    Attributes:
      shares: The counts, and what other entries report of theirs.
    """

    __slots__ = ("shares", "_enabled", "_state", "_log", "_refused", "_over")

    def __init__(
        self, deployment: Deployment, state: PublishedState, shares: WorkspaceShares, log: EventLog
    ) -> None:
        self.shares = shares
        self._enabled = deployment.shares_room
        self._state = state
        self._log = log
        self._refused = RefusedCallers()
        # The workspaces that were logged as over their share.
        self._over: set[str] = set()

    @property
    def is_active(self) -> bool:
        """Whether workspaces share what the engines can do."""
        configuration = self._state.configuration
        return (
            self._enabled
            and configuration is not None
            and len(configuration.workspaces) >= MIN_WORKSPACES
        )

    @property
    def over_count(self) -> int:
        """The number of workspaces that use more than their share by half."""
        if not self.is_active:
            return 0
        positions = self.shares.positions(boot_seconds())
        return sum(position > OVER_SHARE_POSITION for position in positions.values())

    @property
    def heard_count(self) -> int:
        """The number of other entries whose reports of use count."""
        return self.shares.heard_count(boot_seconds())

    def position_of(self, workspace: str) -> float:
        """Returns how far a workspace is over its share; at its share if none has one."""
        if not workspace or not self.is_active:
            return AT_SHARE_POSITION
        return self.shares.position(workspace, boot_seconds())

    def open(
        self, call: Call, service: str, fingerprint: str, returning: bool
    ) -> RequestUse | None:
        """Returns the count of a new request; None if its use is not counted.

        Args:
          fingerprint: Identifies the content of the request.
          returning: Whether its caller has waited before, by what it states.
        """
        figures = self._state.engine_figures(service)
        if figures is None or not call.workspace or not self.is_active:
            return None
        now = boot_seconds()
        returned = self._refused.take(fingerprint, now)
        if returned is not Return.NEW:
            self.shares.record_return(call.workspace, returned is Return.EARLY, now)
        returning = returning or returned is not Return.NEW
        return RequestUse(self, call, figures, fingerprint, returning)

    def record_told(self, fingerprint: str, retry_after: float) -> None:
        """Records that a caller was refused and told to return after some seconds."""
        self._refused.record_refused(fingerprint, retry_after, boot_seconds())

    def log_position(self, workspace: str, position: float) -> None:
        """Logs that a workspace whose request was refused came over its share."""
        if position <= AT_SHARE_POSITION:
            self._over.discard(workspace)
        elif position > OVER_SHARE_POSITION and workspace not in self._over:
            self._over.add(workspace)
            self._log.write(
                Event.WORKSPACE_OVER_SHARE,
                workspace=workspace,
                position=round(position, 3),
                heard=self.heard_count,
                entries=self.shares.entry_count,
            )


def expected_seconds(figures: EngineFigures, head: RequestHead) -> float:
    """Returns the engine seconds that a request is expected to take."""
    answer = min(head.max_tokens or figures.usual_answer, figures.usual_answer)
    return engine_seconds(figures, head.prompt_tokens or figures.usual_prompt, answer)
