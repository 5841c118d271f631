"""Which requests are taken back from the endpoint that they were sent to.

Load pattern: an engine is suspended, or its link or its queue holds requests up, for seconds.
What was placed there in time begins when that ends: on weights that have been replaced, at an
endpoint that everybody else takes for gone, or for callers that have left. Meanwhile those
callers wait beside engines that have room. A margin at placing cannot cover it: with a bound of
8 s, requests placed 2.2 and 2.5 s before it began 0.4 s after it, at an engine that had been
suspended for 4.7 s.

So what is in progress is judged again while it waits:
- What has not begun, and may not begin any more where it is, is taken back in any case. It may
  have begun unseen, so that its caller is told "unknown", never "not run".
- What waits at an endpoint that stands still goes on elsewhere, if it may run again and another
  endpoint would take it now. Taken back with nowhere to go, a caller would lose an answer that
  comes a moment later.
- What has not begun at an endpoint that stands still, and has been leaving or gone for as long
  as the bound allows, is taken back if it may run again. What may run only once stays, for its
  answer may be on the way; its route's time ends it.

Grounds: BOUND_MARGIN_SECONDS, before the bound, is for the pause between two looks (0.1 s), the
reset's way over a busy link, and a busy process. An engine that was suspended with 15 requests
unread began none of those whose connections had been reset before it woke.
"""

import collections.abc
import dataclasses
import enum

BOUND_MARGIN_SECONDS = 0.4


class TakenBack(enum.Enum):
    """Why a request was taken back; none of it is the request's failure."""

    WEIGHTS_OVERDUE = "weights_overdue"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_RETIRED = "endpoint_retired"


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request at an endpoint.

    Attributes:
      begun: Something of its answer came.
      repeatable: It may run more than once.
      may_begin: Its endpoint's weights are not overdue.
      silent: Its endpoint stands still with requests of this entry.
      retired_seconds: For how long its endpoint has been leaving or gone; zero if it is not.
      may_move: Returns whether another endpoint may and would go on with it; only asked where
        the rest speaks for it, for it takes a choice among all endpoints.
    """

    begun: bool
    repeatable: bool
    may_begin: bool
    silent: bool
    retired_seconds: float
    may_move: collections.abc.Callable[[], bool]


def reason_to_take_back(waiting: Waiting, drain: float) -> TakenBack | None:
    """Returns why a request is taken back now, or None where it stays.

    Args:
      drain: The seconds from an endpoint's leaving until it must get no more work.
    """
    if not waiting.begun and not waiting.may_begin:
        return TakenBack.WEIGHTS_OVERDUE
    if not waiting.silent:
        return None
    if waiting.repeatable and waiting.may_move():
        return TakenBack.ENDPOINT_SILENT
    retired = waiting.retired_seconds >= drain - BOUND_MARGIN_SECONDS
    if retired and waiting.repeatable and not waiting.begun:
        return TakenBack.ENDPOINT_RETIRED
    return None
