"""Client of a plain service over HTTP."""

from tornado import httpclient

from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..wire import headers as names
from ..wire import http_client
from ..wire.retry_after import passed_on
from .service_reply import ServiceReply


class HttpPlainService:
    """Implements PlainService over HTTP."""

    __slots__ = ("_client", "_url")

    def __init__(self, client: httpclient.AsyncHTTPClient, url: str) -> None:
        self._client = client
        self._url = url

    async def call(
        self, method: str, path: str, headers: dict[str, str], body: bytes, timeout: float
    ) -> ServiceReply:
        """See PlainService."""
        request = httpclient.HTTPRequest(
            self._url + path,
            method=method,
            headers=headers,
            body=body or None,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            request_timeout=timeout,
        )
        try:
            response = await http_client.fetch(self._client, request, "service")
        except CodedError as error:
            code = "service_down" if error.outcome is Outcome.NOT_RUN else "service_lost"
            raise CodedError(code, str(error), 502, error.outcome) from error
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        retry_after = passed_on(response.headers.get(names.RETRY_AFTER, ""))
        return ServiceReply(response.code, content_type, response.body, retry_after=retry_after)


def make_plain_service(client: httpclient.AsyncHTTPClient, url: str) -> HttpPlainService:
    """Returns a client of the service at a base URL."""
    return HttpPlainService(client, url)
