"""Estimates how many tokens a request will cost, learned per workspace and target.

Load pattern: one workspace asks for ten tokens and gets ten; another always sends the largest
max_tokens and stops early. If requests were counted, the workspace with long answers would take
most of the engines. If max_tokens were counted, the other would be refused for work that it
never causes.

A moving average of the actual cost of requests is kept for each workspace and target. A
decaying percentile, as the Vertical Pod Autoscaler uses for resource usage, was measured for
comparison (bench/expected_cost.py). It protects a container from being killed after a single
excess, whereas here errors in both directions cost the same and are corrected while answers
stream.
"""

SAMPLE_WEIGHT = 1.0 / 16.0
MAX_ESTIMATES = 4096


class ExpectedCost:
    """Moving averages of the tokens that requests cost, by workspace and target."""

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def estimate(self, workspace: str, target: str, max_tokens: int) -> float:
        """Returns the expected tokens of a request, at most max_tokens."""
        mean = self._means.get((workspace, target))
        ceiling = float(max(1, max_tokens))
        return ceiling if mean is None else max(1.0, min(ceiling, mean))

    def learn(self, workspace: str, target: str, tokens: int) -> None:
        """Records the actual cost of a request that was answered completely."""
        key = (workspace, target)
        mean = self._means.get(key)
        if mean is None:
            # Workspaces come and go with the configuration. Without a bound, a daemon that runs
            # for months would keep all names that ever existed.
            if len(self._means) >= MAX_ESTIMATES:
                self._means.pop(next(iter(self._means)))
            self._means[key] = float(tokens)
        else:
            self._means[key] = mean + SAMPLE_WEIGHT * (tokens - mean)
