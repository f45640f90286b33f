"""Covers: until when requests admitted by a home may still occupy a target.

A new home that nobody hands a target over to must wait until whatever the earlier home
admitted has ended. That is the longest timeout of the service, unless it knows better:
before a home admits a request that ends later than a moment from now, it tells its
monitors an instant for the target, and it admits nothing beyond that instant. A monitor
that heard the home until its end vouches for the instant. If it also knows that the
process of the home has ended, so have its requests, and only what earlier homes
admitted is left to wait for.
"""

from dataclasses import dataclass

from curio import Lock, TaskGroup

from heathercleat.codes import ResultCode
from heathercleat.connection.messages import OccupancyNotice
from heathercleat.errors import PeerError, RequestError
from heathercleat.process.clock import DISTANT_PAST, from_wall, to_wall

#: Requests that end within this many seconds need no cover.
MAX_UNANNOUNCED_SECONDS = 2.0
#: Seconds by which a cover is announced further than needed, to announce it seldom.
ANNOUNCEMENT_MARGIN_SECONDS = 5.0


#: Seconds back to which a VM that was found dead, and may still run, could have been
#: the home of a target without having said so.
UNCERTAIN_HOME_SECONDS = 2 * MAX_UNANNOUNCED_SECONDS


@dataclass(slots=True, frozen=True)
class OccupancyBound:
    """What a monitor knows of a home that ended.

    The target may be occupied until ``until`` (epoch seconds). ``gone`` tells that the
    home's own requests have ended.
    """

    target: str
    home: str
    until: float
    gone: bool


@dataclass(slots=True)
class Told:
    """What a monitor has acknowledged: its incarnation then, and the edition."""

    incarnation: int
    edition: int


class OccupancyPublisher:
    """Announces the covers of the targets homed here to the monitors of this VM.

    :param vm: the identity of this VM.
    :param membership: knows the monitors.
    :param links: calls to peers.
    """

    def __init__(self, vm, membership, links, clock):
        self._vm = vm
        self._membership = membership
        self._links = links
        self._clock = clock
        self._until = {}
        self._held = {}
        self._editions = {}
        self._edition = 0
        self._told = {}
        self._lock = Lock()

    async def ensure(self, target, deadline):
        """Return when the monitors know that a target may be occupied until then.

        :param deadline: an instant of this process.
        :raises RequestError: when a monitor does not acknowledge; nothing was run.
        """
        if deadline <= self._clock.now() + MAX_UNANNOUNCED_SECONDS:
            return
        async with self._lock:
            if self._until.get(target, 0.0) < deadline:
                self._set(target, deadline + ANNOUNCEMENT_MARGIN_SECONDS)
            if not await self._tell_all(self._editions[target]):
                message = "the monitors of this VM did not answer"
                raise RequestError(ResultCode.NO_ROOM, message)

    async def follow(self, holds):
        """Announce the targets homed here, when they or the monitors changed.

        :param holds: ``{target name: instant}`` until which each is occupied by what
            an earlier home admitted.
        """
        async with self._lock:
            for target in [name for name in self._until if name not in holds]:
                del self._until[target]
                self._held.pop(target, None)
                del self._editions[target]
                self._edition += 1
            for target, until in holds.items():
                if until > self._held.get(target, DISTANT_PAST):
                    self._held[target] = until
                    self._set(target, max(until, self._until.get(target, DISTANT_PAST)))
            if self._until or self._told:
                await self._tell_all(self._edition)

    def _set(self, target, until):
        self._edition += 1
        self._until[target] = until
        self._editions[target] = self._edition

    async def _tell_all(self, edition):
        """Tell the monitors that have not acknowledged an edition; return success."""
        monitors = self._membership.responsive_monitors()
        names = {member.vm for member in monitors}
        self._told = {name: told for name, told in self._told.items() if name in names}
        missing = [each for each in monitors if not self._knows(each, edition)]
        if not missing:
            return True
        async with TaskGroup() as group:
            tasks = [await group.spawn(self._tell, member) for member in missing]
        return all(task.result for task in tasks)

    def _knows(self, member, edition):
        told = self._told.get(member.vm)
        return (
            told is not None
            and told.incarnation == member.incarnation
            and told.edition >= edition
        )

    async def _tell(self, member):
        edition = self._edition
        covers = {
            target: [
                to_wall(self._clock, until),
                to_wall(self._clock, self._held.get(target, until)),
            ]
            for target, until in self._until.items()
        }
        try:
            cover = OccupancyNotice(self._vm.name, self._vm.incarnation, covers)
            await self._links.call(member.host, cover)
        except PeerError:
            return False
        self._told[member.vm] = Told(member.incarnation, edition)
        return True


class OccupancyRecords:
    """The covers that other homes have announced to this VM as their monitor.

    :param membership: tells whether this VM heard a home until its end.
    """

    def __init__(self, membership, clock):
        self._membership = membership
        self._clock = clock
        self._records = {}

    def record(self, vm, incarnation, covers):
        """Take the covers of a home, in place of its earlier ones."""
        self._records[vm] = incarnation, covers

    def clear(self):
        """Forget everything, after a pause in which announcements were missed."""
        self._records.clear()

    def vouched(self, targets):
        """Yield a :class:`OccupancyBound` for each of the targets of homes that
        ended."""
        for vm, (incarnation, covers) in self._records.items():
            if not self._membership.heard_until_end(vm, incarnation):
                continue
            gone = self._is_gone(vm, incarnation)
            for target in targets:
                if target in covers:
                    until, held = covers[target]
                    yield OccupancyBound(target, vm, held if gone else until, gone)

    def _is_gone(self, vm, incarnation):
        # Another VM may have become the home a moment before it was lost as well.
        return self._membership.is_gone(vm, incarnation) and self._membership.all_gone(
            UNCERTAIN_HOME_SECONDS
        )


def occupied_until(clock, service, vouched):
    """Return the instant until which a target may be occupied that nobody handed over.

    :param vouched: a :class:`OccupancyBound` of every monitor that has one; without any
        only
        the longest timeout of the service is certain.
    """
    now = clock.now()
    longest = now + service.longest_timeout
    homes = {}
    for each in vouched:
        known = homes.get(each.home)
        if known is None or (each.gone, each.until) > (known.gone, known.until):
            homes[each.home] = each
    if not homes:
        return longest
    occupied = max(_occupied(clock, each, now) for each in homes.values())
    return min(longest, occupied)


def _occupied(clock, vouched, now):
    least = now if vouched.gone else now + MAX_UNANNOUNCED_SECONDS
    return max(from_wall(clock, vouched.until), least)
