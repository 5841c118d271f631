"""A simulation of callers, entries and engines that evaluates placement without a network."""

import dataclasses
import heapq
import random

from wasabidrum.core.listed_endpoint import ListedEndpoint
from wasabidrum.core.published import EngineFigures
from wasabidrum.decisions.endpoint_assignment import assign_endpoints
from wasabidrum.decisions.endpoint_choice import (
    FIRST_EVENT_LIMIT_FRACTION,
    Candidate,
    Demand,
    choose,
)
from wasabidrum.decisions.endpoint_load import EndpointLoad
from wasabidrum.decisions.engine_forecast import pass_seconds, read_seconds
from wasabidrum.decisions.forecast_bias import ForecastBias
from wasabidrum.decisions.request_rate import RequestRate

FIGURES = EngineFigures(
    slots=16,
    step=0.00927,
    step_per_request=0.0000232,
    step_per_thousand_context=0.0000322,
    read_rate=20_700.0,
    read_per_million_pairs=0.00118,
    read_chunk=2048,
    stride=5,
    usual_prompt=979.0,
    usual_answer=92.0,
)
FIRST_EVENT_TARGET_SECONDS = 0.45
REPORT_SECONDS = 0.15
LAG_SECONDS = 0.2
DATA_CENTRES = 3
# Relative traffic by data centre: callers are not spread evenly.
TRAFFIC_WEIGHTS = (1.07, 0.81, 1.12)


@dataclasses.dataclass(slots=True)
class Job:
    """A request of the simulated load."""

    arrived: float
    prompt: int
    answer: int
    entry: int
    first_event: float | None = None
    forecast: float = 0.0
    refused: bool = False


class FakeEngine:
    """A simulated engine that runs in passes, with the times of the published figures."""

    def __init__(self, pace: float = 1.0) -> None:
        self.pace = pace
        self.waiting: list[Job] = []
        self.running: list[list] = []
        self.ended: list[Job] = []
        self.free_at = 0.0
        self._reports: list[tuple[float, int, int]] = []

    def lagged_report(self, now: float) -> tuple[int, int]:
        """Returns how many requests ran and waited some time ago, as engines' reports lag."""
        self._reports.append((now, len(self.running), len(self.waiting)))
        while len(self._reports) > 1 and self._reports[1][0] <= now - LAG_SECONDS:
            self._reports.pop(0)
        return self._reports[0][1:]

    @property
    def requests(self) -> int:
        """The number of requests that run or wait."""
        return len(self.waiting) + len(self.running)

    def run_pass(self, now: float) -> float:
        """Runs one pass and returns when it ends."""
        seconds = 0.0
        while self.waiting and len(self.running) < FIGURES.slots:
            job = self.waiting.pop(0)
            seconds += read_seconds(FIGURES, job.prompt)
            self.running.append([job, job.answer])
            if seconds > 0.1:
                break
        seconds = (seconds + pass_seconds(FIGURES, len(self.running))) * self.pace
        self.ended = []
        for item in list(self.running):
            job = item[0]
            if job.first_event is None:
                job.first_event = now + seconds
            item[1] -= FIGURES.stride
            if item[1] <= 0:
                self.running.remove(item)
                self.ended.append(job)
        return now + seconds


class FakeEntry:
    """The state of one entry: loads of endpoints, and the endpoints that it prefers."""

    def __init__(self, number: int, entries: int, endpoints: list[ListedEndpoint], share: bool):
        rng = random.Random(number)
        data_centres = min(DATA_CENTRES, entries)
        self.data_centre = str(number % data_centres)
        self.weight = TRAFFIC_WEIGHTS[number % data_centres]
        self.loads = {endpoint.id: EndpointLoad(rng) for endpoint in endpoints}
        self.rate = RequestRate()
        self.bias = ForecastBias()
        self._endpoints = endpoints
        self._others = entries - 1
        peer_entries = [("entry", n) for n in range(number % data_centres, entries, data_centres)]
        near = [e.id for e in endpoints if e.data_centre == self.data_centre]
        self._first = (
            assign_endpoints(near, peer_entries, ("entry", number))
            if share
            else frozenset(self.loads)
        )

    def candidates(self) -> list[Candidate]:
        """Returns every endpoint as a candidate."""
        return [
            Candidate(e, self.loads[e.id], e.data_centre == self.data_centre, e.id in self._first)
            for e in self._endpoints
        ]

    def demand(self, prompt: int, latest: float, now: float) -> Demand:
        """Returns the demand of a request at this entry."""
        rate = self.rate.per_second(now) * self._others / len(self._endpoints)
        return Demand(prompt, latest, False, rate, self.bias.corrections(now))


