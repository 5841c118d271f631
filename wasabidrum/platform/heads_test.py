"""Tests of the headers of requests and answers."""

import unittest

from tornado import httputil

from ..core.listed_endpoint import ListedEndpoint
from . import names
from .heads import (
    MAX_SHARED_PARTS,
    read_reply,
    read_request,
    read_shared_parts,
    read_usage,
    write_forwarded,
    write_refusal,
)

ENDPOINT = ListedEndpoint("i-1", "s", "10.0.0.1", 80, "z")


def make_head(**more: str):
    """Returns the head of a caller's request with additional headers."""
    headers = httputil.HTTPHeaders({"Host": "A.example:8080", names.REQUEST_ID: "r1"})
    for name, value in more.items():
        headers.add(name.replace("_", "-"), value)
    start = httputil.RequestStartLine("POST", "/p/x?y=1", "HTTP/1.1")
    return read_request(start, headers)


def forward(head, **more: object) -> httputil.HTTPHeaders:
    """Returns the headers that the endpoint receives."""
    given = {"workspace": "", "seconds_left": 1.5, "body_bytes": 3, "last_event": ""}
    given |= {"weights": 0, "priority": None} | more
    return write_forwarded(head, ENDPOINT, **given)


class SharedPartsTest(unittest.TestCase):
    """The parts of a prompt that requests may share."""

    def test_the_last_part_is_none_of_them(self) -> None:
        head = make_head(Wasabidrum_Prompt_Prefix="5C1e07a2:800, 91bd3f06:410,e4402b7d:250")
        self.assertEqual(head.shared_parts, ("5c1e07a2", "91bd3f06"))

    def test_a_part_counts_once_and_their_number_is_bounded(self) -> None:
        text = ",".join(f"{number:x}:1" for number in range(100))
        self.assertEqual(len(read_shared_parts(text)), MAX_SHARED_PARTS)
        self.assertEqual(read_shared_parts("a:1,a:1,b:1"), ("a",))

    def test_a_header_that_cannot_be_read_names_no_parts(self) -> None:
        for text in ("", "a:1", "x:1,b:2", "a,b:2", "a:1,,b:2", "a:-1,b:2", "a" * 65 + ":1,b:2"):
            self.assertEqual(read_shared_parts(text), (), text)


class RequestTest(unittest.TestCase):
    """Requests from a caller to an endpoint."""

    def test_host_is_lower_case_without_port_and_path_without_query(self) -> None:
        head = make_head()
        self.assertEqual((head.host, head.path), ("a.example", "/p/x"))

    def test_a_key_is_read_and_not_forwarded(self) -> None:
        head = make_head(Authorization="Bearer k1")
        self.assertEqual(head.key, "k1")
        self.assertNotIn(names.AUTHORIZATION, forward(head, workspace="till"))
        self.assertEqual(forward(head, workspace="till")[names.TENANT], "till")

    def test_an_authorization_other_than_bearer_is_no_key(self) -> None:
        self.assertEqual(make_head(Authorization="Basic k1").key, "")

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        """A header that the caller lists in Connection applies to the caller's connection only.
        Forwarded, it would apply to the connection to the endpoint."""
        head = make_head(
            Connection="X-Hop, close", X_Hop="1", X_End="2", Transfer_Encoding="chunked"
        )
        forwarded = forward(head)
        self.assertNotIn("X-Hop", forwarded)
        self.assertNotIn("Transfer-Encoding", forwarded)
        self.assertEqual(forwarded["X-End"], "2")
        self.assertEqual(forwarded["Content-Length"], "3")

    def test_repeated_headers_are_forwarded_as_often(self) -> None:
        head = make_head()
        head.headers.add("X-Two", "1")
        head.headers.add("X-Two", "2")
        self.assertEqual(forward(head).get_list("X-Two"), ["1", "2"])

    def test_headers_set_by_this_system_replace_the_callers(self) -> None:
        head = make_head(**{names.EXPECT_INSTANCE: "i-9", names.EXPECT_VERSION: "1"})
        forwarded = forward(head, weights=4, last_event="7")
        self.assertEqual(forwarded[names.EXPECT_INSTANCE], "i-1")
        self.assertEqual(forwarded[names.EXPECT_VERSION], "4")
        self.assertEqual(forwarded[names.LAST_EVENT_ID], "7")
        self.assertEqual(forwarded[names.DEADLINE], "1500")

    def test_token_counts_that_are_not_numbers_are_zero(self) -> None:
        self.assertEqual(read_usage("1460,80"), (1460, 80))
        for text in ("", "1460", "a,b", "-1,2", "١,٢"):
            self.assertEqual(read_usage(text), (0, 0))


