"""Has what libraries log told as events, in the same form and to the same place.

The server and the client libraries write multi-line traces of their own, for instance for each
fetch that was given up halfway. Between structured lines they cannot be read by `explain`, their
number has no bound, and a daemon whose standard error nobody reads could wait for it.
"""

import logging

from .event import Event
from .event_log import EventLog

LONGEST_REASON = 300


class LibraryHandler(logging.Handler):
    """Writes one event for each record of the standard logging."""

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
            reason=reason[:LONGEST_REASON],
        )


def tell_library_lines(log: EventLog) -> None:
    """Sends everything that libraries log in this process to a log."""
    logging.getLogger().addHandler(LibraryHandler(log))
