"""Fake target for entry VMs, with slots, injected faults and a run record.

``POST /switch`` with a msgpack map sets: ``service_s`` (seconds per request),
``health`` (``ready``, ``draining`` or ``starting``), ``lie`` (always report ready),
``fail`` (respond with 500), ``shed`` (respond with 503), ``cut`` (close in the middle
of the response), ``cold_s`` (extra seconds of the first ``cold_requests``),
``cancel_s`` (seconds until a cancelled request releases its slot) and ``lost`` (abort
every request, also those in flight; only ``/switch`` and ``/record`` work).
``GET /health`` returns the health and ``GET /load`` the slots in use. ``GET /record``
returns ``runs``, ``in_flight``, the highest numbers of requests in flight (``peak``)
and of connections, the slot-seconds over the limit (``over``) and the number of
incomplete uploads (``cut_uploads``).
"""

import time
from argparse import ArgumentParser
from hashlib import sha256

import h11
import msgpack
from curio import TaskGroup, run, sleep, spawn, tcp_server

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    HttpStream,
    Message,
    read_body,
    send_response,
)

DEADLINE_HEADER = b"heathercleat-deadline"
MAX_RECORDED_RUNS = 100_000
MAX_SWITCH_BYTES = 4096


class TargetStandin:
    """One target with a fixed number of slots.

    :param name: its name in responses.
    :param slots: the limit of concurrent requests; more are run but recorded.
    """

    def __init__(self, name, slots):
        self._name = name
        self._slots = slots
        self._in_flight = 0
        self._peak = 0
        self._over_slot_seconds = 0.0
        self._last_change = time.monotonic()
        self._connections = 0
        self._peak_connections = 0
        self._runs = []
        self._streams = set()
        self._cut_uploads = 0
        self._switches = {
            "service_s": 0.005,
            "health": "ready",
            "lie": False,
            "fail": False,
            "shed": False,
            "cut": False,
            "cold_s": 0.0,
            "cold_requests": 0,
            "cancel_s": 0.0,
            "lost": False,
            "load_lag": 0,
        }

    async def serve(self, sock, address):
        """Serve requests on one connection."""
        stream = HttpStream(sock, h11.SERVER)
        self._connections += 1
        self._peak_connections = max(self._peak_connections, self._connections)
        try:
            while await self._serve_one(stream):
                pass
        except CONNECTION_ERRORS:
            pass
        finally:
            self._connections -= 1

    async def _serve_one(self, stream):
        event = await stream.next_event()
        if isinstance(event, h11.ConnectionClosed):
            return False
        path = event.target.decode()
        headers = dict(event.headers)
        if self._switches["lost"] and path not in ("/switch", "/record"):
            stream.abort()
            return False
        if path in ("/switch", "/record", "/health", "/load"):
            body = await read_body(stream, MAX_SWITCH_BYTES)
            await send_response(stream, self._control(path, body))
        else:
            await self._serve_request(stream, event, headers)
        return stream.next_cycle()

    async def _serve_request(self, stream, event, headers):
        self._add_in_flight(+1)
        self._streams.add(stream)
        unfinished = True
        try:
            body, digest = await self._read(stream)
            refusal = self._refusal(headers)
            if refusal is not None:
                unfinished = False
                await send_response(stream, refusal)
                return
            self._record(event, headers, digest)
            has_disconnected = await self._work(stream)
            if has_disconnected:
                stream.abort()
                return
            unfinished = False
            await self._respond(stream, event, body, digest)
        finally:
            self._streams.discard(stream)
            if unfinished and self._switches["cancel_s"]:
                await spawn(self._release_later, daemon=True)
            else:
                self._add_in_flight(-1)

    async def _release_later(self):
        await sleep(self._switches["cancel_s"])
        self._add_in_flight(-1)

    async def _read(self, stream):
        digest, size = sha256(), 0
        while True:
            event = await stream.next_event()
            if isinstance(event, h11.EndOfMessage):
                return size, digest.hexdigest()
            if not isinstance(event, h11.Data):
                self._cut_uploads += 1
                raise EOFError("the body was cut short")
            digest.update(event.data)
            size += len(event.data)

    def _refusal(self, headers):
        deadline = headers.get(DEADLINE_HEADER)
        if deadline is not None and float(deadline) < time.time():
            return Message(status=503, headers={"target-refusal": "deadline"})
        if self._switches["shed"]:
            return Message(status=503, headers={"target-refusal": "shed"})
        return None

    def _record(self, event, headers, digest):
        if len(self._runs) < MAX_RECORDED_RUNS:
            key = headers.get(b"idempotency-key", b"").decode()
            path = event.target.decode()
            self._runs.append([event.method.decode(), path, key, digest])

    async def _work(self, stream):
        """Sleep for the service time; return whether the caller disconnected."""
        seconds = self._switches["service_s"]
        if self._switches["cold_requests"]:
            self._switches["cold_requests"] -= 1
            seconds += self._switches["cold_s"]
        async with TaskGroup(wait=any) as group:
            work = await group.spawn(sleep, seconds)
            await group.spawn(stream.wait_closed)
        return group.completed is not work

    async def _respond(self, stream, event, size, digest):
        if self._switches["fail"]:
            await send_response(stream, Message(status=500, body=b"failed"))
            return
        body = f"{self._name} {event.method.decode()} {size} {digest}\n".encode()
        if self._switches["cut"]:
            headers = [("content-length", str(len(body) + 100))]
            await stream.send(h11.Response(status_code=200, headers=headers))
            await stream.send(h11.Data(data=body))
            stream.abort()
            return
        await send_response(stream, Message(body=body, headers={"target": self._name}))

    def _control(self, path, body):
        if path == "/switch":
            self._switches.update(msgpack.unpackb(body))
            if self._switches["lost"]:
                self._abort_all()
            return Message()
        if path == "/health":
            state = "ready" if self._switches["lie"] else self._switches["health"]
            return Message(body=msgpack.packb({"state": state}))
        self._add_in_flight(0)
        if path == "/load":
            return Message(
                body=msgpack.packb({"in_flight": self._in_flight, "slots": self._slots})
            )
        record = {
            "runs": self._runs,
            "peak": self._peak,
            "over": self._over_slot_seconds,
            "in_flight": self._in_flight,
            "cut_uploads": self._cut_uploads,
            "peak_connections": self._peak_connections,
        }
        return Message(body=msgpack.packb(record))

    def _abort_all(self):
        for stream in self._streams:
            stream.abort()

    def _add_in_flight(self, step):
        now = time.monotonic()
        over = max(0, self._in_flight - self._slots)
        self._over_slot_seconds += over * (now - self._last_change)
        self._last_change = now
        self._in_flight += step
        self._peak = max(self._peak, self._in_flight)


def main():
    """Run targets given as ``name=host:port:slots`` in one process."""
    parser = ArgumentParser(description=main.__doc__)
    parser.add_argument("targets", nargs="+")
    run(_serve_all, parser.parse_args().targets)


async def _serve_all(targets):
    async with TaskGroup() as group:
        for spec in targets:
            name, _, address = spec.partition("=")
            host, port, slots = address.split(":")
            target = TargetStandin(name, int(slots))
            await group.spawn(tcp_server, host, int(port), target.serve)


if __name__ == "__main__":
    main()
