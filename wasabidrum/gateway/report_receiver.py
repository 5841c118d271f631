"""Receives the load reports that sidecars send as datagrams."""

import asyncio
import collections.abc

import msgspec

from ..core.decoding import decoding
from ..core.errors import CodedError
from ..core.load_report import LoadReport
from ..observe.event import Event
from ..observe.event_log import EventLog

# Senders of unreadable datagrams that are remembered, so that each is logged once.
MAX_LOGGED_SENDERS = 64


class ReportReceiver(asyncio.DatagramProtocol):
    """A datagram socket of an entry.

    A report is used only if it comes from the instance that it names.
    """

    def __init__(
        self, log: EventLog, on_report: collections.abc.Callable[[LoadReport], None]
    ) -> None:
        self._log = log
        self._on_report = on_report
        self._decoder = msgspec.msgpack.Decoder(LoadReport)
        self._transport: asyncio.DatagramTransport | None = None
        self._logged_senders: set[str] = set()

    async def start(self, host: str, port: int) -> None:
        """Listens.

        Raises:
          OSError: The port is taken.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def stop(self) -> None:
        """Stops listening."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """See asyncio.DatagramProtocol."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See asyncio.DatagramProtocol."""
        try:
            with decoding("report_unreadable"):
                report = self._decoder.decode(data)
        except CodedError as error:
            self._log_once(addr[0], f"unreadable: {error}")
            return
        if report.host != addr[0]:
            self._log_once(addr[0], f"names {report.host[:60]}")
            return
        self._on_report(report)

    def error_received(self, exc: OSError) -> None:
        """See asyncio.DatagramProtocol."""
        self._log_once("", repr(exc))

    def _log_once(self, sender: str, reason: str) -> None:
        if sender in self._logged_senders or len(self._logged_senders) >= MAX_LOGGED_SENDERS:
            return
        self._logged_senders.add(sender)
        self._log.write(Event.LOAD_REPORT_REFUSED, peer=sender, reason=reason[:200])
