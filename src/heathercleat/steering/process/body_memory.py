"""A limit on the memory for buffered request bodies."""

#: Fraction of the process memory that bodies may use. The rest covers as many bytes
#: again in socket buffers, and 40 MB for the program.
BODY_MEMORY_SHARE = 0.25


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
