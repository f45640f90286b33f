"""Sound upstreams: slots, a short queue, runs of a set length, and a record.

Usage: upstreams.py CONTROL_HOST:PORT ID=HOST:PORT:SLOTS ...

The control address takes ``POST /switch`` with ``{"ids": [...], "work_s": {service path
prefix: seconds}, "slow_x": factor}`` and returns all runs on ``GET /record``.
"""

import asyncio
import hashlib
import json
import sys
import time

QUEUE_LENGTH = 12
READ_BYTES = 1 << 18


class Upstream:
    """One upstream with its slots."""

    def __init__(self, name, slots, record):
        self.name, self.slots, self.record = name, slots, record
        self.work = {}
        self.slow_x = 1.0
        self.running = 0
        self.waiting = []

    async def serve(self, reader, writer):
        """Serve requests on one connection, one at a time."""
        try:
            while (head := await read_head(reader)) is not None:
                if not await self.serve_one(head, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def serve_one(self, head, reader, writer):
        """Serve one request; return whether the connection can be kept."""
        method, path, headers = head
        digest, size = hashlib.sha256(), int(headers.get("content-length", 0))
        left = size
        while left:
            data = await reader.read(min(left, READ_BYTES))
            if not data:
                return False
            digest.update(data)
            left -= len(data)
        if path == "/health":
            respond(writer, 200, {"Instance-Id": self.name}, b"")
            return True
        request_id = headers["request-id"]
        base = {"Request-Id": request_id}
        if headers.get("expected-instance", self.name) != self.name:
            respond(writer, 421, {**base, "Instance-Id": self.name}, b"")
            return True
        deadline = time.monotonic() + int(headers.get("deadline-ms", 30000)) / 1000
        if not await self.take_slot(deadline):
            respond(writer, 503, {**base, "Not-Executed": "1"}, b"")
            return True
        run = {
            "id": request_id,
            "upstream": self.name,
            "path": path,
            "began": time.monotonic(),
            "bytes": size,
            "ended": None,
            "status": None,
        }
        self.record.append(run)
        seconds = self.slow_x * next(
            (each for prefix, each in self.work.items() if path.startswith(prefix)), 0.1
        )
        try:
            # Like most upstreams, this one drops a request whose connection closes.
            ended = time.monotonic() + seconds
            while (now := time.monotonic()) < min(ended, deadline):
                if reader.at_eof():
                    run["status"] = "dropped"
                    return False
                await asyncio.sleep(min(0.02, min(ended, deadline) - now))
            status = 200 if time.monotonic() >= ended else 504
            run["ended"], run["status"] = time.monotonic(), status
        finally:
            self.free_slot()
        load = f"{self.running},{len(self.waiting)},{self.slots}"
        body = digest.hexdigest().encode()
        signed = {**base, "Response-Signature": "x.1", "Server-Load": load}
        respond(writer, status, signed, body)
        await writer.drain()
        return True

    async def take_slot(self, deadline):
        """Wait for a slot; return whether there was one."""
        if self.running < self.slots:
            self.running += 1
            return True
        if len(self.waiting) >= QUEUE_LENGTH:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await asyncio.wait_for(turn, max(0.0, deadline - time.monotonic()))
            return True
        except (TimeoutError, asyncio.CancelledError):
            if turn in self.waiting:
                self.waiting.remove(turn)
            return False

    def free_slot(self):
        """Give the slot to the next in the queue, or free it."""
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


async def read_head(reader):
    """Return ``(method, path, headers)``, or ``None`` at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    pairs = (line.split(":", 1) for line in lines if line)
    return method, path, {name.lower(): value.strip() for name, value in pairs}


def respond(writer, status, headers, body):
    """Write a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)


async def main(control, specs):
    """Serve all upstreams and the control address."""
    record, upstreams = [], {}
    for spec in specs:
        name, _, rest = spec.partition("=")
        host, port, slots = rest.split(":")
        upstreams[name] = Upstream(name, int(slots), record)
        await asyncio.start_server(
            upstreams[name].serve, host, int(port), limit=1 << 20, backlog=512
        )

    async def serve_control(reader, writer):
        method, path, headers = await read_head(reader)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        answer = record
        if method == "POST":
            order = json.loads(body)
            for name in order.get("ids", upstreams):
                upstreams[name].work = order.get("work_s", upstreams[name].work)
                upstreams[name].slow_x = order.get("slow_x", upstreams[name].slow_x)
            answer = {}
        respond(writer, 200, {"Connection": "close"}, json.dumps(answer).encode())
        await writer.drain()
        writer.close()

    host, port = control.split(":")
    server = await asyncio.start_server(serve_control, host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2:]))
