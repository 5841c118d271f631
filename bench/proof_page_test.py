"""Checks that docs/PROOF.md names existing tests and is up to date."""

import unittest

from . import proof_page


class ProofPageTest(unittest.TestCase):
    """Every test on the page exists, and the page matches what its rows generate."""

    def test_every_row_names_a_test(self) -> None:
        rows, faults = proof_page.read_rows()
        self.assertEqual(faults, [])
        self.assertGreater(len(rows), 0)

    def test_the_page_is_made_from_the_rows(self) -> None:
        rows, _ = proof_page.read_rows()
        self.assertEqual(proof_page.PAGE.read_text(encoding="utf-8"), proof_page.render_page(rows))

    def test_a_test_that_does_not_exist_is_found_out(self) -> None:
        self.assertFalse(proof_page.test_exists("bench.proof_page_test.ProofPageTest.test_none"))
