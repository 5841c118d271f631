"""Decides when an endpoint may switch to a version that it holds completely.

Load pattern: hundreds of endpoints become ready within seconds of each other while live requests
arrive. If all switched at once, none would answer; if the version cannot be loaded, all would
crash with it. There is no coordinator, so each endpoint computes the same rollout order from the
configuration alone.

The first endpoint in the order is the canary: it loads the version and must stay up for a while,
and the result spreads down a binary tree of the order. Then the endpoints switch in as many chains
as may be unavailable at once. Within a chain one endpoint switches at a time, so the limit holds
however slow any of them is, and each asks only the few others of its chain, whatever the size of
the fleet.
"""

import collections.abc
import enum

from ..core.status import Status
from .chunk_plan import rank_names

CANARY_CANDIDATES = 5
FAILURES_TO_STOP = 2
SMALL_FLEET_ENDPOINTS = 4
CANARY_TIMEOUT_SECONDS = 10.0

Statuses = collections.abc.Mapping[str, Status | None]


class Proof(enum.Enum):
    """What is known of a version's canaries.

    TRY means that this endpoint is to be the canary.
    """

    WAIT = "wait"
    TRY = "try"
    PROVEN = "proven"
    STOPPED = "stopped"


def rollout_order(root: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Returns the order in which a model's endpoints switch to a version."""
    return rank_names(f"rollout/{root}", names)


def find_contacts(order: list[str], name: str) -> list[str]:
    """Returns the endpoints to ask for the result of the canaries, the nearest first.

    The canary candidates ask all before them, because each may have to be the next canary. Any
    other endpoint asks its parent in the binary tree, and further ancestors if the parent is dead.
    """
    place = order.index(name)
    if place < CANARY_CANDIDATES:
        return order[:place]
    contacts = []
    while place > 0:
        place = (place - 1) // 2
        contacts.append(order[place])
    return contacts


def find_chain(order: list[str], name: str, away_fraction: float) -> list[str]:
    """Returns the other endpoints of an endpoint's chain, in rollout order."""
    chains = max(1, int(len(order) * away_fraction))
    place = order.index(name)
    return [order[other] for other in range(place % chains, len(order), chains) if other != place]


def failures_to_stop(endpoints: int) -> int:
    """Returns how many canary failures without a success stop a version."""
    return FAILURES_TO_STOP if endpoints >= SMALL_FLEET_ENDPOINTS else 1


def judge_proof(
    order: list[str], name: str, version: str, statuses: Statuses, ready_seconds: float
) -> Proof:
    """Returns what the contacts' statuses say of a version.

    An endpoint that is no canary candidate tries the version only if none of its contacts answers
    and it has been ready for CANARY_TIMEOUT_SECONDS.

    Args:
      statuses: The contacts that were asked; None for one that did not answer.
      ready_seconds: For how long this endpoint has been ready to switch.
    """
    answered = [status for status in statuses.values() if status is not None]
    failures = sum(status.failed_version == version for status in answered)
    if any(status.stopped == version for status in answered):
        return Proof.STOPPED
    if any(status.proven == version for status in answered):
        return Proof.PROVEN
    if failures >= failures_to_stop(len(order)):
        return Proof.STOPPED
    timed_out = ready_seconds >= CANARY_TIMEOUT_SECONDS
    if order.index(name) < CANARY_CANDIDATES:
        pending = any(may_become_canary(status, version, timed_out) for status in answered)
        return Proof.WAIT if pending else Proof.TRY
    return Proof.TRY if not answered and timed_out else Proof.WAIT


def may_become_canary(status: Status, version: str, timed_out: bool) -> bool:
    """Returns whether an endpoint earlier in the order may still become the canary.

    Args:
      timed_out: Whether endpoints that are not ready are no longer waited for.
    """
    if status.failed_version == version:
        return False
    ready = status.staged == version or status.version == version or status.switching
    return ready or not timed_out


def may_switch(order: list[str], name: str, version: str, chain: Statuses) -> bool:
    """Returns whether no other endpoint of the chain switches now, or is ready and goes first."""
    place = order.index(name)
    for other, status in chain.items():
        if status is None or status.version == version or status.failed_version == version:
            continue
        if status.switching:
            return False
        if status.staged == version and order.index(other) < place:
            return False
    return True


def find_rivals(chain: Statuses, version: str) -> list[str]:
    """Returns the endpoints of the chain that report that they are switching now."""
    return [
        name
        for name, status in chain.items()
        if status is not None and status.switching and status.failed_version != version
    ]
