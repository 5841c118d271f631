"""Resolves numeric IP addresses without the system's resolver."""

import ipaddress
import socket

from tornado import netutil


class NumericResolver(netutil.Resolver):
    """Resolves numeric IP addresses at once, and host names with Tornado's default resolver.

    The fleet's processes address each other by IP address. Tornado's resolver passes these to the
    system as well, in a thread pool, for each connection: that costs two thread switches for every
    request, and up to sixteen threads whose stacks and heaps count towards a daemon's memory.
    """

    def initialize(self) -> None:
        """Creates the resolver for host names."""
        self._names = netutil.DefaultLoopResolver()

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, tuple[object, ...]]]:
        """Returns address families and socket addresses; see tornado.netutil.Resolver."""
        try:
            address = ipaddress.ip_address(host)
        except ValueError:
            return await self._names.resolve(host, port, family)
        if address.version == 4:
            return [(socket.AF_INET, (host, port))]
        return [(socket.AF_INET6, (host, port, 0, 0))]