class Replay:
    """Simulates callers at a given rate, and entries whose reports are a third of a second old."""

    def __init__(
        self, engines: list[FakeEngine], entries: int, latest: float, share: bool = True
    ) -> None:
        self._rng = random.Random(5)
        self._engines = engines
        self._latest = latest
        self._endpoints = [
            ListedEndpoint(
                f"e{n:02}", "s", "10.0.0.1", n, str(n % DATA_CENTRES), whole=True, weights=1
            )
            for n in range(len(engines))
        ]
        self.entries = [
            FakeEntry(number, entries, self._endpoints, share) for number in range(entries)
        ]
        self._events: list[tuple[float, int, str, int]] = []
        self._order = iter(range(10**9))
        self._placements: dict[int, int] = {}
        self._first_event_recorded: set[int] = set()
        self.jobs: list[Job] = []

    def play(self, rate: float, seconds: float = 20.0) -> list[Job]:
        """Runs the simulation and returns the jobs that arrived after the first five seconds."""
        when = 0.0
        while when < seconds:
            when += self._rng.expovariate(rate)
            self._at(when, "arrive", 0)
        count = len(self._engines)
        for tick in range(int(seconds / REPORT_SECONDS)):
            for number in range(count):
                self._at((tick + number / count) * REPORT_SECONDS, "report", number)
        steps = {"arrive": self._arrive, "report": self._report, "pass": self._run_pass}
        while self._events:
            now, _, kind, number = heapq.heappop(self._events)
            steps[kind](now, number)
        return [job for job in self.jobs if job.arrived > 5.0]

    def _at(self, when: float, kind: str, number: int) -> None:
        heapq.heappush(self._events, (when, next(self._order), kind, number))

    def _report(self, now: float, number: int) -> None:
        engine = self._engines[number]
        running, waiting = engine.lagged_report(now)
        for entry in self.entries:
            load = entry.loads[self._endpoints[number].id]
            load.record_report(running, waiting, engine.pace, now, LAG_SECONDS)

    def _arrive(self, now: float, _: int) -> None:
        rng = self._rng
        prompt = min(3880, max(60, int(rng.lognormvariate(6.6, 0.7))))
        weights = [entry.weight for entry in self.entries]
        number = rng.choices(range(len(self.entries)), weights)[0]
        job = Job(now, prompt, max(5, int(rng.lognormvariate(4.2, 0.7))), number)
        self.jobs.append(job)
        entry = self.entries[number]
        demand = entry.demand(prompt, self._latest, now)
        choice = choose(entry.candidates(), FIGURES, demand, now, rng)
        if choice.candidate is None:
            job.refused = True
            return
        job.forecast = choice.uncorrected_seconds
        choice.candidate.load.record_placed(prompt, now)
        entry.rate.record(now)
        place = self._endpoints.index(choice.candidate.endpoint)
        self._placements[id(job)] = place
        engine = self._engines[place]
        engine.waiting.append(job)
        if engine.free_at <= now:
            engine.free_at = now + 1e-9
            self._at(engine.free_at, "pass", place)

    def _run_pass(self, now: float, number: int) -> None:
        engine = self._engines[number]
        for job in [item[0] for item in engine.running] + engine.ended:
            self._record_first_event(job, number, now)
        for job in engine.ended:
            self._load(job, number).record_ended(job.prompt, True)
        engine.ended = []
        if engine.requests:
            engine.free_at = engine.run_pass(now)
            self._at(engine.free_at, "pass", number)

    def _record_first_event(self, job: Job, number: int, now: float) -> None:
        if id(job) in self._first_event_recorded:
            return
        self._first_event_recorded.add(id(job))
        self._load(job, number).record_first_event(job.prompt, now)
        self.entries[job.entry].bias.record(job.forecast, now - job.arrived, now)

    def _load(self, job: Job, number: int) -> EndpointLoad:
        return self.entries[job.entry].loads[self._endpoints[number].id]


def replay(
    rate: float,
    engines: int | list[FakeEngine],
    latest: float = FIRST_EVENT_TARGET_SECONDS * FIRST_EVENT_LIMIT_FRACTION,
    entries: int = 3,
    share: bool = True,
) -> list[Job]:
    """Simulates callers at a given rate; see Replay."""
    if isinstance(engines, int):
        engines = [FakeEngine() for _ in range(engines)]
    return Replay(engines, entries, latest, share).play(rate)


def on_time(jobs: list[Job]) -> float:
    """Returns how many requests a second got their first event within the target time."""
    good = [
        job
        for job in jobs
        if job.first_event is not None
        and job.first_event - job.arrived <= FIRST_EVENT_TARGET_SECONDS
    ]
    return len(good) / 15.0
