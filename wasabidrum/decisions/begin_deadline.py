"""Determines the deadline that is sent along with a request, so that it cannot begin too late.

Load pattern: an engine is suspended together with its sidecar, with requests that it has read and
not begun. Their entry recalls them, but the pass in which the engine wakes ends with tokens for all
of them, before it looks at its connections. Whatever is decided at a distance comes too late.

The engine itself keeps the deadline of a request, by a clock that goes on while it is suspended. So
a request whose answer is expected to be complete before the bound of its weights is sent with a
deadline that ends before the bound. Others keep the deadline of their caller.

Once a newer version is known, the answer is expected to be of usual length. A longer one is stopped
at the bound, and its caller loses what it has read; if every answer that may be longer kept the
caller's deadline, most of those that begin too late would remain. For the same reason the forecast
counts without a margin: what is left to the caller's deadline here may begin late, and few answers
of usual length take longer than forecast.

While no newer version is known, one may be named at any moment, and hardly ever is. Then the bound
ends a full period from now, and only what is certain to be complete by then gets the earlier
deadline.
"""

# For the engine's last pass, and for the time after which it reads the request.
DEADLINE_MARGIN_SECONDS = 0.2
# An answer takes longer than forecast where an engine fills up meanwhile.
CERTAIN_FACTOR = 1.25


def limit_seconds(
    seconds_left: float, seconds_until_bound: float, needed: float, replaced: bool = False
) -> float:
    """Returns the seconds that an engine gets for a request.

    Args:
      seconds_left: Seconds until the deadline of its caller.
      seconds_until_bound: Seconds until nothing may begin on the request's weights any more.
      needed: Forecast seconds until its answer is complete.
      replaced: Whether a newer version is known, or else the bound is one that may still begin.
    """
    allowed = seconds_until_bound - DEADLINE_MARGIN_SECONDS
    if needed * (1.0 if replaced else CERTAIN_FACTOR) > allowed:
        return seconds_left
    return min(seconds_left, allowed)
