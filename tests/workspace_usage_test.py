"""The use of engines by workspaces: counted by requests, and exchanged between entries."""

import asyncio
import socket
from unittest import mock

import msgspec

from tests.fake_engines import EngineFleet
from tests.fake_platform import PlatformFleet, make_configuration, stream_events
from tests.paused_clock import PausedClockCase
from wasabidrum.core.boot_clock import boot_seconds
from wasabidrum.core.workspace_use import RATE_UNIT, UseReport, WorkspaceUse
from wasabidrum.gateway import usage_exchange
from wasabidrum.observe.event import Event
from wasabidrum.observe.event_log import EventLog
from wasabidrum.platform import names

MODEL = "m1"
SERVICE = "text"
TENANTS = [{"name": "till", "apiKeys": ["key-1"]}, {"name": "desk", "apiKeys": ["key-2"]}]
# Prompt tokens that wait at the engine, so that it refuses everything.
UNREAD_TOKENS = 1_000_000
# Until entries that have started together know each other.
MEETING_SECONDS = 4.0


class CountingTest(PausedClockCase):
    """One entry and one engine."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = PlatformFleet()
        await self.fleet.start()
        configuration = make_configuration(7, SERVICE) | {"tenants": TENANTS}
        engine = {"slots": 4, "models": [{"name": MODEL}], "step_ms": 50, "stride": 2}
        configuration["services"] = [{"name": SERVICE, "engine": engine}]
        await self.fleet.store.put(names.CONFIGURATION_KEY, configuration)
        self.engine = await self.fleet.add_endpoint("engine", SERVICE)
        self.engine.handler = stream_events(1, 2)
        entry = self.engine.entry(models=[{"name": MODEL, "version": 1}])
        await self.fleet.store.put(names.ENDPOINT_PREFIX + self.engine.id, entry)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def start_entry(self, shares_room: bool) -> None:
        """Starts the entry and waits until it knows the engine."""
        self.gateway = await self.fleet.add_gateway("entry-1", shares_room=shares_room)
        endpoints = self.gateway.state.endpoints
        await self.fleet.wait_until(lambda: endpoints.get("engine") is not None)
        await self.fleet.wait_until(lambda: endpoints.get("engine").weights == 1)

    async def ask(self, request_id: str, body: bytes, key: str = "key-1") -> int:
        """Sends a request; returns the status."""
        line = f"Authorization: Bearer {key}"
        reply = await self.fleet.ask(0, SERVICE, "streaming", request_id, line, body=body)
        return reply.status

    def fill_engine(self) -> None:
        """Makes the entry refuse all requests."""
        load = self.gateway.placer.load_of(self.gateway.state.endpoints.get("engine"))
        load.unread_tokens += UNREAD_TOKENS

    def uses(self) -> dict[str, WorkspaceUse]:
        """Returns the use that the entry counts, by workspace."""
        return {u.workspace: u for u in self.gateway.usage.shares.report(boot_seconds()).uses}

    async def test_a_request_counts_with_what_it_wrote(self) -> None:
        """Guards against requests that are counted as long as they might have been."""
        await self.start_entry(shares_room=True)
        expected = []
        record_use = self.gateway.usage.shares.record_use
        with mock.patch(
            "wasabidrum.decisions.workspace_shares.WorkspaceShares.record_use",
            lambda shares, *facts: (expected.append(facts[1]), record_use(*facts)),
        ):
            self.assertEqual(await self.ask("r1", b"one"), 200)
        await asyncio.sleep(0.1)
        uses = self.uses()
        self.assertEqual(uses.keys(), {"till"})
        rate = uses["till"].used * RATE_UNIT
        self.assertGreater(rate, 0.0)
        self.assertLess(rate, 0.1 * expected[0])

    async def test_repeats_of_a_refused_request_add_no_demand(self) -> None:
        """Guards against a workspace whose claim grows with each repeat of a refused request, and
        against early returns that are not noticed."""
        await self.start_entry(shares_room=True)
        self.fill_engine()
        self.assertEqual(await self.ask("r1", b"one"), 503)
        refused = self.uses()["till"].refused
        self.assertGreater(refused, 0)
        for number in range(5):
            self.assertEqual(await self.ask(f"s{number}", b"one"), 503)
        uses = self.uses()
        self.assertLessEqual(uses["till"].refused, refused)
        self.assertGreater(uses["till"].early, 0)
        self.assertEqual(uses["till"].early, uses["till"].returns)
        self.assertEqual(await self.ask("d1", b"one", "key-2"), 503)
        self.assertGreater(self.uses()["desk"].refused, 0)

    async def test_a_workspace_over_its_share_is_logged_once(self) -> None:
        """Guards against a line for each refused request of a workspace that is over its share."""
        await self.start_entry(shares_room=True)
        with mock.patch.object(type(self.gateway.log), "write") as write:
            for position in (0.55, 0.7, 0.8, 0.55, 0.7, 0.4, 0.7):
                self.gateway.usage.log_position("till", position)
        events = [call.args[0] for call in write.call_args_list]
        self.assertEqual(events, 2 * [Event.WORKSPACE_OVER_SHARE])

    async def test_refusals_state_the_position_where_workspaces_share(self) -> None:
        """Guards against counting, or a changed log line, where the settings do not ask for it."""
        for shares_room in (True, False):
            with self.subTest(shares_room=shares_room):
                await self.start_entry(shares_room)
                self.fill_engine()
                self.assertEqual(await self.ask("r1", b"one"), 503)
                lines = self.gateway.log.buffer.find("r1")
                refused = [line for line in lines if line["event"] == "request_refused"]
                self.assertEqual("share_position" in refused[0], shares_room)
                self.assertEqual(bool(self.uses()), shares_room)
                await self.fleet.gateways.pop().stop()
                self.fleet.deployments.pop()


class ExchangeTest(PausedClockCase):
    """Entries on hosts of their own."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = EngineFleet()
        await self.fleet.start()
        self.fleet.configuration |= {"version": 2, "tenants": TENANTS}
        await self.fleet.store.put(names.CONFIGURATION_KEY, self.fleet.configuration)

    async def asyncTearDown(self) -> None:
        await self.fleet.stop()

    async def test_entries_learn_of_use_elsewhere_until_its_reports_end(self) -> None:
        """Guards against entries that judge workspaces by what they see themselves, and against
        one that keeps counting the use that a dead entry has reported."""
        first, second = [await self.fleet.add_entry(shares_room=True) for _ in range(2)]
        await asyncio.sleep(MEETING_SECONDS)
        now = boot_seconds()
        first.usage.shares.record_use("till", 1.0, now)
        second.usage.shares.record_use("desk", 0.1, now)
        await asyncio.sleep(1.2 * usage_exchange.INTERVAL_SECONDS)
        shares, now = second.usage.shares, boot_seconds()
        self.assertGreater(shares.position("till", now), shares.position("desk", now))
        self.assertEqual(second.usage.heard_count, 1)
        await self.fleet.end_entry(first)
        await asyncio.sleep(4.0)
        self.assertEqual(second.usage.heard_count, 0)
        self.assertEqual(shares.position("till", boot_seconds()), 0.0)

    async def test_nothing_is_sent_unless_workspaces_share(self) -> None:
        """Guards against control traffic where the settings or the configuration do not ask for
        shares."""
        with mock.patch.object(usage_exchange.entry_messages, "write_use_report") as write:
            for _ in range(2):
                await self.fleet.add_entry(shares_room=False)
            await asyncio.sleep(MEETING_SECONDS)
            one = self.fleet.configuration | {"version": 3, "tenants": TENANTS[:1]}
            await self.fleet.store.put(names.CONFIGURATION_KEY, one)
            for _ in range(2):
                await self.fleet.add_entry(shares_room=True)
            await asyncio.sleep(MEETING_SECONDS)
            write.assert_not_called()

    async def test_reports_from_others_are_ignored(self) -> None:
        """Guards against use that is taken from a sender that is no entry, or names another."""
        first, _ = [await self.fleet.add_entry(shares_room=True) for _ in range(2)]
        await asyncio.sleep(MEETING_SECONDS)
        uses = (WorkspaceUse("desk", 1000),)
        forged = [
            msgspec.msgpack.encode(UseReport(host, 1, 10**6, uses))
            for host in ("127.0.0.101", "127.0.0.98")
        ]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind(("127.0.0.98", 0))
            for content in (*forged, b"", b"\xc1", msgspec.msgpack.encode([1])):
                sender.sendto(
                    content, ("127.0.0.100", self.fleet.first_port + usage_exchange.PORT_OFFSET)
                )
        await asyncio.sleep(0.1)
        self.assertEqual(first.usage.shares.position("desk", boot_seconds()), 0.0)
        self.assertEqual(first.usage.heard_count, 1)

    async def test_an_entry_whose_port_is_taken_goes_on_alone(self) -> None:
        """Guards against an entry that does not start, or fails without a trace, when another
        process has the port for reports."""
        port = self.fleet.first_port + usage_exchange.PORT_OFFSET
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(("127.0.0.100", port))
            with mock.patch.object(EventLog, "write") as write:
                entry = await self.fleet.add_entry(shares_room=True)
                await asyncio.sleep(MEETING_SECONDS)
        events = [call.args[0] for call in write.call_args_list]
        self.assertEqual(events.count(Event.USE_REPORT_FAILED), 1)
        self.assertNotIn(Event.TASK_FAILED, events)
        entry.usage.shares.record_use("till", 1.0, boot_seconds())
        self.assertEqual(entry.usage.shares.position("till", boot_seconds()), 0.5)
