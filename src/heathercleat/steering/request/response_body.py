"""Reads bodies into reserved memory, and keeps them in chunks."""

from collections import deque

import h11

from heathercleat.connection.http import read_body
from heathercleat.request.headers import find
from heathercleat.steering.process.memory.responses import STEP_BYTES

#: Size of a chunk in bytes. Written chunks are freed, and chunks of one size leave no
#: gaps in the allocator's memory.
CHUNK_BYTES = 64 << 10


class ChunkedBody:
    """A body in chunks, which can be freed one by one."""

    __slots__ = ("_chunks", "_size")

    def __init__(self):
        self._chunks = deque()
        self._size = 0

    def __len__(self):
        return self._size

    def __bytes__(self):
        return b"".join(self._chunks)

    def append(self, data):
        """Add bytes at the end."""
        self._size += len(data)
        with memoryview(data) as view:
            while view:
                if not self._chunks or len(self._chunks[-1]) >= CHUNK_BYTES:
                    self._chunks.append(bytearray())
                room = CHUNK_BYTES - len(self._chunks[-1])
                self._chunks[-1] += view[:room]
                view = view[room:]

    def consume(self):
        """Yield the chunks; each is freed when the next one is requested."""
        while self._chunks:
            yield self._chunks.popleft()
        self._size = 0


async def read_response_body(
    stream, call, headers, limit, is_learned=True, buffers=None
):
    """Return the body of a response.

    It is read into the memory that is reserved for it; waits for more if needed.

    :param call: the :class:`Call`; its ``reservation`` may be ``None``.
    :param headers: headers of the response.
    :param limit: maximum size in bytes.
    :param is_learned: whether to expect the size of later responses of the route.
    :param buffers: the :class:`ResponseBuffers`, which limit the memory of responses
        without a reservation; ``None`` for no limit.
    :raises ValueError: if the body is too large.
    :raises TimeoutError: if there is no memory until the deadline.
    """
    reservation = call.reservation
    declared = find(headers, "content-length")
    length = int(declared or 0)
    if call.method == b"HEAD":
        length, is_learned = 0, False
    if length > limit:
        raise ValueError(f"the body is larger than {limit} bytes")
    if reservation is None:
        return await _read_counted(stream, limit, buffers)
    if is_learned and declared is not None:
        reservation.learn(length)
    await reservation.hold(length, call.deadline)
    body = ChunkedBody()
    async for data in body_chunks(stream, limit):
        await reservation.hold(len(body) + len(data), call.deadline, STEP_BYTES)
        body.append(data)
    if is_learned and declared is None:
        reservation.learn(len(body))
    return body


async def _read_counted(stream, limit, buffers):
    if buffers is None:
        return await read_body(stream, limit)
    with buffers.new_buffer() as buffer:
        async for data in body_chunks(stream, limit):
            buffer.append(data)
        return bytes(buffer)


async def body_chunks(stream, limit):
    """Yield the data of the body of the current message.

    :param limit: maximum size in bytes.
    :raises ValueError: if the body is larger.
    """
    size = 0
    while not isinstance(event := await stream.next_event(), h11.EndOfMessage):
        if not isinstance(event, h11.Data):
            raise EOFError("the body was cut short")
        size += len(event.data)
        if size > limit:
            raise ValueError(f"the body is larger than {limit} bytes")
        yield event.data


async def discard_body(stream, limit):
    """Read the rest of a body without keeping it."""
    async for _ in body_chunks(stream, limit):
        pass
