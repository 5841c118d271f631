"""Divides the memory of an entry among the requests and answers that it buffers.

Load pattern: some hundred callers read slowly, or not at all, while endpoints answer at full
speed, and something at an endpoint's address sends bytes without end. What is buffered for them
grows until the process is killed, and the requests of all its other callers with it.

All buffered bytes count against one limit. How far an answer is read ahead of its caller depends on
how much is free: usually all of it, so that an endpoint does not wait for a slow caller and does
not cut the answer off; less as memory fills (dynamic thresholds, Choudhury and Hahne, 1998). A few
slow callers cannot take what the others need, because each gets a fraction of what is free, and
every connection keeps the least read-ahead. New requests are refused while the rest is needed by
those that were admitted.
"""

from .giving_way import SMALL_BYTES

BYTES_PER_MEGABYTE = 1_000_000
# The part of a process's memory for buffers. The rest is for the interpreter with its modules, the
# configuration, and the pieces of weights that an entry passes on.
BUFFER_FRACTION = 0.25
# Beyond this fraction of the limit, new requests are refused; what is above it is for the answers
# of requests that were admitted.
ADMISSION_FRACTION = 0.75
# Refusing ends only below this fraction, so that it does not begin and end with each request.
RESUME_FRACTION = 0.65
# What a request takes beside its body and its answer: two connections, their tasks and headers.
# An estimate.
REQUEST_BYTES = 32_768
# Large requests are admitted only below this fraction of the limit, with their own bytes, so that
# they never take what those of a usual size need.
LARGE_FRACTION = 0.5
# How often a body is held at the most: by its request, and by the write to an endpoint.
BODY_COPIES = 2
# Each answer may be read ahead of its caller by this fraction of what is free.
READ_AHEAD_FRACTION = 1.0 / 64.0
MIN_READ_AHEAD_BYTES = 16_384
MAX_READ_AHEAD_BYTES = 4 * 1_048_576
# The largest answer. One that is larger counts as bytes without end. Requests are limited to four
# megabytes unless the configuration says otherwise.
MAX_ANSWER_BYTES = 16 * 1_048_576
# An answer may take no more than this fraction of the limit, even if it is smaller than that.
ANSWER_FRACTION = 0.25


class BufferBudget:
    """Counts what an entry buffers, against its limit."""

    __slots__ = ("_limit", "_used", "_refusing")

    def __init__(self, limit_bytes: int) -> None:
        self._limit = limit_bytes
        self._used = 0
        self._refusing = False

    @property
    def limit(self) -> int:
        """The most that may be buffered, in bytes."""
        return self._limit

    @property
    def used(self) -> int:
        """The bytes that are buffered, with an allowance for each request."""
        return self._used

    @property
    def refusing(self) -> bool:
        """Whether new requests are refused now."""
        fraction = RESUME_FRACTION if self._refusing else ADMISSION_FRACTION
        self._refusing = self._used >= fraction * self._limit
        return self._refusing

    def admits(self, body_bytes: int, own_bytes: int = 0) -> bool:
        """Returns whether a request with a body that was received whole is admitted now.

        One that is alone is admitted whatever it holds, so that every legal body is served in calm.

        Args:
          own_bytes: What the request has in the budget without its body.
        """
        if body_bytes <= SMALL_BYTES or self._used <= own_bytes:
            return not self.refusing
        return self._used + BODY_COPIES * body_bytes <= LARGE_FRACTION * self._limit

    @property
    def exceeded(self) -> bool:
        """Whether no more may be buffered, even for requests that were admitted."""
        return self._used >= self._limit

    @property
    def read_ahead(self) -> int:
        """The bytes by which each answer may be read ahead of its caller."""
        share = int((self._limit - self._used) * READ_AHEAD_FRACTION)
        return max(MIN_READ_AHEAD_BYTES, min(MAX_READ_AHEAD_BYTES, share))

    @property
    def largest_answer(self) -> int:
        """The size in bytes of the largest answer that is read."""
        return min(MAX_ANSWER_BYTES, int(self._limit * ANSWER_FRACTION))

    def add(self, count: int) -> None:
        """Adds bytes that are now buffered."""
        self._used += count

    def remove(self, count: int) -> None:
        """Removes bytes that are no longer buffered."""
        self._used -= count


class BufferAccount:
    """What one request has buffered; returned to the budget at the latest when it is closed."""

    __slots__ = ("_budget", "_held")

    def __init__(self, budget: BufferBudget) -> None:
        self._budget = budget
        self._held = 0

    @property
    def held(self) -> int:
        """The bytes that the request has buffered."""
        return self._held

    def add(self, count: int) -> None:
        """Adds bytes that are now buffered."""
        self._held += count
        self._budget.add(count)

    def remove(self, count: int) -> None:
        """Removes bytes that are no longer buffered."""
        self._held -= count
        self._budget.remove(count)

    def close(self) -> None:
        """Returns all that is held."""
        self._budget.remove(self._held)
        self._held = 0


def make_buffer_budget(memory_mb: int) -> BufferBudget:
    """Returns the budget of a process.

    Args:
      memory_mb: The memory of the process in megabytes.
    """
    return BufferBudget(int(memory_mb * BYTES_PER_MEGABYTE * BUFFER_FRACTION))
