"""A summary of the status of all daemons."""

import dataclasses

from ..core.instance import InstanceList, InstanceState
from ..core.status import Status
from .fleet_answer import FleetAnswer


@dataclasses.dataclass(slots=True)
class FleetReport:
    """The platform's list of instances, and the status of each daemon."""

    listed: InstanceList
    answers: list[FleetAnswer[Status]]

    def __post_init__(self) -> None:
        self.answers.sort(key=lambda answer: (answer.instance.role, answer.instance.name))

    @property
    def statuses(self) -> list[Status]:
        """The statuses of the daemons that answered."""
        return [answer.answer for answer in self.answers if answer.answer is not None]

    @property
    def revision(self) -> int:
        """The highest revision in force at any daemon."""
        return max((status.revision for status in self.statuses), default=0)

    def problems(self) -> list[str]:
        """Returns all problems as lines, refused revisions first."""
        return [
            *self.refusals(),
            *self.alarms(),
            *self.outdated(),
            *self.unreachable(),
            *self.failed_loads(),
        ]

    def refusals(self) -> list[str]:
        """Returns a line for each refused revision: its faults, and the daemons that refuse it."""
        names: dict[tuple[int, str], list[str]] = {}
        for status in self.statuses:
            if status.refused_revision:
                key = (status.refused_revision, status.refused_reason)
                names.setdefault(key, []).append(status.name)
        return [
            f"REFUSED revision {revision} at {describe_daemons(who, self.statuses)}: {reason}"
            for (revision, reason), who in sorted(names.items(), reverse=True)
        ]

    def alarms(self) -> list[str]:
        """Returns a line for each inconsistency among the revisions."""
        messages = {status.alarm for status in self.statuses if status.alarm}
        by_revision: dict[int, set[str]] = {}
        for status in self.statuses:
            by_revision.setdefault(status.revision, set()).add(status.config_digest)
        split = [revision for revision, digests in by_revision.items() if len(digests) > 1]
        messages |= {f"revision {revision} is in force with two contents" for revision in split}
        return [f"ALARM {alarm}" for alarm in sorted(messages)]

    def outdated(self) -> list[str]:
        """Returns a line that lists the daemons with an older revision in force than others."""
        behind = [status.name for status in self.statuses if status.revision < self.revision]
        if not behind:
            return []
        return [f"BEHIND revision {self.revision}: {', '.join(behind)}"]

    def unreachable(self) -> list[str]:
        """Returns a line that lists the instances that are listed as live and did not answer."""
        names = [
            answer.instance.name
            for answer in self.answers
            if answer.answer is None and answer.instance.state is InstanceState.LIVE
        ]
        return [f"NO ANSWER from {', '.join(names)}"] if names else []

    def failed_loads(self) -> list[str]:
        """Returns a line for each version that endpoints could not load."""
        names: dict[str, list[str]] = {}
        for status in self.statuses:
            if status.failed_version:
                names.setdefault(status.failed_version, []).append(status.name)
        return [f"FAILED version {version} at {', '.join(who)}" for version, who in names.items()]


def describe_daemons(names: list[str], all_statuses: list[Status]) -> str:
    """Returns the number of the named daemons and, unless they are all, the first names."""
    if len(names) == len(all_statuses):
        return f"all {len(names)} daemons"
    return f"{len(names)} of {len(all_statuses)} daemons ({', '.join(names[:5])})"
