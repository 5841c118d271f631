"""What endpoints, networks and clocks do to an entry without telling it."""

import asyncio
import unittest
from unittest import mock

from tests.gateway_test import KEY, GatewayCase
from tests.listed_platform import answer_ok, head_of, make_configuration, stream_events
from wasabidrum.core import boot_clock
from wasabidrum.gateway import endpoint_connection
from wasabidrum.platform import names

LATER_SECONDS = 60.0


async def answer_misdirected(endpoint, seen, writer) -> None:
    """Refuses what was meant for another instance."""
    head = f"HTTP/1.1 421 Misdirected\r\n{names.NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n"
    writer.write(head.encode())
    await writer.drain()


async def hold(endpoint, seen, writer) -> None:
    """Takes a request and says nothing for ever, with the connection open."""
    await asyncio.sleep(3600)


class AddressTest(GatewayCase):
    """Addresses and ids that are used again."""

    async def test_a_charge_that_reaches_another_instance_runs_once_and_elsewhere(self) -> None:
        """An endpoint is gone and its address belongs to another, and the entry has not heard
        of it. Unless the request names whom it is for, the stranger would run the charge."""
        self.a.behave = answer_misdirected
        # At once, for of single requests chance may send none to the stranger.
        replies = await asyncio.gather(
            *(self.fleet.ask(0, "tally", "unsafe", f"r{n}") for n in range(12))
        )
        for number, reply in enumerate(replies):
            self.assertEqual((reply.status, reply.body), (200, b"b"))
            self.assertEqual(self.runs(f"r{number}"), 1)
        named = {seen.headers[names.EXPECT_INSTANCE.lower()] for seen in self.a.seen}
        self.assertEqual(named, {"a"})

    async def test_an_endpoint_that_restarted_is_not_held_to_what_it_was_before(self) -> None:
        """An endpoint fails, is taken out of service and restarts under the same id. Held to
        its failures it would stand idle beside an endpoint that has too much to do."""
        self.a.behave = answer_misdirected
        await asyncio.gather(*(self.fleet.ask(0, "tally", "safe", f"r{n}") for n in range(12)))
        loads = self.gateway.placer._loads
        before = next(load for (name, _), load in loads.items() if name == "a")
        self.assertNotEqual(before.health.health.value, "healthy")
        self.a.behave = answer_ok
        await self.fleet.store.put(names.ENDPOINT_PREFIX + "a", self.a.entry(born=99))
        listed = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: listed.get("a").started_at == 99)
        after = self.gateway.placer.load_of(listed.get("a"))
        self.assertEqual(after.health.health.value, "healthy")

    async def test_an_older_registration_that_arrives_late_changes_nothing(self) -> None:
        """Registrations of two runs of an endpoint cross on their way. Were the older believed,
        the entry would name a run that is over, and every request would be refused."""
        await self.fleet.store.put(names.ENDPOINT_PREFIX + "a", self.a.entry(born=50))
        listed = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: listed.get("a").started_at == 50)
        old = listed.get("a").__class__("a", "tally", "127.0.0.1", self.a.port, "rift-a")
        self.assertFalse(listed.apply(old, 1))
        self.assertEqual(listed.get("a").started_at, 50)


class SilenceTest(GatewayCase):
    """Connections that stay open and carry nothing."""

    async def test_a_read_whose_answer_never_comes_ends_in_time_and_is_unknown(self) -> None:
        """Both endpoints take a read and fall silent without closing. Nothing on the network
        tells; the caller is answered when the route's time is over, and not "not run"."""
        self.set_both(hold)
        began = asyncio.get_running_loop().time()
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual(reply.status, 504)
        self.assertLess(asyncio.get_running_loop().time() - began, 2.0)
        self.assertNotIn("retry-after", reply.headers)

    async def test_a_stream_that_falls_silent_midway_does_not_end_as_whole(self) -> None:
        """An endpoint goes dark in the middle of a stream and its connection stays open. Ended
        cleanly at the route's time, half an answer would pass for the whole."""

        async def stop_midway(endpoint, seen, writer) -> None:
            more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            event = b"id: 1\ndata: t1\n\n"
            writer.write(head_of(seen, endpoint, "200 OK", *more))
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(3600)

        self.set_both(stop_midway)
        reply = await self.fleet.ask(0, "tally", "streaming", "r1")
        self.assertFalse(reply.whole)

    async def test_a_store_that_hangs_on_an_open_connection_is_asked_again(self) -> None:
        """The store's answer to a watch never comes and the connection stays open. The entry
        must not wait for ever: it would miss every change from then on."""
        self.fleet.store.fault = "hang"
        await asyncio.sleep(1.5)
        self.fleet.store.fault = ""
        calls = self.fleet.store.calls
        await self.fleet.store.put(names.CONFIGURATION_KEY, make_configuration(8, "tally"))
        await self.fleet.wait_until(lambda: self.gateway.state.version == 8, 5.0)
        self.assertGreater(self.fleet.store.calls, calls)


