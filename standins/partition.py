"""Partitions a VM process from all targets, by the connections that it opens."""

from enum import Enum
from pathlib import Path

from curio import sleep, timeout_after
from curio.errors import TaskTimeout
from curio.io import Socket

PARTITION_VARIABLE = "HEATHERCLEAT_PARTITION"
#: Third octets of the IP addresses of targets, and of those of the proxy for them.
TARGET_OCTETS = ("100", "203")
#: Seconds between two checks whether the partition has begun or ended.
POLL_SECONDS = 0.02
#: Seconds after which the kernel gives up unacknowledged data.
USER_TIMEOUT_SECONDS = 0.9


class PartitionMode(Enum):
    """What happens to connections during the partition."""

    #: New and open connections stall.
    HANG = "hang"
    #: Open connections are reset, new ones refused.
    RESET = "reset"
    #: Open connections work, new ones are refused.
    REFUSE = "refuse"


class Partition:
    """The partition, as the file describes it.

    :param path: path of a file with the value of a :class:`PartitionMode`, or empty.
    """

    def __init__(self, path):
        self._path = Path(path)

    @property
    def mode(self):
        """Return the :class:`PartitionMode`, or ``None`` without a partition."""
        text = self._path.read_text() if self._path.exists() else ""
        return PartitionMode(text) if text else None


class PartitionedSocket(Socket):
    """A connection to a target."""

    partition = None

    async def recv(self, *args):
        """Return received data, as long as the partition lets it pass."""
        while True:
            try:
                data = await timeout_after(POLL_SECONDS, super().recv, *args)
            except TaskTimeout:
                await self._pass()
                continue
            await self._pass()
            return data

    async def sendall(self, data):
        """Send data, as long as the partition lets it pass."""
        await self._pass()
        await super().sendall(data)

    async def _pass(self):
        if self.partition.mode is PartitionMode.RESET:
            raise ConnectionResetError("partitioned")
        stalled_seconds = 0.0
        while self.partition.mode is PartitionMode.HANG:
            await sleep(POLL_SECONDS)
            stalled_seconds += POLL_SECONDS
            if stalled_seconds >= USER_TIMEOUT_SECONDS:
                raise TimeoutError("no acknowledgement")


def install_partition(path):
    """Let the partition that a file describes apply to connections to targets."""
    from heathercleat.connection import http

    partition, open_socket = Partition(path), http.open_socket
    PartitionedSocket.partition = partition

    async def open_partitioned_socket(host, port, source_ip=None):
        if host.split(".")[2] not in TARGET_OCTETS:
            return await open_socket(host, port, source_ip)
        if partition.mode in (PartitionMode.RESET, PartitionMode.REFUSE):
            raise ConnectionRefusedError(f"{host} refuses connections")
        while partition.mode is PartitionMode.HANG:
            await sleep(POLL_SECONDS)
        sock = await open_socket(host, port, source_ip)
        sock.__class__ = PartitionedSocket
        return sock

    http.open_socket = open_partitioned_socket
