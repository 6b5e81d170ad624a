"""Options of TCP sockets."""

import asyncio
import socket
import struct


def limit_receiving(
    transport: asyncio.BaseTransport, read_size: int, buffer_size: int
) -> None:
    """Bound what is read at a time and what the kernel receives before.

    Without bounds, that is 256 KB and megabytes for each connection.
    """
    if hasattr(transport, 'max_size'):
        transport.max_size = read_size
    sock = transport.get_extra_info('socket')
    if sock is not None:
        # Linux doubles the size for its own data.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_size // 2)


def set_backlog(server: asyncio.Server, size: int) -> None:
    """Set how many connections the kernel keeps that are not accepted yet."""
    for sock in getattr(server, 'sockets', ()):
        listening = socket.socket(
            sock.family, sock.type, sock.proto, sock.fileno()
        )
        listening.listen(size)
        # It belongs to the server.
        listening.detach()


def set_reset_on_close(
    transport: asyncio.BaseTransport, does_reset: bool
) -> None:
    """Set whether the kernel resets the connection instead of ending it."""
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack('ii', does_reset, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def is_drained(transport: asyncio.Transport) -> bool:
    """Return whether a socket is open and has nothing that is to be read.

    A transport without a socket of the operating system holds nothing back.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return True
    try:
        with sock.dup() as own:
            own.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # There are bytes, or the end.
    return False
