"""Assignment of targets to homes, and handovers between homes.

The placement of the configuration assigns the targets of a failure domain to its live
VMs. When the home of a target changes, the previous home hands over a list of the
occupied slots. If no VM can hand the target over, the new home treats every slot as
occupied until the requests admitted by the previous home must have ended, at the latest
after the longest timeout of the service.
"""

from dataclasses import astuple, dataclass, replace

from curio import TaskGroup, sleep

from heathercleat.connection.messages import AcquireTargets, Handover, SlotReleased
from heathercleat.errors import PeerError
from heathercleat.events import Event
from heathercleat.process.capacity.occupancy import OccupancyBound, occupied_until
from heathercleat.process.capacity.slots import (
    CANCEL_GRACE_SECONDS,
    MAX_CLOCK_SKEW_SECONDS,
    Hold,
)
from heathercleat.process.clock import from_wall, to_wall
from heathercleat.process.membership.member import (
    DEAD_AFTER_SECONDS,
    HOME_LEASE_SECONDS,
)
from heathercleat.version.version_transition import VersionTransition

CHECK_INTERVAL_SECONDS = 0.1
#: Seconds between attempts to report to the new home that a request has ended.
REPORT_INTERVAL_SECONDS = 0.25
#: Seconds for which a handover is kept while other VMs don't respond; an unresponsive
#: VM is declared dead within this time.
HANDOVER_RETENTION_SECONDS = DEAD_AFTER_SECONDS + HOME_LEASE_SECONDS


@dataclass(slots=True, frozen=True)
class PendingHandover:
    """The handover of a target that this VM hasn't adopted yet.

    ``holds`` and ``levels`` are the lists that ``targets`` and ``levels`` of the
    :class:`Handover` have for the target; ``expires_at`` is an instant of
    ``clock.now()``.
    """

    holds: list
    levels: list
    expires_at: float


