"""Tests of how long a process may act on the configuration that it holds."""

import unittest

from .configuration_lease import (
    MARGIN_SECONDS,
    REPLY_TOLERANCE_SECONDS,
    ConfigurationLease,
    earliest_change_at,
    unchanged_until,
)


class EvidenceLeaseTest(unittest.TestCase):
    """A lease with a bound of five seconds for revoked keys."""

    def test_a_revoked_key_is_refused_before_the_bound(self) -> None:
        """A key is revoked while an entry cannot reach the store. Without a lease its holder would
        be served by the old configuration for as long as the outage lasts. The lease ends before
        the bound, even if the entry receives older responses meanwhile."""
        lease = ConfigurationLease(5.0)
        lease.renew(100.0)
        revoked_at = 100.001
        lease.renew(99.0)
        self.assertTrue(lease.is_valid(100.0 + 5.0 - MARGIN_SECONDS))
        self.assertFalse(lease.is_valid(revoked_at + 5.0))

    def test_the_lease_is_renewed_from_the_time_of_the_request(self) -> None:
        """The store responds slowly, and a key is revoked while the response is in transit. A
        lease renewed from the response would cover a time that the response says nothing about,
        and the key would be accepted for that much too long."""
        lease = ConfigurationLease(5.0)
        asked_at, answered_at = 100.0, 103.0
        lease.renew(asked_at)
        self.assertFalse(lease.is_valid(answered_at + 2.0))

    def test_a_watch_without_changes_dates_those_of_the_next_watch(self) -> None:
        """Dated by the request of the previous watch, a version would apply one wait too early."""
        self.assertEqual(unchanged_until(100.0, 101.21, 1.2, paused=False), 101.2)

    def test_a_watch_that_ended_early_or_was_read_late_dates_by_its_request(self) -> None:
        self.assertEqual(unchanged_until(100.0, 100.7, 1.2, paused=False), 100.0)
        self.assertEqual(unchanged_until(100.0, 109.0, 1.2, paused=True), 100.0)

    def test_the_lease_is_invalid_before_the_first_response(self) -> None:
        self.assertFalse(ConfigurationLease(5.0).is_valid(0.0))
        self.assertFalse(ConfigurationLease(5.0).is_ready(0.0))

    def test_readiness_ends_before_keys_are_refused(self) -> None:
        lease = ConfigurationLease(5.0)
        lease.renew(100.0)
        self.assertTrue(lease.is_ready(102.0))
        self.assertFalse(lease.is_ready(104.0))
        self.assertTrue(lease.is_valid(104.0))


class PromptAfterTest(unittest.TestCase):
    """The earliest time of a change from a request that the store was to hold for 1.2 s."""

    def test_a_response_during_the_wait_dates_its_changes(self) -> None:
        self.assertEqual(
            earliest_change_at(100.0, 100.7, 1.2, False), 100.7 - REPLY_TOLERANCE_SECONDS
        )

    def test_an_immediate_response_dates_nothing(self) -> None:
        """A change is made between two requests. The next request is answered at once, and the
        change may be as old as the time between them."""
        self.assertEqual(earliest_change_at(100.0, 100.01, 1.2, False), float("-inf"))

    def test_a_response_later_than_the_wait_dates_nothing(self) -> None:
        """The process is paused while a response waits in its socket. Dated by when it was read,
        the change would appear newer than it is by the length of the pause."""
        self.assertEqual(earliest_change_at(100.0, 104.5, 1.2, False), float("-inf"))

    def test_a_response_read_after_a_short_pause_dates_nothing(self) -> None:
        """The process is paused for less than the wait. The change was made before or during the
        pause; the duration alone does not show that, only the detected pause does."""
        self.assertEqual(earliest_change_at(100.0, 101.05, 1.2, True), float("-inf"))
