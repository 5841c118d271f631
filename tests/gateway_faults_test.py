"""Faults of endpoints, networks and clocks that an entry gets no error for."""

import asyncio
import unittest
from unittest import mock

from tests.fake_platform import answer_ok, make_configuration, response_head, stream_events
from tests.gateway_test import KEY, GatewayCase
from wasabidrum.core import boot_clock
from wasabidrum.gateway import endpoint_connection
from wasabidrum.platform import names

SUSPENDED_SECONDS = 60.0


async def answer_misdirected(endpoint, request, writer) -> None:
    """Rejects a request that was meant for another instance, as not run."""
    head = f"HTTP/1.1 421 Misdirected\r\n{names.NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n"
    writer.write(head.encode())
    await writer.drain()


async def hold(endpoint, request, writer) -> None:
    """Accepts a request and never responds, with the connection open."""
    await asyncio.sleep(3600)


class AddressTest(GatewayCase):
    """Addresses and ids that are reused."""

    async def test_charge_that_reaches_wrong_instance_runs_once_on_right_one(self) -> None:
        """An endpoint has gone, its address now belongs to another instance, and the entry does not
        know yet. Unless the request names the instance it is for, the wrong one would run the
        charge."""
        self.a.handler = answer_misdirected
        # All at once: of requests sent one by one, none might be placed on the wrong instance.
        replies = await asyncio.gather(
            *(self.fleet.ask(0, "tally", "unsafe", f"r{n}") for n in range(12))
        )
        for number, reply in enumerate(replies):
            self.assertEqual((reply.status, reply.body), (200, b"b"))
            self.assertEqual(self.runs(f"r{number}"), 1)
        named = {request.headers[names.EXPECT_INSTANCE.lower()] for request in self.a.received}
        self.assertEqual(named, {"a"})

    async def test_restarted_endpoint_starts_as_healthy(self) -> None:
        """An endpoint fails, is taken out of service and restarts under the same id. If its earlier
        failures still counted, it would stay idle while the other endpoint is overloaded."""
        self.a.handler = answer_misdirected
        await asyncio.gather(*(self.fleet.ask(0, "tally", "safe", f"r{n}") for n in range(12)))
        loads = self.gateway.placer._loads
        before = next(load for (name, _), load in loads.items() if name == "a")
        self.assertNotEqual(before.health.health.value, "healthy")
        self.a.handler = answer_ok
        await self.fleet.store.put(names.ENDPOINT_PREFIX + "a", self.a.entry(born=99))
        listed = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: listed.get("a").started_at == 99)
        after = self.gateway.placer.load_of(listed.get("a"))
        self.assertEqual(after.health.health.value, "healthy")

    async def test_older_registration_that_arrives_late_is_ignored(self) -> None:
        """Registrations of two runs of an endpoint arrive out of order. If the older one were
        applied, the entry would address requests to a run that has ended, and all would be
        refused."""
        await self.fleet.store.put(names.ENDPOINT_PREFIX + "a", self.a.entry(born=50))
        listed = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: listed.get("a").started_at == 50)
        old = listed.get("a").__class__("a", "tally", "127.0.0.1", self.a.port, "rift-a")
        self.assertFalse(listed.apply(old, 1))
        self.assertEqual(listed.get("a").started_at, 50)


class SilenceTest(GatewayCase):
    """Connections that stay open but carry no data."""

    async def test_unanswered_request_times_out_with_unknown_outcome(self) -> None:
        """Both endpoints accept a request and never respond, with the connection open. The network
        reports no error; the caller gets a time-out at the end of the route's time limit, and is
        not told that the request did not run."""
        self.set_both(hold)
        began = asyncio.get_running_loop().time()
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual(reply.status, 504)
        self.assertLess(asyncio.get_running_loop().time() - began, 2.0)
        self.assertNotIn("retry-after", reply.headers)

    async def test_stream_that_stalls_midway_does_not_look_complete(self) -> None:
        """An endpoint stops sending in the middle of a stream, with the connection open. If the
        entry ended the stream cleanly at the route's time limit, the caller would take it for
        complete."""

        async def stop_midway(endpoint, request, writer) -> None:
            more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            event = b"id: 1\ndata: t1\n\n"
            writer.write(response_head(request, endpoint, "200 OK", *more))
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(3600)

        self.set_both(stop_midway)
        reply = await self.fleet.ask(0, "tally", "streaming", "r1")
        self.assertFalse(reply.whole)

    async def test_watch_is_retried_when_store_hangs(self) -> None:
        """The store never responds to a watch, with the connection open. Without a time-out the
        entry would miss every later change."""
        self.fleet.store.fault = "hang"
        await asyncio.sleep(1.5)
        self.fleet.store.fault = ""
        calls = self.fleet.store.calls
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(8, "tally"))
        await self.fleet.wait_until(lambda: self.gateway.state.version == 8, 5.0)
        self.assertGreater(self.fleet.store.calls, calls)