class HomeManager:
    """Adds and removes targets in the ledger as their homes change.

    :param vm: the :class:`EntryVM` of this process.
    :param membership: the :class:`Membership` of the failure domain.
    :param ledger: the slots of the homed targets.
    :param links: the :class:`PeerLinks` to other VMs.
    :param records: the :class:`OccupancyRecords`: the bounds announced by other homes.
    :param publisher: the :class:`OccupancyPublisher`, which announces the bounds of
        this VM.
    """

    def __init__(self, vm, membership, ledger, links, records, publisher, clock):
        self._vm = vm
        self._records = records
        self._publisher = publisher
        self._membership = membership
        self._ledger = ledger
        self._peer_links = links
        self._clock = clock
        self._acquiring = set()
        self._contested = set()
        self._pending = {}
        self._released = set()
        self._transition = VersionTransition()
        self._desired_state = None
        self._desired_pairs = []

    async def run(self):
        """Acquire targets as the configuration and the membership change, forever."""
        while True:
            if self._vm.text is not None:
                self._apply_configuration()
                # Without a VM list, an unknown VM could be the home.
                if (
                    self._vm.vm_directory.is_loaded
                    and self._membership.may_act_as_home()
                ):
                    await self._acquire_missing()
                    await self._publisher.update(dict(self._hold_ends()))
            await sleep(CHECK_INTERVAL_SECONDS)

    def drop_all(self):
        """Stop being the home of every target, without a handover."""
        self._vm.journal.write(Event.HOMES_DROPPED, targets=len(self._ledger.targets))
        self._ledger.drop_all()
        self._pending.clear()
        self._released.clear()

    def hand_over(self, receiver, names):
        """Return the :class:`Handover` that answers an :class:`AcquireTargets`.

        :param receiver: name of the VM that acquires the targets.
        :raises PeerError: if this VM is acquiring one of them too and takes precedence.
            The VM whose name sorts first takes precedence.
        """
        for name in names:
            if name in self._acquiring:
                if self._vm.name < receiver:
                    raise PeerError(f"{self._vm.name} is acquiring {name}")
                self._contested.add(name)
        targets, levels = {}, {}
        for name in names:
            handed_over = self._ledger.hand_over(name, receiver)
            if handed_over is None:
                for pending in self._pop_pending(name):
                    targets.setdefault(name, []).extend(pending.holds)
                    levels.setdefault(name, []).extend(pending.levels)
                continue
            targets[name] = [
                [
                    hold.use_id,
                    to_wall(self._clock, hold.expires_at),
                    hold.failure_domain,
                ]
                for hold in handed_over.holds
            ]
            levels[name] = [
                [to_wall(self._clock, at), level] for at, level in handed_over.levels
            ]
            self._vm.journal.write(
                Event.HOME_HANDED_OVER,
                target=name,
                receiver=receiver,
                uses=len(handed_over.holds),
            )
        bounds = [astuple(each) for each in self._records.bounds_for(names)]
        return Handover(targets, levels, bounds)

    async def report_released(self, receiver, use):
        """Report to the new home of a target that a handed-over request has ended.

        Retries until the new home responds or its hold for the request has expired.
        """
        while not await self._send_released(receiver, use):
            if self._clock.now() >= use.deadline + CANCEL_GRACE_SECONDS:
                return
            await sleep(REPORT_INTERVAL_SECONDS)

    async def _send_released(self, receiver, use):
        member = self._membership.members.get(receiver)
        if member is None:
            return True
        try:
            await self._peer_links.call(member.host, SlotReleased(use.target, use.id))
        except PeerError:
            return False
        return True

    def record_released(self, target, use_id):
        """Release the hold of a request that an earlier home reported as ended.

        The report may arrive before this VM has adopted the target.
        """
        if target in self._acquiring or target in self._pending:
            self._released.add((target, use_id))
        self._ledger.release_hold(target, use_id)

    def _apply_configuration(self):
        """Apply the configuration to the ledger: limits and removed targets.

        While a new version propagates, the smaller of the old and new limits applies.
        """
        text, now = self._vm.text, self._clock.now()
        has_expired_versions = self._transition.expire_superseded(now)
        if text is self._transition.text and not has_expired_versions:
            return
        if text is not self._transition.text:
            self._transition.adopt(text, now)
        for name in list(self._ledger.targets):
            target = text.find_target(name)
            if target is None:
                # The target was removed from the configuration and has no new home.
                self._ledger.hand_over(name, None)
            else:
                self._ledger.update(
                    self._transition.restrict_target(target),
                    self._transition.restrict_links(target),
                )

    def desired(self):
        """Return ``(service, target)`` pairs that this VM should be the home of."""
        state = self._vm.version, self._membership.digest
        if state != self._desired_state:
            self._desired_state = state
            self._desired_pairs = list(self._assigned())
        return self._desired_pairs

    def _assigned(self):
        if self._membership.is_leaving:
            return
        live = self._membership.live_names()
        domain = self._vm.settings.failure_domain
        homes = self._vm.text.placement.homes(domain, live)
        for service in self._vm.text.services.values():
            for target in service.targets_in(domain):
                if homes.get(target.name) == self._vm.name:
                    yield service, target

    async def _acquire_missing(self):
        missing = [
            (service, target)
            for service, target in self.desired()
            if target.name not in self._ledger.targets
        ]
        if not missing:
            return
        names = [target.name for _, target in missing]
        self._acquiring = set(names)
        self._contested = set()
        try:
            handovers = await self._request_handovers(names)
            # Keep the handovers even if not every VM has responded: the earlier homes
            # have no copy of them.
            self._add_pending(handovers)
            if None in handovers or not self._membership.may_act_as_home():
                return
            for service, target in missing:
                if target.name not in self._contested:
                    self._adopt(service, target, handovers)
        finally:
            self._acquiring = set()
            self._released = {
                each for each in self._released if each[0] in self._pending
            }

    async def _request_handovers(self, names):
        """Request handovers from all other running VMs.

        :return: a list of :class:`Handover`, with ``None`` for each VM that doesn't
            respond.
        """
        request = AcquireTargets(self._vm.name, names)
        async with TaskGroup() as group:
            tasks = [
                await group.spawn(self._request_handover, member.host, request)
                for member in self._membership.other_running_members()
            ]
        return [task.result for task in tasks]

    async def _request_handover(self, host, request):
        try:
            return await self._peer_links.call(host, request)
        except PeerError:
            return None

    def _add_pending(self, handovers):
        expires_at = self._clock.now() + HANDOVER_RETENTION_SECONDS
        for handover in handovers:
            if handover is None:
                continue
            for name, holds in handover.targets.items():
                pending = PendingHandover(holds, handover.levels[name], expires_at)
                self._pending.setdefault(name, []).append(pending)

    def _pop_pending(self, name):
        now = self._clock.now()
        return [
            replace(each, holds=list(self._unreleased(name, each.holds)))
            for each in self._pending.pop(name, ())
            if now < each.expires_at
        ]

    def _unreleased(self, name, holds):
        """Yield the holds whose requests have not been reported as ended."""
        for hold in holds:
            use_id, *_ = hold
            if (name, use_id) not in self._released:
                yield hold

    def _adopt(self, service, target, handovers):
        holds, levels = [], []
        pending = self._pop_pending(target.name)
        for each in pending:
            for use_id, wall, domain in each.holds:
                expires_at = from_wall(self._clock, wall) + MAX_CLOCK_SKEW_SECONDS
                holds.append(Hold(expires_at, use_id, domain))
            for wall, level in each.levels:
                levels.append(
                    (from_wall(self._clock, wall) + MAX_CLOCK_SKEW_SECONDS, level)
                )
        if not pending:
            expires_at = self._occupied_until(service, target, handovers)
            expires_at += MAX_CLOCK_SKEW_SECONDS + CANCEL_GRACE_SECONDS
            holds = [Hold(expires_at) for _ in range(target.slots)]
        self._ledger.adopt(
            self._transition.restrict_target(target),
            holds,
            self._transition.restrict_links(target),
            levels,
        )
        self._vm.journal.write(
            Event.HOME_ADOPTED,
            target=target.name,
            service=service.name,
            handed_over=bool(pending),
            held=len(holds),
            seconds=round(self._remaining_hold_seconds(holds), 3),
        )

    def _occupied_until(self, service, target, handovers):
        bounds = list(self._records.bounds_for([target.name]))
        for handover in handovers:
            reported = (OccupancyBound(*fields) for fields in handover.vouched)
            bounds.extend(each for each in reported if each.target == target.name)
        return occupied_until(self._clock, service, bounds)

    def _remaining_hold_seconds(self, holds):
        now = self._clock.now()
        return max((hold.expires_at - now for hold in holds), default=0.0)

    def _hold_ends(self):
        """Yield each homed target and the instant until which holds may occupy it."""
        for name, entry in self._ledger.targets.items():
            yield name, max((hold.expires_at for hold in entry.holds), default=0.0)
