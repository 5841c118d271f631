"""The scenarios of the load bench; each runs against one policy and returns its figures."""

import asyncio
import random
import time

from standins.prefix_cache import BLOCK_WORDS, prefix_blocks

from .load_callers import LoadRequest, LoadResult, count, percentile, whole_latencies
from .load_fleet import CAPACITY, DECODE_SECONDS, ENGINES, SLOTS, LoadFleet

FIRST_TOKEN_SECONDS = 1.2
CHARGES_PER_SECOND = 10.0
LONG_TOKENS = 300
PREFIX_GROUPS = 24
PREFIX_WORDS = 192
PREFIX_LOAD = 0.7


def is_good(answer: LoadResult) -> bool:
    """Whether an answer is whole and its first token came in time."""
    return answer.became == "whole" and answer.first <= FIRST_TOKEN_SECONDS


def any_workspace(rng: random.Random) -> LoadRequest:
    """A short request of any workspace."""
    return LoadRequest(f"w{rng.randrange(10)}", f"shop {rng.randrange(10**9)}")


def other_workspace(rng: random.Random) -> LoadRequest:
    """A short request of any workspace but w0."""
    return LoadRequest(f"w{1 + rng.randrange(9)}", f"shop {rng.randrange(10**9)}")


def hot_workspace(rng: random.Random) -> LoadRequest:
    """A short request of w0."""
    return LoadRequest("w0", f"shop {rng.randrange(10**9)}")


def long_job(rng: random.Random) -> LoadRequest:
    """A long request of w0."""
    return LoadRequest("w0", f"speech {rng.randrange(10**9)}", LONG_TOKENS)


def charge(rng: random.Random) -> LoadRequest:
    """A charge of any workspace."""
    return LoadRequest(f"w{rng.randrange(10)}", f"{rng.getrandbits(64):016x}", charge=True)


async def play_overload(
    fleet: LoadFleet, policy: str, factor: float, seconds: float
) -> dict[str, float]:
    """Offers summaries at a multiple of capacity beside a steady rate of charges."""
    callers = fleet.callers(policy, 11)
    summaries, charges = await asyncio.gather(
        callers.arrive(factor * CAPACITY, seconds, any_workspace),
        callers.arrive(CHARGES_PER_SECOND, seconds, charge),
    )
    callers.close()
    refused = [answer.total for answer in summaries if answer.became == "refused"]
    good = sum(is_good(answer) for answer in summaries)
    return {
        "offered": len(summaries),
        "good_per_second": good / seconds,
        "refused": len(refused),
        "refused_p50": percentile(refused, 50.0),
        "refused_p95": percentile(refused, 95.0),
        "first_p95": percentile([a.first for a in summaries if a.became == "whole"], 95.0),
        "lost": count(summaries, "lost"),
        "charges": len(charges),
        "charges_not_whole": len(charges) - count(charges, "whole"),
        "charge_p95": percentile(whole_latencies(charges), 95.0),
        "latencies": sorted(whole_latencies(summaries)),
    }


async def play_hot(fleet: LoadFleet, policy: str, seconds: float) -> dict[str, float]:
    """Nine workspaces send half their share; the tenth sends nothing, then ten times its share."""
    found = {}
    for name, rate in (("without", 0.01), ("beside", CAPACITY)):
        callers = fleet.callers(policy, 12)
        others, _ = await asyncio.gather(
            callers.arrive(0.45 * CAPACITY, seconds, other_workspace),
            callers.arrive(rate, seconds, hot_workspace),
        )
        callers.close()
        found[f"{name}_p95"] = percentile(whole_latencies(others), 95.0)
        found[f"{name}_whole"] = count(others, "whole") / max(1, len(others))
    return found


async def play_slow(fleet: LoadFleet, policy: str, seconds: float) -> dict[str, float]:
    """Makes one engine ten times slower at a load of 0.6 of capacity."""
    callers = fleet.callers(policy, 13)
    before = await callers.arrive(0.6 * CAPACITY, seconds, any_workspace)
    generated = await fleet.engine_counters()
    await fleet.put_faults(0, slow_factor=10.0)
    began = time.time()
    after = await callers.arrive(0.6 * CAPACITY, seconds + 2.0, any_workspace)
    placed = fleet.placed(policy, began + 2.0, time.time())
    now = await fleet.engine_counters()
    done = [new["generated"] - old["generated"] for new, old in zip(now, generated, strict=True)]
    await fleet.put_faults(0, slow_factor=1.0)
    callers.close()
    await asyncio.sleep(1.0)
    return {
        "before_p95": percentile(whole_latencies(before), 95.0),
        "after_p95": percentile(whole_latencies(after), 95.0),
        "after_whole": count(after, "whole") / max(1, len(after)),
        "slow_share_after_2s": placed["worker-0"] / max(1, sum(placed.values())),
        "slow_generated": done[0] / max(1, sum(done)),
    }


