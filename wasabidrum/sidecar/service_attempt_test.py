"""Tests of how a sidecar parses calls; corrupted ones must not run."""

import unittest

import hypothesis
from hypothesis import strategies
from tornado import httputil

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions.idempotency_key import make_key
from ..decisions.idempotency_ledger import make_ledger
from ..decisions.idempotency_verdict import Verdict
from ..outcomes.call_digest import digest_call
from ..wire import headers
from .service_attempt import parse_attempt

KEY = str(make_key("tally-1", "0193c-aa", 1.0, 60.0))


def make_headers() -> dict[str, str]:
    """Returns the headers of a valid call with the body b"{}"."""
    call = ("stationers", KEY, "POST", "/charge", "application/json", b"{}")
    return {
        headers.WORKSPACE: "stationers",
        headers.CALL_KEY: KEY,
        headers.FORWARDED_METHOD: "POST",
        headers.FORWARDED_PATH: "/charge",
        "Content-Type": "application/json",
        headers.CALL_DIGEST: digest_call(*call).hex(),
        headers.ATTEMPT_ID: "r.1",
        headers.DEADLINE_MILLISECONDS: "5000",
    }


class ServiceAttemptTest(unittest.TestCase):
    """A call is either parsed as it was sent, or refused with the outcome UNKNOWN."""

    def test_reads_a_good_call(self) -> None:
        attempt = parse_attempt(httputil.HTTPHeaders(make_headers()), b"{}")
        self.assertEqual((str(attempt.key), attempt.path, attempt.patience), (KEY, "/charge", 5.0))

    @hypothesis.settings(derandomize=True, max_examples=400)
    @hypothesis.given(
        strategies.sampled_from([*sorted(make_headers()), headers.START_BEFORE, ""]),
        strategies.text(strategies.characters(min_codepoint=32, max_codepoint=255), max_size=60),
    )
    def test_refuses_whatever_was_changed(self, name: str, value: str) -> None:
        given = make_headers()
        body = b"{}"
        if name:
            hypothesis.assume(given.get(name) != value)
            given[name] = value
        else:
            hypothesis.assume(value != "{}")
            body = value.encode()
        free = (headers.ATTEMPT_ID, headers.DEADLINE_MILLISECONDS, headers.START_BEFORE)
        try:
            attempt = parse_attempt(httputil.HTTPHeaders(given), body)
        except CodedError as error:
            self.assertIs(error.outcome, Outcome.UNKNOWN)
            return
        self.assertIn(name, free)
        self.assertEqual((str(attempt.key), attempt.body), (KEY, b"{}"))

    def test_a_call_without_a_deadline_in_the_sidecars_time_does_not_start(self) -> None:
        """An entry does not know the sidecar's uptime, so the call has no deadline in it. The
        call may have waited in a paused sidecar's socket for any time. If it started, it could
        charge a caller that got "unknown" and has disconnected."""
        attempt = parse_attempt(httputil.HTTPHeaders(make_headers()), b"{}")
        self.assertEqual(attempt.start_before, 0.0)
        verdict = make_ledger("0193c-aa").begin(
            attempt.workspace, attempt.key, attempt.fingerprint, 2.0, attempt.start_before
        )
        self.assertIs(verdict.verdict, Verdict.NOT_RUN)

    def test_a_call_that_may_not_be_repeated_needs_a_key(self) -> None:
        call = ("w", "", "POST", "/charge", "", b"")
        given = make_headers() | {headers.WORKSPACE: "w", "Content-Type": ""}
        given |= {headers.CALL_DIGEST: digest_call(*call).hex(), headers.CALL_KEY: ""}
        with self.assertRaises(CodedError):
            parse_attempt(httputil.HTTPHeaders(given), b"")
        given[headers.IDEMPOTENT] = "1"
        self.assertIsNone(parse_attempt(httputil.HTTPHeaders(given), b"").key)
