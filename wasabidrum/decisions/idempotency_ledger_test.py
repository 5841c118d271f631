"""Tests of the idempotency ledger: each key runs once, and "not run" is never reported wrongly."""

import collections
import unittest

import hypothesis
from hypothesis import stateful, strategies

from .idempotency_key import MAX_KEY_LENGTH, IdempotencyKey, make_key, parse_key
from .idempotency_ledger import IdempotencyLedger, make_ledger
from .idempotency_record import StoredAnswer
from .idempotency_verdict import Verdict

WORKSPACES = ("stationers", "printers")
BODIES = (b"a", b"b")
MAX_RECORDS = 2
MAX_ANSWER_BYTES = 25


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Keys, copies of calls in transit, callers, and two slots whose incarnations are replaced.

    The machine simulates the network and the callers: a copy may be delivered at any later time,
    any number of times, to any incarnation that is still alive, including one that was replaced
    but never stopped.
    """

    keys = stateful.Bundle("keys")
    copies = stateful.Bundle("copies")

    def __init__(self) -> None:
        super().__init__()
        self.ledgers: dict[str, IdempotencyLedger] = {}
        self.started_at: dict[str, float] = {}
        self.time = 0.0
        self.runs: collections.Counter = collections.Counter()
        self.running: list[tuple[str, str, IdempotencyKey, bytes]] = []
        self.reported_not_run: set = set()
        self.answers: dict = {}
        for slot in ("tally-1", "tally-2"):
            self.start(slot)

    def start(self, slot: str) -> None:
        """Starts an incarnation without records; older ones may stay alive."""
        incarnation = f"{slot}-{len(self.ledgers)}"
        self.ledgers[incarnation] = make_ledger(incarnation, MAX_RECORDS, MAX_ANSWER_BYTES)
        self.started_at[incarnation] = self.time

    def uptime(self, incarnation: str) -> float:
        """Returns the uptime of an incarnation."""
        return self.time - self.started_at[incarnation]

    @stateful.rule(
        target=keys,
        pick=strategies.integers(0, 3),
        lifetime=strategies.sampled_from((1, 5, 30)),
        lag=strategies.sampled_from((0, 0, 2, -2)),
    )
    def issue(self, pick: int, lifetime: int, lag: int) -> IdempotencyKey:
        """Issues a key at an entry whose estimate of the sidecar's uptime is off by the lag."""
        newest = list(self.ledgers)[-4:]
        incarnation = newest[pick % len(newest)]
        return make_key("tally", incarnation, self.uptime(incarnation) - lag, lifetime)

    @stateful.rule(
        target=copies,
        key=keys,
        workspace=strategies.sampled_from((*WORKSPACES[:1] * 4, *WORKSPACES)),
        body=strategies.sampled_from((*BODIES[:1] * 4, *BODIES)),
        timeout=strategies.sampled_from((0, 3, 50)),
    )
    def send(self, key: IdempotencyKey, workspace: str, body: bytes, timeout: int) -> tuple:
        """Sends a call; the first delivery may be the last, and the response may be lost."""
        copy = (workspace, key, body, self.time + timeout)
        self.deliver_to(copy, key.incarnation)
        return copy

    @stateful.rule(target=copies, copy=copies, timeout=strategies.sampled_from((0, 3, 50)))
    def resend(self, copy: tuple, timeout: int) -> tuple:
        """Sends the same call again, with a new deadline."""
        workspace, key, body, _ = copy
        again = (workspace, key, body, self.time + timeout)
        self.deliver_to(again, key.incarnation)
        return again

    @stateful.rule(copy=copies)
    def repeat(self, copy: tuple) -> None:
        """Delivers a copy once more, at any later time."""
        self.deliver_to(copy, copy[1].incarnation)

    @stateful.rule(copy=copies, pick=strategies.integers(0, 99))
    def misdeliver(self, copy: tuple, pick: int) -> None:
        """Delivers a copy to any incarnation, as with a stale instance list."""
        self.deliver_to(copy, sorted(self.ledgers)[pick % len(self.ledgers)])

    def deliver_to(self, copy: tuple, incarnation: str) -> None:
        """Delivers a copy to an incarnation and checks its verdict."""
        workspace, key, body, deadline = copy
        start_before = deadline - self.started_at[incarnation]
        ledger = self.ledgers[incarnation]
        verdict = ledger.begin(workspace, key, body, self.uptime(incarnation), start_before)
        call = (workspace, key, body)
        if verdict.verdict is Verdict.RUN:
            assert self.time < deadline
            self.runs[workspace, key] += 1
            self.running.append((incarnation, *call))
            assert call not in self.reported_not_run, "ran after not_run was reported"
        elif verdict.verdict is Verdict.NOT_RUN:
            self.reported_not_run.add(call)
            assert not self.runs[workspace, key], "not_run was reported for a call that ran"
        elif verdict.verdict is Verdict.REPLAY:
            if verdict.answer.body is not None:
                assert verdict.answer.body == self.answers[call], "answer of another call"
        elif verdict.verdict is Verdict.JOIN:
            assert (incarnation, *call) in self.running
        assert ledger.size <= MAX_RECORDS
        assert ledger.answer_bytes <= MAX_ANSWER_BYTES

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        pick=strategies.integers(0, 99),
        end=strategies.sampled_from(("done", "done", "lost", "refused")),
    )
    def finish(self, pick: int, end: str) -> None:
        """Ends a run: answered, lost when the service died, or refused before any byte was sent."""
        incarnation, workspace, key, body = self.running.pop(pick % len(self.running))
        ledger = self.ledgers[incarnation]
        now = self.uptime(incarnation)
        if end == "done":
            self.answers[workspace, key, body] = f"{workspace}{key.nonce[:6]}".encode() + body
            answer = StoredAnswer(200, "text/plain", self.answers[workspace, key, body])
            ledger.end_done(workspace, key, answer, now)
        elif end == "lost":
            ledger.end_unknown(workspace, key, "service_lost", now)
        else:
            self.runs[workspace, key] -= 1
            self.reported_not_run.add((workspace, key, body))
            ledger.end_not_run(workspace, key, "service_down", now)

    @stateful.rule(seconds=strategies.sampled_from((0.5, 1, 2, 5, 30)))
    def wait(self, seconds: float) -> None:
        """Advances the time; keys expire and their records are removed."""
        self.time += seconds

    @stateful.rule(
        what=strategies.sampled_from(("replace", "crash", "leave")),
        slot=strategies.sampled_from(("tally-1", "tally-2")),
        pick=strategies.integers(0, 99),
    )
    def upset(self, what: str, slot: str, pick: int) -> None:
        """Replaces an instance whose old process stays alive, crashes one, or starts its exit."""
        incarnation = sorted(self.ledgers)[pick % len(self.ledgers)]
        if what == "leave":
            self.ledgers[incarnation].refuse_new_keys()
        elif what == "crash":
            self.ledgers[incarnation] = make_ledger("dead", 0, 0)
            self.running = [run for run in self.running if run[0] != incarnation]
        if what != "leave":
            self.start(slot)

    @stateful.invariant()
    def at_most_once(self) -> None:
        """No key ran twice in any incarnations."""
        assert all(count <= 1 for count in self.runs.values())


