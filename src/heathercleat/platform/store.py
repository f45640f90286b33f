"""Client of the platform's table store, which uses HTTP/1.1 and JSON."""

import json
from base64 import b64decode, b64encode
from urllib.parse import urlencode

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    connect,
    with_deadline,
)
from heathercleat.connection.persistent import PersistentConnection
from heathercleat.connection.socket_options import enable_keepalive
from heathercleat.errors import PlatformError
from heathercleat.platform.wire_names import (
    FEED_PATH,
    READ_PATH,
    STORE_ERA,
    TRANSACT_PATH,
)
from heathercleat.steering.process.store.protocol import (
    HistoryLostError,
    Snapshot,
    StoreRow,
)
from heathercleat.steering.process.store.versions import (
    check_era,
    era_of,
    make_version,
    number_of,
)

MAX_RESPONSE_BYTES = 4 << 20
#: Number of rows per read; the maximum that the store returns.
PAGE_ROWS = 500
_JSON_HEADERS = {"content-type": "application/json"}


class TableStoreClient:
    """Client with one connection, which makes one call at a time.

    :param address: the store's :class:`Address`.
    :param timeout: timeout of a call in seconds, excluding the wait for changes.
    :param source_ip: the local IP address to connect from.
    """

    def __init__(self, address, clock, timeout, source_ip=None):
        self._address = address
        self._clock = clock
        self._timeout = timeout
        self._source_ip = source_ip
        self._connection = PersistentConnection(self._connect, MAX_RESPONSE_BYTES)

    async def read(self, table):
        """Return a :class:`Snapshot` of all rows of a table.

        The rows are read in pages. The snapshot has the version of its first page, so
        that changes made while later pages are read show up in ``follow``.

        :raises HistoryLostError: when the store is restored between two pages.
        :raises PlatformError: when the store does not respond.
        """
        rows, start, version = [], None, None
        while True:
            query = {"table": table, "part": "", "limit": PAGE_ROWS}
            if start is not None:
                query["from"] = start
            path = f"{READ_PATH}?{urlencode(query, errors='surrogatepass')}"
            response = await self._get_rows(path)
            version = response.version if version is None else version
            if response.era != era_of(version):
                raise HistoryLostError(f"{table}: the store was restored from a backup")
            page = response.rows
            rows.extend(page)
            if not response.is_truncated:
                return Snapshot(version, rows)
            start = response.last_key + "\0"

    async def follow(self, table, after, wait):
        """Return the rows changed since version ``after`` as a :class:`Snapshot`.

        :param wait: the longest time to wait for a change, in seconds.
        :raises HistoryLostError: when the store no longer has the changes since then.
        :raises PlatformError: when the store does not respond.
        """
        number = number_of(after)
        query = {"table": table, "after": number, "waitMs": int(wait * 1000)}
        path = f"{FEED_PATH}?{urlencode(query)}"
        response = await self._get_rows(path, wait)
        if response.era != era_of(after):
            raise HistoryLostError(f"{table}: the store was restored from a backup")
        return Snapshot(response.version, response.rows, is_whole=False)

    async def write(self, table, key, value):
        """Set the value of a row, or remove the row.

        The write is idempotent. After an error it may have taken effect.

        :param value: bytes, or ``None`` to remove the row.
        :return: the era of the store to which the row was written.
        :raises PlatformError: when the store does not respond.
        """
        row = {"table": table, "part": "", "key": key}
        body = {"expect": [], "writes": [], "remove": []}
        if value is None:
            body["remove"].append(row)
        else:
            body["writes"].append({**row, "value": b64encode(value).decode()})
        response = await self._call("POST", TRANSACT_PATH, json.dumps(body).encode())
        return response.era

    async def close(self):
        """Close the connection."""
        await self._connection.close()

    async def _get_rows(self, path, wait=0.0):
        """Return the :class:`_RowsResponse` to a call for rows."""
        response = await self._call("GET", path, wait=wait)
        try:
            return _RowsResponse(response.document, response.era)
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            raise PlatformError(f"GET {path}: {error!r}") from None

    async def _call(self, method, path, body=b"", wait=0.0):
        """Return the :class:`_StoreResponse` to one call."""
        deadline = self._clock.now() + self._timeout + wait
        message = Message(method=method, path=path, body=body, headers=_JSON_HEADERS)
        try:
            response = await with_deadline(
                deadline, self._clock, self._connection.exchange(message)
            )
        except (TimeoutError, ValueError, *CONNECTION_ERRORS) as error:
            raise PlatformError(f"{method} {path}: {error!r}") from None
        if response.status == 410:
            raise HistoryLostError(f"{path}: the store no longer has these changes")
        if response.status != 200:
            raise PlatformError(f"{method} {path}: status {response.status}")
        try:
            document = json.loads(response.body)
            era = int(response.headers.get(STORE_ERA, 0))
            return _StoreResponse(document, check_era(era))
        except ValueError as error:
            raise PlatformError(f"{method} {path}: {error}") from None

    async def _connect(self):
        deadline = self._clock.now() + self._timeout
        host, port = self._address.host, self._address.port
        stream = await connect(host, port, deadline, self._clock, self._source_ip)
        enable_keepalive(stream.socket)
        return stream


class _StoreResponse:
    """A successful response.

    :param document: its JSON document.
    :param era: the era of the store; 0 if it does not report one.
    """

    __slots__ = ("document", "era")

    def __init__(self, document, era):
        self.document = document
        self.era = era


class _RowsResponse:
    """The rows in a successful response.

    Rows of other parts, and rows whose key cannot be encoded, are left out: none of
    them is used, and the latter could not be sent to other VMs.

    :param document: its JSON document; the errors for a malformed one are those of
        access to its items.
    :param era: the era of the store; 0 if it does not report one.
    """

    __slots__ = ("era", "version", "rows", "is_truncated", "last_key")

    def __init__(self, document, era):
        self.era = era
        self.version = make_version(era, document["ver"])
        documents = document.get("rows", ())
        self.rows = [
            self._decode_row(each) for each in documents if _is_usable_row(each)
        ]
        self.is_truncated = bool(documents and document.get("truncated"))
        self.last_key = documents[-1]["key"] if documents else None

    def _decode_row(self, document):
        # A removed row has a tombstone instead of a value.
        is_removed = document.get("tombstone", False)
        value = None if is_removed else b64decode(document["value"])
        version = make_version(self.era, document["ver"])
        return StoreRow(document["key"], value, version)


def _is_usable_row(document):
    if document.get("part"):
        return False
    try:
        document["key"].encode()
    except UnicodeEncodeError:
        return False
    return True
