"""Tests of the redirection of library logging."""

import logging
import unittest

import logbook
import msgspec

from .event_log import EventLog
from .library_logging import LibraryHandler


class LibraryLoggingTest(unittest.TestCase):
    """A library logs an error with its traceback."""

    def test_a_traceback_becomes_one_event(self) -> None:
        """A fetch is cancelled, and the client library logs a traceback of ten lines. Mixed with
        structured lines, no log reader could parse them."""
        logger = logbook.Logger("test")
        handler = logbook.TestHandler()
        logger.handlers.append(handler)
        library = logging.Logger("library")
        library.addHandler(LibraryHandler(EventLog(logger, "test")))
        try:
            raise ValueError("lost")
        except ValueError:
            library.exception("a fetch ended")
        self.assertEqual(len(handler.records), 1)
        line = msgspec.json.decode(handler.records[0].message)
        self.assertEqual(line["event"], "library_message")
        self.assertEqual(line["reason"], "a fetch ended: ValueError('lost')")
