"""The whole path of published routes, through real sockets, against misbehaving endpoints."""

import asyncio
import unittest

from tornado.httputil import HTTPHeaders, RequestStartLine

from tests.listed_platform import (
    ListedFleet,
    answer_ok,
    make_configuration,
    refuse,
    reset,
    run_and_reset,
    stream_events,
)
from wasabidrum.core.boot_clock import boot_seconds
from wasabidrum.core.errors import CodedError
from wasabidrum.gateway.exchange import CallerExchange
from wasabidrum.platform import names
from wasabidrum.platform.heads import read_request

KEY = f"{names.AUTHORIZATION}: Bearer key-1"


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """One entry before two endpoints."""

    tenants = False

    async def asyncSetUp(self) -> None:
        self.fleet = ListedFleet()
        await self.fleet.start()
        await self.fleet.store.put(
            names.CONFIGURATION_KEY, make_configuration(7, "tally", tenants=self.tenants)
        )
        self.a = await self.fleet.add_endpoint("a", "tally")
        self.b = await self.fleet.add_endpoint("b", "tally")
        self.gateway = await self.fleet.add_gateway("entry-1")
        await self.fleet.wait_until(lambda: self.gateway.ready)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    def set_both(self, behave) -> None:
        """Has both endpoints behave alike."""
        self.a.behave = self.b.behave = behave

    def runs(self, request_id: str) -> int:
        """Returns how often a request ran."""
        return self.a.runs[request_id] + self.b.runs[request_id]


class ForwardingTest(GatewayCase):
    """What reaches endpoints and callers."""

    async def test_a_request_is_passed_on_unchanged_and_its_answer_too(self) -> None:
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1", "X-Own: 1", body=b"charge")
        seen = (self.a.seen + self.b.seen)[0]
        self.assertEqual(
            (seen.method, seen.target, seen.body), ("POST", "/unsafe/a?b=c", b"charge")
        )
        self.assertEqual(seen.headers["x-own"], "1")
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.headers[names.SIGNATURE.lower()], reply.body.decode())

    async def test_the_endpoint_is_named_and_told_what_time_is_left(self) -> None:
        await self.fleet.ask(0, "tally", "safe", "r1")
        endpoint = self.a if self.a.seen else self.b
        seen = endpoint.seen[0]
        self.assertEqual(seen.headers[names.EXPECT_INSTANCE.lower()], endpoint.id)
        self.assertLessEqual(int(seen.headers[names.DEADLINE.lower()]), 1500)

    async def test_what_a_caller_says_of_itself_is_not_passed_on(self) -> None:
        """A caller sends the header that tells endpoints whose key it showed. Passed on, it
        would be billed to whomever the caller names."""
        forged = f"{names.TENANT}: somebody"
        await self.fleet.ask(0, "tally", "safe", "r1", forged, KEY)
        seen = (self.a.seen + self.b.seen)[0]
        self.assertNotIn(names.TENANT.lower(), seen.headers)
        self.assertNotIn(names.AUTHORIZATION.lower(), seen.headers)

    async def test_an_unknown_path_is_not_found_and_reaches_nobody(self) -> None:
        reply = await self.fleet.ask(0, "tally", "nothing", "r1")
        self.assertEqual(reply.status, 404)
        self.assertEqual(self.a.seen + self.b.seen, [])

    async def test_a_body_that_is_too_long_is_refused(self) -> None:
        reply = await self.fleet.ask(0, "tally", "safe", "r1", body=b"x" * 100_001)
        self.assertEqual(reply.status, 413)
        self.assertEqual(self.runs("r1"), 0)


