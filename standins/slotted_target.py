"""Fake target for steering VMs, with slots, injected faults and a run record.

``POST /switch`` with a JSON object sets: ``work_s`` (seconds per request), ``id``
(instance id), ``shed`` (share of requests refused), ``status`` (of responses), ``cut``
(close in the middle of the response), ``stray`` (send a response to another request
first), ``unsigned`` (omit the signature), ``encoded`` (add a content encoding),
``lose`` (run the request, then reset the connection), ``learning_x`` (factor of the
work for an object that is not cached) and ``remembers`` (number of objects cached).
``GET /record`` returns ``runs``, ``spans`` (request id, start and planned end of each
run), ``identities`` (request id, workspace names and keys that each run received),
``most`` (the highest number of requests in flight), ``shed`` (number of requests
refused), ``arrivals`` (request id, instant and IP address of the sender of each
request) and ``ends`` (instant and path of each request that crashed the target).
Instants are seconds of ``time.monotonic()``.

``limit`` is named in each response as the requests per second that the target accepts.
``leaving`` makes each response say that the target shuts down soon. ``rest_s`` is the
time for which a refusal asks for no requests, in seconds. ``slowdown`` multiplies the
work and is the fourth field of the load in responses, in percent.

``read_pause_s`` is the time before the body of a request is read, in seconds. A request
with the query ``?bytes=N`` gets a response of at least N bytes.

``fatal`` lists paths whose requests crash the target: all its connections are reset and
new ones refused. After ``down_s`` seconds it starts as a new incarnation and writes
``entry`` under its new id to the table store at ``store`` (host and port). ``end``
crashes it at once.
"""

import json
import time
from argparse import ArgumentParser
from collections import OrderedDict
from hashlib import sha256
from itertools import count

import h11
from curio import Event as Signal
from curio import TaskGroup, run, sleep, spawn, tcp_server

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    HttpStream,
    Message,
    connect,
    exchange,
    read_body,
)
from heathercleat.platform.wire_names import (
    DEADLINE_MS,
    EXPECTED_INSTANCE,
    LEAVING,
    NOT_EXECUTED,
    RATE_LIMIT,
    REQUEST_ID,
    RESPONSE_SIGNATURE,
    RETRY_AFTER,
    TARGET_LOAD,
    TARGET_TABLE,
    WORKSPACE_KEY,
    WORKSPACE_NAME,
)
from heathercleat.process.clock import SystemClock

MAX_BODY_BYTES = 16 << 20
#: Timeout of a write to the store.
STORE_TIMEOUT_SECONDS = 5.0


