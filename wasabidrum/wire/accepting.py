"""Accepts connections, and goes on when the system has no descriptor or memory for another one."""

import asyncio
import collections.abc
import errno
import socket

from tornado.log import gen_log

from ..decisions.process_limits import RECEIVE_BUFFER_BYTES

# How many are accepted before other events of the loop are handled.
ACCEPTED_AT_ONCE = 128
# How soon a socket is tried again that could not accept.
RETRY_SECONDS = 0.1
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

OnAccept = collections.abc.Callable[[socket.socket, tuple], None]


def bound_receive_buffer(sock: socket.socket) -> None:
    """Bounds what the kernel receives for the connections of a listening socket, if unread."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


class Acceptor:
    """Accepts the connections of one listening socket, until it is stopped."""

    __slots__ = ("_socket", "_descriptor", "_on_accept", "_retry", "_loop", "_stopped")

    def __init__(self, sock: socket.socket, on_accept: OnAccept) -> None:
        """Starts to accept.

        Args:
          sock: A listening socket that does not block.
          on_accept: Called with each connection and the address of its other end.
        """
        self._socket = sock
        self._descriptor = sock.fileno()
        self._on_accept = on_accept
        self._retry: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._stopped = False
        self._listen()

    def stop(self) -> None:
        """Accepts nothing more; its descriptor may be another one's afterwards."""
        if self._stopped:
            return
        self._stopped = True
        if self._retry is not None:
            self._retry.cancel()
        if not self._loop.is_closed():
            self._loop.remove_reader(self._descriptor)

    def _listen(self) -> None:
        self._loop.add_reader(self._descriptor, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                connection, address = self._socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in EXHAUSTED:
                    raise
                # The socket stays readable, so that the loop would do nothing but try.
                gen_log.warning("No connection can be accepted: %s", error)
                self._pause()
                return
            self._on_accept(connection, address)
            if self._stopped:
                return

    def _pause(self) -> None:
        self._loop.remove_reader(self._descriptor)
        self._retry = self._loop.call_later(RETRY_SECONDS, self._listen)
