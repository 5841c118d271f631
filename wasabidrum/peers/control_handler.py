"""GET /internal/control: how this daemon stands among the others, for operators and benches."""

import msgspec
from tornado import web

from .control_report import ControlReport
from .peer_node import PeerNode


class ControlHandler(web.RequestHandler):
    """Answers why a revision is here or not yet, and what control costs."""

    def initialize(self, node: PeerNode) -> None:
        """Takes the node from the route."""
        self._node = node

    def get(self) -> None:
        """Answers with the report."""
        report: ControlReport = self._node.report()
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(report))
