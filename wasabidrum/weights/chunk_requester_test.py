"""Tests when a waiting request is abandoned."""

import unittest

from .distributor_test import FixedMembership, make_distributor


class DelistedPeerTest(unittest.IsolatedAsyncioTestCase):
    """A request is waiting at a peer while the platform's list changes."""

    async def test_a_request_at_a_delisted_peer_is_abandoned(self) -> None:
        """A suspended sidecar receives a request just before the platform removes it from the list.
        It cannot be probed after that, and engines lack one chunk until it resumes."""
        requester = make_distributor("a").chunk_requester
        membership = FixedMembership()
        requester._membership = membership
        membership.members = [view for view in membership.members if view.name != "b"]
        self.assertTrue(await requester._should_abandon("b", "digest"))
