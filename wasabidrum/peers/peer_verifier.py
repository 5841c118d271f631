"""Queries a few peers for their revision: at start, after a pause, and when peers go silent."""

import asyncio
import random

from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..core.instance import Instance
from ..decisions.member_table import MemberTable
from ..decisions.pause_detector import PauseDetector
from ..observe.event import Event
from ..observe.event_log import EventLog
from . import peer_client
from .claim_fetcher import ClaimFetcher
from .configuration_follower import ConfigurationFollower

MAX_PEERS_ASKED = 3


class PeerVerifier:
    """Verifies the revision in force against peers, and fetches a newer one from them."""

    __slots__ = ("_table", "_follower", "_fetcher", "_pause_detector", "_log")

    def __init__(
        self,
        table: MemberTable,
        follower: ConfigurationFollower,
        fetcher: ClaimFetcher,
        pause_detector: PauseDetector,
        log: EventLog,
    ) -> None:
        self._table = table
        self._follower = follower
        self._fetcher = fetcher
        self._pause_detector = pause_detector
        self._log = log

    async def verify(self, parents: list[str]) -> int:
        """Queries up to two parents and some other members, and fetches a newer revision.

        Returns:
          The number of peers that answered.
        """
        asked_at = boot_seconds()
        queried = self._choose(parents, asyncio.get_running_loop().time())
        answers = await asyncio.gather(*(self._query(instance) for instance in queried))
        answered = sum(answers)
        await self._fetcher.wait()
        if answered and self._follower.revision >= self._follower.tracker.highest:
            self._pause_detector.record_reply(asked_at, boot_seconds())
        self._log.write(
            Event.PEERS_ASKED,
            asked=len(queried),
            answered=answered,
            revision=self._follower.revision,
        )
        return answered

    def _choose(self, parents: list[str], now: float) -> list[Instance]:
        usable = [record.instance for record in self._table.usable(now)]
        near = [instance for instance in usable if instance.name in parents]
        far = [instance for instance in usable if instance.name not in parents]
        # At least one is not a parent, as parents may be cut off together with this process.
        chosen = near[: MAX_PEERS_ASKED - 1]
        return chosen + random.sample(far, min(len(far), MAX_PEERS_ASKED - len(chosen)))

    async def _query(self, instance: Instance) -> bool:
        host, port = instance.host, instance.peer_port
        try:
            reply = await peer_client.fetch_configuration(host, port, "")
        except CodedError:
            return False
        self._fetcher.handle_claim(reply.revision, reply.digest, host, port)
        return True
