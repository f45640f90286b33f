"""Bytes of request bodies that each target holds."""

#: Limit in bytes for each target. The requests of 9 slots with the largest usual body,
#: 360 KB, are 3.2 MB.
MAX_TARGET_BYTES = 4 << 20


class TargetBodies:
    """Limits the request bodies that a target holds, since a full one crashes.

    A request that exceeds the limit by itself is sent if the target holds no other.
    """

    __slots__ = ("_held",)

    def __init__(self):
        self._held = {}

    def reserve(self, target, size):
        """Count a body; return ``False`` if it must not be sent now.

        :param target: id of the incarnation.
        """
        held = self._held.get(target, 0)
        if size and held and held + size > MAX_TARGET_BYTES:
            return False
        if size:
            self._held[target] = held + size
        return True

    def release(self, target, size):
        """Release a body that :meth:`reserve` counted."""
        if not size:
            return
        held = self._held[target] - size
        if held:
            self._held[target] = held
        else:
            del self._held[target]
