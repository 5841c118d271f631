"""When an endpoint may switch to a version that it holds completely.

Load pattern: hundreds of endpoints become ready within seconds of each other while live
requests flow. If all switched at once nobody would answer; if the version cannot be
loaded, all would crash with it. There is no coordinator to ask, so the order of endpoints
is computed from the configuration alone: the first in line tries the version and must stay
up for a while, and the news of it spreads down a binary tree of that order. Then the
endpoints switch in as many chains as may be away at once. In a chain one switches at a
time, so the limit holds however late any of them is, and each asks only the few others of
its chain, whatever the size of the fleet.
"""

import collections.abc
import enum

from ..core.status import Status
from .chunk_plan import rank_names

FIRST_IN_LINE = 5
FAILURES_TO_STOP = 2
FEW_ENDPOINTS = 4
PATIENCE_WITH_FIRST_SECONDS = 10.0

Statuses = collections.abc.Mapping[str, Status | None]


class Proof(enum.Enum):
    """What is known of a version's first endpoints.

    TRY says that this endpoint is the one to find out.
    """

    WAIT = "wait"
    TRY = "try"
    PROVEN = "proven"
    STOPPED = "stopped"


def rollout_order(root: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Returns the order in which a model's endpoints switch to a version."""
    return rank_names(f"rollout/{root}", names)


def find_contacts(order: list[str], name: str) -> list[str]:
    """Returns whom to ask for news of the version, the nearest first.

    The first few ask all before them, because each may have to try next; any other asks
    its parent in the binary tree, and those above where the parent is dead.
    """
    place = order.index(name)
    if place < FIRST_IN_LINE:
        return order[:place]
    contacts = []
    while place > 0:
        place = (place - 1) // 2
        contacts.append(order[place])
    return contacts


def find_chain(order: list[str], name: str, away_fraction: float) -> list[str]:
    """Returns the others of an endpoint's chain, in their order."""
    chains = max(1, int(len(order) * away_fraction))
    place = order.index(name)
    return [order[other] for other in range(place % chains, len(order), chains) if other != place]


def failures_to_stop(endpoints: int) -> int:
    """Returns how many failures without a success stop a version."""
    return FAILURES_TO_STOP if endpoints >= FEW_ENDPOINTS else 1


def judge_proof(
    order: list[str], name: str, version: str, statuses: Statuses, ready_seconds: float
) -> Proof:
    """Returns what the contacts' statuses say of a version.

    Args:
      statuses: The contacts that were asked; None for one that did not answer.
      ready_seconds: For how long this endpoint has been ready to switch.
    """
    heard = [status for status in statuses.values() if status is not None]
    failures = sum(status.failed_version == version for status in heard)
    if any(status.stopped == version for status in heard):
        return Proof.STOPPED
    if any(status.proven == version for status in heard):
        return Proof.PROVEN
    if failures >= failures_to_stop(len(order)):
        return Proof.STOPPED
    impatient = ready_seconds >= PATIENCE_WITH_FIRST_SECONDS
    if order.index(name) < FIRST_IN_LINE:
        pending = any(may_still_try(status, version, impatient) for status in heard)
        return Proof.WAIT if pending else Proof.TRY
    return Proof.TRY if not heard and impatient else Proof.WAIT


def may_still_try(status: Status, version: str, impatient: bool) -> bool:
    """Returns whether an endpoint ahead in line is still to find out about a version."""
    if status.failed_version == version:
        return False
    ready = status.staged == version or status.version == version or status.switching
    return ready or not impatient


def may_switch(order: list[str], name: str, version: str, chain: Statuses) -> bool:
    """Returns whether nobody of the chain switches now or is ready and goes first."""
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
    """Returns those of the chain that say that they switch now."""
    return [
        name
        for name, status in chain.items()
        if status is not None and status.switching and status.failed_version != version
    ]
