"""Decides which requests are recalled (withdrawn) from the endpoint that they were sent to.

Load pattern: an engine is suspended, or its link or queue delays requests for seconds. Requests
that were placed there in time start when the delay ends: on weights that have been replaced, at
an endpoint that all others consider gone, or for callers that have left. Meanwhile their callers
wait although other engines have room. A safety margin at placement is not enough: with a bound of
8 s, requests that were placed 2.2 and 2.5 s before the bound started 0.4 s after it, at an engine
that had been suspended for 4.7 s.

Therefore requests in progress are checked repeatedly:
- A request that has not started, and must no longer start at its endpoint, is recalled. It may
  have started without a visible sign, so its caller gets the outcome "unknown", never "not run".
  A request that may run only once and is answered in one piece stays, because it cannot be known
  whether it has started.
- A request at a stalled endpoint is sent to another one as well, if it may run again and if a slot
  at another endpoint and a retry can be reserved for it. It is recalled once the other one has
  something of an answer: that one may refuse it, end or be silent too, and its caller would lose an
  answer that may arrive a moment later. Without a reservation, each of many
  requests that are recalled at the same time would count on the same slot.
- A request that waits at an endpoint in an evacuated data centre moves to another one, if that has
  a slot for it and a retry can be reserved. Only streams can be seen not to have started, and only
  while the endpoint reports waiting requests: otherwise it is about to send the first event, and
  the work would be done twice. Where no other endpoint has a slot, it stays and is served there.
- A request that has not started at a stalled endpoint, which has been leaving or gone for as long
  as the bound allows, is recalled if it may run again. A request that may run only once stays,
  because its answer may be on the way; its route's timeout ends it. A sound endpoint may be silent
  for a second or so when it leaves, so what was sent just before has that time first, as far as the
  bound allows.
- A stream that has not started is answered shortly before its caller gives up. A suspended engine
  that wakes up starts the requests that it has read before it looks at its connections; if the
  caller has left by then, nothing can recall the request.
"""

import collections.abc
import dataclasses
import enum

from .endpoint_health import MAX_SOUND_SILENCE_SECONDS, is_silent

BOUND_MARGIN_SECONDS = 0.4
# An entry hears of a leaving a few tenths of a second after it was announced.
RETIRED_MARGIN_SECONDS = 0.7
SOUND_RETIRED_MARGIN_SECONDS = 0.55
STALL_FACTOR = 3.0
# Minimum time to start a request under load: one pass that reads a prompt, and the round trip.
MIN_START_SECONDS = 0.3


class RecallReason(enum.Enum):
    """Why a request was recalled; no reason counts as a failure of the request."""

    WEIGHTS_OVERDUE = "weights_overdue"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_RETIRED = "endpoint_retired"
    CALLER_LEAVING = "caller_leaving"
    ENDPOINT_EVACUATED = "endpoint_evacuated"


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedRequest:
    """A request in progress at an endpoint.

    Attributes:
      begun: Whether any part of its answer has arrived.
      repeatable: Whether it may run more than once.
      may_begin: Whether its endpoint's weights may still be used to start a request.
      start_is_visible: Whether its answer starts when it starts to run, as a stream does.
      silent: Whether its endpoint has stalled with requests of this entry, including this one.
      retired_seconds: How long its endpoint has been leaving or gone; zero if it is not.
      caller_leaves_in: Seconds until its caller gives up; infinite once a part of the answer was
        forwarded.
      reserve: Reserves a slot at another endpoint and a retry; returns whether both were
        available. Called only if all other conditions for a move are met.
      waited: Seconds since it was sent, or since its last event.
      waits_evacuated: Whether its endpoint may get no more requests because its data centre is
        evacuated, and has requests that wait.
    """

    begun: bool
    repeatable: bool
    may_begin: bool
    start_is_visible: bool
    silent: bool
    retired_seconds: float
    caller_leaves_in: float
    reserve: collections.abc.Callable[[], bool]
    waited: float = float("inf")
    waits_evacuated: bool = False


def recall_reason(request: PlacedRequest, drain: float) -> RecallReason | None:
    """Returns why a request is recalled now; None if it stays.

    Args:
      drain: Seconds after an endpoint starts to leave until it must receive no more requests.
    """
    not_started = not request.begun and (request.start_is_visible or request.repeatable)
    if not_started and not request.may_begin:
        return RecallReason.WEIGHTS_OVERDUE
    too_late_to_start = request.start_is_visible and request.caller_leaves_in <= MIN_START_SECONDS
    if too_late_to_start and not request.begun:
        return RecallReason.CALLER_LEAVING
    if not request.silent:
        moves = request.waits_evacuated and not request.begun and request.start_is_visible
        if moves and request.repeatable and request.reserve():
            return RecallReason.ENDPOINT_EVACUATED
        return None
    if request.repeatable and request.reserve():
        return RecallReason.ENDPOINT_SILENT
    retired = request.retired_seconds >= drain - RETIRED_MARGIN_SECONDS
    if request.waited < MAX_SOUND_SILENCE_SECONDS:
        retired = request.retired_seconds >= drain - SOUND_RETIRED_MARGIN_SECONDS
    if retired and request.repeatable and not request.begun:
        return RecallReason.ENDPOINT_RETIRED
    return None


def is_stalled(waited: float, forecast: float, usual: float) -> bool:
    """Returns whether a request has waited for longer than its endpoint's load explains.

    A long prompt takes seconds to read, during which no event arrives. A request that was sent a
    moment ago is not stalled because another one has waited for long.

    Args:
      waited: Seconds since its last event, or since it was sent.
      forecast: Forecast seconds until its first event; zero once it has started.
      usual: Usual seconds between events of the endpoint.
    """
    return is_silent(waited, usual) and waited > STALL_FACTOR * forecast
