"""Writes events as JSON lines through logbook, keeps the latest in memory, and counts them."""

import sys
import time

import logbook
import msgspec

from .event import Event
from .event_buffer import EventBuffer
from .line_rate_limit import LineRateLimit
from .metrics import Metrics
from .nonblocking_output import NonBlockingOutput

# Rate-limited events: successful requests, with one or two lines each, messages of libraries, and
# what anybody who connects can bring about without a request, whose number has no other bound.
ROUTINE_EVENTS = frozenset(
    (
        Event.REQUEST_PLACED,
        Event.REQUEST_DONE,
        Event.LIBRARY_MESSAGE,
        Event.CONNECTION_REFUSED,
        Event.CONNECTION_GAVE_WAY,
        Event.ANSWERS_UNREAD,
        Event.REQUEST_GAVE_WAY,
    )
)


class OutputHandler(logbook.Handler):
    """A logbook handler that writes to a non-blocking output."""

    def __init__(self, output: NonBlockingOutput) -> None:
        super().__init__(bubble=False)
        self._output = output

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes one record; see logbook."""
        self._output.write(record.message)


class EventLog:
    """Logs the events of one daemon, each with the daemon's name.

    Attributes:
      buffer: The latest events, for `wasabidrum explain`.
      metrics: The metrics counted from events.
    """

    __slots__ = ("_logger", "_name", "_rate_limit", "buffer", "metrics")

    def __init__(self, logger: logbook.Logger, name: str) -> None:
        self._logger = logger
        self._name = name
        self._rate_limit = LineRateLimit()
        self.buffer = EventBuffer()
        self.metrics = Metrics()

    @property
    def name(self) -> str:
        """The daemon's name."""
        return self._name

    def write(self, event: Event, /, **facts: object) -> None:
        """Writes an event with its fields; routine events are limited in number per second."""
        now = time.time()
        self.metrics.count_event(event, facts)
        dropped = self._rate_limit.reset_dropped_count(now)
        if dropped:
            self._write(now, Event.LINES_LEFT_OUT, {"lines": dropped})
        if event not in ROUTINE_EVENTS or self._rate_limit.allow(now):
            self._write(now, event, facts)

    def _write(self, now: float, event: Event, facts: dict[str, object]) -> None:
        fields = {"t": round(now, 3), "n": int(event), "event": event.name.lower()}
        fields |= {"daemon": self._name} | facts
        line = msgspec.json.encode(fields).decode()
        self.buffer.add(line)
        self._logger.info(line)


def make_event_log(name: str, log_file: str) -> EventLog:
    """Returns a log that writes to a file, or to standard error if the file name is empty."""
    handler: logbook.Handler
    if log_file:
        handler = logbook.FileHandler(log_file, format_string="{record.message}", bubble=False)
    else:
        handler = logbook.StreamHandler(sys.stderr, format_string="{record.message}", bubble=False)
    logger = logbook.Logger(name)
    logger.handlers.append(handler)
    return EventLog(logger, name)


def make_output_log(name: str) -> EventLog:
    """Returns a log that writes to standard output without blocking."""
    output = NonBlockingOutput(sys.stdout.fileno())
    logger = logbook.Logger(name)
    logger.handlers.append(OutputHandler(output))
    log = EventLog(logger, name)
    log.metrics.add_gauge(
        "log_lines_dropped", "Lines that nobody read in time.", lambda: output.dropped
    )
    return log
