"""How the connections of a server ended, for the log."""

import dataclasses

from ..observe.event import Event
from ..observe.event_log import EventLog


@dataclasses.dataclass(slots=True)
class ConnectionCounts:
    """What became of the connections of a server that has ended.

    Attributes:
      backlog: Connections that the kernel had accepted and the server had not when it stopped
        listening.
      unread: Connections that it had accepted by then, and from which it had read nothing.
      partial: Connections on which a part of a request was refused.
      idle: Connections that were ended without any part of a request.
      crossed: Requests that crossed the end of such a connection.
      unanswered: Connections that were not ended when the server gave up waiting for them.
    """

    backlog: int = 0
    unread: int = 0
    partial: int = 0
    idle: int = 0
    crossed: int = 0
    unanswered: int = 0

    def write(self, log: EventLog, port: int, late_seconds: float, closes: dict[str, int]) -> None:
        """Logs the counts.

        Args:
          port: The port of the server.
          late_seconds: How late the event loop was when the server stopped listening.
          closes: How many connections the server has closed since it started, by cause and by what
            became of their latest request.
        """
        log.write(
            Event.CONNECTIONS_ENDED,
            port=port,
            backlog=self.backlog,
            unread=self.unread,
            partial=self.partial,
            idle=self.idle,
            crossed=self.crossed,
            unanswered=self.unanswered,
            late=round(late_seconds, 4),
            closes=closes,
        )
