"""Decides whether a request fits in the memory of an engine beside those that run there.

Load pattern: prompts of twenty thousand tokens come among prompts of one thousand. An engine has
slots free, but its memory holds the context of a few such requests only. It lets the next one wait
in its queue, or stops one that runs, while another engine has memory free. A request that is larger
than the memory of any engine waits until its caller gives up, and holds a place all the time.

An engine takes memory for a prompt and for the answer as far as it is written. So the most tokens
that a request allows count where it is decided whether it ever fits, and a usual answer where it is
decided whether it fits now: most answers end long before their limit.
"""

from ..core.published import EngineFigures
from ..core.request_head import RequestHead
from .endpoint_load import EndpointLoad

# Where this many times the usual request fits into each slot, memory lasts for all slots.
LARGE_REQUEST_FACTOR = 4.0


def fits(figures: EngineFigures, head: RequestHead) -> bool:
    """Returns whether a request fits in the memory of an engine that runs nothing else."""
    return (
        not figures.memory_tokens or head.prompt_tokens + head.max_tokens <= figures.memory_tokens
    )


def usual_tokens(figures: EngineFigures) -> float:
    """Returns the tokens of a request of usual size."""
    return figures.usual_prompt + figures.usual_answer


def needed_tokens(figures: EngineFigures, head: RequestHead) -> float:
    """Returns the tokens that a request will probably need."""
    answer = min(head.max_tokens or figures.usual_answer, figures.usual_answer)
    return (head.prompt_tokens or figures.usual_prompt) + answer


def may_run_out(figures: EngineFigures, head: RequestHead) -> bool:
    """Returns whether an engine's memory may be full before all of its slots are taken."""
    slots_tokens = figures.slots * LARGE_REQUEST_FACTOR * usual_tokens(figures)
    return 0 < figures.memory_tokens < slots_tokens + needed_tokens(figures, head)


def has_room(figures: EngineFigures, load: EndpointLoad, head: RequestHead, now: float) -> bool:
    """Returns whether memory does not keep an engine from beginning a request.

    Without a free slot it does not matter: until one is free, memory is as well. One request of any
    size that fits always has room at an engine that runs nothing.
    """
    if not figures.memory_tokens:
        return True
    requests = load.work(now).requests
    if requests < 1.0 or requests >= figures.slots:
        return True
    others = max(0.0, requests - load.own_requests) * usual_tokens(figures)
    own = load.held_tokens + load.own_requests * figures.usual_answer
    return own + others + needed_tokens(figures, head) <= figures.memory_tokens
