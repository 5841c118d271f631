"""End-to-end tests of published routes over real sockets, with misbehaving endpoints."""

import asyncio
from unittest import mock

from tornado.httputil import HTTPHeaders, RequestStartLine

from tests.fake_platform import (
    PlatformFleet,
    answer_ok,
    make_configuration,
    refuse,
    reset,
    run_and_reset,
    stream_events,
)
from tests.paused_clock import PausedClockCase
from wasabidrum.core.boot_clock import boot_seconds
from wasabidrum.core.errors import CodedError
from wasabidrum.gateway.entry_peers import EntryPeers
from wasabidrum.gateway.exchange import CallerExchange
from wasabidrum.platform import names
from wasabidrum.platform.heads import read_request

KEY = f"{names.AUTHORIZATION}: Bearer key-1"


class GatewayCase(PausedClockCase):
    """One entry with two endpoints behind it."""

    tenants = False

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
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

    def set_both(self, handler) -> None:
        """Sets the same handler for both endpoints."""
        self.a.handler = self.b.handler = handler

    def runs(self, request_id: str) -> int:
        """Returns how many times a request ran on either endpoint."""
        return self.a.runs[request_id] + self.b.runs[request_id]


class ForwardingTest(GatewayCase):
    """What an entry forwards to endpoints and returns to callers."""

    async def test_request_and_response_are_forwarded_unchanged(self) -> None:
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1", "X-Own: 1", body=b"charge")
        request = (self.a.received + self.b.received)[0]
        self.assertEqual(
            (request.method, request.target, request.body), ("POST", "/unsafe/a?b=c", b"charge")
        )
        self.assertEqual(request.headers["x-own"], "1")
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.headers[names.SIGNATURE.lower()], reply.body.decode())

    async def test_expected_instance_and_remaining_time_are_sent_to_endpoint(self) -> None:
        await self.fleet.ask(0, "tally", "safe", "r1")
        endpoint = self.a if self.a.received else self.b
        request = endpoint.received[0]
        self.assertEqual(request.headers[names.EXPECT_INSTANCE.lower()], endpoint.id)
        self.assertLessEqual(int(request.headers[names.DEADLINE.lower()]), 1500)

    async def test_workspace_header_from_caller_is_not_forwarded(self) -> None:
        """A caller forges the header that tells an endpoint which workspace's key was presented. If
        the entry forwarded it, the request would be billed to any workspace the caller chose."""
        forged = f"{names.TENANT}: somebody"
        await self.fleet.ask(0, "tally", "safe", "r1", forged, KEY)
        request = (self.a.received + self.b.received)[0]
        self.assertNotIn(names.TENANT.lower(), request.headers)
        self.assertNotIn(names.AUTHORIZATION.lower(), request.headers)

    async def test_unknown_path_is_not_found_and_reaches_no_endpoint(self) -> None:
        reply = await self.fleet.ask(0, "tally", "nothing", "r1")
        self.assertEqual(reply.status, 404)
        self.assertEqual(self.a.received + self.b.received, [])

    async def test_too_large_body_is_refused(self) -> None:
        reply = await self.fleet.ask(0, "tally", "safe", "r1", body=b"x" * 100_001)
        self.assertEqual(reply.status, 413)
        self.assertEqual(self.runs("r1"), 0)

    async def test_request_within_the_published_limits(self) -> None:
        """Guards against a request that the published limits allow and that is refused, or gets no
        answer, as it exceeds the default ones by far."""
        configuration = make_configuration(8, "tally")
        configuration["limits"] = {"maxHeaderBytes": 65_536, "maxBodyBytes": 33_554_432}
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        await self.fleet.wait_until(lambda: self.gateway.state.version == 8)
        for request_id, lines, body in (
            ("r1", ["X-Own: " + "x" * 40_000], b"x"),
            ("r2", [], b"x" * 17_000_000),
        ):
            with self.subTest(request_id):
                reply = await self.fleet.ask(0, "tally", "safe", request_id, *lines, body=body)
                self.assertEqual(reply.status, 200)

    async def test_deadline_that_is_no_sensible_number(self) -> None:
        """Guards against a head that cannot be read and whose connection is closed unanswered."""
        reply = await self.fleet.ask(0, "tally", "safe", "r1", deadline_ms="9" * 5_000)
        self.assertTrue(reply.whole)


