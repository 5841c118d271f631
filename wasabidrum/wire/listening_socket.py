"""Lets a listening socket complete what has begun to connect, and begin nothing more."""

import ctypes
import socket
import struct
import sys

# Not among the constants of the socket module.
SO_ATTACH_FILTER = 26
# A classic BPF program: the flags of the TCP header are loaded, SYN without ACK is dropped, and
# everything else is taken. Each instruction is a code, two jumps and a constant.
FLAGS_OFFSET = 13
SYN_AND_ACK = 0x12
SYN = 0x02
DROP_SYN = (
    (0x30, 0, 0, FLAGS_OFFSET),
    (0x54, 0, 0, SYN_AND_ACK),
    (0x15, 0, 1, SYN),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)


def drop_handshakes(sock: socket.socket) -> None:
    """Makes the kernel drop the handshakes that begin from now on, until the socket is closed.

    Their callers are refused when they repeat them, instead of being reset with their requests in
    the backlog of a socket that is closed before it is read. Elsewhere than on Linux this does
    nothing.

    Raises:
      OSError: The kernel does not allow it.
    """
    if sys.platform != "linux":
        return
    program = b"".join(struct.pack("HBBI", *instruction) for instruction in DROP_SYN)
    buffer = ctypes.create_string_buffer(program, len(program))
    option = struct.pack("HL", len(DROP_SYN), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)
