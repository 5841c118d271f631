"""A stand-in for a plain service that bills: counts how often each charge ran.

The count is what tests judge by, because only the endpoint knows what truly ran.
"""

import asyncio
import collections
import os
import sys

import msgspec
from tornado import web

from . import process_options


class Charge(msgspec.Struct):
    """A charge, with the caller's mark, by which executions are counted."""

    mark: str
    amount: int = 0


class ServiceFaults(msgspec.Struct):
    """Faults injected into the service.

    Attributes:
      delay_seconds: Delay before a charge is executed or a read is answered.
      delay_after_seconds: Delay between the execution of a charge and its response.
      crash_before: The process exits before it executes the charge with this mark.
      crash_after: The process exits after it has executed the charge with this mark.
    """

    delay_seconds: float = 0.0
    delay_after_seconds: float = 0.0
    crash_before: str = ""
    crash_after: str = ""


class ServiceState:
    """The number of executions of each mark, and the journal that preserves them in a crash."""

    __slots__ = ("name", "runs", "faults", "journal_path")

    def __init__(self, name: str, journal_path: str) -> None:
        self.name = name
        self.runs: collections.Counter[str] = collections.Counter()
        self.faults = ServiceFaults()
        self.journal_path = journal_path

    def record(self, mark: str) -> None:
        """Counts one execution, and appends it to the journal."""
        self.runs[mark] += 1
        if self.journal_path:
            with open(self.journal_path, "a", encoding="utf-8") as journal:
                journal.write(f"{mark}\n")


class CallHandler(web.RequestHandler):
    """POST executes a charge; GET returns the path and query; both at any path."""

    def initialize(self, state: ServiceState) -> None:
        """Receives the state from the route."""
        self.state = state

    async def post(self, path: str) -> None:
        """Executes a charge, unless a crash before it is injected."""
        charge = msgspec.json.decode(self.request.body, type=Charge)
        faults = self.state.faults
        await asyncio.sleep(faults.delay_seconds)
        if faults.crash_before == charge.mark:
            os._exit(1)
        self.state.record(charge.mark)
        if faults.crash_after == charge.mark:
            os._exit(1)
        await asyncio.sleep(faults.delay_after_seconds)
        answer = {"mark": charge.mark, "by": self.state.name, "run": self.state.runs[charge.mark]}
        self.write(answer)

    async def get(self, path: str) -> None:
        """Returns the path and query, so that a misdelivered response is recognizable."""
        await asyncio.sleep(self.state.faults.delay_seconds)
        self.write({"path": path, "query": self.request.query, "by": self.state.name})


class ControlHandler(web.RequestHandler):
    """Control interface for tests: sets faults and returns the execution counts."""

    def initialize(self, state: ServiceState) -> None:
        """Receives the state from the route."""
        self.state = state

    def get(self, what: str) -> None:
        """GET /control/runs."""
        self.write(dict(self.state.runs))

    def put(self, what: str) -> None:
        """PUT /control/faults."""
        self.state.faults = msgspec.json.decode(self.request.body, type=ServiceFaults)


def main() -> int:
    """Runs the service until SIGTERM or SIGINT."""
    parser = process_options.make_parser(__doc__)
    parser.add_argument("--name", default="service")
    parser.add_argument("--journal", default="", help="file in which runs outlive a crash")
    options = parser.parse_args()
    route_arguments = {"state": ServiceState(options.name, options.journal)}
    application = web.Application(
        [
            (r"/control/(.*)", ControlHandler, route_arguments),
            (r"/(.*)", CallHandler, route_arguments),
        ],
        log_function=lambda handler: None,
    )
    asyncio.run(process_options.serve(application, options.port))
    return 0


if __name__ == "__main__":
    sys.exit(main())
