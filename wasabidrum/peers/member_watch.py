"""Brings what is heard of the members to their table, logs it, and passes it on."""

import collections.abc

from ..core.instance import Instance
from ..core.status import Status
from ..decisions.member_table import MemberTable
from ..decisions.member_update import MemberState, MemberUpdate
from ..observe.event import Event
from ..observe.event_log import EventLog
from .peer_messages import Push
from .update_log import UpdateLog


class MemberWatch:
    """Keeps the member table of one process, and the news that its links tell.

    Attributes:
      news: What the links tell others of the members.
    """

    __slots__ = ("_table", "_account", "_log", "_on_news", "news")

    def __init__(
        self,
        table: MemberTable,
        account: collections.abc.Callable[[], Status],
        log: EventLog,
        on_news: collections.abc.Callable[[], None],
    ) -> None:
        """Takes what returns this process's account, and what to call when there is news."""
        self._table = table
        self._account = account
        self._log = log
        self._on_news = on_news
        self.news = UpdateLog()

    def record_sign_of_life(self, name: str, push: Push, status: Status, now: float) -> None:
        """Records a message of a member, and its whole status after it."""
        known = self._table.get(name)
        was = known.state if known is not None else None
        if push.status is not None:
            self._table.apply_status(status, now)
        else:
            self._table.apply_heartbeat(name, push.sequence, now)
        if was is None:
            self._log.write(Event.MEMBER_JOINED, member=name)
        elif was is not MemberState.ALIVE and known.state is MemberState.ALIVE:
            self._log.write(Event.MEMBER_BACK, member=name)

    def take_news(self, told: collections.abc.Iterable[MemberUpdate], now: float) -> None:
        """Takes what a member says of others; what it says wrongly of this process is refuted."""
        refute = False
        for news in told:
            refute = self._table.apply_update(news, now) or refute
        if refute:
            self.news.add(self._own_news())
        self._pass_on()

    def suspect(self, name: str, refused: bool, now: float) -> None:
        """Takes that a member fell silent, or refuses connections."""
        if self._table.suspect(name, now, refused):
            self._log.write(Event.MEMBER_SUSPECTED, member=name, refused=refused)
        self._pass_on()

    def take_list(self, instances: collections.abc.Collection[Instance], now: float) -> None:
        """Takes the platform's list."""
        implausible = self._table.list_is_implausible
        self._table.apply_list(instances, now)
        if self._table.list_is_implausible and not implausible:
            self._log.write(Event.LIST_IMPLAUSIBLE, listed=len(instances))

    def tick(self, now: float) -> None:
        """Ends suspicions that nobody refuted."""
        for name in self._table.tick(now):
            self._log.write(Event.MEMBER_DEAD, member=name)
        self._pass_on()

    def _pass_on(self) -> None:
        fresh = self._table.drain_updates()
        for news in fresh:
            self.news.add(news)
        if fresh:
            self._on_news()

    def _own_news(self) -> MemberUpdate:
        own = self._account()
        return MemberUpdate(own.name, MemberState.ALIVE, own.incarnation, own.sequence, own.leaving)
