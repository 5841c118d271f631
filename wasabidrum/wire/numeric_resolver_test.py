"""Tests of resolving without asking."""

import socket
import threading
import unittest

from .numeric_resolver import NumericResolver


class NumericResolverTest(unittest.IsolatedAsyncioTestCase):
    """IP numbers need no thread, and names still resolve."""

    async def test_numbers_start_no_thread(self) -> None:
        """Entries open a connection a request. With a thread asked for each, a burst fills a
        pool of sixteen, and tokens that are ready wait for a thread to tell an address that
        the entry had in hand."""
        before = threading.active_count()
        resolver = NumericResolver()
        for _ in range(20):
            found = await resolver.resolve("127.0.0.1", 80)
            self.assertEqual(found, [(socket.AF_INET, ("127.0.0.1", 80))])
        found = await resolver.resolve("::1", 80)
        self.assertEqual(found, [(socket.AF_INET6, ("::1", 80, 0, 0))])
        self.assertEqual(threading.active_count(), before)

    async def test_names_are_looked_up(self) -> None:
        found = await NumericResolver().resolve("localhost", 80)
        self.assertIn(("127.0.0.1", 80), [address[:2] for _, address in found])