class OutcomeTest(GatewayCase):
    """A request that is not idempotent runs at most once, and its caller is told the true
    outcome."""

    async def test_charge_is_not_retried_after_its_response_is_lost(self) -> None:
        """An endpoint runs a charge and its connection is reset before the response. If the entry
        retried on the other endpoint, the charge would run twice; if it reported "not run", the
        caller would retry, with the same result."""
        self.set_both(run_and_reset)
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual(reply.status, 502)
        self.assertEqual(self.runs("r1"), 1)

    async def test_refused_charge_is_retried_on_other_endpoint(self) -> None:
        self.a.handler = refuse
        for number in range(6):
            reply = await self.fleet.ask(0, "tally", "unsafe", f"r{number}")
            self.assertEqual((reply.status, reply.body), (200, b"b"))
            self.assertEqual(self.runs(f"r{number}"), 1)

    async def test_caller_gets_retry_after_when_all_endpoints_refuse(self) -> None:
        self.set_both(refuse)
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["retry-after"]), 0.0)
        self.assertNotIn(names.SIGNATURE.lower(), reply.headers)

    async def test_read_is_retried_on_other_endpoint_after_reset(self) -> None:
        self.a.handler = run_and_reset
        for number in range(4):
            reply = await self.fleet.ask(0, "tally", "safe", f"r{number}")
            self.assertEqual((reply.status, reply.body), (200, b"b"))

    async def test_charge_succeeds_on_other_endpoint_when_one_is_down(self) -> None:
        """An endpoint's process has exited, but the platform still lists it. A refused connection
        proves that nothing was sent, so the other endpoint can run the charge."""
        await self.a.stop()
        for number in range(4):
            reply = await self.fleet.ask(0, "tally", "unsafe", f"r{number}")
            self.assertEqual((reply.status, reply.body), (200, b"b"))

    async def test_response_with_wrong_request_id_is_not_forwarded(self) -> None:
        """A faulty endpoint responds with the id of another request. If the response were
        forwarded, a caller would read another caller's balance."""

        async def crossed(endpoint, request, writer) -> None:
            other = request.headers | {names.REQUEST_ID.lower(): "another"}
            request.headers = other
            await answer_ok(endpoint, request, writer)

        self.set_both(crossed)
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual(reply.status, 502)
        self.assertNotIn(names.SIGNATURE.lower(), reply.headers)

    async def test_success_without_signature_is_not_forwarded(self) -> None:
        async def unsigned(endpoint, request, writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await writer.drain()

        self.set_both(unsigned)
        reply = await self.fleet.ask(0, "tally", "safe", "r1")
        self.assertEqual(reply.status, 502)

    async def test_truncated_body_is_an_error(self) -> None:
        """An endpoint declares a content length and closes its connection before sending all of it.
        The caller must not take a truncated balance for a complete one."""

        async def short(endpoint, request, writer) -> None:
            body = f"HTTP/1.1 200 OK\r\n{names.SIGNATURE}: a\r\nContent-Length: 9\r\n\r\nhalf"
            writer.write(body.encode())
            await writer.drain()

        self.set_both(short)
        reply = await self.fleet.ask(0, "tally", "safe", "r1")
        self.assertEqual(reply.status, 502)

    async def test_reset_of_response_without_length_is_an_error(self) -> None:
        """A response without a length ends when its connection closes. A truncated one differs from
        a complete one only in that the connection was reset."""

        async def unframed(endpoint, request, writer) -> None:

            writer.write(f"HTTP/1.1 200 OK\r\n{names.SIGNATURE}: a\r\n\r\nhalf".encode())
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        self.set_both(unframed)
        reply = await self.fleet.ask(0, "tally", "safe", "r1")
        self.assertEqual(reply.status, 502)

    async def test_unsolicited_second_response_is_discarded(self) -> None:
        async def twice(endpoint, request, writer) -> None:
            await answer_ok(endpoint, request, writer)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
            await writer.drain()

        self.set_both(twice)
        for number in range(4):
            reply = await self.fleet.ask(0, "tally", "safe", f"r{number}")
            self.assertIn(reply.body, (b"a", b"b"))

    async def test_unanswered_request_ends_at_route_timeout(self) -> None:
        async def hang(endpoint, request, writer) -> None:
            await asyncio.sleep(60)

        self.set_both(hang)
        began = asyncio.get_running_loop().time()
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual(reply.status, 504)
        self.assertLess(asyncio.get_running_loop().time() - began, 1.9)

    async def test_hanging_endpoint_gets_no_further_requests(self) -> None:
        """An endpoint accepts requests and never responds, although it is registered as ready.
        Without detection, every request sent there would wait until its time-out."""

        async def hang(endpoint, request, writer) -> None:
            await asyncio.sleep(3600)

        self.a.handler = hang
        waiting = [
            asyncio.ensure_future(self.fleet.ask(0, "tally", "safe", f"w{n}")) for n in range(6)
        ]
        await asyncio.sleep(0.9)
        before = len(self.a.received)
        self.assertGreater(before, 0)
        later = [
            asyncio.ensure_future(self.fleet.ask(0, "tally", "safe", f"r{n}")) for n in range(10)
        ]
        await asyncio.gather(*later, *waiting)
        # One request may be sent as a probe, to find out whether the endpoint responds again.
        self.assertLessEqual(len(self.a.received) - before, 1)

    async def test_request_is_cancelled_when_its_caller_disconnects(self) -> None:
        """A caller closes its connection. Unless its request is cancelled, the endpoint keeps
        working on a response that nobody reads, while other requests wait for its slots."""

        async def hang(endpoint, request, writer) -> None:
            await asyncio.sleep(60)

        self.set_both(hang)
        with self.assertRaises(TimeoutError):
            await self.fleet.ask(0, "tally", "unsafe", "r1", seconds=0.2)
        await self.fleet.wait_until(lambda: self.a.closed_early + self.b.closed_early == 1, 1.0)

    async def test_unacknowledged_request_is_discarded_when_its_caller_disconnects(self) -> None:
        """An endpoint's link is congested, and a request is still in the send buffer,
        unacknowledged, when its caller disconnects. After a normal close the kernel would deliver
        it seconds later, and the endpoint would run it for nobody; a reset discards the buffer."""
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

    async def test_request_that_crashes_endpoints_is_blocked(self) -> None:
        """One request crashes every endpoint that runs it, and its caller keeps resending it. After
        two crashes the request is rejected, so that no other endpoint is lost to it."""
        self.set_both(run_and_reset)
        for number in range(4):
            await self.fleet.ask(0, "tally", "safe", f"r{number}", body=b"poison")
        self.assertEqual(sum(self.a.runs.values()) + sum(self.b.runs.values()), 2)
        self.set_both(answer_ok)
        reply = await self.fleet.ask(0, "tally", "safe", "r9", body=b"harmless")
        self.assertEqual(reply.status, 200)


class StreamTest(GatewayCase):
    """Streams that are interrupted and resumed on another endpoint."""

    def expected(self, last: int) -> bytes:
        """Returns the stream up to and including the event with this number."""
        return b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, last + 1))

    async def test_complete_stream_is_forwarded(self) -> None:
        self.set_both(stream_events(1, 9))
        reply = await self.fleet.ask(0, "tally", "streaming", "r1")
        self.assertEqual((reply.whole, reply.body), (True, self.expected(9)))

    async def test_interrupted_stream_is_resumed_on_other_endpoint(self) -> None:
        """An endpoint crashes in the middle of an event. The other endpoint resumes after the last
        complete event, and the caller reads one stream without gaps or duplicates."""
        self.set_both(stream_events(1, 9, cut_after=4, cut_mid_event=True))
        whole = stream_events(1, 9)

        async def go_on(endpoint, request, writer) -> None:
            resumed = names.LAST_EVENT_ID.lower() in request.headers
            cut = stream_events(1, 9, cut_after=4, cut_mid_event=True)
            await (whole if resumed else cut)(endpoint, request, writer)

        self.set_both(go_on)
        reply = await self.fleet.ask(0, "tally", "streaming", "r1")
        self.assertEqual((reply.status, reply.whole), (200, True))
        self.assertEqual(reply.body, self.expected(9))
        self.assertEqual((self.a.runs["r1"], self.b.runs["r1"]), (1, 1))

    async def test_stream_that_cannot_be_resumed_does_not_look_complete(self) -> None:
        self.set_both(stream_events(1, 9, cut_after=4))
        reply = await self.fleet.ask(0, "tally", "streaming", "r1")
        self.assertFalse(reply.whole)
        self.assertEqual(reply.body, self.expected(4))

    async def test_resuming_caller_gets_only_missing_events(self) -> None:
        self.set_both(stream_events(1, 9))
        after = f"{names.LAST_EVENT_ID}: 6"
        reply = await self.fleet.ask(0, "tally", "streaming", "r1", after)
        self.assertEqual(reply.body, self.expected(9)[len(self.expected(6)) :])


