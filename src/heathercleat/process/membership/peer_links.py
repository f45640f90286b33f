"""Calls to other VMs over one authenticated connection each, opened on demand."""

from curio import Lock

from heathercleat.connection.http import open_socket, with_deadline
from heathercleat.connection.messages import Accepted, Challenge, Hello, Refused
from heathercleat.connection.peer import MessageStream, sign
from heathercleat.errors import PeerError

#: Default timeout of a call to a peer, in seconds.
CALL_TIMEOUT_SECONDS = 0.5
#: Seconds for which an unresponsive peer is not called again.
BACKOFF_SECONDS = 0.25


class PeerLink:
    """A connection to one VM; calls are serialized.

    :param vm: the :class:`EntryVM` of this process.
    :param host: IP address of the peer.
    """

    def __init__(self, vm, host, clock):
        self._vm = vm
        self._host = host
        self._clock = clock
        self._lock = Lock()
        self._stream = None
        self._is_refused = False
        self._retry_at = 0.0
        self._bytes = 0

    @property
    def is_refused(self):
        """Return whether the last call failed because the connection was refused."""
        return self._is_refused

    @property
    def is_reachable(self):
        """Return whether no backoff is in progress after a failed call."""
        return self._clock.now() >= self._retry_at

    @property
    def bytes(self):
        """Return the number of bytes sent and received over all connections."""
        stream = self._stream
        if stream is None:
            return self._bytes
        return self._bytes + stream.bytes_sent + stream.bytes_received

    async def call(self, message, timeout=CALL_TIMEOUT_SECONDS):
        """Send a message and return the response.

        :param timeout: timeout in seconds; the wait for earlier calls counts.
        :raises PeerError: if the peer is unreachable or refuses the call.
        """
        if not self.is_reachable:
            raise PeerError(f"{self._host} is in backoff after a failed call")
        deadline = self._clock.now() + timeout
        try:
            response = await with_deadline(deadline, self._clock, self._call(message))
        except (OSError, EOFError, ValueError) as error:
            self._is_refused = isinstance(error, ConnectionRefusedError)
            self._retry_at = self._clock.now() + BACKOFF_SECONDS
            raise PeerError(f"{self._host}: {error!r}") from None
        if isinstance(response, Refused):
            raise PeerError(f"{self._host}: {response.reason}")
        return response

    async def close(self):
        """Close the connection."""
        stream, self._stream = self._stream, None
        if stream is not None:
            self._bytes += stream.bytes_sent + stream.bytes_received
            await stream.close()

    async def _call(self, message):
        await self._vm.fence.wait_if_fenced(self._host)
        async with self._lock:
            is_done = False
            try:
                if self._stream is None:
                    self._stream = await self._open()
                response = await self._stream.call(message)
                is_done = True
            finally:
                if not is_done:
                    await self.close()
            self._is_refused = False
            return response

    async def _open(self):
        port = self._vm.settings.ports.peer
        sock = await open_socket(self._host, port, self._vm.settings.address)
        stream = MessageStream(sock)
        try:
            response = await stream.call(await self._hello(stream))
        except BaseException:
            await stream.close()
            raise
        if not isinstance(response, Accepted):
            await stream.close()
            raise EOFError("the peer refused the key")
        return stream

    async def _hello(self, stream):
        challenge = await stream.receive()
        if not isinstance(challenge, Challenge):
            raise EOFError("the peer sent no challenge")
        settings = self._vm.settings
        signature = sign(
            settings.keys[0],
            challenge.nonce,
            settings.vm,
            settings.address,
            settings.failure_domain,
            self._vm.incarnation,
        )
        return Hello(
            settings.vm,
            settings.address,
            settings.failure_domain,
            self._vm.incarnation,
            signature,
        )


class PeerLinks:
    """The links of a process by host.

    :param vm: the :class:`EntryVM` of this process.
    """

    def __init__(self, vm, clock):
        self._vm = vm
        self._clock = clock
        self._links = {}

    @property
    def bytes(self):
        """Return the number of bytes sent and received over all links."""
        return sum(link.bytes for link in self._links.values())

    def link_to(self, host):
        """Return the :class:`PeerLink` to ``host``, created on first use."""
        link = self._links.get(host)
        if link is None:
            link = self._links[host] = PeerLink(self._vm, host, self._clock)
        return link

    async def call(self, host, message, timeout=CALL_TIMEOUT_SECONDS):
        """Call the VM on ``host``; see :meth:`PeerLink.call`."""
        return await self.link_to(host).call(message, timeout)

    async def close(self):
        """Close every link."""
        for link in self._links.values():
            await link.close()
