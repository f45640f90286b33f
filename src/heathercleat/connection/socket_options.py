"""Socket options for the detection of unresponsive peers."""

import socket

#: Longest time without acknowledgement of sent data. Leaves time for several
#: retransmissions between regions and is shorter than usual request timeouts.
USER_TIMEOUT_MS = 900
#: Idle time before the first keep-alive probe, and interval of further probes.
KEEPALIVE_SECONDS = 1
#: Number of unanswered probes after which the connection is closed.
KEEPALIVE_PROBES = 2
#: Bytes of the send and of the receive buffer of a connection, where callers compete
#: for memory. A body of 360 KB takes two round trips with it. The kernel doubles the
#: value for its own overhead.
BUFFER_BYTES = 256 << 10


def enable_keepalive(sock):
    """Let the kernel close the connection when the peer stops responding."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def allow_slow_reader(sock, seconds):
    """Let the peer of a connection read nothing for a time, in seconds.

    Otherwise the kernel closes the connection when the peer's receive window stays
    closed for ``USER_TIMEOUT_MS``, although the peer acknowledges each probe.
    """
    milliseconds = max(USER_TIMEOUT_MS, round(seconds * 1000))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def limit_buffers(sock):
    """Limit the memory that the kernel uses for the data of a connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)


def limit_buffers_with_keepalive(sock):
    """Apply :func:`enable_keepalive` and :func:`limit_buffers`."""
    enable_keepalive(sock)
    limit_buffers(sock)
