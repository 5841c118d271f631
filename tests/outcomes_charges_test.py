"""Tests of charges under failures: each runs at most once, and the reported outcome is correct."""

import asyncio
import signal
import unittest

from bench.fleet_files import OTHER_KEY
from bench.outcomes_fleet import OutcomesFleet


class ChargeTest(unittest.IsolatedAsyncioTestCase):
    """Executions are counted at the endpoint, in a journal that survives its crash."""

    async def asyncSetUp(self) -> None:
        self.fleet = await self.enterAsyncContext(OutcomesFleet())
        await self.fleet.start_all(["tally-1", "tally-2"], [])

    async def faults(self, **faults: object) -> None:
        """Injects the same faults into both services."""
        for name in ("tally-1", "tally-2"):
            await self.fleet.put_faults(self.fleet.members[name].endpoint_port, **faults)

    async def test_service_killed_before_and_after_the_run(self) -> None:
        """The service crashes while it handles a charge, either before or after executing it.

        The outcome must be "unknown": the entry cannot tell whether the charge ran, so "not
        run" could be false, and running it again could charge the caller twice.
        """
        await self.faults(crash_before="before")
        became, told = await self.fleet.charge("before")
        self.assertEqual((became, self.fleet.count_runs("before")), ("unknown", 0), told)
        await self.fleet.wait_until(self._has_service, 10.0, "a service that answers")
        key = await self.fleet.issue_key()
        for name in ("tally-1", "tally-2"):
            if self.fleet.members[name].endpoint.alive:
                port = self.fleet.members[name].endpoint_port
                await self.fleet.put_faults(port, crash_after="after")
        became, told = await self.fleet.charge("after", key=key)
        again, _ = await self.fleet.charge("after", entry=1, key=key)
        self.assertLessEqual(self.fleet.count_runs("after"), 1)
        self.assertNotIn(("not_run", 1), [(became, self.fleet.count_runs("after"))], told)
        self.assertNotEqual((again, self.fleet.count_runs("after")), ("not_run", 1))

    async def _has_service(self) -> bool:
        return (await self.fleet.charge("probe"))[0] == "whole"

    async def test_service_already_dead_is_not_run_there_and_runs_elsewhere(self) -> None:
        """A service died while idle; its sidecar is healthy and accepts the charge.

        Nothing reached the service, so the charge can run at the other one without an error
        for the caller.
        """
        await self.fleet.members["tally-1"].endpoint.kill()
        for number in range(6):
            became, told = await self.fleet.charge(f"m{number}")
            runs = self.fleet.count_runs(f"m{number}")
            self.assertIn((became, runs), [("whole", 1), ("not_run", 0)], told)
            self.assertEqual(became, "whole", told)

    async def test_entry_killed_and_caller_resends_to_another(self) -> None:
        """An entry dies while a charge is in progress, and the caller resends it with its
        idempotency key.

        The second entry does not know of the first request; without the key it would have the
        charge run again.
        """
        await self.faults(delay_after_seconds=0.8)
        key = await self.fleet.issue_key()
        first = asyncio.ensure_future(self.fleet.charge("resent", key=key))
        await asyncio.sleep(0.3)
        await self.fleet.entries[0].daemon.kill()
        await asyncio.gather(first, return_exceptions=True)
        became, told = await self.fleet.charge("resent", entry=1, key=key)
        later, kept = await self.fleet.charge("resent", entry=1, key=key)
        self.assertEqual(self.fleet.count_runs("resent"), 1)
        self.assertEqual((became, later), ("whole", "whole"), (told, kept))
        self.assertEqual((told["replayed"], kept["replayed"]), (True, True))
        self.assertEqual((told["run"], told["by"]), (kept["run"], kept["by"]))

    async def test_paused_sidecars_do_not_start_a_call_after_its_deadline(self) -> None:
        """Sidecars are paused with a charge in their socket buffers, and resume after its deadline.

        The caller has already received "unknown" and may have ordered elsewhere; a charge that
        starts now would be unwanted.
        """
        for name in ("tally-1", "tally-2"):
            self.fleet.members[name].daemon.send(signal.SIGSTOP)
        key = await self.fleet.issue_key()
        became, told = await self.fleet.charge("late", key=key, milliseconds=700)
        self.assertEqual(became, "unknown", told)
        for name in ("tally-1", "tally-2"):
            self.fleet.members[name].daemon.send(signal.SIGCONT)
        await asyncio.sleep(0.5)
        self.assertEqual(self.fleet.count_runs("late"), 0)
        again, told = await self.fleet.charge("late", entry=1, key=key)
        self.assertEqual((again, self.fleet.count_runs("late")), ("not_run", 0), told)
        fresh, _ = await self.fleet.charge("late", entry=1, key=told["idempotency_key"])
        self.assertEqual((fresh, self.fleet.count_runs("late")), ("whole", 1))

    async def test_an_entry_without_reports_of_the_sidecar_also_sends_the_deadline(self) -> None:
        """Sidecars are paused; an entry that has just started, and has no reports from them yet,
        gets a charge with a key that they issued. They resume and read it after its deadline.

        The caller has already received "unknown" and may have ordered elsewhere. If the deadline
        were counted from when the sidecar reads the charge, the charge would still start.
        """
        key, probe = await self.fleet.issue_key(), await self.fleet.issue_key()
        for name in ("tally-1", "tally-2"):
            self.fleet.members[name].daemon.send(signal.SIGSTOP)
        late_entry = await self.fleet.add_entry("entry-3")
        for name in ("tally-1", "tally-2"):
            await self.fleet.add_link(late_entry.name, name)
        await self.fleet.publish_list_for(late_entry.name)

        async def knows_the_owner() -> bool:
            _, told = await self.fleet.charge("probe", entry=2, key=probe, milliseconds=300)
            return told["code"] not in ("not_ready", "key_owner_not_listed")

        await self.fleet.wait_until(knows_the_owner, 10.0, "an entry that knows the owner")
        became, told = await self.fleet.charge("unheard", entry=2, key=key, milliseconds=700)
        self.assertEqual(became, "unknown", told)
        for name in ("tally-1", "tally-2"):
            self.fleet.members[name].daemon.send(signal.SIGCONT)
        await asyncio.sleep(0.5)
        self.assertEqual(self.fleet.count_runs("unheard"), 0)
        again, told = await self.fleet.charge("unheard", entry=2, key=key)
        self.assertIn(
            (again, self.fleet.count_runs("unheard")), [("whole", 1), ("not_run", 0)], told
        )

    async def test_owner_replaced_and_the_old_one_resumes(self) -> None:
        """A sidecar that handles a charge is paused and replaced; the caller resends; then the
        old sidecar resumes and still has the charge.

        If the replacement ran the charge as well, the caller would be charged twice.
        """
        key = await self.fleet.issue_key()
        for name in ("tally-1", "tally-2"):
            self.fleet.members[name].daemon.send(signal.SIGSTOP)
        first = asyncio.ensure_future(self.fleet.charge("woken", key=key, milliseconds=20000))
        await asyncio.sleep(0.3)
        old = [self.fleet.members[name] for name in ("tally-1", "tally-2")]
        for member in old:
            endpoint = (member.endpoint, member.endpoint_port)
            await self.fleet.start_sidecar(member.name, member.region, "service", (), endpoint)
            for entry in self.fleet.entries:
                await self.fleet.add_link(entry.name, member.name)
        for entry in self.fleet.entries:
            await self.fleet.publish_list_for(entry.name)
        await self.fleet.wait_until(self._has_service, 10.0, "the replacements")
        again, told = await self.fleet.charge("woken", entry=1, key=key)
        self.assertIn((again, self.fleet.count_runs("woken")), [("unknown", 0)], told)
        for member in old:
            member.daemon.send(signal.SIGCONT)
        became, _ = await first
        self.assertIn((became, self.fleet.count_runs("woken")), [("whole", 1), ("unknown", 1)])

    async def test_keys_belong_to_workspaces_and_bodies(self) -> None:
        """Another workspace uses a key that it has seen, or a caller reuses its key by mistake.

        The other workspace would read a response that is not its own; the caller would take an
        old response for that of the new charge.
        """
        key = await self.fleet.issue_key()
        self.assertEqual((await self.fleet.charge("mine", key=key))[0], "whole")
        _, told = await self.fleet.charge("mine", key=key, bearer=OTHER_KEY)
        self.assertFalse(told.get("replayed", False), told)
        reused, told = await self.fleet.charge("other", key=key)
        self.assertEqual((reused, told["status"], told["code"]), ("unknown", 422, "key_reused"))
        made_up, told = await self.fleet.charge("own", key="my-own-key-1")
        self.assertEqual((made_up, told["code"]), ("not_run", "key_not_issued"))
        handed, _ = await self.fleet.charge("own", key=told["idempotency_key"])
        self.assertEqual((handed, self.fleet.count_runs("own")), ("whole", 1))


if __name__ == "__main__":
    unittest.main()