class DiscoveryTest(GatewayCase):
    """Registrations and configurations that appear, disappear, or come from other writers."""

    async def test_request_without_endpoint_is_told_so(self) -> None:
        """Guards against a refusal that states an infinite time instead of its reason."""
        for name in ("a", "b"):
            await self.fleet.store.delete(f"servers/{name}")
        await self.fleet.wait_until(lambda: not self.gateway.state.endpoints.endpoints)
        reply = await self.fleet.ask(0, "tally", "safe", "r1")
        self.assertEqual(reply.status, 503)
        self.assertIn(b"no endpoint can take it now", reply.body)
        self.assertNotIn(b"inf", reply.body)

    async def test_draining_endpoint_gets_no_new_requests(self) -> None:
        await self.fleet.store.put("servers/a", self.a.entry(state="draining"))
        await self.fleet.wait_until(lambda: self.gateway.state.endpoints.get("a").leaving)
        for number in range(6):
            await self.fleet.ask(0, "tally", "safe", f"r{number}")
        self.assertEqual(self.a.received, [])

    async def test_malformed_registrations_are_ignored(self) -> None:
        """Another writer puts registrations into the store that lack fields or have fields of the
        wrong type. They are ignored, and valid registrations still take effect."""
        await self.fleet.store.put("servers/x", b"\xff\x00")
        await self.fleet.store.put("servers/y", {"service": "tally", "slots": "many"})
        await self.fleet.store.put("servers/z", self.a.entry(state="resting"))
        await self.fleet.store.put("servers/b", self.b.entry(slots=5))
        await self.fleet.wait_until(lambda: self.gateway.state.endpoints.get("b").slots == 5)
        self.assertEqual({e.id for e in self.gateway.state.endpoints.endpoints}, {"a", "b"})
        self.assertEqual((await self.fleet.ask(0, "tally", "safe", "r1")).status, 200)

    async def test_state_is_reloaded_when_store_has_compacted_its_history(self) -> None:
        self.fleet.store.history_from = 10**6
        await self.fleet.store.delete("servers/a")
        await self.fleet.wait_until(lambda: self.gateway.state.endpoints.get("a") is None)

    async def test_older_configuration_is_not_applied(self) -> None:
        """A store restored from a backup returns an older configuration version. If an entry
        applied it, an operator's change would be undone."""
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(9, "tally"))
        await self.fleet.wait_until(lambda: self.gateway.state.version == 9)
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(8, "other"))
        await self.fleet.store.put("servers/b", self.b.entry(slots=5))
        await self.fleet.wait_until(lambda: self.gateway.state.endpoints.get("b").slots == 5)
        self.assertEqual(self.gateway.state.version, 9)


