"""Redirects the standard logging of libraries into the event log.

The HTTP server and client libraries log multi-line tracebacks, for instance for each cancelled
fetch. Mixed with structured lines, `explain` could not parse them; their number has no bound; and a
daemon whose standard error is not read could block on it.
"""

import logging

from .event import Event
from .event_log import EventLog

MAX_REASON_LENGTH = 300


class LibraryHandler(logging.Handler):
    """A standard logging handler that writes one event for each record."""

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record; see logging."""
        reason = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            reason = f"{reason}: {record.exc_info[1]!r}"
        self._log.write(
            Event.LIBRARY_MESSAGE,
            logger=record.name,
            level=record.levelname.lower(),
            reason=reason[:MAX_REASON_LENGTH],
        )


def redirect_library_logging(log: EventLog) -> None:
    """Redirects the log messages of all libraries in this process to an event log."""
    logging.getLogger().addHandler(LibraryHandler(log))
