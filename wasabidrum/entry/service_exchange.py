"""Sends one copy of a service call to a sidecar and verifies the answer."""

import dataclasses
import secrets

from tornado import httpclient

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions.idempotency_key import IdempotencyKey
from ..endpoints.service_reply import ServiceReply
from ..outcomes.call_digest import digest_answer, digest_call
from ..wire import headers, http_client
from ..wire.retry_after import passed_on
from .endpoint_table import EndpointView
from .placement import Placement
from .service_request import ServiceRequest


class NoVerifiedAnswerError(CodedError):
    """A copy ended without an answer that is provably the sidecar's.

    The outcome is NOT_RUN if this copy was never sent, which says nothing about other copies.
    """

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceExchange:
    """What all copies of one call to one endpoint have in common."""

    client: httpclient.AsyncHTTPClient
    view: EndpointView
    service_request: ServiceRequest
    workspace: str
    request_id: str
    key: IdempotencyKey | None
    placement: Placement | None

    async def send(
        self, remaining: float, timeout: float, start_before: float | None
    ) -> ServiceReply:
        """Sends one copy and returns the complete answer.

        Args:
          remaining: Seconds until the caller stops waiting.
          timeout: Seconds after which this copy is abandoned.
          start_before: The sidecar's uptime at the caller's deadline. Without it the sidecar
            starts no call with a key; it only reports on copies that it already has.

        Raises:
          NoVerifiedAnswerError: The copy was not sent, or it or its answer was lost.
          CodedError: The sidecar reported the outcome, which is certain.
        """
        attempt_id = f"{self.request_id}.{secrets.token_hex(6)}"
        request = httpclient.HTTPRequest(
            self.view.url + "/internal/service",
            method="POST",
            body=self.service_request.body,
            headers=self._headers(attempt_id, remaining, start_before),
            request_timeout=max(0.001, timeout),
        )
        try:
            response = await http_client.fetch(self.client, request, self.view.instance.name)
        except CodedError as error:
            raise NoVerifiedAnswerError(
                error.code, str(error), error.http_status, error.outcome
            ) from error
        # Recorded for refusals as well: an endpoint that refuses because it is leaving says so
        # in the status that its response carries.
        if self.placement is not None:
            self.placement.record_head(response.headers)
        return self._verify(attempt_id, response)

    def _headers(
        self, attempt_id: str, remaining: float, start_before: float | None
    ) -> dict[str, str]:
        request = self.service_request
        key = str(self.key) if self.key else ""
        call = (
            self.workspace,
            key,
            request.method,
            request.path,
            request.content_type,
            request.body,
        )
        fields = {
            "Content-Type": request.content_type,
            headers.FORWARDED_METHOD: request.method,
            headers.FORWARDED_PATH: request.path,
            headers.DEADLINE_MILLISECONDS: str(max(1, int(remaining * 1000))),
            headers.ATTEMPT_ID: attempt_id,
            headers.WORKSPACE: self.workspace,
            headers.CALL_DIGEST: digest_call(*call).hex(),
        }
        if self.key is None:
            fields[headers.IDEMPOTENT] = "1"
        else:
            fields[headers.CALL_KEY] = key
        if start_before is not None:
            fields[headers.START_BEFORE] = f"{start_before:.3f}"
        return fields

    def _verify(self, attempt_id: str, response: httpclient.HTTPResponse) -> ServiceReply:
        head = response.headers
        content_type = head.get("Content-Type", "")
        outcome = head.get(headers.OUTCOME, "")
        code = head.get(headers.ERROR_CODE, "")
        body = response.body or b""
        digest = digest_answer(attempt_id, response.code, content_type, outcome, code, body)
        # An answer to another attempt, or one corrupted on the way, proves nothing. If its
        # "not run" were believed, the call could run a second time elsewhere.
        if head.get(headers.ANSWER_DIGEST) != digest.hex():
            raise NoVerifiedAnswerError(
                "answer_crossed", "the answer does not match this attempt", 502, Outcome.UNKNOWN
            )
        if code:
            message = body.decode(errors="replace")
            raise CodedError(code, message, response.code, Outcome(outcome), retry_after=1.0)
        replayed = headers.IDEMPOTENT_REPLAYED in head
        retry_after = passed_on(head.get(headers.RETRY_AFTER, ""))
        return ServiceReply(response.code, content_type, body, replayed, retry_after)
