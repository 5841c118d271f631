"""HTTP client of the configuration service: a long poll with the revision in a header."""

from tornado import httpclient

from ..core.config_value import ConfigValue
from ..core.digest import digest_of
from ..core.errors import CodedError
from ..wire import http_client

REVISION_HEADER = "X-Revision"
READ_TIMEOUT_SECONDS = 5.0
MAX_VALUE_BYTES = 1_048_576


class HttpConfigurationService:
    """Implements ConfigurationService."""

    __slots__ = ("_client", "_url")

    def __init__(self, client: httpclient.AsyncHTTPClient, url: str) -> None:
        self._client = client
        self._url = url

    async def read(self) -> ConfigValue:
        """See ConfigurationService."""
        value = await self._get(self._url, READ_TIMEOUT_SECONDS)
        if value is None:
            raise CodedError(
                "configuration_missing", "the configuration service has no value yet", 503
            )
        return value

    async def watch(self, after: int, wait_seconds: float) -> ConfigValue | None:
        """See ConfigurationService."""
        # The extra time lets a healthy service answer 304 at the end of the wait. Without the
        # timeout, a connection that hangs open would cut this process off from all changes.
        url = f"{self._url}?after={after}&wait={wait_seconds}"
        return await self._get(url, wait_seconds + READ_TIMEOUT_SECONDS)

    async def _get(self, url: str, timeout: float) -> ConfigValue | None:
        request = httpclient.HTTPRequest(url, request_timeout=timeout)
        response = await http_client.fetch(self._client, request, "configuration service")
        if response.code == 304:
            return None
        if response.code != 200:
            raise CodedError(
                "configuration_unreadable",
                f"the configuration service answered status {response.code}",
                503,
            )
        if len(response.body) > MAX_VALUE_BYTES:
            raise CodedError("configuration_too_large", f"{len(response.body)} bytes", 503)
        revision = response.headers.get(REVISION_HEADER, "")
        if not revision.isdecimal():
            raise CodedError("configuration_unreadable", f"invalid revision {revision!r}", 503)
        return ConfigValue(int(revision), digest_of(response.body), response.body)


def make_configuration_service(
    client: httpclient.AsyncHTTPClient, url: str
) -> HttpConfigurationService:
    """Returns a client of the configuration service at a URL."""
    return HttpConfigurationService(client, url)
