"""What entries take an engine to hold."""

import unittest

from ..core.instance import InstanceRole
from ..core.listed_endpoint import ListedEndpoint
from ..core.load import Load
from ..core.status import Status
from .reported_statuses import REFUSED_SECONDS, REPORT_LAG_SECONDS, ReportedStatuses

LISTED = ListedEndpoint("e1", "text", "10.0.0.1", 80, "rift-a", model="m", weights=2, whole=True)


def make_status(version: str) -> Status:
    """Returns what the sidecar beside the engine tells."""
    return Status(
        name="s1",
        role=InstanceRole.SIDECAR,
        incarnation="i",
        host=LISTED.host,
        service="text",
        model="m",
        version=version,
        load=Load(slots=16),
    )


class ReportedStatusesTest(unittest.TestCase):
    """An engine that the platform lists with version 2."""

    def setUp(self) -> None:
        self.told = ReportedStatuses()

    def test_an_engine_that_lost_its_weights_gets_no_requests_for_a_moment(self) -> None:
        """All instances lost power, and the list still names what engines held. Each refusal
        was taken for a failure, and engines that were back stayed out of service."""
        self.told.record_refusal("e1", 10.0)
        self.assertFalse(self.told.with_reported_weights(LISTED, 10.1).whole)
        self.assertTrue(self.told.with_reported_weights(LISTED, 10.0 + REFUSED_SECONDS + 0.1).whole)

    def test_it_is_back_as_soon_as_its_sidecar_says_so(self) -> None:
        self.told.record_refusal("e1", 10.0)
        self.told.take(make_status("2"), 10.0 + REPORT_LAG_SECONDS)
        self.assertTrue(self.told.with_reported_weights(LISTED, 10.0 + REPORT_LAG_SECONDS).whole)

    def test_an_account_that_may_be_older_than_the_refusal_does_not_count(self) -> None:
        self.told.record_refusal("e1", 10.0)
        self.told.take(make_status("2"), 10.0 + REPORT_LAG_SECONDS / 2)
        self.assertFalse(
            self.told.with_reported_weights(LISTED, 10.0 + REPORT_LAG_SECONDS / 2).whole
        )
