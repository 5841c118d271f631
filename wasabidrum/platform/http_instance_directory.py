"""HTTP client of the platform's list of instances."""

from tornado import httpclient

from ..core.decoding import decode_json
from ..core.errors import CodedError
from ..core.instance import InstanceList
from ..wire import http_client

READ_TIMEOUT_SECONDS = 5.0


class HttpInstanceDirectory:
    """Implements InstanceDirectory."""

    __slots__ = ("_client", "_url")

    def __init__(self, client: httpclient.AsyncHTTPClient, url: str) -> None:
        self._client = client
        self._url = url

    async def read(self) -> InstanceList:
        """See InstanceDirectory."""
        request = httpclient.HTTPRequest(self._url, request_timeout=READ_TIMEOUT_SECONDS)
        response = await http_client.fetch(self._client, request, "instance list")
        if response.code != 200:
            raise CodedError(
                "instances_unreadable", f"the instance list answered status {response.code}", 503
            )
        return decode_json(response.body, InstanceList, "instances_unreadable", 503)


def make_instance_directory(client: httpclient.AsyncHTTPClient, url: str) -> HttpInstanceDirectory:
    """Returns a client of the instance list at a URL."""
    return HttpInstanceDirectory(client, url)
