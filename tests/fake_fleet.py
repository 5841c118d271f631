"""Fakes of engines, endpoint tables and callers, for tests of an entry on a simulated clock.

The decisions under test are the real ones; only processes and the network are replaced.
"""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import random

import logbook
import looptime

from wasabidrum.core.errors import CodedError
from wasabidrum.core.fleet import Fleet, FleetRevision, WorkspaceSpec
from wasabidrum.core.instance import Instance, InstanceRole
from wasabidrum.core.load import Load
from wasabidrum.core.status import Status
from wasabidrum.decisions import poison
from wasabidrum.decisions.death_record import DeathRecord
from wasabidrum.entry.endpoint_table import EndpointView
from wasabidrum.entry.request_scheduler import RequestScheduler
from wasabidrum.entry.work_item import Priority, WorkItem
from wasabidrum.observe.event_log import EventLog

MODEL = "summaries"
SERVICE = "tally"
STATUS_SECONDS = 0.25


def run_with_paused_clock(work) -> object:
    """Runs a coroutine on an event loop whose clock jumps to the next timer."""
    loop = looptime.new_event_loop(start=1000.0, noop_cycles=0)
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()


class FakeEngine:
    """A simulated engine: slots, a queue, a decode time per token, and injected faults."""

    def __init__(self, name: str, slots: int, token_seconds: float) -> None:
        self.name = name
        self.slots = slots
        self.token_seconds = token_seconds
        self.refusing = False
        self.poison_text = ""
        self.silent = False
        self.runs: collections.Counter[str] = collections.Counter()
        self.attempts = 0
        self.deaths = 0
        self.most_running = 0
        self.record = DeathRecord()
        self.running: set[asyncio.Task] = set()
        self.prompts: dict[asyncio.Task, str] = {}
        self.waiters: list[tuple[int, int, asyncio.Future]] = []
        self._order = itertools.count()
        self._incarnation = 1
        self._sequence = 0

    def status(self) -> Status:
        """Returns the status that the engine's sidecar would report."""
        self._sequence += 1
        now = asyncio.get_running_loop().time()
        return Status(
            name=self.name,
            role=InstanceRole.SIDECAR,
            incarnation=str(self._incarnation),
            sequence=self._sequence,
            model=MODEL,
            version="v1",
            load=Load(len(self.running), len(self.waiters), self.slots),
            suspects=self.record.suspects(now),
        )

    async def run(self, prompt: str, tokens: int, priority: int, progressed) -> None:
        """Runs one request, and calls progressed for each token."""
        self.attempts += 1
        if self.refusing:
            raise CodedError("engine_refused", "refused", 503)
        task = asyncio.current_task()
        self.prompts[task] = prompt
        try:
            await self._take_slot(priority)
            self.running.add(task)
            self.most_running = max(self.most_running, len(self.running))
            try:
                self.runs[prompt] += 1
                if self.poison_text and self.poison_text in prompt:
                    self._die()
                for _ in range(tokens):
                    await asyncio.sleep(self.token_seconds)
                    while self.silent:
                        await asyncio.sleep(0.1)
                    progressed(1)
            finally:
                self.running.discard(task)
                self._free_slot()
        except asyncio.CancelledError:
            if task not in self.prompts:
                raise CodedError("engine_lost", "the engine died", 502) from None
            raise
        finally:
            self.prompts.pop(task, None)

    def _die(self) -> None:
        self.deaths += 1
        now = asyncio.get_running_loop().time()
        lost, self.prompts = self.prompts, {}
        for task, prompt in lost.items():
            self.record.record_lost(poison.fingerprint_of(prompt), now)
            if task is not asyncio.current_task():
                task.cancel()
        raise CodedError("engine_lost", "the engine died", 502)

    async def _take_slot(self, priority: int) -> None:
        if len(self.running) < self.slots:
            return
        slot_free = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiters, (priority, next(self._order), slot_free))
        await slot_free

    def _free_slot(self) -> None:
        while self.waiters and len(self.running) < self.slots:
            _, _, slot_free = heapq.heappop(self.waiters)
            if not slot_free.done():
                slot_free.set_result(None)
                return


class FakeTable:
    """The endpoint table of one entry, updated only when a test delivers reports."""

    def __init__(self, engines: list[FakeEngine], data_centres: dict[str, str]) -> None:
        self.views = [
            EndpointView(
                Instance(
                    engine.name,
                    InstanceRole.SIDECAR,
                    data_centres.get(engine.name, "r-1")[0],
                    data_centres.get(engine.name, "r-1"),
                    "127.0.0.1",
                    1000 + number,
                    0,
                )
            )
            for number, engine in enumerate(engines)
        ]
        self.engines = engines

    def candidates(self, model: str, service: str) -> list[EndpointView]:
        """See EndpointTable."""
        return [view for view in self.views if view.status is not None]

    async def wait_until_heard(
        self, model: str, service: str, deadline: float, tried: frozenset[str] = frozenset()
    ) -> bool:
        """See EndpointTable; does not wait, as if engines without a report would never send one."""
        return False

    def record_status(self, status: Status) -> None:
        """See EndpointTable."""

    def deliver_reports(self, lag: float = 0.0, lost: bool = False) -> None:
        """Delivers a report of each engine after a lag; if reports are lost, only an engine's
        first."""
        loop = asyncio.get_running_loop()
        for view, engine in zip(self.views, self.engines, strict=True):
            if view.status is None or not lost:
                loop.call_later(lag, self._apply, view, engine.status())

    def _apply(self, view: EndpointView, status: Status) -> None:
        view.status = status
        view.heard_at = asyncio.get_running_loop().time()


