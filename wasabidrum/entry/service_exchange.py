"""One copy of a call on its way to a sidecar and back, and what its end proves."""

import dataclasses
import secrets

from tornado import httpclient

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions.idempotency_key import IdempotencyKey
from ..endpoints.service_reply import ServiceReply
from ..outcomes.call_digest import digest_answer, digest_call
from ..wire import headers, http_client
from .endpoint_table import EndpointView
from .placement import Placement
from .service_order import ServiceOrder


class NotToldError(CodedError):
    """A copy ended without a word of the sidecar that can be trusted.

    The outcome is NOT_RUN where this copy was never sent, which says nothing of others.
    """

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceExchange:
    """What every copy of one call to one endpoint has in common."""

    client: httpclient.AsyncHTTPClient
    view: EndpointView
    order: ServiceOrder
    workspace: str
    request_id: str
    key: IdempotencyKey | None
    placement: Placement | None

    async def send(
        self, remaining: float, patience: float, start_before: float | None
    ) -> ServiceReply:
        """Sends one copy and returns the whole answer.

        Args:
          remaining: Seconds until the caller stops waiting.
          patience: Seconds after which this copy is given up.
          start_before: The sidecar's uptime at the caller's deadline. Without it a call that
            the sidecar has not seen never starts.

        Raises:
          NotToldError: The copy was not sent, or was lost, or its answer was.
          CodedError: The sidecar told the outcome, which is proved.
        """
        attempt_id = f"{self.request_id}.{secrets.token_hex(6)}"
        request = httpclient.HTTPRequest(
            self.view.url + "/internal/service",
            method="POST",
            body=self.order.body,
            headers=self._headers(attempt_id, remaining, start_before),
            request_timeout=max(0.001, patience),
        )
        try:
            response = await http_client.fetch(self.client, request, self.view.instance.name)
        except CodedError as error:
            raise NotToldError(error.code, str(error), error.http_status, error.outcome) from error
        # Also from a refusal: an endpoint that refuses as it leaves says so in its status.
        if self.placement is not None:
            self.placement.head_arrived(response.headers)
        return self._judge(attempt_id, response)

    def _headers(
        self, attempt_id: str, remaining: float, start_before: float | None
    ) -> dict[str, str]:
        order = self.order
        key = str(self.key) if self.key else ""
        call = (self.workspace, key, order.method, order.path, order.content_type, order.body)
        given = {
            "Content-Type": order.content_type,
            headers.FORWARDED_METHOD: order.method,
            headers.FORWARDED_PATH: order.path,
            headers.DEADLINE_MILLISECONDS: str(max(1, int(remaining * 1000))),
            headers.ATTEMPT_ID: attempt_id,
            headers.WORKSPACE: self.workspace,
            headers.CALL_DIGEST: digest_call(*call).hex(),
        }
        if self.key is None:
            given[headers.IDEMPOTENT] = "1"
        else:
            given[headers.CALL_KEY] = key
        if start_before is not None:
            given[headers.START_BEFORE] = f"{start_before:.3f}"
        return given

    def _judge(self, attempt_id: str, response: httpclient.HTTPResponse) -> ServiceReply:
        told = response.headers
        content_type = told.get("Content-Type", "")
        outcome = told.get(headers.OUTCOME, "")
        code = told.get(headers.ERROR_CODE, "")
        body = response.body or b""
        digest = digest_answer(attempt_id, response.code, content_type, outcome, code, body)
        # An answer of another attempt, or one that a link changed, proves nothing. Believing
        # its "not run" would lead to a second run elsewhere.
        if told.get(headers.ANSWER_DIGEST) != digest.hex():
            raise NotToldError("answer_crossed", "not this attempt's", 502, Outcome.UNKNOWN)
        if code:
            message = body.decode(errors="replace")
            raise CodedError(code, message, response.code, Outcome(outcome), retry_after=1.0)
        replayed = headers.IDEMPOTENT_REPLAYED in told
        return ServiceReply(response.code, content_type, body, replayed)
