"""A simulation of callers, entries and engines that evaluates placement without a network."""

import collections.abc
import dataclasses
import heapq
import random

from wasabidrum.core.listed_endpoint import ListedEndpoint
from wasabidrum.core.published import EngineFigures
from wasabidrum.decisions.admission_order import AdmissionOrder, yielding_limit
from wasabidrum.decisions.demand_assignment import OwnDemand, assign_by_demand
from wasabidrum.decisions.endpoint_assignment import assign_endpoints
from wasabidrum.decisions.endpoint_choice import (
    Candidate,
    Choice,
    Demand,
    choose,
)
from wasabidrum.decisions.endpoint_load import EndpointLoad
from wasabidrum.decisions.engine_forecast import (
    extra_read_seconds,
    free_slot_seconds,
    pass_seconds,
    read_seconds,
)
from wasabidrum.decisions.first_event_limit import LIMIT_FRACTION, Caller, first_event_limit
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
# How often entries tell their demand, and for how long it is under way.
TELL_SECONDS = 0.5
LAG_SECONDS = 0.2
DATA_CENTRES = 3
# Relative traffic by data centre: callers are not spread evenly.
TRAFFIC_WEIGHTS = (1.07, 0.81, 1.12)
# The largest fraction of the time that a caller has left for which it waits before it comes back.
MAX_CALLER_WAIT_FRACTION = 1.0 / 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes:
      share: Its share of the requests.
      prompt: Mean and standard deviation of the logarithm of a prompt's tokens.
      answer: The same of an answer's tokens.
      worth: What an answer in time is worth.
      rank: Its urgency, zero for the most urgent.
      target: Seconds to the first event within which an answer has its full worth; None for that
        of the deployment.
      late_worth: The share of its worth that a later answer has; None for that of the deployment.
    """

    share: float
    prompt: tuple[float, float]
    answer: tuple[float, float]
    worth: float = 1.0
    rank: int = 0
    target: float | None = None
    late_worth: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """The load of a deployment, and the engines that serve it.

    Attributes:
      target: Seconds to the first event within which an answer has its full worth.
      late_worth: The share of its worth that a later answer has.
      comes_back: Whether a refused caller comes back once.
      patience: Seconds without an event after which a caller leaves.
      time_limit: Seconds after its first attempt at which a caller leaves.
      ordered: Whether requests are placed, and wait at engines, in the order of their ranks.
    """

    figures: EngineFigures
    kinds: tuple[Kind, ...]
    target: float = FIRST_EVENT_TARGET_SECONDS
    late_worth: float = 0.25
    comes_back: bool = False
    patience: float = float("inf")
    time_limit: float = float("inf")
    ordered: bool = False

    def target_of(self, kind: Kind) -> float:
        """Returns the seconds within which a kind's first event is on time."""
        return self.target if kind.target is None else kind.target

    def late_worth_of(self, kind: Kind) -> float:
        """Returns the share of its worth that a late answer of a kind has."""
        return self.late_worth if kind.late_worth is None else kind.late_worth


USUAL_WORK = Work(FIGURES, (Kind(1.0, (6.6, 0.7), (4.2, 0.7)),))
# Smaller engines with quicker steps, longer events, and callers that come back.
SHORT_STEPS_WORK = Work(
    EngineFigures(
        slots=12,
        step=0.0074,
        step_per_request=0.0000387,
        step_per_thousand_context=0.0000203,
        read_rate=31_900.0,
        read_per_million_pairs=0.000733,
        read_chunk=2048,
        stride=7,
        usual_prompt=908.0,
        usual_answer=111.0,
        report_lag=0.2,
    ),
    (
        Kind(0.334, (6.85, 0.75), (4.6, 0.6), 2.4),
        Kind(0.405, (6.35, 0.75), (4.65, 0.5), 2.1),
        Kind(0.261, (6.1, 0.75), (4.0, 0.6), 1.4),
    ),
    target=0.4,
    comes_back=True,
    patience=3.2,
    time_limit=6.0,
)
# Three kinds of different urgency; the least urgent one has the longest objective.
RANKED_WORK = Work(
    EngineFigures(
        slots=12,
        step=0.00673,
        step_per_request=0.0000219,
        step_per_thousand_context=0.0000068,
        read_rate=30_600.0,
        read_per_million_pairs=0.000647,
        read_chunk=2048,
        stride=7,
        usual_prompt=942.0,
        usual_answer=125.0,
        report_lag=0.2,
    ),
    (
        Kind(0.328, (6.85, 0.75), (4.7, 0.7), 3.7, 0, 0.4, 0.1),
        Kind(0.393, (6.35, 0.75), (4.75, 0.6), 1.7, 1, 0.4, 0.25),
        Kind(0.278, (6.1, 0.75), (4.0, 0.7), 0.51, 2, 0.8, 0.37),
    ),
    comes_back=True,
    patience=2.0,
    time_limit=6.0,
)