@dataclasses.dataclass(slots=True)
class Answer:
    """The response that one caller received, and when."""

    workspace: str
    became: str
    first: float
    total: float
    retry_after: float | None = None
    began: float = 0.0


class FakeFollower:
    """A configuration with shares and rate limits (tokens a second) of workspaces."""

    def __init__(self, shares: dict[str, float], limits: dict[str, float]) -> None:
        spaces = {
            name: WorkspaceSpec(
                (), share=shares.get(name, 1.0), tokens_per_second=limits.get(name, 0.0)
            )
            for name in {*shares, *limits}
        }
        self.current = FleetRevision(1, "", Fleet(1, workspaces=spaces))


class FakeFleet:
    """Simulated engines, and entries that make the real decisions."""

    def __init__(
        self,
        engines: int = 4,
        slots: int = 4,
        entries: int = 1,
        token_seconds: float = 0.02,
        shares: dict[str, float] | None = None,
        data_centres: dict[str, str] | None = None,
        seed: int = 1,
        make_scheduler=RequestScheduler,
        limits: dict[str, float] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.engines = [FakeEngine(f"e{i}", slots, token_seconds) for i in range(engines)]
        log = EventLog(logbook.Logger("test", level=logbook.CRITICAL), "test")
        self.tables = [FakeTable(self.engines, data_centres or {}) for _ in range(entries)]
        follower = FakeFollower(shares or {}, limits or {})
        self.schedulers = [
            make_scheduler(
                table, log, follower, "r", "r-1", random.Random(seed + n), lambda: entries
            )
            for n, table in enumerate(self.tables)
        ]
        self.answers: list[Answer] = []
        self.by_name = {engine.name: engine for engine in self.engines}
        self.report_lag = 0.0
        self.reports_lost = False
        self._tasks: set[asyncio.Task] = set()
        self._numbers = itertools.count()

    @property
    def placed(self) -> collections.Counter:
        """The number of attempts by engine name."""
        return collections.Counter({engine.name: engine.attempts for engine in self.engines})

    async def start(self) -> None:
        """Delivers first reports to every entry, and starts periodic ones."""
        self._spawn(self._report())
        await asyncio.sleep(self.report_lag + 0.01)

    async def _report(self) -> None:
        while True:
            for table in self.tables:
                table.deliver_reports(self.report_lag, self.reports_lost)
            await asyncio.sleep(STATUS_SECONDS)

    def _spawn(self, work) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def ask(
        self,
        workspace: str = "w",
        tokens: int = 10,
        prompt: str = "",
        deadline: float = 30.0,
        entry: int = 0,
        priority: Priority = Priority.GENERATE,
    ) -> Answer:
        """Sends one request as a caller would, and records its outcome."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        number = next(self._numbers)
        item = WorkItem(
            request_id=f"r{number}",
            workspace=workspace,
            priority=priority,
            deadline=began + deadline,
            idempotent=True,
            model=MODEL,
            prompt=prompt or f"prompt {number}",
            max_tokens=tokens,
        )
        answer = Answer(workspace, "lost", 0.0, 0.0, began=began)
        try:
            async with asyncio.timeout(deadline):
                await self._serve(self.schedulers[entry], item, answer)
            answer.became = "whole"
        except TimeoutError:
            answer.became = "late"
        except CodedError as error:
            answer.became = error.code
            answer.retry_after = error.retry_after
        answer.total = loop.time() - began
        self.answers.append(answer)
        return answer

    async def _serve(self, scheduler: RequestScheduler, item: WorkItem, answer: Answer) -> None:
        permit = await scheduler.admit(item)
        tried: set[str] = set()
        try:
            while True:
                try:
                    await self._attempt(scheduler, item, answer, tried)
                    return
                except CodedError as error:
                    if error.code in ("no_endpoint", "request_blocked"):
                        raise
                    if not scheduler.may_retry(item):
                        raise
                    await asyncio.sleep(scheduler.retry_delay(item))
        finally:
            permit.release()

    async def _attempt(self, scheduler, item: WorkItem, answer: Answer, tried: set[str]) -> None:
        placement = scheduler.place(item, frozenset(tried))
        tried.add(placement.view.instance.name)
        engine = self.by_name[placement.view.instance.name]
        loop = asyncio.get_running_loop()

        def progressed(tokens: int) -> None:
            answer.first = answer.first or loop.time() - answer.began
            placement.record_tokens(tokens)

        code = "cancelled"
        try:
            await engine.run(item.prompt, item.max_tokens, item.engine_priority, progressed)
            code = ""
        except CodedError as error:
            code = error.code
            raise
        finally:
            placement.end(code)

    async def arrive(self, per_second: float, seconds: float, **asked: object) -> None:
        """Sends requests at random times, without waiting for earlier ones."""
        loop = asyncio.get_running_loop()
        rng = random.Random(self.rng.random())
        ends = loop.time() + seconds
        tasks = []
        while loop.time() < ends:
            await asyncio.sleep(rng.expovariate(per_second))
            chosen = dict(asked)
            if len(self.schedulers) > 1:
                chosen["entry"] = rng.randrange(len(self.schedulers))
            tasks.append(self._spawn(self.ask(**chosen)))
        await asyncio.gather(*tasks)

    def stop(self) -> None:
        """Cancels the background tasks."""
        for task in self._tasks:
            task.cancel()


def percentile(values: list[float], part: float) -> float:
    """Returns the value that a given fraction of all values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0
