"""GET /internal/control: a daemon's control state, for operators and benchmarks."""

import msgspec
from tornado import web

from .control_report import ControlReport
from .peer_node import PeerNode


class ControlHandler(web.RequestHandler):
    """Serves the ControlReport, which shows why a revision is in force here or not, and the cost
    of control traffic."""

    def initialize(self, node: PeerNode) -> None:
        """Stores the node given by the route."""
        self._node = node

    def get(self) -> None:
        """Writes the report as JSON."""
        report: ControlReport = self._node.report()
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(report))