class OutcomeTest(GatewayCase):
    """At most once, and honest about it."""

    async def test_a_charge_whose_answer_is_lost_is_not_sent_again(self) -> None:
        """An endpoint runs a charge and its connection is reset before the answer. Sent to
        the other endpoint the charge would run twice; told "not run", its caller would do it."""
        self.set_both(run_and_reset)
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual(reply.status, 502)
        self.assertEqual(self.runs("r1"), 1)

    async def test_a_charge_that_was_refused_goes_to_the_other_endpoint(self) -> None:
        self.a.behave = refuse
        for number in range(6):
            reply = await self.fleet.ask(0, "tally", "unsafe", f"r{number}")
            self.assertEqual((reply.status, reply.body), (200, b"b"))
            self.assertEqual(self.runs(f"r{number}"), 1)

    async def test_where_all_refuse_the_caller_is_told_when_to_come_back(self) -> None:
        self.set_both(refuse)
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["retry-after"]), 0.0)
        self.assertNotIn(names.SIGNATURE.lower(), reply.headers)

    async def test_a_read_goes_on_at_the_other_endpoint_after_a_loss(self) -> None:
        self.a.behave = run_and_reset
        for number in range(4):
            reply = await self.fleet.ask(0, "tally", "safe", f"r{number}")
            self.assertEqual((reply.status, reply.body), (200, b"b"))

    async def test_a_dead_endpoint_costs_a_charge_nothing(self) -> None:
        """An endpoint's process is gone and the platform still lists it. A connection that
        is refused proves that nothing was sent, and the other endpoint runs the charge."""
        await self.a.stop()
        for number in range(4):
            reply = await self.fleet.ask(0, "tally", "unsafe", f"r{number}")
            self.assertEqual((reply.status, reply.body), (200, b"b"))

    async def test_another_requests_answer_is_not_passed_on(self) -> None:
        """A faulty endpoint answers with the id of another request. Passed on, a caller would
        read somebody else's balance."""

        async def crossed(endpoint, seen, writer) -> None:
            other = seen.headers | {names.REQUEST_ID.lower(): "another"}
            seen.headers = other
            await answer_ok(endpoint, seen, writer)

        self.set_both(crossed)
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual(reply.status, 502)
        self.assertNotIn(names.SIGNATURE.lower(), reply.headers)

    async def test_a_success_without_signature_is_not_passed_on(self) -> None:
        async def unsigned(endpoint, seen, writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await writer.drain()

        self.set_both(unsigned)
        reply = await self.fleet.ask(0, "tally", "safe", "r1")
        self.assertEqual(reply.status, 502)

    async def test_half_a_body_is_not_an_answer(self) -> None:
        """An endpoint declares a length and ends its connection before. Half a balance would
        look like a whole one."""

        async def short(endpoint, seen, writer) -> None:
            body = f"HTTP/1.1 200 OK\r\n{names.SIGNATURE}: a\r\nContent-Length: 9\r\n\r\nhalf"
            writer.write(body.encode())
            await writer.drain()

        self.set_both(short)
        reply = await self.fleet.ask(0, "tally", "safe", "r1")
        self.assertEqual(reply.status, 502)

    async def test_an_answer_without_a_length_that_was_reset_is_not_whole(self) -> None:
        """An answer that ends with its connection looks the same where the connection was
        reset halfway, but for the reset itself."""

        async def unframed(endpoint, seen, writer) -> None:

            writer.write(f"HTTP/1.1 200 OK\r\n{names.SIGNATURE}: a\r\n\r\nhalf".encode())
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        self.set_both(unframed)
        reply = await self.fleet.ask(0, "tally", "safe", "r1")
        self.assertEqual(reply.status, 502)

    async def test_a_second_answer_on_a_connection_is_dropped(self) -> None:
        async def twice(endpoint, seen, writer) -> None:
            await answer_ok(endpoint, seen, writer)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
            await writer.drain()

        self.set_both(twice)
        for number in range(4):
            reply = await self.fleet.ask(0, "tally", "safe", f"r{number}")
            self.assertIn(reply.body, (b"a", b"b"))

    async def test_a_request_that_is_never_answered_ends_at_its_routes_time(self) -> None:
        async def hang(endpoint, seen, writer) -> None:
            await asyncio.sleep(60)

        self.set_both(hang)
        began = asyncio.get_running_loop().time()
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual(reply.status, 504)
        self.assertLess(asyncio.get_running_loop().time() - began, 1.9)

    async def test_an_endpoint_that_hangs_gets_nothing_more(self) -> None:
        """An endpoint takes requests and never answers, though it is registered as ready.
        Until the first of them are overdue, everyone who is sent there waits for nothing."""

        async def hang(endpoint, seen, writer) -> None:
            await asyncio.sleep(3600)

        self.a.behave = hang
        waiting = [
            asyncio.ensure_future(self.fleet.ask(0, "tally", "safe", f"w{n}")) for n in range(6)
        ]
        await asyncio.sleep(0.9)
        before = len(self.a.seen)
        self.assertGreater(before, 0)
        later = [
            asyncio.ensure_future(self.fleet.ask(0, "tally", "safe", f"r{n}")) for n in range(10)
        ]
        await asyncio.gather(*later, *waiting)
        # One may be sent to find out whether it answers again.
        self.assertLessEqual(len(self.a.seen) - before, 1)

    async def test_work_ends_when_its_caller_leaves(self) -> None:
        """A caller closes its connection. Left alone, an endpoint works on for nobody while
        others wait for its slots."""

        async def hang(endpoint, seen, writer) -> None:
            await asyncio.sleep(60)

        self.set_both(hang)
        with self.assertRaises(TimeoutError):
            await self.fleet.ask(0, "tally", "unsafe", "r1", seconds=0.2)
        await self.fleet.wait_until(lambda: self.a.closed_early + self.b.closed_early == 1, 1.0)

    async def test_a_request_whose_caller_left_is_not_delivered_later(self) -> None:
        """An endpoint's link is full, and a request waits there unacknowledged when its caller
        leaves. Closed as usual, the system would deliver it seconds later, and the endpoint
        would work for nobody; the connection is reset, which drops it."""
        ended = []

        async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            try:
                await reader.read()
                ended.append("closed")
            except ConnectionResetError:
                ended.append("reset")
            writer.close()

        server = await asyncio.start_server(watch, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        for endpoint in (self.a, self.b):
            entry = endpoint.entry(address=f"127.0.0.1:{port}")
            await self.fleet.store.put(f"servers/{endpoint.id}", entry)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: {e.port for e in endpoints.endpoints} == {port})
        with self.assertRaises(TimeoutError):
            await self.fleet.ask(0, "tally", "unsafe", "r1", seconds=0.2)
        await self.fleet.wait_until(lambda: bool(ended), 2.0)
        server.close()
        self.assertEqual(ended, ["reset"])

    async def test_a_request_that_kills_endpoints_is_stopped(self) -> None:
        """One request crashes each endpoint that runs it, and its caller sends it again and
        again. After two deaths it is refused, and nobody else loses an endpoint to it."""
        self.set_both(run_and_reset)
        for number in range(4):
            await self.fleet.ask(0, "tally", "safe", f"r{number}", body=b"poison")
        self.assertEqual(sum(self.a.runs.values()) + sum(self.b.runs.values()), 2)
        self.set_both(answer_ok)
        reply = await self.fleet.ask(0, "tally", "safe", "r9", body=b"harmless")
        self.assertEqual(reply.status, 200)


class StreamTest(GatewayCase):
    """Streams that break off, and go on elsewhere."""

    def expected(self, last: int) -> bytes:
        """Returns the events up to the last."""
        return b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, last + 1))

    async def test_a_whole_stream_is_passed_on(self) -> None:
        self.set_both(stream_events(1, 9))
        reply = await self.fleet.ask(0, "tally", "streaming", "r1")
        self.assertEqual((reply.whole, reply.body), (True, self.expected(9)))

    async def test_a_stream_that_breaks_off_goes_on_at_the_other_endpoint(self) -> None:
        """An endpoint dies in the middle of an event. The other goes on after the last whole
        one, and the caller reads one stream with nothing missing and nothing twice."""
        self.set_both(stream_events(1, 9, cut_after=4, half=True))
        whole = stream_events(1, 9)

        async def go_on(endpoint, seen, writer) -> None:
            resumed = names.LAST_EVENT_ID.lower() in seen.headers
            cut = stream_events(1, 9, cut_after=4, half=True)
            await (whole if resumed else cut)(endpoint, seen, writer)

        self.set_both(go_on)
        reply = await self.fleet.ask(0, "tally", "streaming", "r1")
        self.assertEqual((reply.status, reply.whole), (200, True))
        self.assertEqual(reply.body, self.expected(9))
        self.assertEqual((self.a.runs["r1"], self.b.runs["r1"]), (1, 1))

    async def test_a_stream_that_nobody_goes_on_with_does_not_look_whole(self) -> None:
        self.set_both(stream_events(1, 9, cut_after=4))
        reply = await self.fleet.ask(0, "tally", "streaming", "r1")
        self.assertFalse(reply.whole)
        self.assertEqual(reply.body, self.expected(4))

    async def test_a_caller_that_resumes_is_sent_what_it_lacks(self) -> None:
        self.set_both(stream_events(1, 9))
        after = f"{names.LAST_EVENT_ID}: 6"
        reply = await self.fleet.ask(0, "tally", "streaming", "r1", after)
        self.assertEqual(reply.body, self.expected(9)[len(self.expected(6)) :])