class LossTest(GatewayCase):
    """Links on which packets are lost: everything comes, in pieces and with pauses."""

    async def test_an_answer_that_trickles_is_passed_on_whole(self) -> None:
        """Every part of an answer is late and cut anywhere, as over a link that loses packets.
        An entry that took a pause for an end would pass on half of it, or break it off."""

        async def trickle(endpoint, seen, writer) -> None:
            endpoint.runs[seen.headers[names.REQUEST_ID.lower()]] += 1
            body = endpoint.id.encode() * 40
            head = head_of(seen, endpoint, "200 OK", f"Content-Length: {len(body)}")
            for start in range(0, len(head + body), 11):
                writer.write((head + body)[start : start + 11])
                await writer.drain()
                await asyncio.sleep(0.01)

        self.set_both(trickle)
        reply = await self.fleet.ask(0, "tally", "unsafe", "r1")
        self.assertEqual((reply.status, len(reply.body), reply.whole), (200, 40, True))
        self.assertEqual(self.runs("r1"), 1)

    async def test_a_stream_whose_events_are_cut_anywhere_is_passed_on_whole(self) -> None:
        """Packets are lost and sent again, and an event arrives in three parts. Its parts must
        not be passed on as events, nor be lost when the stream goes on elsewhere."""

        async def split(endpoint, seen, writer) -> None:
            more = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            writer.write(head_of(seen, endpoint, "200 OK", *more))
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
    """An endpoint that is out of service, and the one request that tries it again."""

    async def test_a_probe_whose_caller_leaves_is_followed_by_another(self) -> None:
        """An endpoint is out of service and one request is sent to find out whether it works
        again. Its caller leaves before there is an answer. Were that probe waited for, no
        other would ever be sent, and the endpoint would stand idle until it restarts."""
        await self.fleet.store.delete(names.ENDPOINT_PREFIX + "b")
        listed = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: listed.get("b") is None, 5.0)
        self.a.behave = answer_misdirected
        for number in range(2):
            await self.fleet.ask(0, "tally", "safe", f"r{number}")
        health = self.gateway.placer.load_of(listed.get("a")).health
        self.assertNotEqual(health.health.value, "healthy")
        self.a.behave = hold
        loop = asyncio.get_running_loop()
        await self.fleet.wait_until(lambda: health.may_receive(loop.time()))
        before = len(self.a.seen)
        probe = asyncio.ensure_future(self.fleet.ask(0, "tally", "safe", "probe"))
        await self.fleet.wait_until(lambda: len(self.a.seen) > before)
        probe.cancel()
        await asyncio.gather(probe, return_exceptions=True)
        self.a.behave = answer_ok
        await self.fleet.wait_until(lambda: health.may_receive(loop.time()), 5.0)
        reply = await self.fleet.ask(0, "tally", "safe", "r9")
        self.assertEqual(reply.status, 200)
        self.assertEqual(health.health.value, "healthy")


class SuspendedClockTest(GatewayCase):
    """An instance that stood still and does not know."""

    tenants = True

    async def test_after_a_suspension_no_key_passes_on_what_was_known_before(self) -> None:
        """A virtual machine stands still for a minute, in which a key is taken away. By the
        event loop's clock no time has passed, and the entry would believe what it knew."""
        self.assertEqual((await self.fleet.ask(0, "tally", "safe", "r0", KEY)).status, 200)
        self.fleet.store.fault = "hang"
        real = boot_clock.time.clock_gettime

        def later(clock: int) -> float:
            return real(clock) + LATER_SECONDS

        with mock.patch.object(boot_clock.time, "clock_gettime", later):
            self.assertFalse(self.gateway.ready)
            reply = await self.fleet.ask(0, "tally", "safe", "r1", KEY)
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.runs("r1"), 0)

    async def test_a_request_under_way_while_the_instance_stood_still_does_not_leave(self) -> None:
        """The key is judged, the instance stands still while a connection opens, and the key is
        taken away meanwhile. Sent on waking, the request would run with a dead key."""
        real = boot_clock.time.clock_gettime
        state = {"ahead": 0.0}

        def later(clock: int) -> float:
            return real(clock) + state["ahead"]

        connect = endpoint_connection.connect

        async def connect_and_sleep(*arguments):
            connection = await connect(*arguments)
            state["ahead"] = LATER_SECONDS
            return connection

        with (
            mock.patch.object(boot_clock.time, "clock_gettime", later),
            mock.patch.object(endpoint_connection, "connect", connect_and_sleep),
        ):
            reply = await self.fleet.ask(0, "tally", "unsafe", "r1", KEY)
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.runs("r1"), 0)


class ResumeTest(GatewayCase):
    """Streams over endpoints that restart."""

    async def test_a_stream_goes_on_where_its_endpoint_went_dark_under_it(self) -> None:
        """An endpoint's process is killed under a stream. Its caller notices a pause and no
        more: the rest comes from another endpoint, from the event after the last."""
        self.set_both(stream_events(1, 8, cut_after=4))
        self.b.behave = stream_events(1, 8)
        for number in range(6):
            reply = await self.fleet.ask(0, "tally", "streaming", f"r{number}")
            self.assertTrue(reply.whole)
            self.assertEqual(reply.body.count(b"data: t"), 8)


if __name__ == "__main__":
    unittest.main()
