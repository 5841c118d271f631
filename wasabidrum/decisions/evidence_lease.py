"""For how long a process may act on the configuration that it holds.

Load pattern: an operator takes a key away while some entries cannot reach the store. They go on
with the configuration that they have, in which the key is good, for as long as the outage
lasts; the workspace that was shut out is served, and its operator believes that it is not.

The configuration is held under a lease. Whoever asks the store and hears of nothing newer
renews it, from the moment of the question and not of the answer: what changed while the answer
was on its way is not in it. The lease ends before the bound for revoked keys, and then requests
with keys are refused until the store, or somebody who asked it, has answered again.
"""

MARGIN_SECONDS = 0.25
READY_FRACTION = 0.6
PROMPT_SECONDS = 0.1


class EvidenceLease:
    """When the configuration in force was last known to be the newest.

    All times are of a clock that counts while the instance is suspended.
    """

    __slots__ = ("_bound", "_dated")

    def __init__(self, bound: float) -> None:
        """Takes the seconds after which a revoked key must be refused everywhere."""
        self._bound = bound
        self._dated = float("-inf")

    @property
    def dated(self) -> float:
        """When the configuration in force was certainly the newest; minus infinity if never."""
        return self._dated

    def renew(self, asked_at: float) -> None:
        """Takes that someone asked at a moment and heard of nothing newer than is in force."""
        self._dated = max(self._dated, asked_at)

    def age(self, now: float) -> float:
        """Returns how old the evidence is, in seconds."""
        return now - self._dated

    def holds(self, now: float) -> bool:
        """Returns whether keys may still be judged by the configuration in force."""
        return self.age(now) <= self._bound - MARGIN_SECONDS

    def is_ready(self, now: float) -> bool:
        """Returns whether new callers may be sent here."""
        return self.age(now) <= self._bound * READY_FRACTION


def quiet_until(asked_at: float, answered_at: float, wait: float, held_up: bool) -> float:
    """Returns until when nothing had happened, where a watch ended without changes.

    The store held the question for the whole wait, which began after it was asked. Dated by the
    question instead, a change that comes with the next watch would seem to be older by a wait.
    It holds only for what the next watch brings: where the store drops its history, watches may
    have heard nothing of changes for a moment before.

    Args:
      wait: The seconds that the question was to wait for a change.
      held_up: Whether this process stood still for a moment between question and answer.
    """
    waited = answered_at - asked_at
    return asked_at + wait if waited >= wait and not held_up else asked_at


def prompt_after(asked_at: float, answered_at: float, wait: float, held_up: bool) -> float:
    """Returns when what an answer brought had not happened yet, or minus infinity if unknown.

    A question that waits at the store is answered as soon as something changes. Answered at
    once, it tells of what happened before it was asked; answered later than it was to wait, or
    read by a process that stood still meanwhile, it tells nothing of the moment.

    Args:
      wait: The seconds that the question was to wait for a change.
      held_up: Whether this process stood still for a moment between question and answer.
    """
    waited = answered_at - asked_at
    if not held_up and PROMPT_SECONDS <= waited <= wait + PROMPT_SECONDS:
        return answered_at - PROMPT_SECONDS
    return float("-inf")
