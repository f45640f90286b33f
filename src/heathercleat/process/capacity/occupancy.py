"""Occupancy bounds: until when requests admitted by a home may occupy a target.

Without a handover, a new home has to wait until all requests that the previous home
admitted have ended. By default that takes the longest timeout of the service. To
shorten it, a home announces a bound for the target to its monitors before it admits a
request with a distant deadline, and admits no request beyond the bound. A monitor that
received heartbeats until the home failed reports the bound to the new home. If the
process of the home has exited, its requests have ended as well, and only those admitted
by even earlier homes matter.
"""

from dataclasses import dataclass

from curio import Lock, TaskGroup

from heathercleat.codes import ResultCode
from heathercleat.connection.messages import OccupancyNotice
from heathercleat.errors import PeerError, RequestError
from heathercleat.process.clock import DISTANT_PAST, from_wall, to_wall

#: Requests that end within this many seconds need no announced bound.
MAX_UNANNOUNCED_SECONDS = 2.0
#: Seconds added to each announced bound, so that later requests need no announcement.
ANNOUNCEMENT_MARGIN_SECONDS = 5.0
#: A VM that was declared dead within this many seconds and may still run could have
#: admitted requests as the home of a target without an announcement.
UNCERTAIN_HOME_SECONDS = 2 * MAX_UNANNOUNCED_SECONDS


@dataclass(slots=True, frozen=True)
class OccupancyBound:
    """The bound that a monitor recorded for a target of a failed home.

    The target may be occupied until ``occupied_until``, in epoch seconds.
    ``has_exited`` is true if the process of the home has exited and its own requests
    have ended.
    """

    target: str
    home: str
    occupied_until: float
    has_exited: bool


@dataclass(slots=True)
class AcknowledgedRevision:
    """The latest revision of the bounds that a monitor acknowledged.

    The revision increases with each change. ``incarnation`` is that of the monitor,
    which loses the bounds when it restarts.
    """

    incarnation: int
    revision: int


class OccupancyPublisher:
    """Announces the bounds of the targets homed here to the monitors of this VM.

    :param vm: the identity of this VM.
    :param membership: the :class:`Membership`, which knows the monitors.
    :param links: the :class:`PeerLinks` to the monitors.
    """

    def __init__(self, vm, membership, links, clock):
        self._vm = vm
        self._membership = membership
        self._links = links
        self._clock = clock
        self._bounds = {}
        self._inherited_until = {}
        self._revisions = {}
        self._revision = 0
        self._acknowledged = {}
        self._lock = Lock()

    async def ensure_announced(self, target, deadline):
        """Wait until every monitor has a bound of at least ``deadline`` for a target.

        :param deadline: an instant of ``clock.now()``.
        :raises RequestError: if a monitor does not acknowledge; the request is not run.
        """
        if deadline <= self._clock.now() + MAX_UNANNOUNCED_SECONDS:
            return
        async with self._lock:
            if self._bounds.get(target, 0.0) < deadline:
                self._set_bound(target, deadline + ANNOUNCEMENT_MARGIN_SECONDS)
            if not await self._announce_all(self._revisions[target]):
                message = "the monitors of this VM did not answer"
                raise RequestError(ResultCode.NO_ROOM, message)

    async def update(self, hold_ends):
        """Announce the bounds if the targets homed here or the monitors have changed.

        :param hold_ends: ``{target name: instant}`` until which requests admitted by
            earlier homes may occupy the target.
        """
        async with self._lock:
            for target in [name for name in self._bounds if name not in hold_ends]:
                del self._bounds[target]
                self._inherited_until.pop(target, None)
                del self._revisions[target]
                self._revision += 1
            for target, until in hold_ends.items():
                if until > self._inherited_until.get(target, DISTANT_PAST):
                    self._inherited_until[target] = until
                    self._set_bound(
                        target,
                        max(until, self._bounds.get(target, DISTANT_PAST)),
                    )
            if self._bounds or self._acknowledged:
                await self._announce_all(self._revision)

    def _set_bound(self, target, bound):
        self._revision += 1
        self._bounds[target] = bound
        self._revisions[target] = self._revision

    async def _announce_all(self, revision):
        """Announce a revision to the monitors that have not acknowledged it.

        :return: whether all of them acknowledged.
        """
        monitors = self._membership.responsive_monitors()
        names = {member.vm for member in monitors}
        self._acknowledged = {
            name: acknowledged
            for name, acknowledged in self._acknowledged.items()
            if name in names
        }
        missing = [
            each for each in monitors if not self._has_acknowledged(each, revision)
        ]
        if not missing:
            return True
        async with TaskGroup() as group:
            tasks = [await group.spawn(self._announce, member) for member in missing]
        return all(task.result for task in tasks)

    def _has_acknowledged(self, member, revision):
        acknowledged = self._acknowledged.get(member.vm)
        return (
            acknowledged is not None
            and acknowledged.incarnation == member.incarnation
            and acknowledged.revision >= revision
        )

    async def _announce(self, member):
        revision = self._revision
        bounds = {
            target: [
                to_wall(self._clock, until),
                to_wall(self._clock, self._inherited_until.get(target, until)),
            ]
            for target, until in self._bounds.items()
        }
        try:
            notice = OccupancyNotice(self._vm.name, self._vm.incarnation, bounds)
            await self._links.call(member.host, notice)
        except PeerError:
            return False
        self._acknowledged[member.vm] = AcknowledgedRevision(
            member.incarnation, revision
        )
        return True


