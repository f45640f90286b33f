"""Member updates that this VM still has to pass on."""

#: Number of heartbeat intervals for which an update is sent, so that each partner gets
#: the update at least twice. Lost datagrams are tolerated, since every VM gets the
#: update from some 18 partners. Sent in ten heartbeats to each, one update would go out
#: 4,860 times among 27 VMs.
SEND_HEARTBEATS = 2.5
#: Maximum seconds between two heartbeats.
MAX_INTERVAL_SECONDS = 2.0
#: Maximum updates in one heartbeat; 48 of 80 bytes leave space for reports in the
#: datagram.
MAX_PER_HEARTBEAT = 48


class PendingUpdates:
    """The names of the VMs with updates to pass on."""

    __slots__ = ("_clock", "_added_at")

    def __init__(self, clock):
        self._clock = clock
        # Instant at which each VM was added, earliest first.
        self._added_at = {}

    def add(self, vm):
        """Add a VM; if it was added before, its update is sent again."""
        self._added_at.pop(vm, None)
        self._added_at[vm] = self._clock.now()

    def names_to_send(self, interval):
        """Return the names of the VMs to include in a heartbeat, latest first.

        :param interval: seconds between two heartbeats to the receivers.
        """
        now = self._clock.now()
        self._drop_before(now - SEND_HEARTBEATS * MAX_INTERVAL_SECONDS)
        since = now - SEND_HEARTBEATS * interval
        names = [vm for vm, at in reversed(self._added_at.items()) if at > since]
        return names[:MAX_PER_HEARTBEAT]

    def _drop_before(self, instant):
        for vm, at in list(self._added_at.items()):
            if at > instant:
                return
            del self._added_at[vm]
