"""Which requests are recalled from the endpoint that they were sent to.

Load pattern: an engine is suspended, or its link or its queue holds requests up, for seconds.
What was placed there in time begins when that ends: on weights that have been replaced, at an
endpoint that everybody else takes for gone, or for callers that have left. Meanwhile those
callers wait beside engines that have room. A margin at placing cannot cover it: with a bound of
8 s, requests placed 2.2 and 2.5 s before it began 0.4 s after it, at an engine that had been
suspended for 4.7 s.

So what is in progress is judged again while it waits:
- What has not begun, and may not begin any more where it is, is recalled. It may have begun
  unseen, so that its caller is told "unknown", never "not run". What may run only once and
  answers as a whole stays: nothing tells whether it has begun.
- What waits at an endpoint that stands still goes on elsewhere, if it may run again and a place
  at another endpoint and a retry are reserved for it. Recalled with nowhere to go, a caller
  would lose an answer that comes a moment later; found able to go by itself, each of many that
  are recalled together would be promised the same place.
- What has not begun at an endpoint that stands still, and has been leaving or gone for as long
  as the bound allows, is recalled if it may run again. What may run only once stays, for its
  answer may be on the way; its route's time ends it.
- A stream that has not begun when its caller is about to leave is answered before that. An engine
  that is suspended begins what it has read at the moment it wakes, before it looks at its
  connections; for a caller that has left, nothing can call that back.
"""

import collections.abc
import dataclasses
import enum

from .endpoint_health import is_silent

BOUND_MARGIN_SECONDS = 0.4
RETIRED_MARGIN_SECONDS = 0.7
OVERDUE_FACTOR = 3.0
# No endpoint begins a request sooner under load: a pass with a prompt, and the way there and back.
SHORTEST_BEGINNING_SECONDS = 0.3


class RecallReason(enum.Enum):
    """Why a request was recalled; none of it is the request's failure."""

    WEIGHTS_OVERDUE = "weights_overdue"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_RETIRED = "endpoint_retired"
    CALLER_LEAVING = "caller_leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request at an endpoint.

    Attributes:
      begun: Something of its answer came.
      repeatable: It may run more than once.
      may_begin: Its endpoint's weights are not overdue.
      tells_beginning: Its answer begins when it does, as a stream's.
      silent: Its endpoint stands still with requests of this entry, this one among them.
      retired_seconds: For how long its endpoint has been leaving or gone; zero if it is not.
      leaves_in: The seconds until its caller leaves; infinite once something was passed on.
      reserve: Reserves a place at another endpoint, and a retry; returns whether it could. Only
        called where the rest speaks for it.
    """

    begun: bool
    repeatable: bool
    may_begin: bool
    tells_beginning: bool
    silent: bool
    retired_seconds: float
    leaves_in: float
    reserve: collections.abc.Callable[[], bool]


def recall_reason(waiting: Waiting, drain: float) -> RecallReason | None:
    """Returns why a request is recalled now, or None where it stays.

    Args:
      drain: The seconds from an endpoint's leaving until it must get no more work.
    """
    unbegun = not waiting.begun and (waiting.tells_beginning or waiting.repeatable)
    if unbegun and not waiting.may_begin:
        return RecallReason.WEIGHTS_OVERDUE
    hopeless = waiting.tells_beginning and waiting.leaves_in <= SHORTEST_BEGINNING_SECONDS
    if hopeless and not waiting.begun:
        return RecallReason.CALLER_LEAVING
    if not waiting.silent:
        return None
    if waiting.repeatable and waiting.reserve():
        return RecallReason.ENDPOINT_SILENT
    retired = waiting.retired_seconds >= drain - RETIRED_MARGIN_SECONDS
    if retired and waiting.repeatable and not waiting.begun:
        return RecallReason.ENDPOINT_RETIRED
    return None


def is_stalled(waited: float, forecast: float, usual: float) -> bool:
    """Returns whether a request has waited for longer than an endpoint's work explains.

    A long prompt takes seconds to read, in which nothing comes; and a request that was sent a
    moment ago is not stuck because another has been for long.

    Args:
      waited: The seconds since something came of it, or since it was sent.
      forecast: The seconds in which something was to come.
      usual: The seconds in which something comes from the endpoint as a rule.
    """
    return is_silent(waited, usual) and waited > OVERDUE_FACTOR * forecast
