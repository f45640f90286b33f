"""Decides whether a request of a workspace is within its limit.

A VM admits a request while the known level of the workspace is below its burst. Other
VMs may be admitting requests that this VM has not heard of. Therefore each VM may only
admit a part of the remaining room, including most of the tolerated excess, before the
others have acknowledged it. Half of the room is divided evenly, and half by the use of
the limit so far.
"""

from math import floor

from heathercleat.steering.process.quota.usage import Charge
from heathercleat.version.hashing import rank_by_weight

#: Share of the tolerated excess that may be used by requests that other VMs have not
#: acknowledged; the rest covers repeated runs.
UNACKNOWLEDGED_SHARE = 0.75
#: Share of the tolerated excess that is added to the burst for known requests, since
#: reports arrive late, and a small burst is used up by a few requests at once.
KNOWN_SHARE = 0.4
#: Share of the room that is divided evenly between VMs; the rest goes by use.
EVEN_SHARE = 0.5
#: Requests that are added to the use of each VM when the room is divided by use.
BASE_USE = 2
#: Shortest seconds after which a refused client may retry.
MIN_RETRY_SECONDS = 0.2


class Quota:
    """Admits requests within the limits of their workspaces.

    :param usage: the :class:`Usage` of this VM.
    :param levels: the :class:`Levels`.
    :param exchange: the :class:`UsageExchange`, which knows what others acknowledged.
    :param vm: name of this VM.
    """

    def __init__(self, usage, levels, exchange, vm, clock):
        self._usage = usage
        self._levels = levels
        self._exchange = exchange
        self._vm = vm
        self._clock = clock

    def admit(self, workspace):
        """Return the :class:`Charge` of a request, or ``None`` if it is over the limit.

        :param workspace: its :class:`Workspace`.
        """
        if workspace.rate is not None and not self._has_room(workspace):
            return None
        return Charge(self._usage, workspace.name)

    def retry_at(self, workspace):
        """Return the instant at which there is room again."""
        excess = self._levels.value(workspace.name) + 1 - workspace.burst
        wait = excess / workspace.rate
        return self._clock.now() + max(MIN_RETRY_SECONDS, wait)

    def is_used_up(self, workspace):
        """Return whether the known requests of all VMs have reached the limit.

        Otherwise a request that was not admitted may be as soon as other VMs have
        acknowledged earlier ones.
        """
        highest = workspace.burst + KNOWN_SHARE * self._levels.tolerated(workspace)
        return self._levels.value(workspace.name) + 1 > highest

    def describe(self, workspace):
        """Describe the use of a limit, for the log."""
        level = self._levels.value(workspace.name)
        unacknowledged = self._exchange.unacknowledged_count(workspace.name)
        return (
            f"{level:.1f} requests beyond {workspace.rate:g} per second, "
            f"{workspace.burst:g} allowed; {unacknowledged} not known to all of "
            f"{len(self._exchange.participants())} VMs"
        )

    def _has_room(self, workspace):
        if self.is_used_up(workspace):
            return False
        name, vms = workspace.name, self._exchange.participants()
        unacknowledged = self._exchange.unacknowledged_count(name)
        tolerated = UNACKNOWLEDGED_SHARE * self._levels.tolerated(workspace)
        acknowledged_level = max(0.0, self._levels.value(name) - unacknowledged)
        room = workspace.burst + tolerated - acknowledged_level
        own_use = self._usage.count(name) - unacknowledged + BASE_USE
        use = max(own_use, self._levels.use(name) - unacknowledged)
        share_by_use = own_use / (use + BASE_USE * len(vms))
        share = EVEN_SHARE / len(vms) + (1 - EVEN_SHARE) * share_by_use
        part = self._round(name, room * share, vms)
        return unacknowledged + 1 <= part

    def _round(self, name, part, vms):
        """Return a part as an integer, rounded up at as many VMs as the fraction."""
        whole = floor(part)
        rounded_up = floor((part - whole) * len(vms))
        if not rounded_up:
            return whole
        ranked = rank_by_weight(name, sorted(vms))
        return whole + (self._vm in ranked[:rounded_up])
