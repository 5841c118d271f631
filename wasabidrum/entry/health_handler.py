"""Tells the platform's balancer whether this entry takes requests."""

import typing

from tornado import web

if typing.TYPE_CHECKING:
    from .daemon import Entry


class HealthHandler(web.RequestHandler):
    """GET /healthz: 200 where requests are taken, 503 before the start and while leaving."""

    def initialize(self, entry: "Entry") -> None:
        """Takes the entry from the route."""
        self.entry = entry

    def get(self) -> None:
        """Answers in one word."""
        ready = self.entry.follower.current is not None and not self.entry.leaving
        self.set_status(200 if ready else 503)
        self.write("ready\n" if ready else "not ready\n")
