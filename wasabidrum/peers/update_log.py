"""The last news of members, which every link reads at its own pace."""

import collections

from ..decisions.member_update import MemberUpdate

NEWS_KEPT = 1024


class UpdateLog:
    """A bounded log. A link that falls behind it misses news and learns by other ways."""

    __slots__ = ("_news", "_next")

    def __init__(self) -> None:
        self._news: collections.deque[MemberUpdate] = collections.deque(maxlen=NEWS_KEPT)
        self._next = 0

    def add(self, news: MemberUpdate) -> None:
        """Adds news at the end."""
        self._news.append(news)
        self._next += 1

    def after(self, cursor: int, limit: int) -> tuple[int, tuple[MemberUpdate, ...]]:
        """Returns the place after the news returned, and at most limit news after a place."""
        first = self._next - len(self._news)
        start = max(cursor, first)
        if start >= self._next:
            return self._next, ()
        end = min(self._next, start + limit)
        return end, tuple(self._news[index - first] for index in range(start, end))
