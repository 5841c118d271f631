"""Which endpoints there are, around outages of the store."""

import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from ..core.listed_endpoint import ListedEndpoint
from .endpoint_book import RETURN_SECONDS, TROUBLE_SECONDS, EndpointBook

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)


def make_endpoint(name: str, **facts: object) -> ListedEndpoint:
    """Returns an endpoint with nothing special."""
    return ListedEndpoint(name, "tally", "10.0.0.1", 80, "rift-a", **facts)


def ids_of(book: EndpointBook) -> set[str]:
    """Returns the ids of all endpoints in use."""
    return {endpoint.id for endpoint in book.endpoints}


class EndpointBookTest(unittest.TestCase):
    """A book with two endpoints."""

    def setUp(self) -> None:
        self.book = EndpointBook()
        self.book.take(make_endpoint("a"), 10)
        self.book.take(make_endpoint("b"), 11)

    def test_one_that_leaves_while_the_store_works_is_out_at_once(self) -> None:
        """An endpoint registers itself off and goes. Kept for a moment, it would get
        requests that nobody answers."""
        self.assertTrue(self.book.take_removal("a", 12, now=50.0))
        self.assertEqual(ids_of(self.book), {"b"})

    def test_registrations_that_lapse_in_an_outage_keep_their_place_for_a_moment(self) -> None:
        """The store is down, and registrations lapse because nobody can renew them. Believed
        at once, every endpoint would be out together and every caller refused, until all have
        registered again two seconds later."""
        self.book.record_trouble(50.0)
        self.assertEqual(self.book.take_listed(set(), 50.1), [])
        self.assertEqual(ids_of(self.book), {"a", "b"})
        self.book.take(make_endpoint("a"), 20)
        self.assertEqual(self.book.expire(50.1 + RETURN_SECONDS), ["b"])
        self.assertEqual(ids_of(self.book), {"a"})

    def test_one_that_was_leaving_is_not_held_for_its_return(self) -> None:
        """An endpoint says that it leaves, and its registration goes during an outage. It
        will not come back; kept, it would get work after its notice."""
        self.book.take(make_endpoint("a", leaving=True), 12)
        self.book.record_trouble(50.0)
        self.assertTrue(self.book.take_removal("a", 13, now=50.1))

    def test_a_removal_long_after_an_outage_counts_at_once(self) -> None:
        self.book.record_trouble(50.0)
        self.assertTrue(self.book.take_removal("a", 13, now=50.1 + TROUBLE_SECONDS))

    def test_a_second_removal_does_not_prolong_the_wait(self) -> None:
        self.book.record_trouble(50.0)
        self.book.take_listed({"b"}, 50.0)
        self.book.record_trouble(51.0)
        self.book.take_listed({"b"}, 51.0)
        self.assertEqual(self.book.expire(50.0 + RETURN_SECONDS), ["a"])

    def test_what_is_older_than_known_changes_nothing(self) -> None:
        """A stale answer of the store names an endpoint as ready that has since said that it
        leaves. Taken for new, the endpoint would get work again."""
        self.book.take(make_endpoint("a", leaving=True), 20)
        self.assertFalse(self.book.take(make_endpoint("a"), 10))
        self.assertTrue(self.book.get("a").leaving)
        self.assertFalse(self.book.take_removal("a", 15, now=99.0))

    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from("ab"), strategies.booleans()), max_size=12
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_the_order_of_arrival_does_not_matter(self, changes: list, rng) -> None:
        """The store and several peers tell the same changes in different orders. Entries that
        ended up with different books would send to endpoints that others know to be gone."""
        numbered = list(enumerate(changes, start=1))
        shuffled = list(numbered)
        rng.shuffle(shuffled)
        books = []
        for order in (numbered, shuffled):
            book = EndpointBook()
            for revision, (name, present) in order:
                if present:
                    book.take(make_endpoint(name), revision)
                else:
                    book.take_removal(name, revision, 100.0)
            books.append(ids_of(book))
        last = dict(changes)
        self.assertEqual(books[0], {name for name, present in last.items() if present})
        self.assertEqual(books[1], books[0])


class RestartTest(unittest.TestCase):
    """An endpoint that starts again under the name that it had."""

    def test_a_new_run_replaces_what_was_known(self) -> None:
        book = EndpointBook()
        first = make_endpoint("a", started_at=1000, weights=2, whole=True)
        book.take(first, 5)
        self.assertTrue(book.take(msgspec.structs.replace(first, started_at=2000, weights=0), 6))
        self.assertEqual(book.get("a").weights, 0)
