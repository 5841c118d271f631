"""Assigns each engine to one entry, so that entries do not all fill the same engines.

Load pattern: twelve entries send to the same 24 engines, using load reports that are a third of
a second old. Each entry sees a twelfth of the requests, so all of them believe that there is
room and fill the same engines at once. An entry knows its own requests exactly and without
delay. Therefore each engine is assigned to one entry of its data centre, which sends there
first, and whose own count is nearly all of the engine's load. Other entries send there only if
their own engines would take UNASSIGNED_PENALTY_SECONDS longer.

No messages are needed: entries know each other, and all of them compute the same assignment.
While two entries know different sets of entries, an engine may have two entries that prefer it,
or none, which is no worse than without an assignment.
"""

import collections.abc

UNASSIGNED_PENALTY_SECONDS = 0.08


def assign_endpoints(
    endpoint_ids: collections.abc.Iterable[str],
    entries: collections.abc.Sequence[tuple[str, int]],
    own: tuple[str, int],
) -> frozenset[str]:
    """Returns the endpoints that are assigned to one entry.

    Args:
      endpoint_ids: The endpoints of one service in one data centre.
      entries: The entries of that data centre, in the same order at each of them.
    """
    position = entries.index(own)
    ordered = sorted(endpoint_ids)
    return frozenset(ordered[position :: len(entries)])
