"""Tests of the resolver for numeric addresses."""

import socket
import threading
import unittest

from .numeric_resolver import NumericResolver


class NumericResolverTest(unittest.IsolatedAsyncioTestCase):
    """Numeric addresses need no thread, and host names still resolve."""

    async def test_numeric_addresses_start_no_thread(self) -> None:
        """Entries open a connection per request. If each were resolved in a thread, a burst would
        exhaust a pool of sixteen, and requests would wait for a thread to resolve an address that
        needs no lookup."""
        before = threading.active_count()
        resolver = NumericResolver()
        for _ in range(20):
            found = await resolver.resolve("127.0.0.1", 80)
            self.assertEqual(found, [(socket.AF_INET, ("127.0.0.1", 80))])
        found = await resolver.resolve("::1", 80)
        self.assertEqual(found, [(socket.AF_INET6, ("::1", 80, 0, 0))])
        self.assertEqual(threading.active_count(), before)

    async def test_host_names_are_resolved(self) -> None:
        found = await NumericResolver().resolve("localhost", 80)
        self.assertIn(("127.0.0.1", 80), [address[:2] for _, address in found])
