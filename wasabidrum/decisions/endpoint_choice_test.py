"""Where requests go and who is refused, under the loads that the choice is made for."""

import dataclasses
import heapq
import random
import statistics
import unittest

from ..core.listed_endpoint import ListedEndpoint
from ..core.published import EngineFigures
from .endpoint_choice import (
    LATEST_FRACTION,
    LONGEST_RETRY_SECONDS,
    Candidate,
    choose,
    forecast,
)
from .endpoint_load import EndpointLoad
from .engine_forecast import EngineWork, first_event_seconds, pass_seconds, read_seconds

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
AIM_SECONDS = 0.45
REPORT_SECONDS = 0.2


@dataclasses.dataclass(slots=True)
class Job:
    """A request of the replayed load."""

    arrived: float
    prompt: int
    answer: int
    entry: int
    first_event: float | None = None
    refused: bool = False


class FakeEngine:
    """Works in passes, by the published figures."""

    def __init__(self, pace: float = 1.0) -> None:
        self.pace = pace
        self.waiting: list[Job] = []
        self.running: list[list] = []
        self.ended: list[Job] = []
        self.free_at = 0.0

    @property
    def requests(self) -> int:
        """How many run or wait."""
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


def replay(rate: float, engines: list[FakeEngine], latest: float, seconds: float = 20.0) -> list:
    """Plays callers at a rate against three entries that see reports 0.2 s late.

    Args:
      latest: The latest first event for which a request is still sent.

    Returns:
      The jobs that arrived after a first five seconds.
    """
    rng = random.Random(5)
    endpoints = [
        ListedEndpoint(f"e{n}", "s", "10.0.0.1", n, "z", whole=True, weights=1)
        for n in range(len(engines))
    ]
    loads = [[EndpointLoad(rng) for _ in engines] for _ in range(3)]
    placed: dict[int, tuple[Job, int]] = {}
    events: list[tuple[float, int, str, int]] = []
    order = iter(range(10**9))
    when = 0.0
    while when < seconds:
        when += rng.expovariate(rate)
        heapq.heappush(events, (when, next(order), "arrive", 0))
    for tick in range(int(seconds / REPORT_SECONDS)):
        heapq.heappush(events, (tick * REPORT_SECONDS, next(order), "report", 0))
    jobs = []
    counted: dict[int, bool] = {}
    while events:
        now, _, kind, number = heapq.heappop(events)
        if kind == "report":
            for entry in loads:
                for load, engine in zip(entry, engines, strict=True):
                    load.take_report(len(engine.running), len(engine.waiting), engine.pace, now)
        elif kind == "arrive":
            prompt = min(3880, max(60, int(rng.lognormvariate(6.6, 0.7))))
            job = Job(now, prompt, max(5, int(rng.lognormvariate(4.2, 0.7))), rng.randrange(3))
            jobs.append(job)
            mine = loads[job.entry]
            candidates = [Candidate(e, load, True) for e, load in zip(endpoints, mine, strict=True)]
            choice = choose(candidates, FIGURES, job.prompt, latest, now, rng)
            if choice.candidate is None:
                job.refused = True
                continue
            place = endpoints.index(choice.candidate.endpoint)
            mine[place].placed(job.prompt)
            placed[id(job)] = (job, place)
            engines[place].waiting.append(job)
            if engines[place].free_at <= now:
                engines[place].free_at = now + 1e-9
                heapq.heappush(events, (now + 1e-9, next(order), "pass", place))
        else:
            engine = engines[number]
            for job, place in list(placed.values()):
                if place == number and job.first_event is not None and id(job) not in counted:
                    counted[id(job)] = True
                    loads[job.entry][number].first_event(job.prompt, now)
            for job in engine.ended:
                loads[job.entry][number].ended(job.prompt, id(job) in counted)
                placed.pop(id(job), None)
            engine.ended = []
            if engine.requests:
                engine.free_at = engine.run_pass(now)
                heapq.heappush(events, (engine.free_at, next(order), "pass", number))
    return [job for job in jobs if job.arrived > 5.0]


def on_time(jobs: list[Job]) -> float:
    """Returns how many requests a second had their first event in time."""
    good = [
        job
        for job in jobs
        if job.first_event is not None and job.first_event - job.arrived <= AIM_SECONDS
    ]
    return len(good) / 15.0


class OverloadTest(unittest.TestCase):
    """Six engines that carry some fifty generations a second together."""

    def test_at_one_and_a_half_times_capacity_those_that_are_served_are_served_in_time(
        self,
    ) -> None:
        """Callers send half as much again as the engines carry. Whoever is sent to a full
        engine waits there, and everyone behind too: nearly every first event is late, though
        the engines never rest. With refusals on arrival, most that are served are in time."""
        rate = 80.0
        refusing = replay(rate, [FakeEngine() for _ in range(6)], AIM_SECONDS * LATEST_FRACTION)
        waiting = replay(rate, [FakeEngine() for _ in range(6)], float("inf"))
        self.assertGreater(on_time(refusing), 50.0)
        self.assertGreater(on_time(refusing), 3.0 * on_time(waiting))

    def test_below_capacity_nobody_is_refused(self) -> None:
        jobs = replay(36.0, [FakeEngine() for _ in range(6)], AIM_SECONDS * LATEST_FRACTION)
        self.assertLess(sum(job.refused for job in jobs), 0.01 * len(jobs))
        self.assertGreater(on_time(jobs), 0.97 * len(jobs) / 15.0)

    def test_a_slow_engine_gets_less(self) -> None:
        """One engine of six works at a third of its speed. Counted by requests alone it would
        get its sixth, and that sixth of the callers would wait three times as long."""
        engines = [FakeEngine() for _ in range(5)] + [FakeEngine(pace=3.0)]
        jobs = replay(36.0, engines, AIM_SECONDS * LATEST_FRACTION)
        self.assertGreater(on_time(jobs), 0.9 * len(jobs) / 15.0)