class ReplyTest(unittest.TestCase):
    """Answers from an endpoint to a caller."""

    def read(self, status: int, **more: str):
        """Reads the head of an answer with a status and headers."""
        headers = httputil.HTTPHeaders({name.replace("_", "-"): v for name, v in more.items()})
        return read_reply(httputil.ResponseStartLine("HTTP/1.1", status, "X"), headers)

    def test_only_the_header_or_status_421_say_not_executed(self) -> None:
        self.assertTrue(self.read(503, **{names.NOT_EXECUTED: "1"}).not_executed)
        self.assertTrue(self.read(421).not_executed)
        self.assertFalse(self.read(503).not_executed)
        self.assertFalse(self.read(500).not_executed)

    def test_hop_by_hop_headers_are_not_passed_to_the_caller(self) -> None:
        head = self.read(200, Connection="close", Content_Length="3", X_Own="1")
        self.assertEqual(dict(head.headers.get_all()), {"X-Own": "1"})

    def test_stated_limit_is_a_decimal_number_of_requests(self) -> None:
        for text, limit in (("1.5", 1.5), ("0", 0.0), ("20", 20.0)):
            self.assertEqual(self.read(200, **{names.STATED_LIMIT: text}).stated_limit, limit)
        for text in ("", "-1", "nan", "inf", "1e9", "1,5", "many", "1.5, 2.0"):
            head = self.read(200, **{names.STATED_LIMIT: text})
            self.assertEqual((head.states_limit, head.stated_limit), (True, None), text)
        self.assertFalse(self.read(200).states_limit)

    def test_cold_time_is_a_decimal_number_of_milliseconds(self) -> None:
        """Guards against an unreadable time that is taken for a warm endpoint."""
        for text, seconds in (("0", 0.0), ("2500", 2.5), ("12.5", 0.0125)):
            self.assertEqual(self.read(200, **{names.COLD_TIME: text}).cold_seconds, seconds)
        for text in ("", "-1", "nan", "soon", "1, 2"):
            self.assertIsNone(self.read(200, **{names.COLD_TIME: text}).cold_seconds, text)
        self.assertIsNone(self.read(200).cold_seconds)

    def test_only_the_value_1_announces_leaving(self) -> None:
        """Guards against an endpoint that loses all its requests for a header that denies it."""
        self.assertTrue(self.read(200, **{names.LEAVING: "1"}).leaving)
        for text in ("", "0", "no"):
            self.assertFalse(self.read(503, **{names.LEAVING: text}).leaving)
        self.assertFalse(self.read(200).leaving)

    def test_rest_is_a_decimal_number_of_seconds_in_a_503(self) -> None:
        """Guards against a number that float() takes and nobody means, and against a rest that is
        read from an answer that turns nothing away."""
        for text, seconds in (("3", 3.0), ("0.25", 0.25), ("0", 0.0), ("86400", 86400.0)):
            self.assertEqual(self.read(503, Retry_After=text).rest_seconds, seconds)
        date = "Fri, 04 Dec 2026 08:00:00 GMT"
        for text in ("", "-3", "nan", "inf", "1e9", "9" * 400, "3, 3", ".5", "soon", date):
            self.assertEqual(self.read(503, Retry_After=text).rest_seconds, 0.0, text)
        self.assertEqual(self.read(200, Retry_After="3").rest_seconds, 0.0)
        self.assertEqual(self.read(503).rest_seconds, 0.0)

    def test_retry_after_has_fractions_of_a_second(self) -> None:
        self.assertEqual(write_refusal("r1", 0.25)[names.RETRY_AFTER], "0.250")
        self.assertNotIn(names.RETRY_AFTER, write_refusal("r1", None))
