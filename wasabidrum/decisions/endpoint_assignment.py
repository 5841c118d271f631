"""Which engines an entry sends to first, so that entries do not fill the same ones together.

Load pattern: twelve entries place on the same two dozen engines by reports that are a third of
a second old. Each sees a twelfth of what is sent, so that all believe that there is room, and
fill the same engines at once. What an entry has sent itself it knows exactly and at once: so
each engine has one entry of its data centre that sends there first, and whose count of it is
nearly the whole truth. The others send there only when their own engines would take
OTHERS_SECONDS longer.

Nobody is asked or told: entries know each other, and all assign the engines alike. Where two
entries know different ones for a moment, an engine has two that prefer it or none, which is no
worse than before.
"""

import collections.abc

OTHERS_SECONDS = 0.08


def assign_endpoints(
    endpoint_ids: collections.abc.Iterable[str],
    entries: collections.abc.Sequence[tuple[str, int]],
    own: tuple[str, int],
) -> frozenset[str]:
    """Returns the endpoints that one entry sends to first.

    Args:
      endpoint_ids: The endpoints of one service in one data centre.
      entries: The entries of that data centre, in an order that all agree on.
    """
    place = entries.index(own)
    ordered = sorted(endpoint_ids)
    return frozenset(ordered[place :: len(entries)])
