"""Client of the platform's table service (HTTP/1.1 with JSON bodies)."""

import json
from base64 import b64decode, b64encode
from urllib.parse import urlencode

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    before,
    connect,
)
from heathercleat.connection.persistent import PersistentConnection
from heathercleat.connection.socket_options import enable_keepalive
from heathercleat.errors import PlatformError
from heathercleat.platform.wire_names import FEED_PATH, READ_PATH, TRANSACT_PATH
from heathercleat.steering.process.store.protocol import (
    HistoryLostError,
    Snapshot,
    StoreRow,
)

MAX_ANSWER_BYTES = 4 << 20
#: Rows asked for at once; the store returns at most 500.
PAGE_ROWS = 500
_JSON = {"content-type": "application/json"}


class TableStoreClient:
    """A client with one connection, which runs one call at a time.

    :param address: the store's :class:`Address`.
    :param clock: source of instants.
    :param timeout: seconds that a call may take, waiting of a feed not included.
    :param source_ip: the local IP number to connect from.
    """

    def __init__(self, address, clock, timeout, source_ip=None):
        self._address = address
        self._clock = clock
        self._timeout = timeout
        self._source_ip = source_ip
        self._connection = PersistentConnection(self._connect, MAX_ANSWER_BYTES)

    async def read(self, table):
        """Return a :class:`Snapshot` of all rows of a table.

        It is current as of its first page: a row of that page may have been removed
        when the last one was read, and the changes after the first tell so.

        :raises PlatformError: when the store does not answer.
        """
        rows, start, version = [], None, None
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start is not None:
                query["from"] = start
            answer = await self._call("GET", f"{READ_PATH}?{urlencode(query)}")
            page = [_row(each) for each in answer["rows"]]
            rows.extend(page)
            version = answer["ver"] if version is None else version
            if not answer.get("truncated") or not page:
                return Snapshot(version, rows)
            start = page[-1].key + "\0"

    async def follow(self, table, after, wait):
        """Return the rows changed since version ``after`` as a :class:`Snapshot`.

        :param wait: seconds to wait for a change.
        :raises HistoryLostError: when the store no longer has that history.
        :raises PlatformError: when the store does not answer.
        """
        query = {"table": table, "after": after, "waitMs": int(wait * 1000)}
        path = f"{FEED_PATH}?{urlencode(query)}"
        answer = await self._call("GET", path, wait=wait)
        rows = [_row(each) for each in answer["rows"]]
        return Snapshot(answer["ver"], rows, is_whole=False)

    async def write(self, table, key, value):
        """Put ``value`` (bytes) at ``key``, or remove the row for ``None``.

        The write is idempotent; after an error it may or may not have been done.

        :raises PlatformError: when the store does not answer.
        """
        row = {"table": table, "part": "", "key": key}
        body = {"expect": [], "writes": [], "remove": []}
        if value is None:
            body["remove"].append(row)
        else:
            body["writes"].append({**row, "value": b64encode(value).decode()})
        await self._call("POST", TRANSACT_PATH, json.dumps(body).encode())

    async def close(self):
        """Close the connection."""
        await self._connection.close()

    async def _call(self, method, path, body=b"", wait=0.0):
        deadline = self._clock.now() + self._timeout + wait
        message = Message(method=method, path=path, body=body, headers=_JSON)
        try:
            answer = await before(
                deadline, self._clock, self._connection.exchange(message)
            )
        except (TimeoutError, ValueError, *CONNECTION_ERRORS) as error:
            raise PlatformError(f"{method} {path}: {error!r}") from None
        if answer.status == 410:
            raise HistoryLostError(f"{path}: the history is gone")
        if answer.status != 200:
            raise PlatformError(f"{method} {path}: status {answer.status}")
        try:
            return json.loads(answer.body)
        except ValueError as error:
            raise PlatformError(f"{method} {path}: {error}") from None

    async def _connect(self):
        deadline = self._clock.now() + self._timeout
        host, port = self._address.host, self._address.port
        stream = await connect(host, port, deadline, self._clock, self._source_ip)
        enable_keepalive(stream.socket)
        return stream


def _row(document):
    # A dropped row carries a mark instead of a value.
    dropped = document.get("tombstone", False)
    value = None if dropped else b64decode(document["value"])
    return StoreRow(document["key"], value, document["ver"])
