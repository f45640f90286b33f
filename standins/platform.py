"""Fake platform for entry VMs: table service, object store and VM list.

``POST /switch`` with a msgpack map sets faults: ``down`` (bool), ``slow_s`` (seconds
of delay per response), ``lose_replies`` (number of writes that take effect without a
response), ``stale_reads_s`` (age of the data that reads return) and ``vm_lag_s`` (age
of the VM list). ``POST /vm`` with ``[name, host, failure_domain, leaving]`` changes
the VM list; ``leaving`` of ``None`` removes the VM. ``GET /counts`` returns the number
of ``reads`` and ``writes``.
"""

import time
from argparse import ArgumentParser
from urllib.parse import parse_qs, unquote, urlsplit

import h11
import msgpack
from curio import run, sleep, tcp_server

from heathercleat.connection.http import HttpStream, Message, serve_requests

MAX_BODY_BYTES = 64 * 1024 * 1024


class PlatformStandin:
    """The state of the platform, in memory."""

    def __init__(self):
        self._rows = {}
        self._objects = {}
        self._vms = {}
        self._vm_history = [(0.0, 0, [])]
        self._serial = 0
        self._switches = {
            "down": False,
            "slow_s": 0.0,
            "lose_replies": 0,
            "stale_reads_s": 0.0,
            "vm_lag_s": 0.0,
        }
        self._counts = {"reads": 0, "writes": 0}

    async def serve(self, sock, address):
        """Serve requests on one connection."""
        stream = HttpStream(sock, h11.SERVER)

        async def handle(message):
            return await self._handle(stream, message)

        await serve_requests(stream, handle, MAX_BODY_BYTES)

    async def _handle(self, stream, message):
        url = urlsplit(message.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        control = self._control(url.path, message)
        if control is not None:
            return control
        if self._switches["slow_s"]:
            await sleep(self._switches["slow_s"])
        if self._switches["down"]:
            return Message(status=503)
        response = self._respond(url.path, query, message)
        if message.method != "GET" and self._switches["lose_replies"]:
            self._switches["lose_replies"] -= 1
            stream.abort()
        return response

    def _control(self, path, message):
        if path == "/switch":
            self._switches.update(msgpack.unpackb(message.body))
            return Message()
        if path == "/counts":
            return Message(body=msgpack.packb(self._counts))
        if path == "/vm":
            name, host, domain, leaving = msgpack.unpackb(message.body)
            self._vms.pop(name, None)
            if leaving is not None:
                self._vms[name] = [name, host, domain, leaving]
            self._serial += 1
            entries = list(self._vms.values())
            self._vm_history.append((time.time(), self._serial, entries))
            return Message()
        return None

    def _respond(self, path, query, message):
        self._counts["reads" if message.method == "GET" else "writes"] += 1
        if path == "/table/transaction":
            return self._transact(msgpack.unpackb(message.body))
        if path == "/table/row":
            row = self._row(query["key"])
            if row is None:
                return Message(status=404)
            return Message(body=msgpack.packb([query["key"], *row]))
        if path == "/table/range":
            keys = sorted(key for key in self._rows if key.startswith(query["prefix"]))
            keys = keys[: int(query.get("limit", len(keys)))]
            rows = [[key, *self._rows[key][-1][1:]] for key in keys]
            return Message(body=msgpack.packb(rows))
        if path.startswith("/objects/"):
            return self._object(unquote(path.removeprefix("/objects/")), message)
        if path == "/vms":
            return self._list_vms(int(query["since"]))
        return Message(status=400)

    def _row(self, key):
        """Return ``(value, version)`` of a row, or ``None``; reads may be stale."""
        newest_visible = time.time() - self._switches["stale_reads_s"]
        lagging = self._switches["stale_reads_s"]
        for at, value, version in reversed(self._rows.get(key, ())):
            if at <= newest_visible or not lagging:
                return value, version
        return None

    def _transact(self, body):
        conflicts = [
            key for key, version in body["conditions"] if self._version(key) != version
        ]
        if conflicts:
            return Message(status=409, body=msgpack.packb({"conflicts": conflicts}))
        for key, value in body["writes"]:
            if value is None:
                self._rows.pop(key, None)
                continue
            history = self._rows.setdefault(key, [])
            history.append((time.time(), value, self._version(key) + 1))
            del history[:-16]
        return Message(body=msgpack.packb({"conflicts": []}))

    def _version(self, key):
        history = self._rows.get(key)
        return history[-1][2] if history else 0

    def _object(self, key, message):
        if message.method == "PUT":
            self._objects[key] = message.body
            return Message()
        if key not in self._objects:
            return Message(status=404)
        return Message(body=self._objects[key])

    def _list_vms(self, since):
        newest_visible = time.time() - self._switches["vm_lag_s"]
        seen = [entry for entry in self._vm_history if entry[0] <= newest_visible]
        _, serial, entries = seen[-1]
        body = [serial, None if serial == since else entries]
        return Message(body=msgpack.packb(body))


def main():
    """Run the fake platform on one address."""
    parser = ArgumentParser(description=main.__doc__)
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    args = parser.parse_args()
    run(tcp_server, args.host, args.port, PlatformStandin().serve)


if __name__ == "__main__":
    main()