@dataclasses.dataclass(slots=True)
class Job:
    """A request of the simulated load.

    Attributes:
      arrived: When its caller sent it last.
      began: When its caller sent it first.
      attempt: How often its caller has come back.
      kind: Its kind.
    """

    arrived: float
    prompt: int
    answer: int
    entry: int
    first_event: float | None = None
    forecast: float = 0.0
    refused: bool = False
    began: float = 0.0
    worth: float = 1.0
    attempt: int = 0
    kind: Kind | None = None

    def earned(self, work: Work) -> float:
        """Returns what its answer is worth to its caller."""
        if self.first_event is None:
            return 0.0
        in_time = self.first_event - self.began <= work.target_of(self.kind)
        return self.worth * (1.0 if in_time else work.late_worth_of(self.kind))


class FakeEngine:
    """A simulated engine that runs in passes, with the times of the published figures."""

    def __init__(self, pace: float = 1.0, figures: EngineFigures = FIGURES) -> None:
        self.pace = pace
        self.figures = figures
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
        figures = self.figures
        while self.waiting and len(self.running) < figures.slots:
            job = self.waiting.pop(0)
            seconds += read_seconds(figures, job.prompt)
            self.running.append([job, job.answer])
            if seconds > 0.1:
                break
        seconds = (seconds + pass_seconds(figures, len(self.running))) * self.pace
        self.ended = []
        for item in list(self.running):
            job = item[0]
            if job.first_event is None:
                job.first_event = now + seconds
            item[1] -= figures.stride
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
        self.refusals = RequestRate()
        self.order = AdmissionOrder()
        self._biases: dict[int, ForecastBias] = {}
        self.own_demand = OwnDemand()
        self.address = ("entry", number)
        self._endpoints = endpoints
        self._others = entries - 1
        peer_entries = [("entry", n) for n in range(number % data_centres, entries, data_centres)]
        self._peer_entries = peer_entries
        near = self._near = [e.id for e in endpoints if e.data_centre == self.data_centre]
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

    def bias(self, rank: int) -> ForecastBias:
        """Returns the forecast errors of a rank."""
        return self._biases.setdefault(rank, ForecastBias())

    def assign(self, told: dict[str, dict[tuple[str, int], float]]) -> None:
        """Assigns engines by the demands that the entries of each data centre have told."""
        assigned = assign_by_demand(self._near, self._peer_entries, told[self.data_centre])
        self._first = assigned[self.address]

    def refused_share(self, now: float) -> float:
        """Returns the fraction of recent requests that this entry refused."""
        refused = self.refusals.per_second(now)
        return refused / max(1.0, refused + self.rate.per_second(now))

    def demand(self, prompt: int, latest: float, now: float, rank: int | None = None) -> Demand:
        """Returns the demand of a request at this entry."""
        rate = self.rate.per_second(now) * self._others / len(self._endpoints)
        corrections = self.bias(rank or 0).corrections(now)
        share = self.refused_share(now)
        return Demand(prompt, latest, False, rate, corrections, share, rank=rank)


