"""A caller that resends as the callers' documentation says, and records every outcome."""

import asyncio
import collections
import dataclasses
import json
import random

from tornado import httpclient

from .caller import Caller
from .outcomes_fleet import OutcomesFleet

RESENDS = 4
PAUSE_SECONDS = 0.7
DEADLINE_MILLISECONDS = 4000
TOKENS = 8


@dataclasses.dataclass(slots=True)
class ChargeRecord:
    """A charge: how it was sent, and the outcome, code and key of each attempt."""

    kind: str
    outcomes: list[str] = dataclasses.field(default_factory=list)
    codes: list[str] = dataclasses.field(default_factory=list)
    keys: list[str] = dataclasses.field(default_factory=list)


class OutcomesCaller:
    """Sends charges, quotes, reads and model requests at random times."""

    def __init__(self, fleet: OutcomesFleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self.charges: dict[str, ChargeRecord] = {}
        self.checker = Caller([], seed)
        self.live_entries = list(range(len(fleet.entries)))

    async def run_open_loop(self, per_second: float, calls: int) -> None:
        """Sends a number of calls at random times, without waiting for earlier answers."""
        running: set[asyncio.Task] = set()
        for number in range(calls):
            await asyncio.sleep(self._random.expovariate(per_second))
            task = asyncio.ensure_future(self._choose(f"m{number}"))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    def _choose(self, mark: str):
        kind = self._random.random()
        if kind < 0.35:
            return self.charge(mark, "keyed")
        if kind < 0.65:
            return self.charge(mark, "unkeyed")
        if kind < 0.75:
            return self.charge(mark, "quote")
        self.checker.entry_ports = [
            self._fleet.entries[index].caller_port for index in self.live_entries
        ]
        if kind < 0.85:
            return self.checker.read()
        return self.checker.generate(f"shop {self._random.randrange(500)}", TOKENS, kind < 0.95)

    async def charge(self, mark: str, kind: str) -> ChargeRecord:
        """Sends a charge until its outcome is known or RESENDS attempts were made."""
        record = self.charges[mark] = ChargeRecord(kind)
        key = await self._issue() if kind == "keyed" else ""
        for attempt in range(RESENDS):
            if key:
                record.keys.append(key)
            became, told = await self._send(mark, kind, key)
            record.outcomes.append(became)
            record.codes.append(told.get("code", ""))
            if became == "not_run" and kind == "keyed":
                key = told.get("idempotency_key") or await self._issue()
            elif became == "unknown" and kind == "unkeyed":
                key = told.get("idempotency_key", "")
            resend = kind != "unkeyed" or bool(key)
            if became in ("whole", "wrong") or not resend:
                break
            if became == "not_run" and kind == "unkeyed":
                break
            await asyncio.sleep(PAUSE_SECONDS * (attempt + 1))
        return record

    async def _issue(self) -> str:
        for _ in range(RESENDS):
            try:
                return await self._fleet.issue_key(self._random.choice(self.live_entries))
            except (OSError, httpclient.HTTPError):
                await asyncio.sleep(PAUSE_SECONDS)
        return ""

    async def _send(self, mark: str, kind: str, key: str) -> tuple[str, dict]:
        path = "quote" if kind == "quote" else "charge"
        entry = self._random.choice(self.live_entries)
        try:
            return await self._fleet.charge(mark, entry, key, DEADLINE_MILLISECONDS, path=path)
        except (OSError, httpclient.HTTPError, json.JSONDecodeError):
            return "lost", {}

    def judge(self) -> dict[str, object]:
        """Compares the reported outcomes with the journals of the services; returns counts."""
        runs: collections.Counter = collections.Counter()
        for journal in self._fleet.folder.glob("*.journal"):
            runs.update(journal.read_text().split())
        charges = {m: r for m, r in self.charges.items() if r.kind != "quote" and r.outcomes}
        quotes = [m for m, r in self.charges.items() if r.kind == "quote"]
        false_not_run = [
            mark
            for mark, record in charges.items()
            if record.outcomes[-1] == "not_run" and runs[mark]
        ]
        firsts = collections.Counter(record.outcomes[0] for record in charges.values())
        lasts = collections.Counter(record.outcomes[-1] for record in charges.values())
        counts = self.checker.counts
        return {
            "calls": len(self.charges) + counts["requests"],
            "charges": len(charges),
            "double_runs": [mark for mark in charges if runs[mark] > 1],
            "false_not_run": false_not_run,
            "lost_runs": [
                m for m, r in charges.items() if r.outcomes[-1] == "whole" and not runs[m]
            ],
            "wrong": firsts["wrong"] + lasts["wrong"] + counts["wrong"] + counts["mixed"],
            "partial": [p for p in self.checker.problems if p.startswith("lost")],
            "first_told": dict(firsts),
            "last_told": dict(lasts),
            "unknown_codes": collections.Counter(
                record.codes[-1] for record in charges.values() if record.outcomes[-1] == "unknown"
            ),
            "naive_quotes": len(quotes),
            "naive_double_runs": sum(runs[mark] > 1 for mark in quotes),
            "others": dict(counts),
        }
