"""Clients of a run: asyncio connections that record what they sent and received."""

import asyncio
import os
import time

HOST = "a.example"


class Connection:
    """One client connection; it is kept for many requests."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.served = 0
        self.reader = self.writer = None

    async def open(self):
        """Connect; clients allow a second for this."""
        opening = asyncio.open_connection(self.ip, self.port, limit=1 << 20)
        self.reader, self.writer = await asyncio.wait_for(opening, 1.0)

    async def exchange(self, sent, wait_s, body=b"", chunks=None, pace=None, raw=False):
        """Send a request and record the answer in ``sent``.

        :param sent: a dictionary with ``id``, ``method`` and ``path``.
        :param chunks: pieces of a chunked body, in place of ``body``.
        :param pace: seconds between the starts of two pieces.
        :param raw: whether the pieces have their chunk headers already.
        """
        sent["at"] = time.monotonic()
        sent["kept"] = self.served > 0
        lines = [
            f"{sent['method']} {sent['path']} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {sent['id']}",
            f"Deadline-Ms: {round(wait_s * 1000)}",
        ]
        if chunks is not None:
            lines.append("Transfer-Encoding: chunked")
        elif body or sent["method"] != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        try:
            answer = self._exchange(head + body, chunks, pace, raw)
            status, headers = await asyncio.wait_for(answer, wait_s + 0.5)
        except TimeoutError:
            sent["answer"] = "none in time"
        except (OSError, EOFError, asyncio.IncompleteReadError, ValueError) as error:
            sent["answer"] = f"closed: {type(error).__name__}"
        else:
            sent["answer"] = status
            self.served += 1
        sent["answered_at"] = time.monotonic()
        is_reusable = isinstance(sent["answer"], int) and "close" not in headers.get(
            "connection", ""
        )
        if not is_reusable:
            self.close()
        return is_reusable

    async def _exchange(self, data, chunks, pace, raw):
        self.writer.write(data)
        if chunks is not None:
            await self._send_chunks(chunks, pace, raw)
        await self.writer.drain()
        raw = await self.reader.readuntil(b"\r\n\r\n")
        first, *rest = raw.decode("latin-1").split("\r\n")
        pairs = (line.split(":", 1) for line in rest if line)
        headers = {name.lower(): value.strip() for name, value in pairs}
        await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(first.split(" ")[1]), headers

    async def _send_chunks(self, chunks, pace, raw):
        next_at = time.monotonic()
        for piece in chunks:
            framed = piece if raw else b"%x\r\n" % len(piece) + piece + b"\r\n"
            self.writer.write(framed)
            await self.writer.drain()
            if pace:
                next_at += pace
                await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            if self.reader.at_eof():
                raise EOFError
        self.writer.write(b"0\r\n\r\n")

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def new_id():
    """Return the id of a client attempt."""
    return os.urandom(8).hex()


async def keep_sending(vm, port, make, wait_s, pause_s, log, ends_at, start_after=0.0):
    """Send requests on a kept connection; open another one after each close.

    :param make: returns ``(method, path, body, chunks, pace)``.
    """
    await asyncio.sleep(start_after)
    connection = None
    while time.monotonic() < ends_at:
        if connection is None:
            connection = Connection(vm.ip, port)
            try:
                await connection.open()
            except (TimeoutError, OSError):
                connection = None
                await asyncio.sleep(0.1)
                continue
        method, path, body, chunks, pace = make()
        sent = {"id": new_id(), "vm": vm.name, "method": method, "path": path}
        log.append(sent)
        if not await connection.exchange(sent, wait_s, body, chunks, pace):
            connection = None
        await asyncio.sleep(pause_s)
    if connection is not None:
        connection.close()
