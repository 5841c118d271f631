"""Decides how late a request's first event may be forecast for the request still to be placed.

Load pattern: callers send one and a half times what the engines can process. Entries know each
other's requests from reports that are a third of a second old, so that forecasts are wrong by a
tenth of a second and more, most of all where queues grow. Requests that are placed just within the
objective are then late, and so are those behind them. Refused callers come back a second or two
later, when their answers can only be late, and take slots from callers who could be in time: these
are refused, come back, and are late in turn, until most slots serve late answers.

The limit therefore falls as more callers are refused, and with nobody refused it is close to the
objective. It falls for the time that a request waits, not for that of its own prompt, which is
known: otherwise those with long prompts would be refused far more often than others. Callers who
can only be late are placed while nobody is refused, and otherwise only where an engine has room
now, so that they take no slot that others need.
"""

import dataclasses

# A forecast is seldom exact; one that is this close to the objective is late as often as not.
LIMIT_FRACTION = 0.88
# By how much the limit falls for each further fraction of the callers that is refused.
OVERLOAD_SLOPE = 0.5
MIN_LIMIT_FRACTION = 0.65
# The same for callers who can only be late.
LATE_OVERLOAD_SLOPE = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """What matters of a caller for how late its request may be placed.

    Attributes:
      target: Seconds within which the first event is on time.
      extra_read_seconds: How much longer an engine reads its prompt than a usual one; negative
        for a short prompt.
      returning: Whether it has waited before, so that its answer can only be late.
      free_slot_seconds: The forecast at an engine that has room for it.
    """

    target: float
    extra_read_seconds: float = 0.0
    returning: bool = False
    free_slot_seconds: float = 0.0


def first_event_limit(caller: Caller, refused_share: float) -> float:
    """Returns the latest forecast of a first event, in seconds, for which a request is placed.

    Args:
      refused_share: The fraction of recent requests that were refused.
    """
    if caller.returning:
        fraction = LIMIT_FRACTION - LATE_OVERLOAD_SLOPE * refused_share
        return max(caller.free_slot_seconds, caller.target * fraction)
    fraction = max(MIN_LIMIT_FRACTION, LIMIT_FRACTION - OVERLOAD_SLOPE * refused_share)
    limit = caller.target * fraction + max(0.0, caller.extra_read_seconds)
    return min(caller.target * LIMIT_FRACTION, limit)
