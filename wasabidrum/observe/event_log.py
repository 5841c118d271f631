"""Writes numbered events as JSON lines through logbook, and remembers and counts them."""

import sys
import time

import logbook
import msgspec

from .event import Event
from .event_memory import EventMemory
from .metrics import Metrics


class EventLog:
    """Logs events of one daemon, each with the daemon's name.

    Attributes:
      memory: The latest events, for `wasabidrum explain`.
      metrics: What was counted.
    """

    __slots__ = ("_logger", "_name", "memory", "metrics")

    def __init__(self, logger: logbook.Logger, name: str) -> None:
        self._logger = logger
        self._name = name
        self.memory = EventMemory()
        self.metrics = Metrics()

    @property
    def name(self) -> str:
        """The daemon's name."""
        return self._name

    def write(self, event: Event, /, **facts: object) -> None:
        """Writes one event with its facts."""
        fields = {"t": round(time.time(), 3), "n": int(event), "event": event.name.lower()}
        fields |= {"daemon": self._name} | facts
        line = msgspec.json.encode(fields).decode()
        self.memory.add(line)
        self.metrics.count_event(event, facts)
        self._logger.info(line)


def make_event_log(name: str, log_file: str) -> EventLog:
    """Returns a log that writes to a file, or to standard error where none is named."""
    handler: logbook.Handler
    if log_file:
        handler = logbook.FileHandler(log_file, format_string="{record.message}", bubble=False)
    else:
        handler = logbook.StreamHandler(sys.stderr, format_string="{record.message}", bubble=False)
    logger = logbook.Logger(name)
    logger.handlers.append(handler)
    return EventLog(logger, name)
