"""Resolves IP numbers without asking anyone."""

import ipaddress
import socket

from tornado import netutil


class NumericResolver(netutil.Resolver):
    """Answers for IP numbers at once, and leaves names to the library's own resolver.

    The fleet's processes talk by IP numbers. The library asks the system for these too, in
    a pool of threads, for each connection: two changes of thread on the path of every
    request, and up to sixteen threads whose stacks and heaps count as a daemon's memory.
    """

    def initialize(self) -> None:
        """Makes the resolver for names."""
        self._names = netutil.DefaultLoopResolver()

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, tuple[object, ...]]]:
        """Returns address families and socket addresses, as the library asks for them."""
        try:
            address = ipaddress.ip_address(host)
        except ValueError:
            return await self._names.resolve(host, port, family)
        if address.version == 4:
            return [(socket.AF_INET, (host, port))]
        return [(socket.AF_INET6, (host, port, 0, 0))]