class SlottedTarget:
    """One target with a fixed number of slots."""

    def __init__(self, instance, slots):
        self._slots = slots
        self._running = 0
        self._peak = 0
        self._runs = []
        self._spans = []
        self._identities = []
        self._shed = 0
        self._arrivals = []
        self._switches = {
            "id": instance,
            "work_s": 0.02,
            "read_pause_s": 0.0,
            "shed": 0.0,
            "status": 200,
            "cut": False,
            "stray": False,
            "unsigned": False,
            "encoded": False,
            "lose": False,
            "learning_x": 1.0,
            "remembers": 24,
            "limit": None,
            "leaving": False,
            "rest_s": None,
            "slowdown": None,
            "fatal": [],
            "down_s": 2.0,
            "store": None,
            "entry": None,
        }
        self._cached_objects = OrderedDict()
        self._next_ids = (f"{instance}.{start}" for start in count(2))
        self._crash_signal = Signal()
        #: ``[instant, path]`` of every request that crashed it.
        self._crashes = []

    async def serve_forever(self, host, port):
        """Serve at an address, with a restart after each crash."""
        while True:
            server = await spawn(tcp_server, host, port, self.serve)
            await self._crash_signal.wait()
            self._crash_signal.clear()
            await server.cancel()
            await sleep(self._switches["down_s"])
            await self._restart()

    async def _restart(self):
        """Start a new incarnation with an empty object cache."""
        self._running = 0
        self._cached_objects.clear()
        previous, self._switches["id"] = self._switches["id"], next(self._next_ids)
        await self._announce(previous, None)
        await self._announce(self._switches["id"], self._switches["entry"])

    async def _announce(self, instance, entry):
        clock = SystemClock()
        deadline = clock.now() + STORE_TIMEOUT_SECONDS
        stream = await connect(*self._switches["store"], deadline, clock)
        body = json.dumps([TARGET_TABLE, instance, entry]).encode()
        message = Message(method="POST", path="/put", body=body)
        await exchange(stream, message, MAX_BODY_BYTES)
        await stream.close()

    async def serve(self, sock, address):
        """Serve requests on one connection."""
        stream = HttpStream(sock, h11.SERVER)
        try:
            while await self._serve_one(stream, address[0]):
                pass
        except CONNECTION_ERRORS:
            return

    async def _serve_one(self, stream, sender):
        head = await stream.next_event()
        if not isinstance(head, h11.Request):
            return False
        await sleep(self._switches["read_pause_s"])
        body = await read_body(stream, MAX_BODY_BYTES)
        if head.target == b"/switch":
            changes = json.loads(body)
            must_crash = changes.pop("end", False)
            self._switches.update(changes)
            await self._send(stream, 200, [], b"")
            if must_crash:
                await self._crash_signal.set()
        elif head.target == b"/record":
            record = {
                "runs": self._runs,
                "spans": self._spans,
                "identities": self._identities,
                "most": self._peak,
                "shed": self._shed,
                "arrivals": self._arrivals,
                "ends": self._crashes,
            }
            await self._send(stream, 200, [], json.dumps(record).encode())
        else:
            await self._serve_request(stream, head, body, sender)
        return stream.next_cycle()

    async def _serve_request(self, stream, head, body, sender):
        headers = dict(head.headers)
        id_header = [(REQUEST_ID, headers.get(REQUEST_ID, b""))]
        instance = self._switches["id"].encode()
        if headers.get(EXPECTED_INSTANCE, instance) != instance:
            await self._send(stream, 421, id_header, b"")
            return
        self._arrivals.append([headers[REQUEST_ID].decode(), time.monotonic(), sender])
        if self._must_shed():
            self._shed += 1
            refusal = [*id_header, (NOT_EXECUTED, b"1"), *self._notices()]
            if self._switches["rest_s"] is not None:
                refusal.append((RETRY_AFTER, str(self._switches["rest_s"]).encode()))
            await self._send(stream, 503, refusal, b"")
            return
        self._running += 1
        self._peak = max(self._peak, self._running)
        self._runs.append(
            [
                headers[REQUEST_ID].decode(),
                head.target.decode(),
                int(headers[DEADLINE_MS]),
                sha256(body).hexdigest(),
            ]
        )
        self._identities.append(
            [
                headers[REQUEST_ID].decode(),
                [v.decode() for name, v in head.headers if name == WORKSPACE_NAME],
                [v.decode() for name, v in head.headers if name == WORKSPACE_KEY],
            ]
        )
        path = head.target.decode()
        if path in self._switches["fatal"]:
            self._crashes.append([time.monotonic(), path])
            await self._crash_signal.set()
        work = self._work_seconds(headers.get(b"cookie"))
        now = time.monotonic()
        self._spans.append([headers[REQUEST_ID].decode(), now, now + work])
        try:
            await sleep(work)
        finally:
            self._running -= 1
        await self._respond(stream, id_header, body, _requested_bytes(path))

    def _work_seconds(self, object_key):
        """Return the seconds of work for an object, and cache the object."""
        is_cached = object_key in self._cached_objects
        self._cached_objects[object_key] = None
        self._cached_objects.move_to_end(object_key)
        while len(self._cached_objects) > self._switches["remembers"]:
            self._cached_objects.popitem(last=False)
        return (
            self._switches["work_s"]
            * (1.0 if is_cached else self._switches["learning_x"])
            * (self._switches["slowdown"] or 100)
            / 100
        )

    def _must_shed(self):
        share = self._switches["shed"]
        total = len(self._runs) + self._shed + 1
        return self._running >= self._slots or self._shed < share * total

    def _notices(self):
        """Yield the headers that ask something of the callers."""
        limit = self._switches["limit"]
        if limit is not None:
            yield RATE_LIMIT, str(limit).encode()
        if self._switches["leaving"]:
            yield LEAVING, b"1"

    async def _respond(self, stream, id_header, body, size):
        load = f"{self._running},0,{self._slots}".encode()
        if self._switches["slowdown"] is not None:
            load += f",{self._switches['slowdown']}".encode()
        headers = [*id_header, (TARGET_LOAD, load), *self._notices()]
        if not self._switches["unsigned"]:
            headers.append((RESPONSE_SIGNATURE, b"signed"))
        if self._switches["encoded"]:
            headers.append((b"content-encoding", b"x-other"))
        if self._switches["lose"]:
            stream.abort()
            return
        if self._switches["stray"]:
            stray = [(REQUEST_ID, b"another"), (RESPONSE_SIGNATURE, b"signed")]
            await stream.socket.sendall(_raw(200, stray, b"stray"))
        digest = sha256(body).hexdigest().encode()
        digest += bytes(max(0, size - len(digest)))
        if self._switches["cut"]:
            data = _raw(200, headers, digest)
            await stream.socket.sendall(data[:-10])
            stream.abort()
            return
        await self._send(stream, self._switches["status"], headers, digest)

    async def _send(self, stream, status, headers, body):
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        events = [h11.Response(status_code=status, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        await stream.send(*events, h11.EndOfMessage())


def _requested_bytes(path):
    """Return the size of the response that a request asks for; 0 for the usual one."""
    _, _, size = path.partition("?bytes=")
    return int(size or 0)


def _raw(status, headers, body):
    """Return the bytes of a response."""
    lines = [b"HTTP/1.1 %d X" % status]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def serve_all(specs):
    """Serve targets given as ``id=host:port:slots``."""
    async with TaskGroup() as group:
        for spec in specs:
            instance, _, endpoint = spec.partition("=")
            host, port, slots = endpoint.split(":")
            target = SlottedTarget(instance, int(slots))
            await group.spawn(target.serve_forever, host, int(port))


def main():
    """Run targets until killed."""
    parser = ArgumentParser(description=main.__doc__)
    parser.add_argument("targets", nargs="+", metavar="ID=HOST:PORT:SLOTS")
    run(serve_all, parser.parse_args().targets)


if __name__ == "__main__":
    main()
