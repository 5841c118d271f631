"""Tests of the routes for events and metrics."""

import unittest
import unittest.mock

from tornado import httpclient, testing, web

from .event_log import make_event_log
from .routes import make_routes


class RoutesTest(testing.AsyncHTTPTestCase):
    """The routes on a server of their own."""

    def get_app(self) -> web.Application:
        """See AsyncHTTPTestCase."""
        log = make_event_log("e", "")
        return web.Application(make_routes(log), log_function=lambda handler: None)

    def test_requests_end_without_an_exception(self) -> None:
        """Guards against a handler whose attributes hide what Tornado calls when it has answered:
        each scrape logged an exception and left its handler unfinished."""
        on_finish = unittest.mock.patch.object(web.RequestHandler, "on_finish")
        with on_finish as finished, self.assertNoLogs("tornado.application"):
            for method, path, status in (
                ("GET", "/metrics", 200),
                ("GET", "/internal/events?request=r1", 200),
                ("DELETE", "/metrics", 405),
            ):
                response: httpclient.HTTPResponse = self.fetch(path, method=method)
                self.assertEqual(response.code, status)
        self.assertEqual(finished.call_count, 3)


if __name__ == "__main__":
    unittest.main()
