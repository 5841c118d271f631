"""Asks a few peers for their revision: at the start, after a pause, and when all fall silent."""

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

PEERS_ASKED = 3


class PeerAsker:
    """Takes what is newer from those who answer, and counts that as verification."""

    __slots__ = ("_table", "_follower", "_fetcher", "_gap", "_log")

    def __init__(
        self,
        table: MemberTable,
        follower: ConfigurationFollower,
        fetcher: ClaimFetcher,
        gap: PauseDetector,
        log: EventLog,
    ) -> None:
        self._table = table
        self._follower = follower
        self._fetcher = fetcher
        self._gap = gap
        self._log = log

    async def verify(self, parents: list[str]) -> int:
        """Asks a parent or two and some others, and takes what is newer.

        Returns:
          How many answered.
        """
        asked_at = boot_seconds()
        asked = self._choose(parents, asyncio.get_running_loop().time())
        answers = await asyncio.gather(*(self._ask(instance) for instance in asked))
        answered = sum(answers)
        await self._fetcher.wait()
        if answered and self._follower.revision >= self._follower.book.highest:
            self._gap.record_reply(asked_at, boot_seconds())
        self._log.write(
            Event.PEERS_ASKED,
            asked=len(asked),
            answered=answered,
            revision=self._follower.revision,
        )
        return answered

    def _choose(self, parents: list[str], now: float) -> list[Instance]:
        usable = [record.instance for record in self._table.usable(now)]
        near = [instance for instance in usable if instance.name in parents]
        far = [instance for instance in usable if instance.name not in parents]
        # One at least is no parent, since parents may be cut off together with this process.
        chosen = near[: PEERS_ASKED - 1]
        return chosen + random.sample(far, min(len(far), PEERS_ASKED - len(chosen)))

    async def _ask(self, instance: Instance) -> bool:
        host, port = instance.host, instance.peer_port
        try:
            reply = await peer_client.fetch_configuration(host, port, "")
        except CodedError:
            return False
        self._fetcher.take_claim(reply.revision, reply.digest, host, port)
        return True
