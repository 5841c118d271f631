"""Detects unresponsive peers, and distinguishes them from a slow link of this sidecar itself.

Load pattern: while a version spreads, all sidecars wait at a few peers for chunks that these still
lack. A peer that waits itself says nothing for seconds; so does one that is suspended or whose
link has become narrow. If they were told apart only when the long wait times out, one such peer
would keep its part of the version from the whole fleet for four seconds each time, and a probe
that waits for it would delay what its sender is about to fetch from the origin.

A healthy peer answers a probe at once, whatever it waits for. So the peers at which this sidecar
waits are probed together with some reference peers, and a peer that has not answered
ANSWER_MARGIN_SECONDS after the fastest one is skipped. The comparison is relative because all
answers are late while this sidecar's own link is busy; skipping all peers for that would cost the
origin a copy.

Cost for the origin: the chunks that a silent peer had fetched are fetched once more, by one other
sidecar. That is a sixth of a copy where one of six is lost, and a third where two are; nothing
where no peer is silent.
"""

import collections.abc

# How much longer than the fastest peer of its round a peer may take to answer a probe.
ANSWER_MARGIN_SECONDS = 0.5
# How long an answer counts, before the peer is probed again.
PROBE_INTERVAL_SECONDS = 1.0
# Reference peers that are probed along with a peer at which this sidecar waits; two, because one
# of them may be unresponsive as well.
REFERENCE_PEERS = 2
# If even the fastest answer takes this long, the own link is far narrower than it should be.
SLOW_LINK_SECONDS = 1.5
# How long that suspicion lasts: silent peers are skipped for two seconds, and are not probed
# meanwhile.
SUSPICION_SECONDS = 3.0

AnswerTimes = collections.abc.Mapping[str, float | None]


def find_silent(answers: AnswerTimes, elapsed: float) -> list[str]:
    """Returns which peers of one round of probes are to be skipped.

    Args:
      answers: How many seconds each peer took to answer; None for one that has not answered.
      elapsed: The seconds since the probes were sent.
    """
    taken = [seconds for seconds in answers.values() if seconds is not None]
    if not taken or elapsed < min(taken) + ANSWER_MARGIN_SECONDS:
        return []
    return [name for name, seconds in answers.items() if seconds is None]


class PeerResponsiveness:
    """When each peer last answered a probe, and whether this sidecar's own link seems slow."""

    __slots__ = ("_answered_at", "_suspected_at", "_origin_is_slow")

    def __init__(self) -> None:
        self._answered_at: dict[str, float] = {}
        self._suspected_at = -SUSPICION_SECONDS
        self._origin_is_slow = False

    def record_round(self, answers: AnswerTimes, elapsed: float, now: float) -> None:
        """Records the outcome of probes that were sent together."""
        for name, seconds in answers.items():
            if seconds is not None:
                self._answered_at[name] = now - elapsed + seconds
        fastest = min((s for s in answers.values() if s is not None), default=elapsed)
        if fastest < ANSWER_MARGIN_SECONDS:
            self._suspected_at = now - SUSPICION_SECONDS
        elif fastest >= SLOW_LINK_SECONDS and len(answers) >= REFERENCE_PEERS:
            self._suspected_at = now

    def record_origin_fetch(self, seconds: float) -> None:
        """Records how long a fetch from the origin took; a fast one clears the own link.

        A sidecar that is cut off from all its peers finds them silent too, and can reach only
        the origin.
        """
        self._origin_is_slow = seconds >= ANSWER_MARGIN_SECONDS

    def answered_lately(self, name: str, now: float) -> bool:
        """Returns whether a peer has answered so recently that it need not be probed."""
        return now - self._answered_at.get(name, -PROBE_INTERVAL_SECONDS) < PROBE_INTERVAL_SECONDS

    def own_link_suspected(self, now: float) -> bool:
        """Returns whether all of several peers answered late recently, and the origin did too."""
        return self._origin_is_slow and now - self._suspected_at < SUSPICION_SECONDS

    def choose_reference_peers(self, name: str, others: collections.abc.Iterable[str]) -> list[str]:
        """Returns the peers to probe with a peer, to tell its silence from a slow own link."""
        others = [other for other in others if other != name]
        # Those that answered most recently are the likeliest to answer again.
        ranked = sorted(others, key=lambda other: (-self._answered_at.get(other, 0.0), other))
        return ranked[:REFERENCE_PEERS]
