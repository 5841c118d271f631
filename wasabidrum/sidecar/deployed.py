"""The sidecar where the platform publishes endpoints: beside an engine, for its weights."""

from ..config.deployment import Deployment
from ..core.background_tasks import BackgroundTasks
from ..observe.event import Event
from ..observe.event_log import EventLog


class DeployedSidecar:
    """Owns the tasks beside one endpoint."""

    def __init__(self, deployment: Deployment, log: EventLog) -> None:
        self._deployment = deployment
        self._log = log
        self._tasks = BackgroundTasks(self._report_failure)

    async def start(self) -> None:
        """Starts the background tasks."""
        self._log.write(Event.DAEMON_STARTED, role="sidecar")

    async def stop(self) -> None:
        """Ends the tasks."""
        self._log.write(Event.DAEMON_LEAVING)
        await self._tasks.cancel_all()
        self._log.write(Event.DAEMON_STOPPED)

    def _report_failure(self, name: str, error: BaseException) -> None:
        self._log.write(Event.TASK_FAILED, task=name, reason=repr(error)[:500])


def make_deployed_sidecar(deployment: Deployment, log: EventLog) -> DeployedSidecar:
    """Returns a sidecar that has not started."""
    return DeployedSidecar(deployment, log)
