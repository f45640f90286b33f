"""Fake table store for steering VMs: rows, change feed and transactions, in memory.

``POST /switch`` with a JSON object sets faults: ``down`` (``busy``, ``silent``,
``reset`` or null), ``slow_s`` (seconds of delay per response), ``lose_replies`` (number
of writes that take effect without a response), ``refused`` (IP addresses that get 503),
``history`` (number of changes kept) and ``era`` (sent in place of the era). ``POST
/put`` with ``[table, key, document]`` writes a row as operators and targets do; a
document of null removes it. ``POST /backup`` makes a backup, and ``POST /restore``
restores it: versions go back and are assigned again, and the era rises. With the
seconds ``rewrite_s`` in a JSON object, operators and targets then write again what the
backup lacks. ``GET /counts`` returns the number of requests by path.
"""

import json
from argparse import ArgumentParser
from base64 import b64decode, b64encode
from urllib.parse import parse_qs, urlsplit

import h11
from curio import run, sleep, spawn, tcp_server

from heathercleat.connection.http import HttpStream, Message, serve_requests
from heathercleat.platform.wire_names import (
    FEED_PATH,
    OPERATOR_TABLE,
    READ_PATH,
    STORE_ERA,
    TARGET_TABLE,
    TRANSACT_PATH,
)

MAX_BODY_BYTES = 1 << 20
POLL_SECONDS = 0.01
SILENT_SECONDS = 3600.0
_READ_ONLY = (OPERATOR_TABLE, TARGET_TABLE)


class Backup:
    """The rows of the store by table and key, and its changes in order of version."""

    __slots__ = ("rows", "changes", "version")

    def __init__(self, rows, changes, version):
        self.rows = dict(rows)
        self.changes = list(changes)
        self.version = version


class TableStoreStandin:
    """The rows, and the changes in order of version."""

    def __init__(self):
        self._rows = {}
        self._changes = []
        self._version = 0
        self._era = 0
        self._backup = None
        # Last state of each row that operators and targets still have to write again.
        self._lost = {}
        self._counts = {}
        self._dropped_until = 0
        self._switches = {
            "down": None,
            "slow_s": 0.0,
            "lose_replies": 0,
            "refused": [],
            "history": 1000,
            "era": None,
        }

    async def serve(self, sock, address):
        """Serve requests on one connection."""
        stream = HttpStream(sock, h11.SERVER)

        async def handle(message):
            return await self._handle(stream, address[0], message)

        await serve_requests(stream, handle, MAX_BODY_BYTES)

    async def _handle(self, stream, client_ip, message):
        url = urlsplit(message.path)
        if url.path == "/switch":
            self._switches.update(json.loads(message.body))
            self._trim_history()
            return Message()
        if url.path == "/put":
            self._put(*json.loads(message.body))
            return Message()
        if url.path == "/backup":
            self._backup = Backup(self._rows, self._changes, self._version)
            return Message()
        if url.path == "/restore":
            lost = self._restore(self._backup)
            if message.body:
                self._lost.update(lost)
                rewrite_s = json.loads(message.body)["rewrite_s"]
                await spawn(self._rewrite, rewrite_s, daemon=True)
            return Message()
        if url.path == "/counts":
            return _json(self._counts)
        self._counts[url.path] = self._counts.get(url.path, 0) + 1
        failure = await self._injected_response(stream, client_ip)
        if failure is not None:
            return failure
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        response = await self._respond(stream, url.path, query, message)
        era = self._switches["era"] or self._era
        if era:
            response.headers[STORE_ERA] = str(era)
        return response

    async def _injected_response(self, stream, client_ip):
        """Return the response of an injected fault; ``None`` without one."""
        await sleep(self._switches["slow_s"])
        down = self._switches["down"]
        if down == "silent":
            await sleep(SILENT_SECONDS)
        if down == "reset":
            stream.abort()
        if down is not None or client_ip in self._switches["refused"]:
            return Message(status=503)
        return None

    async def _respond(self, stream, path, query, message):
        if path == READ_PATH:
            return self._read(query)
        if path == FEED_PATH:
            return await self._feed(query)
        if path == TRANSACT_PATH:
            response = self._transact(json.loads(message.body))
            if response.status == 200 and self._switches["lose_replies"]:
                self._switches["lose_replies"] -= 1
                stream.abort()
            return response
        return Message(status=404)

    def _read(self, query):
        start = query.get("from", "")
        limit = int(query.get("limit", 500))
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query["table"] and key >= start
        ]
        page = rows[:limit]
        return self._page({"rows": page, "truncated": len(rows) > limit})

    async def _feed(self, query):
        after, waited = int(query["after"]), 0.0
        while True:
            if after < self._dropped_until or after > self._version:
                return Message(status=410)
            rows = [
                row
                for row in self._changes
                if row["ver"] > after and row["table"] == query["table"]
            ]
            if rows or waited >= int(query["waitMs"]) / 1000:
                return self._page({"rows": rows})
            await sleep(POLL_SECONDS)
            waited += POLL_SECONDS

    def _transact(self, body):
        for entry in [*body["writes"], *body["remove"]]:
            if entry["table"] in _READ_ONLY:
                return Message(status=403)
        for entry in body["expect"]:
            row = self._rows.get((entry["table"], entry["key"]))
            if (row["ver"] if row else 0) != entry["ver"]:
                return Message(status=412, body=json.dumps({"rows": []}).encode())
        for entry in body["writes"]:
            self._write(entry["table"], entry["key"], entry["value"])
        for entry in body["remove"]:
            self._write(entry["table"], entry["key"], None)
        return self._page({})

    def _put(self, table, key, document):
        value = None
        if document is not None:
            value = b64encode(json.dumps(document).encode()).decode()
        self._write(table, key, value)

    def _write(self, table, key, value):
        self._version += 1
        self._lost.pop((table, key), None)
        row = {"table": table, "part": "", "key": key, "ver": self._version}
        if value is None:
            self._rows.pop((table, key), None)
            row["tombstone"] = True
        else:
            b64decode(value, validate=True)
            row["value"] = value
            self._rows[table, key] = row
        self._changes.append(row)
        self._trim_history()

    def _restore(self, backup):
        """Restore a backup; return the last state of each row that it lacks."""
        lost = {
            each: row for each, row in self._rows.items() if row["ver"] > backup.version
        }
        # Removed rows; the history may not reach back to the backup.
        lost.update({each: {} for each in backup.rows if each not in self._rows})
        self._rows = dict(backup.rows)
        self._changes = list(backup.changes)
        self._version = backup.version
        self._era += 1
        return lost

    async def _rewrite(self, seconds):
        """Write the lost changes of operators and targets again after some seconds.

        If the store is restored again meanwhile, they are written after that.
        """
        era = self._era
        await sleep(seconds)
        if era != self._era:
            return
        for (table, key), row in list(self._lost.items()):
            if table in _READ_ONLY:
                self._write(table, key, row.get("value"))
        self._lost = {}

    def _trim_history(self):
        while len(self._changes) > self._switches["history"]:
            self._dropped_until = self._changes.pop(0)["ver"]

    def _page(self, fields):
        return _json({**fields, "ver": self._version, "now": "0ms"})


def _json(document):
    body = json.dumps(document).encode()
    return Message(headers={"content-type": "application/json"}, body=body)


def main():
    """Run the fake store on one address."""
    parser = ArgumentParser(description=main.__doc__)
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    args = parser.parse_args()
    run(tcp_server, args.host, args.port, TableStoreStandin().serve)


if __name__ == "__main__":
    main()
