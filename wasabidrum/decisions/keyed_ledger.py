"""Decides whether a call with a key may start, so that it runs at most once.

Load pattern: charges that callers, entries and the network send again, seconds or minutes
after the first copy, while instances die and wake.

Without it a resend after a lost answer charges a family twice, or a caller that is told
"not run" sees the charge run later.
"""

import hashlib
import heapq
import math

from .keyed_key import KeyedKey
from .keyed_record import KeptAnswer, KeyedRecord, KeyState
from .keyed_verdict import KeyedVerdict, Verdict

MOST_RECORDS = 50_000
MOST_ANSWER_BYTES = 8 * 1_048_576
ISSUED_AHEAD_SECONDS = 1.0

IDENTITY_BYTES = 16


def identify(workspace: str, key: KeyedKey) -> bytes:
    """Returns the short name of a workspace's key; another workspace's has another."""
    text = f"{workspace}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=IDENTITY_BYTES).digest()


class KeyedLedger:
    """The records of one incarnation. Times are seconds since that incarnation started."""

    __slots__ = ("_incarnation", "_most_records", "_most_answer_bytes", "_records", "_expiries")
    __slots__ += ("_answers", "_answer_bytes", "_floor", "_now")

    def __init__(self, incarnation: str, most_records: int, most_answer_bytes: int) -> None:
        self._incarnation = incarnation
        self._most_records = most_records
        self._most_answer_bytes = most_answer_bytes
        self._records: dict[bytes, KeyedRecord] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._answers: dict[bytes, int] = {}
        self._answer_bytes = 0
        self._floor = -1.0
        self._now = 0.0

    @property
    def size(self) -> int:
        """How many keys are remembered."""
        return len(self._records)

    @property
    def answer_bytes(self) -> int:
        """How many bytes of answers are kept."""
        return self._answer_bytes

    def begin(
        self, workspace: str, key: KeyedKey, fingerprint: bytes, now: float, start_before: float
    ) -> KeyedVerdict:
        """Judges a call that arrived; after RUN the caller must call exactly one end method.

        Args:
          fingerprint: The digest of all that makes up the request.
          start_before: When the caller stops waiting; a call must not start after that.
        """
        now = self._advance(now)
        # Another incarnation's memory died with it, or lives in a process that the list no
        # longer names. Running its call here could be the second run.
        if key.incarnation != self._incarnation:
            return KeyedVerdict(Verdict.UNKNOWN, "key_of_another_incarnation")
        identity = identify(workspace, key)
        record = self._records.get(identity)
        if record is not None:
            return self._judge_known(record, fingerprint)
        # Records are forgotten at their keys' expiry by this same clock, so an unexpired key
        # without a record has never been here.
        if key.expires <= now:
            return KeyedVerdict(Verdict.UNKNOWN, "key_expired")
        if key.issued > now + ISSUED_AHEAD_SECONDS:
            return KeyedVerdict(Verdict.UNKNOWN, "key_issued_ahead")
        if key.issued <= self._floor:
            code = "endpoint_leaving" if math.isinf(self._floor) else "keys_full"
            return KeyedVerdict(Verdict.NOT_RUN, code)
        if len(self._records) >= self._most_records:
            # There is no room to remember a run or a tombstone. The floor stands for a
            # tombstone of every key issued by now, so that "not run" stays true of a copy
            # of this call that comes when there is room again.
            self._floor = max(now, key.issued)
            return KeyedVerdict(Verdict.NOT_RUN, "keys_full")
        record = KeyedRecord(fingerprint, key.expires, KeyState.RUNNING)
        self._records[identity] = record
        heapq.heappush(self._expiries, (key.expires, identity))
        # A process that was paused, or whose queue was long, comes here after the caller
        # gave up. The caller may have turned to another till by now.
        if now >= start_before:
            record.state, record.code = KeyState.TOMBSTONE, "deadline_passed"
            return KeyedVerdict(Verdict.NOT_RUN, record.code)
        return KeyedVerdict(Verdict.RUN)

    def end_done(self, workspace: str, key: KeyedKey, answer: KeptAnswer, now: float) -> None:
        """Keeps the whole answer of a call that ran, evicting the oldest answers for it."""
        identity = identify(workspace, key)
        record = self._records[identity]
        record.state, record.answer = KeyState.DONE, answer
        self._answers[identity] = size = len(answer.body or b"")
        self._answer_bytes += size
        if size > self._most_answer_bytes:
            self._evict_answer(identity)
        while self._answer_bytes > self._most_answer_bytes:
            self._evict_answer(next(iter(self._answers)))
        self._advance(now)

    def end_unknown(self, workspace: str, key: KeyedKey, code: str, now: float) -> None:
        """Notes that a call started and that nobody can tell what became of it."""
        self._end(workspace, key, KeyState.UNKNOWN, code, now)

    def end_not_run(self, workspace: str, key: KeyedKey, code: str, now: float) -> None:
        """Notes that the endpoint provably never got the call; a late copy is refused."""
        self._end(workspace, key, KeyState.TOMBSTONE, code, now)

    def leave(self) -> None:
        """Refuses from now on every key that is not remembered, whenever it was issued."""
        self._floor = math.inf

    def _judge_known(self, record: KeyedRecord, fingerprint: bytes) -> KeyedVerdict:
        if record.fingerprint != fingerprint:
            return KeyedVerdict(Verdict.CONFLICT, "key_reused")
        if record.state is KeyState.RUNNING:
            return KeyedVerdict(Verdict.JOIN)
        if record.state is KeyState.DONE:
            return KeyedVerdict(Verdict.REPLAY, answer=record.answer)
        if record.state is KeyState.TOMBSTONE:
            return KeyedVerdict(Verdict.NOT_RUN, record.code)
        return KeyedVerdict(Verdict.UNKNOWN, record.code)

    def _end(self, workspace: str, key: KeyedKey, state: KeyState, code: str, now: float) -> None:
        record = self._records[identify(workspace, key)]
        record.state, record.code = state, code
        self._advance(now)

    def _advance(self, now: float) -> float:
        # A clock that steps back would make a forgotten key young again, and its next copy
        # would run a second time. Time here never goes back.
        self._now = max(self._now, now)
        waiting = []
        while self._expiries and self._expiries[0][0] <= self._now:
            expires, identity = heapq.heappop(self._expiries)
            if self._records[identity].state is KeyState.RUNNING:
                waiting.append((expires, identity))
                continue
            self._evict_answer(identity)
            del self._records[identity]
        for item in waiting:
            heapq.heappush(self._expiries, item)
        return self._now

    def _evict_answer(self, identity: bytes) -> None:
        size = self._answers.pop(identity, None)
        if size is None:
            return
        self._answer_bytes -= size
        record = self._records[identity]
        record.answer = KeptAnswer(record.answer.status, record.answer.content_type, None)


def make_ledger(
    incarnation: str,
    most_records: int = MOST_RECORDS,
    most_answer_bytes: int = MOST_ANSWER_BYTES,
) -> KeyedLedger:
    """Returns an empty ledger for an incarnation that starts now."""
    return KeyedLedger(incarnation, most_records, most_answer_bytes)
