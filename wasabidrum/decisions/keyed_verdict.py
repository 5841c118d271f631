"""What the ledger tells a sidecar to do with a call."""

import dataclasses
import enum

from .keyed_record import KeptAnswer


class Verdict(enum.Enum):
    """The ways to treat a call that arrived with a key."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedVerdict:
    """A verdict, with the kept answer of a replay and the code of a refusal."""

    verdict: Verdict
    code: str = ""
    answer: KeptAnswer | None = None
