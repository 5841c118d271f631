"""Tests of sockets that listen for the last time."""

import asyncio
import errno
import socket
import unittest
from unittest import mock

from tornado import httputil, netutil

from . import ending_server
from .ending_server import EndingServer
from .listening_socket import drop_handshakes

HOST = "127.0.0.1"


def begin_to_connect(address: tuple[str, int]) -> socket.socket:
    """Returns a socket that connects without waiting for it."""
    sock = socket.socket()
    sock.setblocking(False)
    try:
        sock.connect(address)
    except BlockingIOError:
        pass
    return sock


def is_connected(sock: socket.socket) -> bool:
    """Returns whether a connection is established."""
    try:
        sock.getpeername()
    except OSError as error:
        if error.errno != errno.ENOTCONN:
            raise
        return False
    return True


class DropHandshakesTest(unittest.TestCase):
    """A listening socket with a connection in its backlog and an accepted one."""

    def test_connections_of_before_go_on_and_no_other_is_established(self) -> None:
        """Guards against a socket that takes connections which nobody will accept."""
        with socket.create_server((HOST, 0)) as listener:
            address = listener.getsockname()
            with socket.create_connection(address) as first, listener.accept()[0] as accepted:
                with begin_to_connect(address) as waiting:
                    drop_handshakes(listener)
                    with begin_to_connect(address) as late:
                        self.assertFalse(is_connected(late))
                    self.assertTrue(is_connected(waiting))
                    listener.accept()[0].close()
                first.sendall(b"more")
                self.assertEqual(accepted.recv(4), b"more")


class StopListeningTest(unittest.IsolatedAsyncioTestCase):
    """A server whose process does not run for a moment while it closes its listening socket."""

    async def test_caller_that_comes_after_the_backlog_was_emptied(self) -> None:
        """Guards against requests that are reset because they come between the last accept and the
        close of a listening socket."""
        server = EndingServer(mock.Mock(spec=httputil.HTTPServerConnectionDelegate))
        sockets = netutil.bind_sockets(0, HOST)
        server.add_sockets(sockets)
        callers: list[socket.socket] = []
        accept_all = ending_server.accept_all

        def accept_and_pause(sock: socket.socket) -> list:
            address = sock.getsockname()
            accepted = accept_all(sock)
            callers.append(begin_to_connect(address))
            return accepted

        with mock.patch.object(ending_server, "accept_all", accept_and_pause):
            server.stop_listening()
        await asyncio.sleep(0)
        (caller,) = callers
        self.addCleanup(caller.close)
        self.assertFalse(is_connected(caller))
        self.assertEqual(caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), 0)


if __name__ == "__main__":
    unittest.main()
