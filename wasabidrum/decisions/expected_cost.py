"""How many tokens a request will cost, learned per workspace.

Load pattern: one workspace asks for ten tokens and gets ten; another always sends the
largest max_tokens and stops early. Counted as requests, the one with long answers takes
most of the engines; counted by max_tokens, the other is refused for work it never asks for.

A moving average of what requests truly cost is kept per workspace. A decaying percentile,
as the Vertical Pod Autoscaler keeps of resource use, was measured beside it
(bench/expected_cost.py): it guards a container against being killed for one excess, whereas
here errors of both signs cost the same and are corrected as answers stream.
"""

SAMPLE_WEIGHT = 1.0 / 16.0
MOST_WORKSPACES = 4096


class ExpectedCost:
    """A moving average of the tokens that requests of each workspace cost."""

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def estimate(self, workspace: str, target: str, max_tokens: int) -> float:
        """Returns the tokens to expect of one request; never more than it may generate."""
        mean = self._means.get((workspace, target))
        ceiling = float(max(1, max_tokens))
        return ceiling if mean is None else max(1.0, min(ceiling, mean))

    def learn(self, workspace: str, target: str, tokens: int) -> None:
        """Takes what a request that was answered whole did cost."""
        key = (workspace, target)
        mean = self._means.get(key)
        if mean is None:
            # Workspaces come and go with the configuration; without a bound a daemon that
            # lives for months would keep every name that ever was.
            if len(self._means) >= MOST_WORKSPACES:
                self._means.pop(next(iter(self._means)))
            self._means[key] = float(tokens)
        else:
            self._means[key] = mean + SAMPLE_WEIGHT * (tokens - mean)
