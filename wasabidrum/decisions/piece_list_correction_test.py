"""Tests of which list of pieces is right."""

import unittest

from ..core.engine_report import PieceList
from .piece_list_correction import correct_list

RIGHT = ("a", "b", "c", "d")


def make_list(*digests: str) -> PieceList:
    """Returns a list of some digests."""
    return PieceList("m", 2, 4096, digests)


def nothing_held(digest: str) -> bool:
    """Returns that no content is held."""
    return False


class CorrectListTest(unittest.TestCase):
    """A piece from the origin has not matched its digest, and the list was read again."""

    def test_digest_that_the_content_has_replaces_a_wrong_one(self) -> None:
        """Guards against a wrong digest that is kept although the origin now states another."""
        corrected = correct_list(
            make_list("a", "x", "c", "d"), make_list(*RIGHT), "x", "b", nothing_held
        )
        self.assertEqual((corrected.digests, corrected.corrections), (RIGHT, 1))

    def test_sound_list_is_kept_when_a_piece_was_spoiled(self) -> None:
        """Guards against a sound digest that goes because its piece was spoiled on the way."""
        known = make_list(*RIGHT)
        self.assertIsNone(correct_list(known, known, "b", "spoiled", nothing_held))

    def test_other_list_that_the_content_does_not_confirm_is_not_taken(self) -> None:
        """Guards against a list that is replaced by one that was spoiled elsewhere."""
        read = make_list("a", "b", "y", "d")
        self.assertIsNone(correct_list(make_list(*RIGHT), read, "b", "spoiled", nothing_held))

    def test_digest_of_held_content_stays(self) -> None:
        """Guards against a proven digest that a second reading with a fault of its own replaces."""
        known, read = make_list("a", "x", "c", "d"), make_list("a", "b", "y", "d")
        corrected = correct_list(known, read, "x", "b", lambda digest: digest == "c")
        self.assertEqual(corrected.digests, RIGHT)

    def test_list_of_another_length_is_not_taken(self) -> None:
        """Guards against pieces that change their places."""
        known = make_list("a", "x", "c", "d")
        self.assertIsNone(correct_list(known, make_list("a", "b"), "x", "b", nothing_held))