class DiscoveryTest(GatewayCase):
    """Endpoints that come, leave and are written by others."""

    async def test_one_that_is_leaving_gets_nothing_new(self) -> None:
        await self.fleet.store.put("servers/a", self.a.entry(state="draining"))
        await self.fleet.wait_until(lambda: self.gateway.state.endpoints.get("a").leaving)
        for number in range(6):
            await self.fleet.ask(0, "tally", "safe", f"r{number}")
        self.assertEqual(self.a.seen, [])

    async def test_entries_that_cannot_be_read_disturb_nothing(self) -> None:
        """Another writer puts entries into the store that lack fields or have others' types.
        They name nobody, and those that are sound go on."""
        await self.fleet.store.put("servers/x", b"\xff\x00")
        await self.fleet.store.put("servers/y", {"service": "tally", "slots": "many"})
        await self.fleet.store.put("servers/z", self.a.entry(state="resting"))
        await self.fleet.store.put("servers/b", self.b.entry(slots=5))
        await self.fleet.wait_until(lambda: self.gateway.state.endpoints.get("b").slots == 5)
        self.assertEqual({e.id for e in self.gateway.state.endpoints.endpoints}, {"a", "b"})
        self.assertEqual((await self.fleet.ask(0, "tally", "safe", "r1")).status, 200)

    async def test_a_store_that_drops_its_history_is_read_again(self) -> None:
        self.fleet.store.history_from = 10**6
        await self.fleet.store.delete("servers/a")
        await self.fleet.wait_until(lambda: self.gateway.state.endpoints.get("a") is None)

    async def test_an_old_configuration_does_not_come_back(self) -> None:
        """A store that was restored offers a version from before. In force again, it would
        undo an operator's change."""
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(9, "tally"))
        await self.fleet.wait_until(lambda: self.gateway.state.version == 9)
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(8, "other"))
        await self.fleet.store.put("servers/b", self.b.entry(slots=5))
        await self.fleet.wait_until(lambda: self.gateway.state.endpoints.get("b").slots == 5)
        self.assertEqual(self.gateway.state.version, 9)


