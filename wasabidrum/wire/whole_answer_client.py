"""An HTTP client that takes no answer for whole whose connection was reset.

An answer without a length ends with its connection. The library takes any end of it for that of the
answer, so that one that was broken off would be passed on as whole.
"""

from tornado import httpclient, simple_httpclient

FIRST_FINAL_STATUS = 200
FRAMING_HEADERS = ("Content-Length", "Transfer-Encoding")


class WholeAnswerConnection(simple_httpclient._HTTPConnection):
    """The exchange of one request and its answer."""

    def finish(self) -> None:
        """Ends the exchange, with an error if the answer was broken off; see HTTPMessageDelegate.

        The library also calls this after an interim answer whose final one never came.
        """
        error = self.stream.error
        if self.code is None or self.code < FIRST_FINAL_STATUS:
            error = error or simple_httpclient.HTTPStreamClosedError("no final answer")
        elif any(name in self.headers for name in FRAMING_HEADERS):
            error = None
        if error is None:
            super().finish()
        else:
            self._handle_exception(type(error), error, error.__traceback__)


class WholeAnswerClient(simple_httpclient.SimpleAsyncHTTPClient):
    """See the module."""

    def _connection_class(self) -> type:
        return WholeAnswerConnection


def make_whole_answer_client(**options: object) -> httpclient.AsyncHTTPClient:
    """Returns a client of its own with the library's options."""
    return WholeAnswerClient(force_instance=True, **options)