class KeyTest(GatewayCase):
    """Keys that are valid, unknown, or checked while the configuration is out of date."""

    tenants = True

    async def test_known_key_is_replaced_by_its_workspace(self) -> None:
        reply = await self.fleet.ask(0, "tally", "safe", "r1", KEY)
        request = (self.a.received + self.b.received)[0]
        self.assertEqual(reply.status, 200)
        self.assertEqual(request.headers[names.TENANT.lower()], "till")
        self.assertNotIn(names.AUTHORIZATION.lower(), request.headers)

    async def test_unknown_key_is_refused(self) -> None:
        bad = f"{names.AUTHORIZATION}: Bearer nobody"
        self.assertEqual((await self.fleet.ask(0, "tally", "safe", "r1", bad)).status, 401)
        self.assertEqual((await self.fleet.ask(0, "tally", "safe", "r2")).status, 401)

    async def test_no_key_is_accepted_after_lease_has_expired(self) -> None:
        """The store does not respond, and keys may have been revoked in the meantime. Once the
        lease has expired, requests are refused whether their key is valid or not, and callers are
        told to retry later."""
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
    """An entry that cannot reach the store, beside one that can."""

    tenants = True

    async def test_entry_without_store_gets_updates_from_peer(self) -> None:
        """The store responds to one entry and not to the other. Without updates from its peer, the
        other would refuse every key within seconds and keep sending requests to endpoints that have
        left."""
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

    async def test_entries_that_reach_the_store_do_not_ask_each_other(self) -> None:
        """Guards against questions among healthy entries, which grow with their number."""
        second = await self.fleet.add_gateway("entry-2")
        await self.fleet.wait_until(lambda: second.ready)
        await asyncio.sleep(2.0)
        with mock.patch.object(EntryPeers, "fetch_changes") as fetch:
            await asyncio.sleep(10.0)
            self.assertEqual(fetch.call_count, 0)

    async def test_entry_without_store_asks_at_once(self) -> None:
        """Guards against changes that an entry learns seconds late because its calls fail."""
        second = await self.fleet.add_gateway("entry-2")
        await self.fleet.wait_until(lambda: second.ready)
        await asyncio.sleep(2.0)
        second._follower._store._url = "http://127.0.0.1:9"
        await self.fleet.wait_until(lambda: second.state.outages.failing_since, 2.0)
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(9, "tally"))
        await self.fleet.wait_until(lambda: second.state.version == 9, 0.9)

    async def test_crashes_that_are_apart_block_request_at_every_entry(self) -> None:
        """Guards against a second crash that other entries learn of after its caller has come back.

        The endpoints crash one after the other, so that their reports are not sent together.
        """

        async def crash_later(endpoint, request, writer) -> None:
            await asyncio.sleep(0.08)
            await run_and_reset(endpoint, request, writer)

        second = await self.fleet.add_gateway("entry-2")
        await self.fleet.wait_until(lambda: second.ready)
        await self.fleet.wait_until(lambda: self.gateway.peers.count == 2, 6.0)
        self.set_both(crash_later)
        await self.fleet.ask(0, "tally", "safe", "r1", KEY, body=b"poison")
        await self.fleet.ask(1, "tally", "safe", "r2", KEY, body=b"poison")
        self.assertEqual(self.runs("r1") + self.runs("r2"), 2)

    async def test_request_that_crashes_endpoints_is_blocked_at_every_entry(self) -> None:
        """A caller sends a request that crashes endpoints to one entry after another. If entries
        did not share what they learn, the request would crash two endpoints per entry."""
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

    async def test_requests_in_progress_complete_during_stop(self) -> None:
        async def slow(endpoint, request, writer) -> None:
            await asyncio.sleep(0.8)
            await answer_ok(endpoint, request, writer)

        self.set_both(slow)
        asking = asyncio.ensure_future(self.fleet.ask(0, "tally", "unsafe", "r1"))
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(self.gateway.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(self.gateway.ready)
        self.assertEqual((await asking).status, 200)
        self.fleet.gateways.clear()
        await stopping

    async def test_request_after_balancer_notice_is_refused_as_not_run(self) -> None:
        """Callers keep connections open to an entry that is stopping, and send requests on them
        until it exits. A long response accepted in its last seconds would be cut off."""
        stopping = asyncio.ensure_future(self.gateway.stop())
        await self.fleet.wait_until(lambda: not self.gateway.accepts_requests, 5.0)
        exchange = CallerExchange(self.gateway, None)
        exchange._head = read_request(RequestStartLine("POST", "/safe/a", ""), HTTPHeaders())
        with self.assertRaises(CodedError) as caught:
            await exchange._serve(exchange._head)
        self.assertEqual(
            (caught.exception.code, caught.exception.http_status), ("entry_leaving", 503)
        )
        self.assertEqual(self.a.received + self.b.received, [])
        self.fleet.gateways.clear()
        await stopping