class KeyTest(GatewayCase):
    """Keys that are given, taken away, and judged on old evidence."""

    tenants = True

    async def test_a_known_key_names_its_workspace_and_stays_here(self) -> None:
        reply = await self.fleet.ask(0, "tally", "safe", "r1", KEY)
        seen = (self.a.seen + self.b.seen)[0]
        self.assertEqual(reply.status, 200)
        self.assertEqual(seen.headers[names.TENANT.lower()], "till")
        self.assertNotIn(names.AUTHORIZATION.lower(), seen.headers)

    async def test_an_unknown_key_is_refused(self) -> None:
        bad = f"{names.AUTHORIZATION}: Bearer nobody"
        self.assertEqual((await self.fleet.ask(0, "tally", "safe", "r1", bad)).status, 401)
        self.assertEqual((await self.fleet.ask(0, "tally", "safe", "r2")).status, 401)

    async def test_no_key_is_believed_on_evidence_that_is_too_old(self) -> None:
        """The store is silent. A key may have been taken away meanwhile, so that after the
        bound no key passes, good or bad, and the caller is told to come back."""
        self.fleet.store.fault = "hang"
        lease = self.gateway.state.lease
        await self.fleet.wait_until(lambda: not lease.is_valid(boot_seconds()), 8.0)
        self.assertFalse(self.gateway.ready)
        reply = await self.fleet.ask(0, "tally", "safe", "r1", KEY)
        self.assertEqual(reply.status, 503)
        bad = f"{names.AUTHORIZATION}: Bearer nobody"
        self.assertEqual((await self.fleet.ask(0, "tally", "safe", "r2", bad)).status, 503)
        self.fleet.store.fault = ""
        await self.fleet.wait_until(lambda: self.gateway.ready, 6.0)
        self.assertEqual((await self.fleet.ask(0, "tally", "safe", "r3", KEY)).status, 200)