class HerdTest(unittest.TestCase):
    """Several entries before the same endpoints."""

    def test_entries_that_know_the_same_do_not_all_choose_the_same(self) -> None:
        """One engine looks a little less busy in everyone's last report. If all entries send
        their next requests there, it is full at once while the others have room."""
        rng = random.Random(3)
        names = []
        for _ in range(60):
            candidates = []
            for number in range(6):
                load = EndpointLoad(rng)
                load.take_report(4 if number else 3, 0, 1.0, 0.0)
                endpoint = ListedEndpoint(f"e{number}", "s", "10.0.0.1", 1, "z")
                candidates.append(Candidate(endpoint, load, True))
            choice = choose(candidates, FIGURES, 900, AIM_SECONDS, 0.0, rng)
            names.append(choice.candidate.endpoint.id)
        most = max(names.count(name) for name in set(names))
        self.assertLess(most, 40)


class ChoiceTest(unittest.TestCase):
    """Single choices."""

    def setUp(self) -> None:
        self.rng = random.Random(1)

    def make(self, name: str, near: bool = True, slots: int = 6) -> Candidate:
        """Returns a candidate with nothing to do."""
        endpoint = ListedEndpoint(name, "s", "10.0.0.1", 1, "z", slots=slots)
        return Candidate(endpoint, EndpointLoad(self.rng), near)

    def test_a_charge_is_no_probe_where_anything_else_can_be(self) -> None:
        """An endpoint fails some of its calls. A charge that is sent there to find out
        whether it works again may end with an outcome that nobody knows."""
        sound, failing = self.make("sound"), self.make("failing")
        failing.load.take_run(0.001)
        for _ in range(2):
            failing.load.health.take_failure(0.0)
        for _ in range(20):
            choice = choose([sound, failing], None, 0, 1.0, 100.0, self.rng, risky=True)
            self.assertEqual(choice.candidate.endpoint.id, "sound")

    def test_where_nobody_can_take_it_a_time_to_come_back_is_told(self) -> None:
        self.assertIsNone(choose([], FIGURES, 0, 1.0, 0.0, self.rng).candidate)
        choice = choose([], FIGURES, 0, 1.0, 0.0, self.rng)
        self.assertTrue(0.0 < choice.retry_after <= LONGEST_RETRY_SECONDS)

    def test_the_near_endpoint_is_taken_while_it_is_about_as_soon(self) -> None:
        near, far = self.make("near"), self.make("far", near=False)
        names = [
            choose([near, far], FIGURES, 900, 1.0, 0.0, self.rng).candidate.endpoint.id
            for _ in range(20)
        ]
        self.assertEqual(set(names), {"near"})

    def test_the_forecast_grows_with_what_is_ahead(self) -> None:
        seconds = [
            first_event_seconds(FIGURES, EngineWork(count, 0.0), 900) for count in range(0, 40, 4)
        ]
        self.assertEqual(seconds, sorted(seconds))
        self.assertLess(seconds[0], 0.15)
        self.assertGreater(seconds[-1], AIM_SECONDS)

    def test_a_plain_service_is_forecast_by_its_own_speed(self) -> None:
        quick, slow = self.make("quick"), self.make("slow")
        for _ in range(60):
            slow.load.take_run(0.2)
        self.assertLess(forecast(quick, None, 0, 0.0), forecast(slow, None, 0, 0.0) / 3)


class ReportTest(unittest.TestCase):
    """What others run, by reports that age."""

    def test_own_work_counts_at_once_and_others_by_the_last_report(self) -> None:
        load = EndpointLoad(random.Random(1), other_entries=0)
        load.placed(900)
        load.take_report(running=5, queued=1, pace=1.0, now=10.0)
        load.placed(900)
        self.assertAlmostEqual(load.work(10.0).requests, 7.0)

    def test_what_others_send_after_a_report_is_guessed_from_what_this_entry_sends(self) -> None:
        """Three entries see the same report and each sends its next request to the engine
        that looked best. Each sees only its own there, and the engine gets three."""
        load = EndpointLoad(random.Random(1), other_entries=2)
        load.take_report(running=5, queued=0, pace=1.0, now=10.0)
        load.placed(900)
        self.assertAlmostEqual(load.work(10.0).requests, 8.0)

    def test_an_old_report_counts_for_nothing(self) -> None:
        load = EndpointLoad(random.Random(1))
        load.take_report(running=16, queued=9, pace=1.0, now=10.0)
        self.assertEqual(load.work(20.0).requests, 0.0)

    def test_forecasts_are_near_what_engines_do(self) -> None:
        jobs = replay(30.0, [FakeEngine() for _ in range(6)], float("inf"), seconds=15.0)
        waits = [job.first_event - job.arrived for job in jobs if job.first_event is not None]
        self.assertLess(statistics.median(waits), 0.25)