class LossTest(GatewayCase):
    """Links with packet loss: all data arrives, but in fragments and with pauses."""

    async def test_slow_fragmented_response_is_forwarded_complete(self) -> None:
        """Every part of a response is delayed and split at arbitrary positions, as over a link that
        loses packets. An entry that took a pause for the end would forward a truncated response or
        abort it."""

        async def trickle(endpoint, request, writer) -> None:
            endpoint.runs[request.headers[names.REQUEST_ID.lower()]] += 1
            body = endpoint.id.encode() * 40
            head = response_head(request, endpoint, "200 OK", f"Content-Length: {len(body)}")
            for start in range(0, len(head + body), 11):
                writer.write((head + body)[start : start + 11])
                await writer.drain()
                await asyncio.sleep(0.01)

        self.set_both(trickle)
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual((reply.status, len(reply.body), reply.whole), (200, 40, True))
        self.assertEqual(self.runs("r1"), 1)

    async def test_stream_of_split_events_is_forwarded_complete(self) -> None:
        """Packets are retransmitted, and an event arrives in several fragments. A fragment must not
        be forwarded as an event, nor be lost when the stream is resumed elsewhere."""

        async def split(endpoint, request, writer) -> None:
            more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            writer.write(response_head(request, endpoint, "200 OK", *more))
            content = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6))
            for start in range(0, len(content), 7):
                part = content[start : start + 7]
                writer.write(b"%x\r\n%s\r\n" % (len(part), part))
                await writer.drain()
                await asyncio.sleep(0.005)
            writer.write(b"0\r\n\r\n")
            await writer.drain()

        self.set_both(split)
        reply = await self.fleet.ask(0, "tally", "streaming", "r1")
        self.assertTrue(reply.whole)
        self.assertEqual(reply.body.count(b"data: t"), 5)


class ProbeTest(GatewayCase):
    """An endpoint that is out of service, and the single request that probes it."""

    async def test_probe_whose_caller_disconnects_is_followed_by_another(self) -> None:
        """An endpoint is out of service and one request is sent to probe it. Its caller disconnects
        before there is a response. If the entry kept waiting for that probe, it would never send
        another, and the endpoint would stay idle until it restarts."""
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "b")
        listed = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: listed.get("b") is None, 5.0)
        self.a.handler = answer_misdirected
        for number in range(2):
            await self.fleet.ask(0, "tally", "safe", f"r{number}")
        health = self.gateway.placer.load_of(listed.get("a")).health
        self.assertNotEqual(health.health.value, "healthy")
        self.a.handler = hold
        loop = asyncio.get_running_loop()
        await self.fleet.wait_until(lambda: health.may_receive(loop.time()))
        before = len(self.a.received)
        probe = asyncio.ensure_future(self.fleet.ask(0, "tally", "safe", "probe"))
        await self.fleet.wait_until(lambda: len(self.a.received) > before)
        probe.cancel()
        await asyncio.gather(probe, return_exceptions=True)
        self.a.handler = answer_ok
        await self.fleet.wait_until(lambda: health.may_receive(loop.time()), 5.0)
        reply = await self.fleet.ask(0, "tally", "safe", "r9")
        self.assertEqual(reply.status, 200)
        self.assertEqual(health.health.value, "healthy")


class SuspendedClockTest(GatewayCase):
    """An instance that was suspended and cannot tell from the event loop's clock."""

    tenants = True

    async def test_no_key_is_accepted_on_state_from_before_suspension(self) -> None:
        """A virtual machine is suspended for a minute, during which a key may be revoked. By the
        event loop's clock no time has passed, so an entry that used it would trust outdated
        state."""
        self.assertEqual((await self.fleet.ask(0, "tally", "safe", "r0", KEY)).status, 200)
        self.fleet.store.fault = "hang"
        real = boot_clock.time.clock_gettime

        def later(clock: int) -> float:
            return real(clock) + SUSPENDED_SECONDS

        with mock.patch.object(boot_clock.time, "clock_gettime", later):
            self.assertFalse(self.gateway.ready)
            reply = await self.fleet.ask(0, "tally", "safe", "r1", KEY)
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.runs("r1"), 0)

    async def test_request_in_progress_during_suspension_is_not_sent(self) -> None:
        """An instance is suspended while a connection opens, after the key was checked, and the key
        may be revoked in the meantime. If the request were sent after the resume, it would run with
        a revoked key."""
        real = boot_clock.time.clock_gettime
        state = {"ahead": 0.0}

        def later(clock: int) -> float:
            return real(clock) + state["ahead"]

        connect = endpoint_connection.connect

        async def connect_and_sleep(*arguments):
            connection = await connect(*arguments)
            state["ahead"] = SUSPENDED_SECONDS
            return connection

        with (
            mock.patch.object(boot_clock.time, "clock_gettime", later),
            mock.patch.object(endpoint_connection, "connect", connect_and_sleep),
        ):
            reply = await self.fleet.ask(0, "tally", "unsafe", "r1", KEY)
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.runs("r1"), 0)


class ResumeTest(GatewayCase):
    """Streams from endpoints that restart."""

    async def test_stream_is_resumed_after_its_endpoint_is_killed(self) -> None:
        """An endpoint's process is killed during a stream. The caller notices only a pause: the
        rest comes from the other endpoint, starting after the last event sent."""
        self.set_both(stream_events(1, 8, cut_after=4))
        self.b.handler = stream_events(1, 8)
        for number in range(6):
            reply = await self.fleet.ask(0, "tally", "streaming", f"r{number}")
            self.assertTrue(reply.whole)
            self.assertEqual(reply.body.count(b"data: t"), 8)


if __name__ == "__main__":
    unittest.main()
