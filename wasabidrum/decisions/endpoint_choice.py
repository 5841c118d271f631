"""Chooses the endpoint for a request, or rejects the request on arrival.

Load pattern: callers send more requests than the engines can process. Each request that waits
in an engine's queue gets its first event too late for its caller, and so does every request
behind it; the engines spend their time on answers of little use. Another pattern: one engine
has just returned or looked idle, all entries send to it, and it is full while others have room.

The time to the first event is forecast for each endpoint from its current work. The request
goes to the endpoint with the earliest forecast, after penalties: for endpoints that are
assigned to another entry (endpoint_assignment.py), and a small one for endpoints in other
regions, whose answers cross thin links. If all endpoints are unhealthy and some of them have
only been silent for a moment, the request waits at one of these. If even the earliest forecast
is too late, the request is rejected on arrival with a Retry-After at which room is expected;
waiting would only delay it further.
"""

import collections.abc
import dataclasses
import random

from ..core.listed_endpoint import ListedEndpoint
from ..core.published import EngineFigures
from .endpoint_assignment import UNASSIGNED_PENALTY_SECONDS
from .endpoint_health import Health
from .endpoint_load import EndpointLoad
from .engine_forecast import first_event_seconds, run_seconds
from .forecast_bias import Corrections, length_class

OTHER_REGION_PENALTY_SECONDS = 0.03
JITTER = 0.1
FAILURE_PENALTY_SECONDS = 0.5
MIN_RETRY_SECONDS = 0.3
OVERLOAD_RETRY_SECONDS = 6.0
MAX_RETRY_SECONDS = 3.0
# Used if no endpoint has what the request needs: version switches and restarts take seconds.
NO_ENDPOINT_RETRY_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that could process a request, and its estimated load.

    Attributes:
      near: Whether it is in the region of the entry.
      assigned: Whether this entry is the one that sends to it first.
      lateness: How many seconds later than forecast requests have recently started there.
      cold: Whether it is cold, and as slow as its own answers show.
    """

    endpoint: ListedEndpoint
    load: EndpointLoad
    near: bool
    assigned: bool = True
    lateness: float = 0.0
    cold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs, and the state of the service that does not depend on the endpoint.

    Attributes:
      prompt_tokens: Zero if the caller does not state it.
      max_first_event_seconds: A first event later than this is not worth a slot.
      non_repeatable: The request must not be repeated, so it serves as a probe only if no
        healthy endpoint is available.
      others_rate: Requests per second that other entries send to each endpoint.
      corrections: By how much first events have recently exceeded their forecast, indexed by
        whether the forecast is short, medium or long.
      refused_share: Fraction of recent requests that were refused.
      moved: Whether the request was recalled from another endpoint.
      may_wait: It may be sent to an endpoint that is silent for a moment if nobody else can take
        it. One that was sent before gets its answer from that attempt, or can be refused.
      caller_leaves_in: Seconds until the caller gives up.
      rank: The request's place in engines' queues; None where these have no order.
    """

    prompt_tokens: int
    max_first_event_seconds: float
    non_repeatable: bool = False
    others_rate: float = 0.0
    corrections: Corrections = ()
    refused_share: float = 0.0
    moved: bool = False
    may_wait: bool = False
    caller_leaves_in: float = float("inf")
    rank: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint for a request, or why there is none.

    Attributes:
      candidate: None if the request is refused.
      seconds: Earliest forecast of the first event; infinite if no endpoint is available.
      retry_after: Seconds until room is expected, if the request is refused.
      known: Number of endpoints that have what the request needs.
      available: How many of them are healthy or due for a probe.
      report_age: Age in seconds of their oldest load report, set if the request is refused for
        overload; else zero.
      limited: Number of endpoints left out because of limits that they have stated.
      resting: Number of endpoints left out because they want no requests from this entry now.
      ruled_out: Number of endpoints left out because of placing rules.
      rule: The code of the rule that leaves out the endpoint with the shortest wait.
      rank: The request's place in the engine's queue; None where this has no order.
      rest_ends: Whether retry_after is the end of a rest, before which no endpoint takes requests.
      uncorrected_seconds: Forecast for the chosen endpoint from the published figures, before
        corrections.
    """

    candidate: Candidate | None
    seconds: float
    retry_after: float = 0.0
    known: int = 0
    available: int = 0
    report_age: float = 0.0
    limited: int = 0
    resting: int = 0
    ruled_out: int = 0
    rule: str = ""
    rest_ends: bool = False
    uncorrected_seconds: float = 0.0
    rank: int | None = None


def forecast(
    candidate: Candidate, figures: EngineFigures | None, demand: Demand, now: float
) -> float:
    """Returns the forecast seconds until a request's first event.

    For a plain service, without published figures, it is the time until the complete answer.
    """
    load = candidate.load
    if figures is not None:
        others_rate = 0.0 if candidate.assigned else demand.others_rate
        work = load.work(now, figures.usual_prompt, others_rate, demand.rank)
        return first_event_seconds(figures, work, demand.prompt_tokens)
    work = load.work(now)
    waiting = max(0.0, work.requests + 1.0 - candidate.endpoint.slots)
    turns = waiting / max(1, candidate.endpoint.slots)
    # Even below its number of slots, an endpoint that runs fewer requests is preferred, because
    # some endpoints slow down under load.
    busy = work.requests / max(1, candidate.endpoint.slots)
    return load.run_seconds(now) * (1.0 + turns + 0.5 * min(1.0, busy))


def choose(
    candidates: collections.abc.Sequence[Candidate],
    figures: EngineFigures | None,
    demand: Demand,
    now: float,
    rng: random.Random,
) -> Choice:
    """Returns the endpoint for a request, or a refusal."""
    available = [c for c in candidates if c.load.health.may_receive(now)]
    healthy = [c for c in available if c.load.health.health is Health.HEALTHY]
    # A request may be used as a probe of an unhealthy endpoint, but not one that must not be
    # repeated while a healthy endpoint is available, and never one that was moved: it has
    # already waited at a stalled endpoint.
    pool = healthy if demand.moved or (demand.non_repeatable and healthy) else available
    if not pool and demand.may_wait:
        pool = [c for c in candidates if c.load.health.is_briefly_silent(now)]
    known = len(candidates)
    if not pool:
        return Choice(None, float("inf"), retry_after_next_probe(candidates, now), known)
    ranked = []
    for candidate in pool:
        uncorrected_seconds = forecast(candidate, figures, demand, now)
        seconds = uncorrected_seconds + (
            demand.corrections[length_class(uncorrected_seconds)] if demand.corrections else 0.0
        )
        if candidate.cold:
            seconds += candidate.lateness
        # Endpoints assigned to other entries are filled by those entries. This entry uses them
        # only if its own endpoints would take noticeably longer.
        penalized_seconds = seconds if candidate.assigned else seconds + UNASSIGNED_PENALTY_SECONDS
        penalty = 0.0 if candidate.near else OTHER_REGION_PENALTY_SECONDS
        penalty += FAILURE_PENALTY_SECONDS * candidate.load.failures.value(now)
        order = penalized_seconds * (1.0 + JITTER * rng.random()) + penalty
        ranked.append(RankedCandidate(order, penalized_seconds, uncorrected_seconds, candidate))
    in_time = [rank for rank in ranked if starts_in_time(rank, demand)]
    if not in_time:
        soonest = min(rank.seconds for rank in ranked)
        excess_seconds = max(0.0, soonest - demand.max_first_event_seconds)
        retry = retry_after_overload(figures, excess_seconds, demand.refused_share)
        return Choice(None, soonest, retry, known, len(pool), oldest_report(pool, now))
    best = min(in_time, key=lambda rank: rank.order)
    return Choice(
        best.candidate,
        best.seconds,
        0.0,
        known,
        len(pool),
        uncorrected_seconds=best.uncorrected_seconds,
        rank=demand.rank,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RankedCandidate:
    """A candidate with its forecast.

    Attributes:
      order: Sort key; the candidate with the lowest value is chosen.
      seconds: Forecast that is compared with Demand.max_first_event_seconds.
      uncorrected_seconds: Forecast from the published figures alone.
    """

    order: float
    seconds: float
    uncorrected_seconds: float
    candidate: Candidate


def starts_in_time(rank: RankedCandidate, demand: Demand) -> bool:
    """Returns whether a request would start early enough at an endpoint to be worth a slot.

    A moved request must also start before its caller gives up if the endpoint is as late as it
    recently was. Otherwise it could start after the caller has left, because the reset of the
    stream travels behind the request.
    """
    if rank.seconds > demand.max_first_event_seconds:
        return False
    return not demand.moved or rank.seconds + rank.candidate.lateness < demand.caller_leaves_in


def oldest_report(candidates: collections.abc.Sequence[Candidate], now: float) -> float:
    """Returns the age in seconds of the oldest load report; zero if there are no reports."""
    ages = (candidate.load.report_age(now) for candidate in candidates)
    return round(max((age for age in ages if age < float("inf")), default=0.0), 3)


def retry_after_overload(
    figures: EngineFigures | None, excess_seconds: float, refused_share: float = 0.0
) -> float:
    """Returns after how many seconds a caller that is refused for overload should retry.

    Args:
      excess_seconds: By how much the earliest forecast exceeds max_first_event_seconds.
      refused_share: Fraction of recent requests that were refused.
    """
    usual = run_seconds(figures, figures.slots) / figures.slots if figures is not None else 0.0
    seconds = MIN_RETRY_SECONDS + excess_seconds + usual + OVERLOAD_RETRY_SECONDS * refused_share
    return min(MAX_RETRY_SECONDS, seconds)


def retry_after_next_probe(candidates: collections.abc.Sequence[Candidate], now: float) -> float:
    """Returns after how many seconds to retry if no endpoint is healthy or due for a probe."""
    waits = [candidate.load.health.probe_at - now for candidate in candidates]
    soonest = min(waits, default=NO_ENDPOINT_RETRY_SECONDS)
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, soonest))
