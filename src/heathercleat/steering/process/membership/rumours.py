"""Which news this VM still has to pass on."""

#: Seconds for which a piece of news is told in heartbeats: each VM tells it to all that
#: it sends heartbeats to some ten times, so that lost datagrams do not matter.
TELL_SECONDS = 1.6
#: Pieces of news in one heartbeat: 48 of 80 bytes leave room for reports in a datagram.
MOST_AT_ONCE = 48


class Rumours:
    """The names of the VMs of which there is something new to tell."""

    __slots__ = ("_clock", "_until")

    def __init__(self, clock):
        self._clock = clock
        self._until = {}

    def add(self, vm):
        """Begin to tell of a VM, or do so for longer."""
        self._until.pop(vm, None)
        self._until[vm] = self._clock.now() + TELL_SECONDS

    def current(self):
        """Return the names of the VMs to tell of, the latest news first."""
        now = self._clock.now()
        expired = [vm for vm, until in self._until.items() if until <= now]
        for vm in expired:
            del self._until[vm]
        return list(reversed(self._until))[:MOST_AT_ONCE]
