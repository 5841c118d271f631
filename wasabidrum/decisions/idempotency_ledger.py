"""Decides whether a call with an idempotency key may start, so that it runs at most once.

Load pattern: callers, entries and the network send charges again, seconds or minutes after the
first copy, while instances die and resume from pauses. Without this a retry after a lost response
charges a customer twice, or a charge runs after its caller was told "not run".
"""

import hashlib
import heapq
import math

from .idempotency_key import IdempotencyKey
from .idempotency_record import IdempotencyRecord, KeyState, StoredAnswer
from .idempotency_verdict import IdempotencyVerdict, Verdict

MAX_RECORDS = 50_000
MAX_ANSWER_BYTES = 8 * 1_048_576
MAX_ISSUED_AHEAD_SECONDS = 1.0

RECORD_ID_BYTES = 16


def record_id(workspace: str, key: IdempotencyKey) -> bytes:
    """Returns the digest that identifies a key of a workspace."""
    text = f"{workspace}\0{key}".encode()
    return hashlib.blake2b(text, digest_size=RECORD_ID_BYTES).digest()


class IdempotencyLedger:
    """The idempotency records of one sidecar incarnation.

    All times are in seconds since the incarnation started.
    """

    __slots__ = ("_incarnation", "_max_records", "_max_answer_bytes", "_records", "_expiries")
    __slots__ += ("_answers", "_answer_bytes", "_refused_issued_until", "_now")

    def __init__(self, incarnation: str, max_records: int, max_answer_bytes: int) -> None:
        self._incarnation = incarnation
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._records: dict[bytes, IdempotencyRecord] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._answers: dict[bytes, int] = {}
        self._answer_bytes = 0
        self._refused_issued_until = -1.0
        self._now = 0.0

    @property
    def size(self) -> int:
        """The number of keys with a record."""
        return len(self._records)

    @property
    def answer_bytes(self) -> int:
        """The total size of the stored answers, in bytes."""
        return self._answer_bytes

    def begin(
        self,
        workspace: str,
        key: IdempotencyKey,
        fingerprint: bytes,
        now: float,
        start_before: float,
    ) -> IdempotencyVerdict:
        """Decides on a call that arrived; after RUN exactly one end method must be called.

        Args:
          fingerprint: The digest of the complete request.
          start_before: When the caller stops waiting; the call must not start at or after it.
        """
        now = self._advance(now)
        # The records of another incarnation are lost, or are held by a process that the list no
        # longer names. If it ran the call there, running it here would be the second run.
        if key.incarnation != self._incarnation:
            return IdempotencyVerdict(Verdict.UNKNOWN, "key_of_another_incarnation")
        identity = record_id(workspace, key)
        record = self._records.get(identity)
        if record is not None:
            return self._decide_known(record, fingerprint)
        # Records are removed when their keys expire by this same clock, so an unexpired key
        # without a record was never received here.
        if key.expires <= now:
            return IdempotencyVerdict(Verdict.UNKNOWN, "key_expired")
        if key.issued > now + MAX_ISSUED_AHEAD_SECONDS:
            return IdempotencyVerdict(Verdict.UNKNOWN, "key_issued_ahead")
        if key.issued <= self._refused_issued_until:
            code = "endpoint_leaving" if math.isinf(self._refused_issued_until) else "keys_full"
            return IdempotencyVerdict(Verdict.NOT_RUN, code)
        if len(self._records) >= self._max_records:
            # There is no room for a record or a tombstone. Instead every key issued until now is
            # refused, so that "not run" also holds for a copy of this call that arrives when
            # there is room again.
            self._refused_issued_until = max(now, key.issued)
            return IdempotencyVerdict(Verdict.NOT_RUN, "keys_full")
        record = IdempotencyRecord(fingerprint, key.expires, KeyState.RUNNING)
        self._records[identity] = record
        heapq.heappush(self._expiries, (key.expires, identity))
        # A process that was paused, or had a long queue, may get here after the caller's
        # deadline. The caller may have made the charge in another way by now.
        if now >= start_before:
            record.state, record.code = KeyState.TOMBSTONE, "deadline_passed"
            return IdempotencyVerdict(Verdict.NOT_RUN, record.code)
        return IdempotencyVerdict(Verdict.RUN)

    def end_done(
        self, workspace: str, key: IdempotencyKey, answer: StoredAnswer, now: float
    ) -> None:
        """Stores the complete answer of a call that ran, evicting the oldest ones if needed."""
        identity = record_id(workspace, key)
        record = self._records[identity]
        record.state, record.answer = KeyState.DONE, answer
        self._answers[identity] = size = len(answer.body or b"")
        self._answer_bytes += size
        if size > self._max_answer_bytes:
            self._evict_answer(identity)
        while self._answer_bytes > self._max_answer_bytes:
            self._evict_answer(next(iter(self._answers)))
        self._advance(now)

    def end_unknown(self, workspace: str, key: IdempotencyKey, code: str, now: float) -> None:
        """Records that a call started and that its outcome is unknown."""
        self._end(workspace, key, KeyState.UNKNOWN, code, now)

    def end_not_run(self, workspace: str, key: IdempotencyKey, code: str, now: float) -> None:
        """Records that the endpoint provably never received the call; later copies are refused."""
        self._end(workspace, key, KeyState.TOMBSTONE, code, now)

    def refuse_new_keys(self) -> None:
        """Refuses from now on every key without a record, whenever it was issued."""
        self._refused_issued_until = math.inf

    def _decide_known(self, record: IdempotencyRecord, fingerprint: bytes) -> IdempotencyVerdict:
        if record.fingerprint != fingerprint:
            return IdempotencyVerdict(Verdict.CONFLICT, "key_reused")
        if record.state is KeyState.RUNNING:
            return IdempotencyVerdict(Verdict.JOIN)
        if record.state is KeyState.DONE:
            return IdempotencyVerdict(Verdict.REPLAY, answer=record.answer)
        if record.state is KeyState.TOMBSTONE:
            return IdempotencyVerdict(Verdict.NOT_RUN, record.code)
        return IdempotencyVerdict(Verdict.UNKNOWN, record.code)

    def _end(
        self, workspace: str, key: IdempotencyKey, state: KeyState, code: str, now: float
    ) -> None:
        record = self._records[record_id(workspace, key)]
        record.state, record.code = state, code
        self._advance(now)

    def _advance(self, now: float) -> float:
        # If time went back, a key whose record was removed on expiry would be valid again, and its
        # next copy would run a second time.
        self._now = max(self._now, now)
        running = []
        while self._expiries and self._expiries[0][0] <= self._now:
            expires, identity = heapq.heappop(self._expiries)
            if self._records[identity].state is KeyState.RUNNING:
                running.append((expires, identity))
                continue
            self._evict_answer(identity)
            del self._records[identity]
        for item in running:
            heapq.heappush(self._expiries, item)
        return self._now

    def _evict_answer(self, identity: bytes) -> None:
        size = self._answers.pop(identity, None)
        if size is None:
            return
        self._answer_bytes -= size
        record = self._records[identity]
        record.answer = StoredAnswer(record.answer.status, record.answer.content_type, None)


def make_ledger(
    incarnation: str,
    max_records: int = MAX_RECORDS,
    max_answer_bytes: int = MAX_ANSWER_BYTES,
) -> IdempotencyLedger:
    """Returns an empty ledger for a new incarnation."""
    return IdempotencyLedger(incarnation, max_records, max_answer_bytes)
