"""News that this VM still has to pass on."""

#: News is sent for this many heartbeat intervals, so at least twice to each partner.
#: Lost datagrams do not matter, since every VM gets it from several partners.
TELL_HEARTBEATS = 2.5
#: Maximum seconds between two heartbeats.
LONGEST_INTERVAL = 2.0
#: Maximum news items in one heartbeat, to leave space for reports in the datagram.
MOST_AT_ONCE = 48


class PendingUpdates:
    """The names of the VMs with news to pass on."""

    __slots__ = ("_clock", "_since")

    def __init__(self, clock):
        self._clock = clock
        # Instant at which each VM was added, earliest first.
        self._since = {}

    def add(self, vm):
        """Add a VM, or start again if it was added before."""
        self._since.pop(vm, None)
        self._since[vm] = self._clock.now()

    def current(self, interval):
        """Return the names of the VMs to include in a heartbeat, latest first.

        :param interval: seconds between two heartbeats to the receivers.
        """
        now = self._clock.now()
        self._drop_before(now - TELL_HEARTBEATS * LONGEST_INTERVAL)
        since = now - TELL_HEARTBEATS * interval
        names = [vm for vm, at in reversed(self._since.items()) if at > since]
        return names[:MOST_AT_ONCE]

    def _drop_before(self, instant):
        for vm, at in list(self._since.items()):
            if at > instant:
                return
            del self._since[vm]
