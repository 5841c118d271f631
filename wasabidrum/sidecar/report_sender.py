"""Sends load reports to entries as datagrams."""

import asyncio
import collections.abc

import msgspec

from ..core.load_report import LoadReport
from ..observe.event import Event
from ..observe.event_log import EventLog

Destination = tuple[str, int]


class ReportSender(asyncio.DatagramProtocol):
    """A datagram socket of a sidecar. Lost reports are not repeated; streams carry the load too."""

    def __init__(self, host: str, log: EventLog) -> None:
        self._host = host
        self._log = log
        self._encoder = msgspec.msgpack.Encoder()
        self._transport: asyncio.DatagramTransport | None = None
        # The reason that was logged last; the same one is not logged for every datagram.
        self._logged_reason = ""

    async def start(self) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(self._host, 0))

    def stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, report: LoadReport, destinations: collections.abc.Iterable[Destination]) -> None:
        """Sends one report to several entries."""
        if self._transport is None or self._transport.is_closing():
            return
        content = self._encoder.encode(report)
        for destination in destinations:
            self._transport.sendto(content, destination)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """See asyncio.DatagramProtocol."""
        self._transport = transport

    def error_received(self, exc: OSError) -> None:
        """See asyncio.DatagramProtocol."""
        reason = repr(exc)[:200]
        if reason != self._logged_reason:
            self._logged_reason = reason
            self._log.write(Event.LOAD_REPORT_FAILED, reason=reason)