LedgerMachineTest = LedgerMachine.TestCase
LedgerMachineTest.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=40, derandomize=True, deadline=None
)


class IdempotencyLedgerTest(unittest.TestCase):
    """Cases that the state machine may not reach."""

    def test_a_clock_that_steps_back_makes_no_expired_key_valid(self) -> None:
        """The clock steps back after the record of a key was removed, and an old copy arrives.

        If the key were valid again, the customer would be charged twice.
        """
        ledger = make_ledger("i")
        key = make_key("tally", "i", 0.0, 10.0)
        self.assertIs(ledger.begin("w", key, b"f", 1.0, 9.0).verdict, Verdict.RUN)
        ledger.end_done("w", key, StoredAnswer(200, "", b"x"), 2.0)
        self.assertIs(ledger.begin("w", key, b"f", 11.0, 20.0).verdict, Verdict.UNKNOWN)
        self.assertEqual(ledger.size, 0)
        self.assertIs(ledger.begin("w", key, b"f", 1.0, 20.0).verdict, Verdict.UNKNOWN)

    def test_a_key_refused_by_a_full_ledger_stays_refused(self) -> None:
        """A burst fills the ledger; a late copy of a refused call arrives when it has room again.

        If it ran, a caller that was told "not run" and sent a new charge would see two.
        """
        ledger = make_ledger("i", 1, 0)
        first = make_key("tally", "i", 0.0, 5.0)
        second = make_key("tally", "i", 1.0, 100.0)
        self.assertIs(ledger.begin("w", first, b"f", 1.0, 9.0).verdict, Verdict.RUN)
        ledger.end_unknown("w", first, "service_lost", 1.5)
        self.assertIs(ledger.begin("w", second, b"f", 2.0, 50.0).verdict, Verdict.NOT_RUN)
        later = ledger.begin("w", second, b"f", 10.0, 50.0)
        self.assertEqual((later.verdict, later.code), (Verdict.NOT_RUN, "keys_full"))
        third = make_key("tally", "i", 10.0, 100.0)
        self.assertIs(ledger.begin("w", third, b"f", 10.0, 50.0).verdict, Verdict.RUN)

    def test_answers_are_evicted_before_records(self) -> None:
        ledger = make_ledger("i", 10, 10)
        keys = [make_key("tally", "i", 0.0, 100.0) for _ in range(3)]
        for key in keys:
            ledger.begin("w", key, b"f", 1.0, 9.0)
            ledger.end_done("w", key, StoredAnswer(201, "text/plain", b"12345"), 1.0)
        kept = [ledger.begin("w", key, b"f", 2.0, 9.0).answer for key in keys]
        self.assertEqual([answer.body for answer in kept], [None, b"12345", b"12345"])
        self.assertEqual(kept[0].status, 201)

    def test_another_body_under_the_same_key_is_a_conflict(self) -> None:
        ledger = make_ledger("i")
        key = make_key("tally", "i", 0.0, 100.0)
        ledger.begin("w", key, b"f", 1.0, 9.0)
        self.assertIs(ledger.begin("w", key, b"g", 1.0, 9.0).verdict, Verdict.CONFLICT)
        self.assertIs(ledger.begin("v", key, b"g", 1.0, 9.0).verdict, Verdict.RUN)


class KeyTest(unittest.TestCase):
    """Keys are parsed as they were encoded, and no other text is parsed as a key."""

    @hypothesis.settings(derandomize=True)
    @hypothesis.given(
        strategies.from_regex(r"[!-~]{1,99}", fullmatch=True),
        strategies.floats(0, 1e9),
        strategies.floats(0, 2000),
    )
    def test_round_trip(self, endpoint: str, uptime: float, lifetime: float) -> None:
        key = make_key(endpoint, "0193c-aa", uptime, lifetime)
        self.assertEqual(parse_key(str(key)), key)
        self.assertGreater(key.expires, key.issued)

    @hypothesis.settings(derandomize=True, max_examples=500)
    @hypothesis.given(
        strategies.one_of(
            strategies.text(max_size=MAX_KEY_LENGTH + 10),
            strategies.from_regex(r"wk1\.[0-9a-z-]+\.\d+\.\d+\.[0-9a-f]+\..+"),
        )
    )
    def test_accepts_only_texts_that_encode_the_parsed_key(self, text: str) -> None:
        key = parse_key(text)
        if key is not None:
            self.assertEqual(str(key), text)
            self.assertLessEqual(key.expires - key.issued, 900.001)
