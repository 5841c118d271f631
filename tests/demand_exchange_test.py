"""Tests that entries tell each other the demand that callers bring them."""

import unittest

import msgspec

from tests.fake_platform import PlatformFleet, make_configuration
from tests.paused_clock import PausedClockCase
from wasabidrum.decisions.demand_assignment import DEMAND_LIFETIME_SECONDS
from wasabidrum.decisions.entry_roster import EntryRoster
from wasabidrum.peers.entry_messages import EntryAddress, Meet, ServiceDemand
from wasabidrum.platform import names

OWN = ("10.0.0.1", 1)
OTHER = ("10.0.0.2", 1)


class RosterDemandsTest(unittest.TestCase):
    """What a roster keeps of the demands that entries tell."""

    def setUp(self) -> None:
        self.roster = EntryRoster(OWN, ())

    def test_a_relayed_older_demand_does_not_replace_a_newer_one(self) -> None:
        """Guards against an assignment by demands that another entry passes on late."""
        self.roster.record_demands(OTHER, {"s": 40.0}, 10.0)
        self.roster.record_demands(OTHER, {"s": 20.0}, 9.0)
        self.assertEqual(self.roster.told_demands(OTHER, 11.0).per_second, {"s": 40.0})

    def test_an_old_demand_is_unknown(self) -> None:
        """Guards against a frozen entry that keeps the engines of its last demand."""
        self.roster.record_demands(OTHER, {"s": 40.0}, 10.0)
        later = 10.1 + DEMAND_LIFETIME_SECONDS
        self.assertIsNone(self.roster.told_demands(OTHER, later))


class MessageTest(unittest.TestCase):
    """Old and new entries understand each other."""

    def test_a_message_of_an_older_entry_has_no_demands(self) -> None:
        """Guards against a new entry that cannot decode an address without demands."""
        older = msgspec.msgpack.encode([["10.0.0.2", 1, 0.0, "z", 1000.0], []])
        message = msgspec.msgpack.decode(older, type=Meet)
        self.assertEqual(message.own.demands, ())
        self.assertFalse(message.brief)

    def test_demands_survive_encoding(self) -> None:
        entry = EntryAddress(*OWN, demands=(ServiceDemand("s", 20.5),), demands_age=0.5)
        encoded = msgspec.msgpack.encode(Meet(entry, brief=True))
        self.assertEqual(msgspec.msgpack.decode(encoded, type=Meet).own, entry)


class ExchangeTest(PausedClockCase):
    """Three entries of one data centre."""

    async def test_a_changed_demand_is_known_in_the_data_centre_within_two_seconds(self) -> None:
        """Guards against an assignment that follows callers only after several exchanges between
        random pairs."""
        fleet = PlatformFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        await fleet.store.put(names.CONFIGURATION_KEY, make_configuration(7, "tally"))
        for number in range(3):
            await fleet.add_gateway(f"entry-{number}")
        await fleet.wait_until(lambda: all(g.peers.count == 3 for g in fleet.gateways), 20.0)
        peers = [gateway.peers for gateway in fleet.gateways]
        own = peers[0].own_address
        for rate in (20.0, 60.0, 30.0):
            peers[0].find_demands = lambda rate=rate: {"s": rate}
            await fleet.wait_until(
                lambda rate=rate: all(p.local_demands("s").get(own) == rate for p in peers), 2.0
            )


if __name__ == "__main__":
    unittest.main()
