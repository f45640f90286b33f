"""A bound on the memory for request bodies, which are held whole."""

#: Part of the process's memory that bodies may take: what is left covers as many
#: bytes again in sockets, and 40 MB for the program.
BODY_MEMORY_SHARE = 0.25


class BodyMemory:
    """Bytes held for the bodies of requests under way.

    :param memory: bytes that the process may use.
    """

    __slots__ = ("_limit", "_held")

    def __init__(self, memory):
        self._limit = BODY_MEMORY_SHARE * memory
        self._held = 0

    @property
    def held(self):
        """Return the bytes held now."""
        return self._held

    def take(self, size):
        """Hold ``size`` bytes more; return whether there is room for them."""
        if self._held + size > self._limit:
            return False
        self._held += size
        return True

    def give(self, size):
        """Hold ``size`` bytes less."""
        self._held -= size
