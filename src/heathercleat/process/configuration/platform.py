"""The platform's table service, object store and VM list.

:class:`Platform` is the interface that the daemon uses; a client for another platform
takes the place of :class:`HttpPlatform`. The protocol that this client speaks is
written down in ``docs/reference/platform.md``.
"""

from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

import msgpack

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    before,
    connect,
)
from heathercleat.connection.persistent import PersistentConnection
from heathercleat.errors import PlatformError

ABSENT = 0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MSGPACK = {"content-type": "application/msgpack"}


@dataclass(slots=True, frozen=True)
class Row:
    """A row of the table with its version, which is at least 1."""

    key: str
    value: bytes
    version: int


@dataclass(slots=True, frozen=True)
class Condition:
    """The row ``key`` must stand at ``version``, or be missing at ``ABSENT``."""

    key: str
    version: int


@dataclass(slots=True, frozen=True)
class Write:
    """Put ``value`` (bytes) at ``key``, or remove the row for ``None``."""

    key: str
    value: bytes | None


@dataclass(slots=True, frozen=True)
class Commit:
    """The result of a transaction; ``conflicts`` lists the keys whose condition failed.

    Nothing is written when there is a conflict.
    """

    conflicts: tuple

    @property
    def done(self):
        """Return whether the writes took effect."""
        return not self.conflicts


@dataclass(slots=True, frozen=True)
class VmEntry:
    """One VM of the platform's list, which lags."""

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
    """What the platform gives. Every call raises ``PlatformError`` when it is down.

    After an error a write may or may not have taken effect.
    """

    async def transact(self, conditions, writes):
        """Apply all writes if every condition holds; return a :class:`Commit`."""

    async def read(self, key):
        """Return the :class:`Row` of a key, or ``None``."""

    async def read_range(self, prefix, limit=None):
        """Return the first ``limit`` rows whose key starts with ``prefix``, in order.

        Without a limit all of them are returned.
        """

    async def put_object(self, key, data):
        """Store an object."""

    async def get_object(self, key):
        """Return the bytes of an object, or ``None``."""

    async def list_vms(self, since):
        """Return the :class:`VmList`, or ``None`` if it stands at serial ``since``."""


class HttpPlatform:
    """Client of the platform over HTTP with msgpack bodies, one request at a time.

    :param host: IP number of the platform.
    :param port: TCP port.
    :param clock: source of instants.
    :param timeout: seconds that one call may take.
    :param fence: returns the :class:`Fence` in force.
    """

    def __init__(self, host, port, clock, timeout, fence):
        self._host = host
        self._port = port
        self._clock = clock
        self._timeout = timeout
        self._fence = fence
        self._connection = PersistentConnection(self._connect, MAX_ANSWER_BYTES)

    async def transact(self, conditions, writes):
        """Apply all writes if every condition holds; return a :class:`Commit`."""
        body = {
            "conditions": [[each.key, each.version] for each in conditions],
            "writes": [[each.key, each.value] for each in writes],
        }
        answer = await self._call("POST", "/table/transaction", msgpack.packb(body))
        return Commit(tuple(msgpack.unpackb(answer.body)["conflicts"]))

    async def read(self, key):
        """Return the :class:`Row` of a key, or ``None``."""
        answer = await self._call("GET", f"/table/row?key={quote(key, safe='')}")
        if answer.status == 404:
            return None
        return Row(*msgpack.unpackb(answer.body))

    async def read_range(self, prefix, limit=None):
        """Return the first ``limit`` rows whose key starts with ``prefix``."""
        path = f"/table/range?prefix={quote(prefix, safe='')}"
        if limit is not None:
            path += f"&limit={limit}"
        answer = await self._call("GET", path)
        return [Row(*fields) for fields in msgpack.unpackb(answer.body)]

    async def put_object(self, key, data):
        """Store an object."""
        await self._call("PUT", f"/objects/{quote(key, safe='')}", data)

    async def get_object(self, key):
        """Return the bytes of an object, or ``None``."""
        answer = await self._call("GET", f"/objects/{quote(key, safe='')}")
        return None if answer.status == 404 else answer.body

    async def list_vms(self, since):
        """Return the :class:`VmList`, or ``None`` if it stands at serial ``since``."""
        answer = await self._call("GET", f"/vms?since={since}")
        serial, entries = msgpack.unpackb(answer.body)
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
            answer = await before(deadline, self._clock, self._exchange(message))
        except (TimeoutError, *CONNECTION_ERRORS) as error:
            raise PlatformError(f"{method} {path}: {error!r}") from None
        if answer.status not in (200, 404, 409):
            raise PlatformError(f"{method} {path}: status {answer.status}")
        return answer

    async def _exchange(self, message):
        await self._fence().wait_if_fenced(self._host)
        return await self._connection.exchange(message)

    async def _connect(self):
        deadline = self._clock.now() + self._timeout
        return await connect(self._host, self._port, deadline, self._clock)
