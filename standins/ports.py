"""Finds ports for processes that are launched on loopback."""

import random
import socket

LOWEST_PORT = 20_000
HIGHEST_PORT = 32_000


def free_ports(count: int) -> int:
    """Returns the first port of a range of consecutive ports that are free on all addresses.

    They are below those that the system gives to connections, which would take one of them between
    this search and its use.
    """
    for _ in range(200):
        first = random.SystemRandom().randrange(LOWEST_PORT, HIGHEST_PORT - count)
        held = []
        try:
            for offset in range(count):
                held.append(socket.create_server(("", first + offset)))
        except OSError:
            continue
        finally:
            for server in held:
                server.close()
        return first
    raise RuntimeError("found no range of consecutive free ports")