async def play_long(fleet: LoadFleet, policy: str, seconds: float) -> dict[str, float]:
    """Sends short requests at 0.4 of capacity, alone and then beside long ones at 0.3."""
    long_rate = 0.3 * ENGINES * SLOTS / (LONG_TOKENS * DECODE_SECONDS)
    found = {}
    for name, rate in (("alone", 0.0001), ("among", long_rate)):
        callers = fleet.callers(policy, 14)
        short, _ = await asyncio.gather(
            callers.arrive(0.4 * CAPACITY, seconds, other_workspace),
            callers.arrive(rate, seconds, long_job),
        )
        callers.close()
        found[f"{name}_p95"] = percentile(whole_latencies(short), 95.0)
        found[f"{name}_whole"] = count(short, "whole") / max(1, len(short))
    return found


async def play_prefix(fleet: LoadFleet, policy: str, seconds: float) -> dict[str, float]:
    """Sends prompts in groups that share a prefix; the first groups are more frequent."""
    salt = random.Random(policy).randrange(10**6)
    weights = [1.0 / (rank + 1) ** 0.7 for rank in range(PREFIX_GROUPS)]
    sent: list[str] = []

    def make(rng: random.Random) -> LoadRequest:
        (group,) = rng.choices(range(PREFIX_GROUPS), weights)
        head = " ".join(f"g{salt}x{group}w{word}" for word in range(PREFIX_WORDS))
        tail = " ".join(f"u{rng.randrange(10**9)}" for _ in range(16))
        sent.append(f"{head} {tail}")
        return LoadRequest(f"w{group % 10}", sent[-1])

    before = await fleet.engine_counters()
    callers = fleet.callers(policy, 15)
    answers = await callers.arrive(PREFIX_LOAD * CAPACITY, seconds, make)
    callers.close()
    after = await fleet.engine_counters()

    def gained(name: str) -> list[float]:
        return [new[name] - old[name] for new, old in zip(after, before, strict=True)]

    hit = sum(gained("prefix_words_held")) / max(1, sum(gained("prefix_words")))
    done = gained("generated")
    return {
        "hit_rate": hit,
        "best_hit_rate": best_hit_rate(sent),
        "busiest": max(done) * len(done) / max(1, sum(done)),
        "first_p95": percentile([a.first for a in answers if a.became == "whole"], 95.0),
        "whole": count(answers, "whole") / max(1, len(answers)),
    }


def best_hit_rate(prompts: list[str]) -> float:
    """Returns the hit rate of one unbounded cache: the upper bound for any placement."""
    held: set[str] = set()
    words = hits = 0
    for prompt in prompts:
        marks = prefix_blocks(prompt)
        words += len(prompt.split())
        hits += BLOCK_WORDS * sum(mark in held for mark in marks)
        held.update(marks)
    return hits / max(1, words)


async def play_failing(fleet: LoadFleet, policy: str, seconds: float) -> dict[str, float]:
    """Has every engine refuse every request."""
    for number in range(ENGINES):
        await fleet.put_faults(number, refuse=True)
    callers = fleet.callers(policy, 16)
    began = time.time()
    answers = await callers.arrive(CAPACITY, seconds, any_workspace)
    placed = sum(fleet.placed(policy, began, time.time()).values())
    for number in range(ENGINES):
        await fleet.put_faults(number, refuse=False)
    callers.close()
    return {
        "attempts_per_request": placed / max(1, len(answers)),
        "refused_p95": percentile([answer.total for answer in answers], 95.0),
    }


async def play_late(fleet: LoadFleet, policy: str, seconds: float) -> dict[str, float]:
    """Sends requests at 0.7 of capacity through many entries whose load reports are late."""
    before = await fleet.engine_counters()
    callers = fleet.callers(policy, 17)
    answers = await callers.arrive(PREFIX_LOAD * CAPACITY, seconds, any_workspace)
    callers.close()
    after = await fleet.engine_counters()
    done = [new["generated"] - old["generated"] for new, old in zip(after, before, strict=True)]
    return {
        "busiest": max(done) * len(done) / max(1, sum(done)),
        "p95": percentile(whole_latencies(answers), 95.0),
        "first_p95": percentile([a.first for a in answers if a.became == "whole"], 95.0),
        "whole": count(answers, "whole") / max(1, len(answers)),
    }
