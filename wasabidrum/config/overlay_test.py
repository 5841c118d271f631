"""Tests of merging an overlay into the base."""

import unittest

from .overlay import merge_overlay


class OverlayTest(unittest.TestCase):
    """Maps merge, lists replace, null removes."""

    def test_merges_replaces_and_removes(self) -> None:
        base = {"a": {"b": 1, "c": [1, 2]}, "d": 4}
        merged = merge_overlay(base, {"a": {"c": [3]}, "d": None, "e": 5})
        self.assertEqual(merged, {"a": {"b": 1, "c": [3]}, "e": 5})
        self.assertEqual(base, {"a": {"b": 1, "c": [1, 2]}, "d": 4})
