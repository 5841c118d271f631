"""Tests how an entry verifies a sidecar's answer: only a matching digest proves anything."""

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
from .service_exchange import NoVerifiedAnswerError, ServiceExchange
from .service_request import ServiceRequest

ATTEMPT = "r.1"


def make_answer(code: str, outcome: str, attempt: str = ATTEMPT, status: int = 200) -> dict:
    """Returns the headers of an answer with the body b"ok"."""
    digest = digest_answer(attempt, status, "text/plain", outcome, code, b"ok")
    fields = {
        "Content-Type": "text/plain",
        headers.OUTCOME: outcome,
        headers.ANSWER_DIGEST: digest.hex(),
    }
    return fields | ({headers.ERROR_CODE: code} if code else {})


def verify(fields: dict[str, str], body: bytes, status: int = 200) -> object:
    """Verifies an answer as an exchange does."""
    call = ServiceRequest("tally", "POST", "/charge", "text/plain", b"")
    exchange = ServiceExchange(mock.Mock(), mock.Mock(), call, "w", "r", None, None)
    request = httpclient.HTTPRequest("http://x")
    head = httputil.HTTPHeaders(fields)
    response = httpclient.HTTPResponse(request, status, head, buffer=io.BytesIO(body))
    return exchange._verify(ATTEMPT, response)


class ServiceExchangeTest(unittest.TestCase):
    """Answers may arrive at the wrong attempt, and links may corrupt bytes."""

    def test_answers_with_valid_digest_are_accepted(self) -> None:
        self.assertEqual(verify(make_answer("", "done"), b"ok").body, b"ok")
        with self.assertRaises(CodedError) as caught:
            verify(make_answer("endpoint_leaving", "not_run"), b"ok")
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)

    def test_refusal_of_another_attempt_is_rejected(self) -> None:
        """A late "not run" of an abandoned call arrives on another call's connection.

        If it were believed, the other call would run a second time elsewhere.
        """
        with self.assertRaises(NoVerifiedAnswerError) as caught:
            verify(make_answer("endpoint_leaving", "not_run", "r.0"), b"ok")
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    @hypothesis.settings(derandomize=True, max_examples=400)
    @hypothesis.given(
        strategies.sampled_from(["", headers.OUTCOME, headers.ERROR_CODE, headers.ANSWER_DIGEST]),
        strategies.text(strategies.characters(min_codepoint=33, max_codepoint=126), max_size=40),
        strategies.sampled_from([("", "done"), ("endpoint_leaving", "not_run")]),
    )
    def test_any_change_is_detected(self, name: str, value: str, answer: tuple[str, str]) -> None:
        fields, body = make_answer(*answer), b"ok"
        if name:
            hypothesis.assume(fields.get(name, "") != value)
            fields[name] = value
        else:
            hypothesis.assume(value != "ok")
            body = value.encode()
        with self.assertRaises(NoVerifiedAnswerError):
            verify(fields, body)
