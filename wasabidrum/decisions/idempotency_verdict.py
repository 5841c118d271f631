"""Defines what the idempotency ledger can decide about a call."""

import dataclasses
import enum

from .idempotency_record import StoredAnswer


class Verdict(enum.Enum):
    """How the sidecar handles a call that arrived with a key."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotencyVerdict:
    """A verdict, with the stored answer for a replay and the code for a refusal."""

    verdict: Verdict
    code: str = ""
    answer: StoredAnswer | None = None
