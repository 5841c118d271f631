"""Which peer holds up the chunks that are waited for at it, and not this sidecar's own link.

Load pattern: while a version spreads, everyone waits at a few peers for chunks that these still
lack. A peer that waits itself says nothing for seconds, and so does one that is suspended, or
whose link has become narrow. Told apart only when the long wait is over, one such peer keeps its
part of the version from the whole fleet for four seconds each time; and a probe that waits for
it delays what its asker is about to draw. A healthy peer answers a probe at once, whatever it
waits for. So the peers at which this sidecar waits are probed, others with them, and one that is
silent for longer than another took is passed over. What the others took is the measure, because
all answers come late behind what this sidecar's own link carries; to pass over everybody for
that would cost the origin a copy.

What it costs the origin: what a silent peer had drawn is drawn once more, by one other. That is
a sixth of a copy where one of six is lost, and a third where two are; nothing on a calm day.
"""

import collections.abc

# How much longer than another a peer may take to answer a probe.
PROMPT_SECONDS = 0.5
# How long an answer counts, before the peer is probed again.
LOOK_SECONDS = 1.0
# Others that are probed with one at which this sidecar waits; two, for one of them may be as
# badly off.
WITNESSES = 2
# Where even the first answer takes as long, the own link is far narrower than it should be.
DOUBTFUL_SECONDS = 1.5
# How long that counts: peers that were silent are passed over for two seconds, and are not
# probed meanwhile.
DOUBT_LASTS_SECONDS = 3.0

Answers = collections.abc.Mapping[str, float | None]


def find_silent(answers: Answers, elapsed: float) -> list[str]:
    """Returns which of the peers that were probed together are to be passed over.

    Args:
      answers: After how many seconds each peer answered; None for one that has not.
      elapsed: The seconds since they were probed.
    """
    taken = [seconds for seconds in answers.values() if seconds is not None]
    if not taken or elapsed < min(taken) + PROMPT_SECONDS:
        return []
    return [name for name, seconds in answers.items() if seconds is None]


class PeerResponsiveness:
    """When each peer answered a probe last, and how this sidecar's own link seems to be."""

    __slots__ = ("_answered_at", "_doubted_at", "_draws_are_slow")

    def __init__(self) -> None:
        self._answered_at: dict[str, float] = {}
        self._doubted_at = -DOUBT_LASTS_SECONDS
        self._draws_are_slow = False

    def note_round(self, answers: Answers, elapsed: float, now: float) -> None:
        """Takes what came of some probes that were sent together."""
        for name, seconds in answers.items():
            if seconds is not None:
                self._answered_at[name] = now - elapsed + seconds
        fastest = min((s for s in answers.values() if s is not None), default=elapsed)
        if fastest < PROMPT_SECONDS:
            self._doubted_at = now - DOUBT_LASTS_SECONDS
        elif fastest >= DOUBTFUL_SECONDS and len(answers) >= WITNESSES:
            self._doubted_at = now

    def record_draw(self, seconds: float) -> None:
        """Records how long a chunk took to come from the origin; a prompt one clears the own link.

        One that is cut off from all its peers finds them silent too, and has the origin only.
        """
        self._draws_are_slow = seconds >= PROMPT_SECONDS

    def answered_lately(self, name: str, now: float) -> bool:
        """Returns whether a peer has answered so lately that it need not be probed."""
        return now - self._answered_at.get(name, -LOOK_SECONDS) < LOOK_SECONDS

    def own_link_suspected(self, now: float) -> bool:
        """Returns whether several peers were probed lately and all were late, and draws as well."""
        return self._draws_are_slow and now - self._doubted_at < DOUBT_LASTS_SECONDS

    def choose_witnesses(self, name: str, others: collections.abc.Iterable[str]) -> list[str]:
        """Returns whom to probe beside a peer, so that its silence can be told from one's own."""
        others = [other for other in others if other != name]
        # Those that answered last are the likeliest to do so again.
        ranked = sorted(others, key=lambda other: (-self._answered_at.get(other, 0.0), other))
        return ranked[:WITNESSES]