class OccupancyRecords:
    """The bounds that other homes have announced to this VM as their monitor.

    :param membership: the :class:`Membership`, which knows whether this VM received
        heartbeats until a home failed.
    """

    def __init__(self, membership, clock):
        self._membership = membership
        self._clock = clock
        self._records = {}

    def record(self, home, incarnation, bounds):
        """Replace the bounds of a home.

        :param home: name of the home.
        :param bounds: ``{target name: [until, inherited until]}`` in epoch seconds; the
            second is the bound for requests admitted by earlier homes.
        """
        self._records[home] = incarnation, bounds

    def clear(self):
        """Remove all bounds, after a pause in which announcements were missed."""
        self._records.clear()

    def bounds_for(self, targets):
        """Yield the :class:`OccupancyBound` of each target for each failed home."""
        for home, (incarnation, bounds) in self._records.items():
            if not self._membership.was_monitored_until_end(home, incarnation):
                continue
            has_exited = self._has_exited(home, incarnation)
            for target in targets:
                if target in bounds:
                    until, inherited_until = bounds[target]
                    yield OccupancyBound(
                        target,
                        home,
                        inherited_until if has_exited else until,
                        has_exited,
                    )

    def _has_exited(self, home, incarnation):
        # Another VM that failed recently may also have been the home for a short time.
        return self._membership.has_exited(
            home, incarnation
        ) and self._membership.have_recent_dead_exited(UNCERTAIN_HOME_SECONDS)


def occupied_until(clock, service, bounds):
    """Return the instant until which a target without a handover may be occupied.

    :param bounds: the :class:`OccupancyBound` of every monitor that has one; without
        any, the longest timeout of the service applies.
    """
    now = clock.now()
    latest_possible = now + service.longest_timeout
    bound_by_home = {}
    for each in bounds:
        strongest = bound_by_home.get(each.home)
        if strongest is None or (each.has_exited, each.occupied_until) > (
            strongest.has_exited,
            strongest.occupied_until,
        ):
            bound_by_home[each.home] = each
    if not bound_by_home:
        return latest_possible
    latest_bound = max(
        _bound_until(clock, each, now) for each in bound_by_home.values()
    )
    return min(latest_possible, latest_bound)


def _bound_until(clock, bound, now):
    earliest = now if bound.has_exited else now + MAX_UNANNOUNCED_SECONDS
    return max(from_wall(clock, bound.occupied_until), earliest)
