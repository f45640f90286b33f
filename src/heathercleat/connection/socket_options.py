"""Options of sockets that notice a peer which fell silent."""

import socket

#: Milliseconds that sent bytes may stay unacknowledged: several retransmissions on a
#: link between regions (110 ms both ways), and well below usual request timeouts.
USER_TIMEOUT_MS = 900
#: Seconds of idleness before the first keep-alive probe, and between two probes.
KEEPALIVE_SECONDS = 1
#: Probes without an answer after which a connection is given up.
KEEPALIVE_PROBES = 2


def enable_keepalive(sock):
    """Let the kernel end a connection whose other side no longer answers."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
