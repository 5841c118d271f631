"""Tests of the registered endpoints, around outages of the store."""

import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from ..core.listed_endpoint import ListedEndpoint
from .endpoint_registry import (
    GRACE_SECONDS,
    LAPSE_SECONDS,
    RETURN_SECONDS,
    STORE_FAILURE_SECONDS,
    EndpointRegistry,
)

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)


def make_endpoint(name: str, **fields: object) -> ListedEndpoint:
    """Returns an endpoint with default properties."""
    return ListedEndpoint(name, "tally", "10.0.0.1", 80, "rift-a", **fields)


def ids_of(registry: EndpointRegistry) -> set[str]:
    """Returns the ids of all endpoints in use."""
    return {endpoint.id for endpoint in registry.endpoints}


class EndpointBookTest(unittest.TestCase):
    """Two registered endpoints."""

    def setUp(self) -> None:
        self.registry = EndpointRegistry()
        self.registry.apply(make_endpoint("a"), 10)
        self.registry.apply(make_endpoint("b"), 11)

    def test_an_endpoint_removed_while_the_store_works_is_removed_at_once(self) -> None:
        """An endpoint deregisters and exits. Kept in routing, it would get requests that no
        process answers."""
        self.assertTrue(self.registry.apply_removal("a", 12, now=50.0))
        self.assertEqual(ids_of(self.registry), {"b"})

    def test_registrations_of_a_restored_store_replace_those_with_higher_revisions(self) -> None:
        """Guards against a leaving that is taken for old because its revision was given out
        before."""
        self.registry.begin_epoch(now=50.0)
        self.assertTrue(self.registry.apply(make_endpoint("a", leaving=True), 3))
        self.assertTrue(self.registry.get("a").leaving)

    def test_run_that_leaves_does_not_return_with_a_restored_store(self) -> None:
        """Guards against new requests at an endpoint whose leaving the copy lacks."""
        self.registry.apply(make_endpoint("a", leaving=True, started_at=5), 12)
        self.registry.begin_epoch(now=50.0)
        self.registry.apply(make_endpoint("a", started_at=5), 3)
        self.assertTrue(self.registry.get("a").leaving)
        self.registry.apply(make_endpoint("a", started_at=6), 4)
        self.assertFalse(self.registry.get("a").leaving)

    def test_grace_period_ends_with_the_time_to_register_again(self) -> None:
        """Guards against new requests, for longer than the bound allows, at an endpoint that is
        removed a moment after an outage."""
        self.registry.record_store_failure(now=50.0)
        self.assertFalse(self.registry.apply_removal("a", 12, now=51.0))
        self.registry.expire(50.0 + RETURN_SECONDS)
        self.assertEqual(ids_of(self.registry), {"b"})

    def test_run_whose_removal_the_copy_lacks_is_withheld(self) -> None:
        """Guards against new requests at an endpoint that has left, and that only the copy
        lists."""
        self.registry.apply(make_endpoint("a", started_at=5), 12)
        self.registry.apply_removal("a", 13, now=49.0)
        self.registry.begin_epoch(now=50.0)
        self.assertFalse(self.registry.apply(make_endpoint("a", started_at=5), 3))
        self.assertTrue(self.registry.is_withheld("a"))
        self.assertEqual(ids_of(self.registry), {"b"})
        self.assertEqual(self.registry.list_withheld(50.0 + LAPSE_SECONDS - 0.1), [])
        self.registry.list_withheld(50.0 + LAPSE_SECONDS)
        self.assertEqual(ids_of(self.registry), {"a", "b"})

    def test_run_is_withheld_after_each_of_two_restorations(self) -> None:
        """Guards against new requests at an endpoint that has left, once the second of two
        restorations lists it."""
        self.registry.apply(make_endpoint("a", started_at=5), 12)
        self.registry.apply_removal("a", 13, now=49.0)
        for now in (50.0, 51.0):
            self.registry.begin_epoch(now)
            self.assertFalse(self.registry.apply(make_endpoint("a", started_at=5), 3))
        self.assertEqual(ids_of(self.registry), {"b"})

    def test_run_removed_after_its_grace_period_is_withheld(self) -> None:
        """Guards against new requests at an endpoint that left soon after a restoration, once
        another restoration lists it again."""
        self.registry.apply(make_endpoint("a", started_at=5), 12)
        self.registry.begin_epoch(now=50.0)
        self.registry.apply(make_endpoint("a", started_at=5), 3)
        self.registry.apply_removal("a", 4, now=51.0)
        self.registry.expire(51.0 + GRACE_SECONDS)
        self.registry.begin_epoch(now=55.0)
        self.assertFalse(self.registry.apply(make_endpoint("a", started_at=5), 3))
        self.assertNotIn("a", ids_of(self.registry))

    def test_withheld_run_that_says_something_new_is_listed(self) -> None:
        """Guards against endpoints that get no requests although they are there."""
        for removed, next_registration in (
            (5, make_endpoint("a", started_at=5, slots=3)),
            (6, None),
        ):
            with self.subTest(removed=removed):
                self.setUp()
                self.registry.apply(make_endpoint("a", started_at=removed), 12)
                self.registry.apply_removal("a", 13, now=49.0)
                self.registry.begin_epoch(now=50.0)
                self.registry.apply(make_endpoint("a", started_at=5), 3)
                if next_registration is not None:
                    self.assertTrue(self.registry.apply(next_registration, 4))
                self.assertEqual(ids_of(self.registry), {"a", "b"})

    def test_registrations_that_the_copy_lacks_get_a_grace_period(self) -> None:
        """Guards against endpoints that get no requests until they have registered again."""
        self.registry.begin_epoch(now=50.0)
        self.assertEqual(self.registry.apply_listing({"a"}, now=50.0), [])
        self.registry.expire(50.0 + GRACE_SECONDS)
        self.assertEqual(ids_of(self.registry), {"a"})

    def test_registrations_that_lapse_in_an_outage_get_a_grace_period(self) -> None:
        """The store is down, and registrations lapse because they cannot be renewed. Applied at
        once, this would remove every endpoint and refuse every caller, until all endpoints have
        registered again two seconds later."""
        self.registry.record_store_failure(50.0)
        self.assertEqual(self.registry.apply_listing(set(), 50.1), [])
        self.assertEqual(ids_of(self.registry), {"a", "b"})
        self.registry.apply(make_endpoint("a"), 20)
        self.assertEqual(self.registry.expire(50.1 + GRACE_SECONDS), ["b"])
        self.assertEqual(ids_of(self.registry), {"a"})

    def test_a_leaving_endpoint_gets_no_grace_period(self) -> None:
        """An endpoint announces that it is leaving, and its registration lapses during an outage.
        It will not register again; kept, it would get requests after its announcement."""
        self.registry.apply(make_endpoint("a", leaving=True), 12)
        self.registry.record_store_failure(50.0)
        self.assertTrue(self.registry.apply_removal("a", 13, now=50.1))

    def test_announcement_overrides_newer_registrations(self) -> None:
        """Guards against a registration, older than the announcement or not, that gives requests to
        an endpoint that leaves."""
        self.assertTrue(self.registry.record_leaving("a", 0))
        self.registry.apply(make_endpoint("a", slots=9), 12)
        self.assertEqual(
            (self.registry.get("a").leaving, self.registry.get("b").leaving), (True, False)
        )
        self.assertEqual((self.registry.count_leaving(), self.registry.version), (1, 4))

    def test_announcement_of_an_earlier_run_changes_nothing(self) -> None:
        """Guards against a late answer of a run that has ended, which takes out the one after it
        or makes what that one has announced forgotten."""
        self.registry.apply(make_endpoint("a", started_at=2000), 12)
        self.assertFalse(self.registry.record_leaving("a", 1000))
        self.assertFalse(self.registry.get("a").leaving)
        self.registry.record_leaving("a", 2000)
        self.registry.record_leaving("a", 1000)
        self.registry.apply(make_endpoint("a", started_at=2000, slots=9), 13)
        self.assertTrue(self.registry.get("a").leaving)

    def test_endpoint_that_has_announced_it_gets_no_grace_period(self) -> None:
        """Guards against an endpoint that is kept for a registration that will not come."""
        self.registry.record_leaving("a", 0)
        self.registry.record_store_failure(50.0)
        self.assertTrue(self.registry.apply_removal("a", 13, now=50.1))

    def test_a_removal_long_after_an_outage_is_applied_at_once(self) -> None:
        self.registry.record_store_failure(50.0)
        self.assertTrue(self.registry.apply_removal("a", 13, now=50.1 + STORE_FAILURE_SECONDS))

    def test_a_second_removal_does_not_extend_the_grace_period(self) -> None:
        self.registry.record_store_failure(50.0)
        self.registry.apply_listing({"b"}, 50.0)
        self.registry.record_store_failure(51.0)
        self.registry.apply_listing({"b"}, 51.0)
        self.assertEqual(self.registry.expire(50.0 + GRACE_SECONDS), ["a"])

    def test_an_older_revision_changes_nothing(self) -> None:
        """A stale response of the store shows an endpoint as ready that has since announced that
        it is leaving. Applied, it would give the endpoint requests again."""
        self.registry.apply(make_endpoint("a", leaving=True), 20)
        self.assertFalse(self.registry.apply(make_endpoint("a"), 10))
        self.assertTrue(self.registry.get("a").leaving)
        self.assertFalse(self.registry.apply_removal("a", 15, now=99.0))

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from("ab"), strategies.booleans()), max_size=12
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_the_order_of_arrival_does_not_matter(self, changes: list, rng) -> None:
        """The store and several peers report the same changes in different orders. An entry that
        ended with other endpoints would send requests to some that are gone."""
        numbered = list(enumerate(changes, start=1))
        shuffled = list(numbered)
        rng.shuffle(shuffled)
        results = []
        for order in (numbered, shuffled):
            registry = EndpointRegistry()
            for revision, (name, present) in order:
                if present:
                    registry.apply(make_endpoint(name), revision)
                else:
                    registry.apply_removal(name, revision, 100.0)
            results.append(ids_of(registry))
        last = dict(changes)
        self.assertEqual(results[0], {name for name, present in last.items() if present})
        self.assertEqual(results[1], results[0])


class RestartTest(unittest.TestCase):
    """An endpoint that restarts under the same name."""

    def test_a_new_run_replaces_what_was_known(self) -> None:
        registry = EndpointRegistry()
        first = make_endpoint("a", started_at=1000, weights=2, whole=True)
        registry.apply(first, 5)
        self.assertTrue(
            registry.apply(msgspec.structs.replace(first, started_at=2000, weights=0), 6)
        )
        self.assertEqual(registry.get("a").weights, 0)
