"""Which endpoint a request goes to, or that it is refused at once.

Load pattern: callers send more than the engines can carry. Whoever waits in an engine's queue
gets a first event that is late for its caller, and so does everyone behind; engines are busy
with answers that are worth little to anyone. Another pattern: one engine has just come back or
looked idle, every entry sends to it, and it is full while the others have room.

Each endpoint's first event is forecast from what it has to do. The one that is soonest gets the
request, with a handicap for those that other entries send to first (endpoint_assignment.py) and a
small one for those in other regions, whose answers cross thin links. Where even the soonest is too
late, the request is refused on arrival, with a time at which room is expected: waiting would
only make it later.
"""

import collections.abc
import dataclasses
import random

from ..core.listed_endpoint import ListedEndpoint
from ..core.published import EngineFigures
from .endpoint_assignment import OTHERS_SECONDS
from .endpoint_health import Health
from .endpoint_load import EndpointLoad
from .engine_forecast import first_event_seconds, run_seconds
from .forecast_bias import Corrections, length_class

LATEST_FRACTION = 0.88
OTHER_REGION_SECONDS = 0.03
JITTER = 0.1
FAILURE_SECONDS = 0.5
SHORTEST_RETRY_SECONDS = 0.3
OVERLOAD_SECONDS = 6.0
LONGEST_RETRY_SECONDS = 3.0
# Where no endpoint holds what is asked for: versions and restarts take some seconds.
NOBODY_RETRY_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that could take a request, and what is known of its work.

    Attributes:
      near: It stands in the region of the entry.
      first: No other entry sends there before this one does.
      late: By how many seconds requests have lately begun there later than forecast.
    """

    endpoint: ListedEndpoint
    load: EndpointLoad
    near: bool
    first: bool = True
    late: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks, and what is known beside the endpoints.

    Attributes:
      prompt_tokens: Zero where the caller does not say.
      latest: The seconds beyond which a first event is too late to be worth its place.
      risky: The request may not be repeated, so it is no probe where anything else can be.
      others_rate: Requests a second that other entries send to each endpoint.
      corrections: What first events took more than forecast lately, by the forecast's length.
      refused_share: The part of requests that was refused lately.
      moved: It was given up at another endpoint.
      leaves_in: The seconds until its caller leaves.
    """

    prompt_tokens: int
    latest: float
    risky: bool = False
    others_rate: float = 0.0
    corrections: Corrections = ()
    refused_share: float = 0.0
    moved: bool = False
    leaves_in: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes.

    Attributes:
      candidate: None where it is refused.
      seconds: The soonest first event that was forecast; infinite where nobody could take it.
      retry_after: Where it is refused, when room is expected.
      known: Endpoints that could take it by what they hold.
      able: Those of them that are healthy or due for a probe.
      report_age: The seconds since the oldest report of their load; zero where none was used.
      raw: The first event of the one chosen by the figures alone, before any correction.
    """

    candidate: Candidate | None
    seconds: float
    retry_after: float = 0.0
    known: int = 0
    able: int = 0
    report_age: float = 0.0
    raw: float = 0.0


def forecast(
    candidate: Candidate, figures: EngineFigures | None, demand: Demand, now: float
) -> float:
    """Returns the seconds until a request's first event, or its whole answer, by the figures."""
    load = candidate.load
    if figures is not None:
        others_rate = 0.0 if candidate.first else demand.others_rate
        work = load.work(now, figures.usual_prompt, others_rate)
        return first_event_seconds(figures, work, demand.prompt_tokens)
    work = load.work(now)
    waiting = max(0.0, work.requests + 1.0 - candidate.endpoint.slots)
    turns = waiting / max(1, candidate.endpoint.slots)
    # Below its slots an endpoint that runs fewer is the better one still: some slow down.
    busy = work.requests / max(1, candidate.endpoint.slots)
    return load.run_seconds * (1.0 + turns + 0.5 * min(1.0, busy))


def choose(
    candidates: collections.abc.Sequence[Candidate],
    figures: EngineFigures | None,
    demand: Demand,
    now: float,
    rng: random.Random,
) -> Choice:
    """Returns where a request goes."""
    able = [c for c in candidates if c.load.health.may_take(now)]
    healthy = [c for c in able if c.load.health.health is Health.HEALTHY]
    # A probe is worth a request only now and then; one that may not be repeated never is.
    # What was moved has waited at one stalled endpoint already.
    pool = healthy if demand.moved or (demand.risky and healthy) else able
    known = len(candidates)
    if not pool:
        return Choice(None, float("inf"), retry_when_probed(candidates, now), known)
    ranked = []
    for candidate in pool:
        raw = forecast(candidate, figures, demand, now)
        seconds = raw + (demand.corrections[length_class(raw)] if demand.corrections else 0.0)
        # Others fill what this entry does not send to first; it stays out while that is near.
        owed = seconds if candidate.first else seconds + OTHERS_SECONDS
        handicap = 0.0 if candidate.near else OTHER_REGION_SECONDS
        handicap += FAILURE_SECONDS * candidate.load.failures.value(now)
        order = owed * (1.0 + JITTER * rng.random()) + handicap
        ranked.append(Rank(order, owed, raw, candidate))
    in_time = [rank for rank in ranked if is_in_time(rank, demand)]
    if not in_time:
        soonest = min(rank.seconds for rank in ranked)
        too_late = max(0.0, soonest - demand.latest)
        retry = retry_when_room(figures, too_late, demand.refused_share)
        return Choice(None, soonest, retry, known, len(pool), oldest_report(pool, now))
    best = min(in_time, key=lambda rank: rank.order)
    return Choice(best.candidate, best.seconds, 0.0, known, len(pool), raw=best.raw)


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A candidate's place among others.

    Attributes:
      order: The lowest is chosen.
      seconds: The first event as it is held against the latest one.
      raw: The first event by the figures alone.
    """

    order: float
    seconds: float
    raw: float
    candidate: Candidate


def is_in_time(rank: Rank, demand: Demand) -> bool:
    """Returns whether a request begins soon enough at an endpoint to be worth its place.

    What is moved late in its caller's time may not reach an endpoint later than forecast: it would
    begin there when its caller has left, and the reset would come behind it.
    """
    if rank.seconds > demand.latest:
        return False
    return not demand.moved or rank.seconds + rank.candidate.late < demand.leaves_in


def oldest_report(candidates: collections.abc.Sequence[Candidate], now: float) -> float:
    """Returns the seconds since the oldest report of load among those that reported at all."""
    ages = (candidate.load.report_age(now) for candidate in candidates)
    return round(max((age for age in ages if age < float("inf")), default=0.0), 3)


def retry_when_room(
    figures: EngineFigures | None, too_late: float, refused_share: float = 0.0
) -> float:
    """Returns when a caller that is refused for want of room should come back, in seconds.

    Args:
      refused_share: The part of requests that was refused lately.
    """
    usual = run_seconds(figures, figures.slots) / figures.slots if figures is not None else 0.0
    seconds = SHORTEST_RETRY_SECONDS + too_late + usual + OVERLOAD_SECONDS * refused_share
    return min(LONGEST_RETRY_SECONDS, seconds)


def retry_when_probed(candidates: collections.abc.Sequence[Candidate], now: float) -> float:
    """Returns when an endpoint will be tried again, where all are out of service."""
    waits = [candidate.load.health.probe_at - now for candidate in candidates]
    soonest = min(waits, default=NOBODY_RETRY_SECONDS)
    return min(LONGEST_RETRY_SECONDS, max(SHORTEST_RETRY_SECONDS, soonest))
