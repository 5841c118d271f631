"""Exchanges the use of engines by workspace with the other entries, as datagrams.

Each entry sends its report to some of the others every half second, to all of them in turn. How
many follows from the size of the report, so that the bytes per second do not grow with the number
of entries. Lost reports are not repeated.
"""

import asyncio
import collections.abc
import random

from ..config.deployment import Deployment
from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..decisions.report_turns import ReportTurns
from ..decisions.workspace_shares import WorkspaceShares
from ..observe.event import Event
from ..observe.event_log import EventLog
from ..peers import entry_messages

# The datagram port, as offset from the first internal port; there is a TCP port at the same one.
PORT_OFFSET = 1
INTERVAL_SECONDS = 0.5
# A daemon may use 8 KB a second for control traffic, of which the other exchanges between entries
# take up to 5. With the rest, eleven others get a report of 32 workspaces every 2.75 s, within the
# 3 s for which it counts.
BYTES_PER_SECOND = 3024
# Bytes of the IP and UDP headers of a datagram.
HEADER_BYTES = 28
# Senders of unreadable datagrams that are remembered, so that each is logged once.
MAX_LOGGED_SENDERS = 64


class UsageExchange(asyncio.DatagramProtocol):
    """The datagram socket of an entry for reports of use.

    A report is used only if it comes from a known entry, which it names.
    """

    def __init__(
        self,
        deployment: Deployment,
        shares: WorkspaceShares,
        find_hosts: collections.abc.Callable[[], collections.abc.Iterable[str]],
        is_active: collections.abc.Callable[[], bool],
        log: EventLog,
    ) -> None:
        self._host = deployment.host
        self._port = deployment.first_port + PORT_OFFSET
        self._shares = shares
        self._find_hosts = find_hosts
        self._is_active = is_active
        self._log = log
        self._rng = random.Random()
        self._transport: asyncio.DatagramTransport | None = None
        self._turns = ReportTurns(BYTES_PER_SECOND * INTERVAL_SECONDS, self._rng)
        self._logged_senders: set[str] = set()

    async def run(self) -> None:
        """Sends and receives reports until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=(self._host, self._port))
        except OSError as error:
            # This entry then decides by its own counts.
            self._log_once(self._host, repr(error))
            return
        try:
            while True:
                self._send_reports()
                await asyncio.sleep(INTERVAL_SECONDS * self._rng.uniform(0.9, 1.1))
        finally:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """See asyncio.DatagramProtocol."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See asyncio.DatagramProtocol."""
        try:
            report = entry_messages.read_use_report(data)
        except CodedError as error:
            self._log_once(addr[0], f"unreadable: {error}")
            return
        if report.host != addr[0]:
            self._log_once(addr[0], f"names {report.host[:60]}")
        elif self._is_active() and report.host in self._find_hosts():
            self._shares.merge(report, boot_seconds())

    def error_received(self, exc: OSError) -> None:
        """See asyncio.DatagramProtocol."""
        # An entry that has ended refuses its datagrams until it is forgotten.
        if not isinstance(exc, ConnectionRefusedError):
            self._log_once("", repr(exc))

    def _send_reports(self) -> None:
        hosts = set(self._find_hosts()) - {self._host}
        self._shares.entry_count = 1 + len(hosts)
        if not self._is_active():
            self._shares.clear()
            return
        content = entry_messages.write_use_report(self._shares.report(boot_seconds()))
        for host in self._turns.next_hosts(hosts, len(content) + HEADER_BYTES):
            self._transport.sendto(content, (host, self._port))

    def _log_once(self, sender: str, reason: str) -> None:
        if sender in self._logged_senders or len(self._logged_senders) >= MAX_LOGGED_SENDERS:
            return
        self._logged_senders.add(sender)
        self._log.write(Event.USE_REPORT_FAILED, peer=sender, reason=reason[:200])
