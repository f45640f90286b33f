"""Client of the platform's table service, object store and VM list.

:class:`Platform` is the interface that the daemon requires; :class:`HttpPlatform`
implements it with the protocol described in ``docs/reference/platform.md``.
"""

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

import msgpack

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    connect,
    with_deadline,
)
from heathercleat.connection.persistent import PersistentConnection
from heathercleat.errors import PlatformError

ABSENT = 0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MSGPACK = {"content-type": "application/msgpack"}


@dataclass(slots=True, frozen=True)
class Row:
    """A row of the table; its version is at least 1."""

    key: str
    value: bytes
    version: int


@dataclass(slots=True, frozen=True)
class Condition:
    """A condition: ``key`` is at ``version``, or is missing for ``ABSENT``."""

    key: str
    version: int


@dataclass(slots=True, frozen=True)
class Write:
    """A write of ``value`` at ``key``; ``None`` removes the row."""

    key: str
    value: bytes | None


@dataclass(slots=True, frozen=True)
class Commit:
    """The result of a transaction; ``conflicts`` has the keys whose condition failed.

    If there are any, nothing was written.
    """

    conflicts: tuple

    @property
    def done(self):
        """Return whether the writes took effect."""
        return not self.conflicts


@dataclass(slots=True, frozen=True)
class VmEntry:
    """One VM of the platform's VM list, which may be out of date."""

    name: str
    host: str
    failure_domain: str
    leaving: bool


@dataclass(slots=True, frozen=True)
class VmList:
    """The VM list at a serial number."""

    serial: int
    entries: tuple


class Platform(Protocol):
    """Interface of a platform client.

    Every method raises ``PlatformError`` if the platform is unavailable. After an
    error, a write may or may not have taken effect.
    """

    async def transact(self, conditions, writes):
        """Apply all writes if every condition holds, and return a :class:`Commit`."""

    async def read(self, key):
        """Return the :class:`Row` of a key, or ``None``."""

    async def read_range(self, prefix, limit=None):
        """Return the rows whose key starts with ``prefix``, in order of their keys.

        :param limit: maximum number of rows, or ``None`` for all of them.
        """

    async def put_object(self, key, data):
        """Store an object."""

    async def get_object(self, key):
        """Return the bytes of an object, or ``None``."""

    async def list_vms(self, since):
        """Return the :class:`VmList`, or ``None`` if its serial is still ``since``."""


class HttpPlatform:
    """Platform client over HTTP with msgpack bodies; sends one request at a time.

    :param host: IP address of the platform.
    :param timeout: timeout of each call, in seconds.
    :param get_fence: function that returns the current :class:`Fence`.
    """

    def __init__(self, host, port, clock, timeout, get_fence):
        self._host = host
        self._port = port
        self._clock = clock
        self._timeout = timeout
        self._get_fence = get_fence
        self._connection = PersistentConnection(self._connect, MAX_RESPONSE_BYTES)

    async def transact(self, conditions, writes):
        """Apply all writes if every condition holds, and return a :class:`Commit`."""
        body = {
            "conditions": [[each.key, each.version] for each in conditions],
            "writes": [[each.key, each.value] for each in writes],
        }
        response = await self._call("POST", "/table/transaction", msgpack.packb(body))
        return Commit(tuple(msgpack.unpackb(response.body)["conflicts"]))

    async def read(self, key):
        """Return the :class:`Row` of a key, or ``None``."""
        response = await self._call("GET", f"/table/row?key={quote(key, safe='')}")
        if response.status == 404:
            return None
        return Row(*msgpack.unpackb(response.body))

    async def read_range(self, prefix, limit=None):
        """Return the rows whose key starts with ``prefix``, at most ``limit``."""
        path = f"/table/range?prefix={quote(prefix, safe='')}"
        if limit is not None:
            path += f"&limit={limit}"
        response = await self._call("GET", path)
        return [Row(*fields) for fields in msgpack.unpackb(response.body)]

    async def put_object(self, key, data):
        """Store an object."""
        await self._call("PUT", f"/objects/{quote(key, safe='')}", data)

    async def get_object(self, key):
        """Return the bytes of an object, or ``None``."""
        response = await self._call("GET", f"/objects/{quote(key, safe='')}")
        return None if response.status == 404 else response.body

    async def list_vms(self, since):
        """Return the :class:`VmList`, or ``None`` if its serial is still ``since``."""
        response = await self._call("GET", f"/vms?since={since}")
        serial, entries = msgpack.unpackb(response.body)
        if entries is None:
            return None
        return VmList(serial, tuple(VmEntry(*fields) for fields in entries))

    async def close(self):
        """Close the connection."""
        await self._connection.close()

    async def _call(self, method, path, body=b""):
        deadline = self._clock.now() + self._timeout
        message = Message(method=method, path=path, body=body, headers=MSGPACK)
        try:
            response = await with_deadline(
                deadline, self._clock, self._exchange(message)
            )
        except (TimeoutError, *CONNECTION_ERRORS) as error:
            raise PlatformError(f"{method} {path}: {error!r}") from None
        if response.status not in (200, 404, 409):
            raise PlatformError(f"{method} {path}: status {response.status}")
        return response

    async def _exchange(self, message):
        await self._get_fence().wait_if_fenced(self._host)
        return await self._connection.exchange(message)

    async def _connect(self):
        deadline = self._clock.now() + self._timeout
        return await connect(self._host, self._port, deadline, self._clock)
