"""Limits on the memory for buffered bodies of requests and responses."""

#: Fraction of the process memory that bodies of requests may use.
BODY_MEMORY_SHARE = 0.25
#: The same for bodies of responses that are being read. The rest covers socket buffers,
#: and 40 MB for the program.
RESPONSE_MEMORY_SHARE = 0.35
#: Bytes of each response that are not counted, so that small responses are not lost
#: beside large ones. The slots of the targets limit their number.
UNCOUNTED_BYTES = 64 << 10


class BodyMemory:
    """Memory reserved for the bodies of requests in progress.

    :param memory: memory limit of the process, in bytes.
    """

    __slots__ = ("_limit", "_reserved")

    def __init__(self, memory):
        self._limit = BODY_MEMORY_SHARE * memory
        self._reserved = 0

    @property
    def responses(self):
        """Return ``None``: responses are not counted."""
        return None

    @property
    def reserved(self):
        """Return the reserved bytes."""
        return self._reserved

    def reserve(self, size):
        """Reserve ``size`` bytes; return ``False`` if the limit would be exceeded."""
        if self._reserved + size > self._limit:
            return False
        self._reserved += size
        return True

    def release(self, size):
        """Release ``size`` reserved bytes."""
        self._reserved -= size


class ResponseBuffers:
    """Memory for the bodies of responses that are being read from targets.

    :param memory: memory limit of the process, in bytes.
    """

    __slots__ = ("_limit", "_reserved")

    def __init__(self, memory):
        self._limit = RESPONSE_MEMORY_SHARE * memory
        self._reserved = 0

    @property
    def reserved(self):
        """Return the counted bytes."""
        return self._reserved

    def new_buffer(self):
        """Return an empty :class:`ResponseBuffer`."""
        return ResponseBuffer(self)

    def reserve(self, size):
        """Count ``size`` bytes more.

        :raises ValueError: if the limit would be exceeded.
        """
        if self._reserved + size > self._limit:
            raise ValueError("no memory for the rest of the body")
        self._reserved += size

    def release(self, size):
        """Count ``size`` bytes less."""
        self._reserved -= size


class ResponseBuffer:
    """The received part of one body; a context manager that releases its memory."""

    __slots__ = ("_buffers", "_chunks", "_size", "_reserved")

    def __init__(self, buffers):
        self._buffers = buffers
        self._chunks = []
        self._size = 0
        self._reserved = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._buffers.release(self._reserved)

    def __bytes__(self):
        return b"".join(self._chunks)

    def append(self, data):
        """Add bytes at the end.

        :raises ValueError: if there is no memory for them.
        """
        self._size += len(data)
        counted = max(0, self._size - UNCOUNTED_BYTES)
        self._buffers.reserve(counted - self._reserved)
        self._reserved = counted
        self._chunks.append(bytes(data))
