"""What the accounts of all daemons say together."""

import dataclasses

from ..core.instance import InstanceList, InstanceState
from ..core.status import Status
from .fleet_answer import FleetAnswer


@dataclasses.dataclass(slots=True)
class FleetReport:
    """The platform's list, and each daemon's account of itself."""

    listed: InstanceList
    answers: list[FleetAnswer[Status]]

    def __post_init__(self) -> None:
        self.answers.sort(key=lambda answer: (answer.instance.role, answer.instance.name))

    @property
    def statuses(self) -> list[Status]:
        """The accounts of those that answered."""
        return [answer.answer for answer in self.answers if answer.answer is not None]

    @property
    def revision(self) -> int:
        """The highest revision in force anywhere."""
        return max((status.revision for status in self.statuses), default=0)

    def problems(self) -> list[str]:
        """Returns what operators should see first, refused revisions before the rest."""
        return [*self.refusals(), *self.alarms(), *self.laggards(), *self.silent(), *self.failed()]

    def refusals(self) -> list[str]:
        """Returns each refused revision once, with its faults and who refuses it."""
        names: dict[tuple[int, str], list[str]] = {}
        for status in self.statuses:
            if status.refused_revision:
                key = (status.refused_revision, status.refused_reason)
                names.setdefault(key, []).append(status.name)
        return [
            f"REFUSED revision {revision} at {count(who, self.statuses)}: {reason}"
            for (revision, reason), who in sorted(names.items(), reverse=True)
        ]

    def alarms(self) -> list[str]:
        """Returns what is wrong with the revisions themselves."""
        told = {status.alarm for status in self.statuses if status.alarm}
        by_revision: dict[int, set[str]] = {}
        for status in self.statuses:
            by_revision.setdefault(status.revision, set()).add(status.config_digest)
        split = [revision for revision, digests in by_revision.items() if len(digests) > 1]
        told |= {f"revision {revision} is in force with two contents" for revision in split}
        return [f"ALARM {alarm}" for alarm in sorted(told)]

    def laggards(self) -> list[str]:
        """Returns who has an older revision in force than others."""
        behind = [status.name for status in self.statuses if status.revision < self.revision]
        if not behind:
            return []
        return [f"BEHIND revision {self.revision}: {', '.join(behind)}"]

    def silent(self) -> list[str]:
        """Returns who is listed as live and gave no answer."""
        names = [
            answer.instance.name
            for answer in self.answers
            if answer.answer is None and answer.instance.state is InstanceState.LIVE
        ]
        return [f"NO ANSWER from {', '.join(names)}"] if names else []

    def failed(self) -> list[str]:
        """Returns the versions that endpoints could not load."""
        names: dict[str, list[str]] = {}
        for status in self.statuses:
            if status.failed_version:
                names.setdefault(status.failed_version, []).append(status.name)
        return [f"FAILED version {version} at {', '.join(who)}" for version, who in names.items()]


def count(names: list[str], everyone: list[Status]) -> str:
    """Returns how many, and who where that is few."""
    if len(names) == len(everyone):
        return f"all {len(names)} daemons"
    return f"{len(names)} of {len(everyone)} daemons ({', '.join(names[:5])})"