class RelayTest(GatewayCase):
    """Entries that the store turns away, beside one that it serves."""

    tenants = True

    async def test_an_entry_that_the_store_turns_away_hears_of_changes_from_another(self) -> None:
        """The store answers one entry and not the other. Alone, the other would refuse every
        key within seconds, and send to endpoints that have left; it asks the first."""
        second = await self.fleet.add_gateway("entry-2")
        await self.fleet.wait_until(lambda: second.ready)
        second._follower._store._url = "http://127.0.0.1:9"
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(9, "tally"))
        await self.fleet.store.delete("servers/a")
        await self.fleet.wait_until(lambda: second.state.version == 9, 6.0)
        await self.fleet.wait_until(lambda: second.ready, 4.0)
        await asyncio.sleep(5.0)
        self.assertTrue(second.ready)
        self.assertEqual((await self.fleet.ask(1, "tally", "safe", "r1")).body, b"b")

    async def test_a_request_that_kills_endpoints_is_stopped_at_every_entry(self) -> None:
        """A caller sends a request that crashes endpoints to one entry after the other. Were
        each to learn it alone, it would cost two endpoints at every one."""
        second = await self.fleet.add_gateway("entry-2")
        await self.fleet.wait_until(lambda: second.ready)
        await self.fleet.wait_until(lambda: self.gateway.peers.count == 2, 6.0)
        self.set_both(run_and_reset)
        await self.fleet.ask(0, "tally", "safe", "r1", KEY, body=b"poison")
        await self.fleet.wait_until(lambda: len(second.poison_guard) == 1, 2.0)
        await self.fleet.ask(1, "tally", "safe", "r2", KEY, body=b"poison")
        self.assertEqual(self.runs("r1") + self.runs("r2"), 2)


class LeavingTest(GatewayCase):
    """A planned stop of an entry."""

    async def test_what_is_in_progress_ends_whole_and_new_work_goes_elsewhere(self) -> None:
        async def slow(endpoint, seen, writer) -> None:
            await asyncio.sleep(0.8)
            await answer_ok(endpoint, seen, writer)

        self.set_both(slow)
        asking = asyncio.ensure_future(self.fleet.ask(0, "tally", "unsafe", "r1"))
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.gateway.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(self.gateway.ready)
        self.assertEqual((await asking).status, 200)
        self.fleet.gateways.clear()
        await stopping

    async def test_what_comes_after_the_balancers_notice_is_refused_as_not_run(self) -> None:
        """Callers keep connections to an entry that is stopped, and send on them until it is
        gone. Taken in its last seconds, a long answer would be cut in the middle."""
        stopping = asyncio.ensure_future(self.gateway.stop())
        await self.fleet.wait_until(lambda: not self.gateway.accepts_requests, 5.0)
        exchange = CallerExchange(self.gateway, None)
        exchange._head = read_request(RequestStartLine("POST", "/safe/a", ""), HTTPHeaders())
        with self.assertRaises(CodedError) as caught:
            await exchange._serve(exchange._head)
        self.assertEqual(
            (caught.exception.code, caught.exception.http_status), ("entry_leaving", 503)
        )
        self.assertEqual(self.a.seen + self.b.seen, [])
        self.fleet.gateways.clear()
        await stopping
