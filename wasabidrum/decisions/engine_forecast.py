"""Forecasts the time to a request's first event from the engine's published figures.

Load pattern: an engine of sixteen slots completes about nine generations a second, and callers
send more. A request sent to a full engine waits there for a slot behind others, and its first
event is late; so are those of all requests after it, while another engine has free slots.

An engine works in passes: it reads (prefills) a chunk of the waiting prompts, then runs some steps
in which each running request gets a token. A new request waits for the pass in progress, for the
prompts before its own, for its own prompt, and for the pass that gives its first tokens; if all
slots are taken, it also waits for a free slot.
"""

import dataclasses

from ..core.published import EngineFigures

MEAN_PASS_FRACTION_LEFT = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class EngineWork:
    """The work of an engine before and beside a new request.

    Attributes:
      requests: Requests that run or wait there.
      unread_tokens: Prompt tokens of the requests that have had no event yet.
      slowdown: How many times slower than published the engine works.
      overtaken: Requests among them that have had no event yet and are less urgent than the new
        one, which overtakes those that still wait.
      overtaken_tokens: Their prompt tokens.
    """

    requests: float
    unread_tokens: float
    slowdown: float = 1.0
    overtaken: int = 0
    overtaken_tokens: int = 0


def pass_seconds(figures: EngineFigures, running: float) -> float:
    """Returns the duration of a pass that gives every running request its next tokens."""
    context = (figures.usual_prompt + figures.usual_answer / 2) / 1000.0
    step = figures.step + running * (
        figures.step_per_request + figures.step_per_thousand_context * context
    )
    return figures.stride * step


def read_seconds(figures: EngineFigures, tokens: float) -> float:
    """Returns how long the engine takes to read a prompt."""
    pairs = tokens * tokens / 2 / 1_000_000.0
    return tokens / figures.read_rate + pairs * figures.read_per_million_pairs


def extra_read_seconds(figures: EngineFigures, prompt_tokens: int) -> float:
    """Returns how much longer the engine reads a prompt than one of usual size."""
    own = prompt_tokens or figures.usual_prompt
    return read_seconds(figures, own) - read_seconds(figures, figures.usual_prompt)


def run_seconds(figures: EngineFigures, running: float) -> float:
    """Returns how long a request of usual size holds a slot, among others like it."""
    passes = max(1.0, figures.usual_answer / figures.stride)
    generating = passes * pass_seconds(figures, running)
    reading = read_seconds(figures, figures.usual_prompt)
    # While one request generates, the engine reads the prompts of those that come and go: one each.
    return generating + reading * (1.0 + running)


def answer_seconds(figures: EngineFigures, work: EngineWork, tokens: int) -> float:
    """Returns how long an engine writes an answer after its first event.

    Args:
      work: The engine's work before and beside the request.
      tokens: The most tokens that the answer may have; zero for a usual one.
    """
    running = min(work.requests + 1.0, float(figures.slots))
    usual = run_seconds(figures, running) - read_seconds(figures, figures.usual_prompt)
    share = (tokens or figures.usual_answer) / max(1.0, figures.usual_answer)
    return usual * share * work.slowdown


def free_slot_seconds(figures: EngineFigures, prompt_tokens: int) -> float:
    """Returns the seconds until the first event at an engine that has room.

    Half of its slots are taken, and it has one other prompt of usual size to read.
    """
    work = EngineWork(figures.slots / 2.0, figures.usual_prompt)
    return first_event_seconds(figures, work, prompt_tokens)


def first_event_seconds(figures: EngineFigures, work: EngineWork, prompt_tokens: int) -> float:
    """Returns the seconds until the first event of a request that is sent now."""
    running = min(work.requests, float(figures.slots))
    own = prompt_tokens or figures.usual_prompt
    one_pass = pass_seconds(figures, running + 1.0)
    seconds = MEAN_PASS_FRACTION_LEFT * one_pass + one_pass + read_seconds(figures, own)
    beyond = work.requests + 1.0 - figures.slots
    unread_tokens = work.unread_tokens
    if work.overtaken and beyond > 1.0:
        # Those that wait for a slot are overtaken. The new request still waits for the next slot.
        waiting = min(beyond - 1.0, float(work.overtaken))
        unread_tokens -= work.overtaken_tokens * waiting / work.overtaken
        beyond -= waiting
    seconds += unread_tokens / figures.read_rate
    if beyond > 0.0:
        seconds += beyond * run_seconds(figures, running) / figures.slots
    return seconds * work.slowdown


def engine_seconds(figures: EngineFigures, prompt_tokens: float, answer_tokens: float) -> float:
    """Returns how much of a full engine's time a request takes.

    The engine reads one prompt at a time, and its passes are shared by all of its slots.
    """
    tokens_per_pass = figures.stride * max(1, figures.slots)
    writing = answer_tokens * pass_seconds(figures, figures.slots) / tokens_per_pass
    return read_seconds(figures, prompt_tokens) + writing
