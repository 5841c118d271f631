"""Remembers which endpoints have announced in their own answers that they leave.

Load pattern: an endpoint leaves while the platform's store is down. Its answers say so, but its
registration says that it is ready until the store is back and has taken the change. Entries that
go by the list alone send it requests for many seconds, some of which it does not answer any more.

An announcement concerns one run of the endpoint and holds until another run is listed. A run that
can be told from others by its start stays remembered while it is not listed: a registration that
lapses in an outage is listed again, at first as it was.
"""

MAX_RUNS = 4096


class AnnouncedLeaving:
    """The last run of each endpoint that has announced that it leaves."""

    __slots__ = ("_started_at",)

    def __init__(self) -> None:
        # The start of the run, by the id of the endpoint; zero where unknown.
        self._started_at: dict[str, int] = {}

    def record(self, endpoint_id: str, started_at: int) -> bool:
        """Records that a run has announced that it leaves; returns whether that is new.

        Args:
          started_at: When the run started, in Unix milliseconds; zero where unknown.
        """
        if self._started_at.get(endpoint_id) == started_at:
            return False
        self._started_at.pop(endpoint_id, None)
        self._started_at[endpoint_id] = started_at
        if len(self._started_at) > MAX_RUNS:
            del self._started_at[next(iter(self._started_at))]
        return True

    def includes(self, endpoint_id: str, started_at: int) -> bool:
        """Returns whether a run has announced that it leaves.

        A registration that names no start is not evidence of another run.
        """
        known = self._started_at.get(endpoint_id)
        return known is not None and started_at in (known, 0)

    def record_unlisted(self, endpoint_id: str) -> None:
        """Records that an endpoint is not listed any more."""
        if self._started_at.get(endpoint_id) == 0:
            del self._started_at[endpoint_id]
