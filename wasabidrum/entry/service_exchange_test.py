"""Tests of how an entry judges a sidecar's answer: only a sealed one proves anything."""

import io
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
from tornado import httpclient, httputil

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..outcomes.call_digest import digest_answer
from ..wire import headers
from .service_exchange import NotToldError, ServiceExchange
from .service_order import ServiceOrder

ATTEMPT = "r.1"


def make_answer(code: str, outcome: str, attempt: str = ATTEMPT, status: int = 200) -> dict:
    """Returns the headers of an answer with the body b"ok"."""
    digest = digest_answer(attempt, status, "text/plain", outcome, code, b"ok")
    given = {
        "Content-Type": "text/plain",
        headers.OUTCOME: outcome,
        headers.ANSWER_DIGEST: digest.hex(),
    }
    return given | ({headers.ERROR_CODE: code} if code else {})


def judge(given: dict[str, str], body: bytes, status: int = 200) -> object:
    """Has an exchange judge an answer."""
    order = ServiceOrder("tally", "POST", "/charge", "text/plain", b"")
    exchange = ServiceExchange(mock.Mock(), mock.Mock(), order, "w", "r", None, None)
    request = httpclient.HTTPRequest("http://x")
    told = httputil.HTTPHeaders(given)
    response = httpclient.HTTPResponse(request, status, told, buffer=io.BytesIO(body))
    return exchange._judge(ATTEMPT, response)


class ServiceExchangeTest(unittest.TestCase):
    """Answers cross on reused connections, and links change bytes."""

    def test_sealed_answers_are_believed(self) -> None:
        self.assertEqual(judge(make_answer("", "done"), b"ok").body, b"ok")
        with self.assertRaises(CodedError) as caught:
            judge(make_answer("endpoint_leaving", "not_run"), b"ok")
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)

    def test_another_attempts_refusal_proves_nothing(self) -> None:
        """A late "not run" of an abandoned call arrives on the connection of another.

        Believed, the other call would be run a second time elsewhere.
        """
        with self.assertRaises(NotToldError) as caught:
            judge(make_answer("endpoint_leaving", "not_run", "r.0"), b"ok")
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    @hypothesis.settings(derandomize=True, max_examples=400)
    @hypothesis.given(
        strategies.sampled_from(["", headers.OUTCOME, headers.ERROR_CODE, headers.ANSWER_DIGEST]),
        strategies.text(strategies.characters(min_codepoint=33, max_codepoint=126), max_size=40),
        strategies.sampled_from([("", "done"), ("endpoint_leaving", "not_run")]),
    )
    def test_any_change_is_seen(self, name: str, value: str, answer: tuple[str, str]) -> None:
        given, body = make_answer(*answer), b"ok"
        if name:
            hypothesis.assume(given.get(name, "") != value)
            given[name] = value
        else:
            hypothesis.assume(value != "ok")
            body = value.encode()
        with self.assertRaises(NotToldError):
            judge(given, body)
