"""Compares a moving average with decaying percentiles as the expected cost of requests.

Admission needs the total work of a group of waiting requests, so the measure is the error of
the sum over GROUP requests, relative to its true value. Token counts come from a fixed seed.
"""

import random
import sys

from wasabidrum.decisions.expected_cost import ExpectedCost

from .decaying_percentile import DecayingPercentile
from .report import Aim, print_report

GROUP = 20
REQUESTS = 4000
LARGEST = 100_000
HALF_LIFE_SAMPLES = 32.0


def make_token_counts(rng: random.Random) -> dict[str, list[int]]:
    """Returns token counts of workspaces with different distributions."""
    steady = [max(1, int(rng.gauss(200, 30))) for _ in range(REQUESTS)]
    skewed = [max(1, int(rng.lognormvariate(4.0, 1.0))) for _ in range(REQUESTS)]
    mixed = [rng.choice((20, 20, 20, 800)) for _ in range(REQUESTS)]
    half = REQUESTS // 2
    changed = [40] * half + [400] * half
    return {"steady": steady, "skewed": skewed, "mixed": mixed, "changed": changed}


def mean_error(costs: list[int], learn, estimate) -> float:
    """Returns the mean relative error of the expected work of the next GROUP requests."""
    errors = []
    for start in range(0, len(costs) - GROUP, GROUP):
        group = costs[start : start + GROUP]
        if start >= 10 * GROUP:
            errors.append(abs(GROUP * estimate() - sum(group)) / sum(group))
        for cost in group:
            learn(cost)
    return sum(errors) / len(errors)


def main() -> int:
    """Runs the comparison."""
    found: dict[str, dict[str, float]] = {}
    for name, costs in make_token_counts(random.Random(5)).items():
        average = ExpectedCost()
        found[name] = {
            "average": mean_error(
                costs,
                lambda cost, kept=average: kept.learn("w", "m", cost),
                lambda kept=average: kept.estimate("w", "m", LARGEST),
            )
        }
        for part in (0.5, 0.9):
            percentile_rule = DecayingPercentile(part, HALF_LIFE_SAMPLES)
            found[name][f"p{int(part * 100)}"] = mean_error(
                costs, percentile_rule.learn, percentile_rule.estimate
            )
        print(name, {rule: round(error, 3) for rule, error in found[name].items()})
    rules = ("average", "p50", "p90")
    means = {rule: sum(row[rule] for row in found.values()) / len(found) for rule in rules}
    best = min(means["p50"], means["p90"])
    aim = Aim("error_of_expected_cost", round(means["average"], 3), "of the true", best, best)
    print_report("expected_cost", [aim], found)
    return 0


if __name__ == "__main__":
    sys.exit(main())