class Replay:
    """Simulates callers at a given rate, and entries whose reports are a third of a second old."""

    def __init__(
        self,
        engines: list[FakeEngine],
        entries: int,
        latest: float | None,
        share: bool = True,
        work: Work = USUAL_WORK,
        seed: int = 5,
        weight_at: collections.abc.Callable[[int, float], float] | None = None,
        by_demand: bool = False,
    ) -> None:
        """Creates a simulation.

        Args:
          latest: The latest forecast with which a request is placed; None to decide it by
            first_event_limit.
          weight_at: Relative traffic of an entry by its number and the time; None for that of its
            data centre.
          by_demand: Whether engines are assigned by the demands that entries tell.
        """
        self._rng = random.Random(seed)
        self._engines = engines
        self._latest = latest
        self._work = work
        self._weight_at = weight_at
        self._by_demand = by_demand
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
        self._ranks: dict[int, int] = {}
        self._first_event_recorded: set[int] = set()
        # Refused callers that come back, by the number in their event.
        self._returning: list[Job] = []
        self._told: dict[str, dict[tuple[str, int], float]] = {}
        self._heard: dict[str, dict[tuple[str, int], float]] = {}
        self.jobs: list[Job] = []

    def play(self, rate: float, seconds: float = 20.0) -> list[Job]:
        """Runs the simulation and returns the jobs that arrived after the first five seconds."""
        return self.play_steps([(seconds, rate)])

    def play_steps(self, steps: list[tuple[float, float]], after: float = 5.0) -> list[Job]:
        """Runs the simulation with rates that change, each until a time.

        Returns:
          The jobs whose callers sent them first after some time.
        """
        when = 0.0
        for until, rate in steps:
            while when < until:
                when += self._rng.expovariate(rate)
                self._at(when, "arrive", 0)
        count = len(self._engines)
        for tick in range(int(steps[-1][0] / REPORT_SECONDS)):
            for number in range(count):
                self._at((tick + number / count) * REPORT_SECONDS, "report", number)
        if self._by_demand:
            for tick in range(int(steps[-1][0] / TELL_SECONDS)):
                self._at(tick * TELL_SECONDS, "tell", 0)
        handlers = {
            "arrive": self._arrive,
            "return": self._return,
            "report": self._report,
            "tell": self._tell,
            "hear": self._hear,
            "pass": self._run_pass,
        }
        while self._events:
            now, _, kind, number = heapq.heappop(self._events)
            handlers[kind](now, number)
        return [job for job in self.jobs if job.began > after]

    def _at(self, when: float, kind: str, number: int) -> None:
        heapq.heappush(self._events, (when, next(self._order), kind, number))

    def _report(self, now: float, number: int) -> None:
        engine = self._engines[number]
        running, waiting = engine.lagged_report(now)
        for entry in self.entries:
            load = entry.loads[self._endpoints[number].id]
            load.record_report(running, waiting, engine.pace, now, LAG_SECONDS)

    def _tell(self, now: float, _: int) -> None:
        """Entries tell their demands, which all others know after TELL_SECONDS."""
        total = sum(sum(demands.values()) for demands in self._told.values())
        for entry in self.entries:
            told = entry.own_demand.told(total / len(self._engines), now)
            demands = self._told.setdefault(entry.data_centre, {})
            if told is not None:
                demands[entry.address] = told
        self._heard = {centre: dict(demands) for centre, demands in self._told.items()}
        self._at(now + TELL_SECONDS, "hear", 0)

    def _hear(self, now: float, _: int) -> None:
        for entry in self.entries:
            entry.assign(self._heard)

    def _weights(self, entries: list[int], now: float) -> list[float]:
        if self._weight_at is None:
            return [self.entries[number].weight for number in entries]
        return [self._weight_at(number, now) for number in entries]

    def _arrive(self, now: float, _: int) -> None:
        rng = self._rng
        kinds = self._work.kinds
        kind = kinds[0]
        if len(kinds) > 1:
            kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
        prompt = min(3880, max(60, int(rng.lognormvariate(*kind.prompt))))
        weights = self._weights(list(range(len(self.entries))), now)
        number = rng.choices(range(len(self.entries)), weights)[0]
        answer = max(5, int(rng.lognormvariate(*kind.answer)))
        job = Job(now, prompt, answer, number, began=now, worth=kind.worth, kind=kind)
        self.jobs.append(job)
        self._place(job, now)

    def _return(self, now: float, number: int) -> None:
        job = self._returning[number]
        centre = self.entries[job.entry].data_centre
        near = [n for n, entry in enumerate(self.entries) if entry.data_centre == centre]
        number = self._rng.choice(near)
        if self._weight_at is not None:
            number = self._rng.choices(near, self._weights(near, now))[0]
        job.entry, job.arrived, job.attempt = number, now, job.attempt + 1
        self._place(job, now)

    def _place(self, job: Job, now: float) -> None:
        entry = self.entries[job.entry]
        entry.own_demand.record(now)
        demand = self._demand(job, now)
        rank = demand.rank or 0
        choice = choose(entry.candidates(), self._work.figures, demand, now, self._rng)
        if self._work.ordered:
            admitted = choice.candidate is not None
            entry.order.record(job.kind.rank, admitted, now, job.attempt > 0)
        if choice.candidate is None:
            self._refuse(job, choice, now)
            return
        job.refused = False
        job.forecast = choice.uncorrected_seconds
        choice.candidate.load.record_placed(job.prompt, now, rank=rank)
        self._ranks[id(job)] = rank
        entry.rate.record(now)
        place = self._endpoints.index(choice.candidate.endpoint)
        self._placements[id(job)] = place
        engine = self._engines[place]
        engine.waiting.append(job)
        engine.waiting.sort(key=lambda waiting: self._ranks[id(waiting)])
        if engine.free_at <= now:
            engine.free_at = now + 1e-9
            self._at(engine.free_at, "pass", place)

    def _demand(self, job: Job, now: float) -> Demand:
        entry = self.entries[job.entry]
        if self._latest is not None:
            return entry.demand(job.prompt, self._latest, now)
        extra = extra_read_seconds(self._work.figures, job.prompt)
        room = free_slot_seconds(self._work.figures, job.prompt)
        target = self._work.target_of(job.kind)
        caller = Caller(target, extra, job.attempt > 0, room)
        if not self._work.ordered:
            limit = first_event_limit(caller, entry.refused_share(now))
            return entry.demand(job.prompt, limit, now)
        rank = entry.order.admission_rank(job.kind.rank, now)
        limit = first_event_limit(caller, entry.order.refused_share(rank, now))
        urgent = entry.order.urgent_refused_share(rank, now)
        limit = yielding_limit(limit, target, room, urgent)
        return entry.demand(job.prompt, limit, now, rank)

    def _refuse(self, job: Job, choice: Choice, now: float) -> None:
        job.refused = True
        self.entries[job.entry].refusals.record(now)
        if not self._work.comes_back or job.attempt:
            return
        left = job.began + self._work.time_limit - now
        wait = min(choice.retry_after, MAX_CALLER_WAIT_FRACTION * left)
        self._returning.append(job)
        self._at(now + wait, "return", len(self._returning) - 1)

    def _run_pass(self, now: float, number: int) -> None:
        engine = self._engines[number]
        for job in [item[0] for item in engine.running] + engine.ended:
            self._record_first_event(job, number, now)
        for job in engine.ended:
            self._load(job, number).record_ended(job.prompt, True)
        engine.ended = []
        for job in [job for job in engine.waiting if self._has_left(job, now)]:
            engine.waiting.remove(job)
            self._load(job, number).record_ended(job.prompt, False, self._ranks[id(job)])
        if engine.requests:
            engine.free_at = engine.run_pass(now)
            self._at(engine.free_at, "pass", number)

    def _has_left(self, job: Job, now: float) -> bool:
        return now > min(job.arrived + self._work.patience, job.began + self._work.time_limit)

    def _record_first_event(self, job: Job, number: int, now: float) -> None:
        if id(job) in self._first_event_recorded:
            return
        self._first_event_recorded.add(id(job))
        rank = self._ranks[id(job)]
        self._load(job, number).record_first_event(job.prompt, now, rank)
        self.entries[job.entry].bias(rank).record(job.forecast, now - job.arrived, now)

    def _load(self, job: Job, number: int) -> EndpointLoad:
        return self.entries[job.entry].loads[self._endpoints[number].id]


def replay(
    rate: float,
    engines: int | list[FakeEngine],
    latest: float = FIRST_EVENT_TARGET_SECONDS * LIMIT_FRACTION,
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


def earned_share(jobs: list[Job], work: Work) -> float:
    """Returns the share of what answers in time are worth that callers got."""
    return sum(job.earned(work) for job in jobs) / sum(job.worth for job in jobs)
