"""When an engine would give a request's first event, from what the engine's maker publishes.

Load pattern: an engine of sixteen slots takes about nine generations a second, and callers
send more. Sent to a full engine, a request waits there for a slot behind others and its first
event is late; so are those of all after it, while another engine has room.

An engine works in passes: it reads a chunk of waiting prompts, then runs some steps in which
each running request gets a token. A new request waits for the pass in progress, for the prompts
before its own, for its own, and for the pass that gives its first tokens; with all slots taken
also for one to come free.
"""

import dataclasses

from ..core.published import EngineFigures

PASS_LEFT = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class EngineWork:
    """What an engine has to do before and beside a new request.

    Attributes:
      requests: Requests that run or wait there.
      unread_tokens: Prompt tokens of those that have had no event yet.
      pace: How much slower than published the engine works.
    """

    requests: float
    unread_tokens: float
    pace: float = 1.0


def pass_seconds(figures: EngineFigures, running: float) -> float:
    """Returns the length of a pass that gives every running request its next tokens."""
    context = (figures.usual_prompt + figures.usual_answer / 2) / 1000.0
    step = figures.step + running * (
        figures.step_per_request + figures.step_per_thousand_context * context
    )
    return figures.stride * step


def read_seconds(figures: EngineFigures, tokens: float) -> float:
    """Returns how long a prompt takes to read."""
    pairs = tokens * tokens / 2 / 1_000_000.0
    return tokens / figures.read_rate + pairs * figures.read_per_million_pairs


def run_seconds(figures: EngineFigures, running: float) -> float:
    """Returns how long a usual request holds a slot, among others of its kind."""
    passes = max(1.0, figures.usual_answer / figures.stride)
    writing = passes * pass_seconds(figures, running)
    reading = read_seconds(figures, figures.usual_prompt)
    # While one writes, the others that come and go are read: one prompt each.
    return writing + reading * (1.0 + running)


def first_event_seconds(figures: EngineFigures, work: EngineWork, prompt_tokens: int) -> float:
    """Returns when a request that is sent now would have its first event."""
    running = min(work.requests, float(figures.slots))
    own = prompt_tokens or figures.usual_prompt
    one_pass = pass_seconds(figures, running + 1.0)
    seconds = PASS_LEFT * one_pass + one_pass + read_seconds(figures, own)
    seconds += work.unread_tokens / figures.read_rate
    beyond = work.requests + 1.0 - figures.slots
    if beyond > 0.0:
        seconds += beyond * run_seconds(figures, running) / figures.slots
    return seconds * work.pace
