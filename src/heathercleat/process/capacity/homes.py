"""Which targets this VM is the home of, and how homes move between VMs.

The placement of the text divides the targets of a failure domain over its live VMs. A
home moves by a handover, in which the earlier home names every slot that is still
occupied. When no VM can hand a target over, its new home takes every slot as occupied
until the longest timeout of the service has passed, since requests that the earlier
home admitted may run until then.
"""

from dataclasses import astuple, dataclass, replace

from curio import TaskGroup, sleep

from heathercleat.connection.messages import AcquireTargets, Handover, SlotReleased
from heathercleat.errors import PeerError
from heathercleat.events import Event
from heathercleat.process.capacity.occupancy import OccupancyBound, occupied_until
from heathercleat.process.capacity.slots import CANCEL_GRACE, CLOCK_SKEW, Hold
from heathercleat.process.clock import from_wall, to_wall
from heathercleat.process.membership.member import DEAD_AFTER, HOME_LEASE_SECONDS
from heathercleat.version.version_transition import VersionTransition

CHECK_INTERVAL = 0.1
#: Seconds between attempts to tell that a request handed over is done.
TELL_INTERVAL = 0.25
#: Seconds for which a handover is kept while other VMs do not answer: until one of them
#: that is silent counts as dead.
HANDOVER_RETENTION_SECONDS = DEAD_AFTER + HOME_LEASE_SECONDS


@dataclass(slots=True, frozen=True)
class PendingHandover:
    """What an earlier home told of a target that is not adopted yet.

    ``holds`` and ``levels`` are as in a :class:`Handover`; ``until`` is an instant.
    """

    holds: list
    levels: list
    until: float


class HomeManager:
    """Keeps the ledger's targets equal to those that this VM is the home of.

    :param vm: the process: settings, text in force, journal.
    :param membership: who is alive in the failure domain.
    :param ledger: the slots of the homed targets.
    :param links: calls to peers.
    :param records: the covers that this VM vouches for.
    :param publisher: announces the covers of this VM.
    """

    def __init__(self, vm, membership, ledger, links, records, publisher, clock):
        self._vm = vm
        self._records = records
        self._publisher = publisher
        self._membership = membership
        self._ledger = ledger
        self._links = links
        self._clock = clock
        self._acquiring = set()
        self._contested = set()
        self._kept = {}
        self._released = set()
        self._transition = VersionTransition()
        self._desired_state = None
        self._desired_pairs = []

    async def run(self):
        """AcquireTargets targets as the text and the membership change."""
        while True:
            if self._vm.text is not None:
                self._follow_text()
                # Without a VM list another VM could be the home unknown to this one.
                if self._vm.directory.known and self._membership.may_act():
                    await self._acquire_missing()
                    await self._publisher.follow(dict(self._holds()))
            await sleep(CHECK_INTERVAL)

    def drop_all(self):
        """Stop being the home of every target at once."""
        self._vm.journal.write(Event.HOMES_DROPPED, targets=len(self._ledger.targets))
        self._ledger.drop_all()
        self._kept.clear()
        self._released.clear()

    def hand_over(self, receiver, names):
        """Answer an :class:`AcquireTargets` with what is known of the occupied slots.

        :raises PeerError: when this VM is acquiring one of them and goes first.
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
                for kept in self._take_kept(name):
                    targets.setdefault(name, []).extend(kept.holds)
                    levels.setdefault(name, []).extend(kept.levels)
                continue
            targets[name] = [
                [hold.use_id, to_wall(self._clock, hold.until), hold.failure_domain]
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
        vouched = [astuple(each) for each in self._records.vouched(names)]
        return Handover(targets, levels, vouched)

    async def report_released(self, receiver, use):
        """Tell the new home of a target that a request handed over with it is done.

        It is told again until it answers or has no slot held for the request any more.
        """
        while not await self._tell_released(receiver, use):
            if self._clock.now() >= use.deadline + CANCEL_GRACE:
                return
            await sleep(TELL_INTERVAL)

    async def _tell_released(self, receiver, use):
        member = self._membership.members.get(receiver)
        if member is None:
            return True
        try:
            await self._links.call(member.host, SlotReleased(use.target, use.id))
        except PeerError:
            return False
        return True

    def record_released(self, target, use_id):
        """Free the slot of a request that an earlier home reported as done.

        The report may overtake the adoption of the target, which waits for other VMs.
        """
        if target in self._acquiring or target in self._kept:
            self._released.add((target, use_id))
        self._ledger.release_hold(target, use_id)

    def _follow_text(self):
        """Take the limits of the text in force, the smaller ones while it spreads."""
        text, now = self._vm.text, self._clock.now()
        settled = self._transition.expire_superseded(now)
        if text is self._transition.text and not settled:
            return
        if text is not self._transition.text:
            self._transition.follow(text, now)
        for name in list(self._ledger.targets):
            target = text.find_target(name)
            if target is None:
                self._ledger.hand_over(name, None)
            else:
                self._ledger.update(
                    self._transition.target(target), self._transition.links(target)
                )

    def desired(self):
        """Return ``(service, target)`` pairs that this VM should be the home of."""
        state = self._vm.version, self._membership.digest
        if state != self._desired_state:
            self._desired_state = state
            self._desired_pairs = list(self._assigned())
        return self._desired_pairs

    def _assigned(self):
        if self._membership.leaving:
            return
        live = self._membership.live()
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
            handovers = await self._ask_all(names)
            # The earlier homes have forgotten what they told.
            self._keep(handovers)
            if None in handovers or not self._membership.may_act():
                return
            for service, target in missing:
                if target.name not in self._contested:
                    self._adopt(service, target, handovers)
        finally:
            self._acquiring = set()
            self._released = {each for each in self._released if each[0] in self._kept}

    async def _ask_all(self, names):
        """Return the handover of every running VM, ``None`` for one without answer."""
        question = AcquireTargets(self._vm.name, names)
        async with TaskGroup() as group:
            tasks = [
                await group.spawn(self._ask, member.host, question)
                for member in self._membership.running()
            ]
        return [task.result for task in tasks]

    async def _ask(self, host, question):
        try:
            return await self._links.call(host, question)
        except PeerError:
            return None

    def _keep(self, handovers):
        until = self._clock.now() + HANDOVER_RETENTION_SECONDS
        for handover in handovers:
            if handover is None:
                continue
            for name, holds in handover.targets.items():
                kept = PendingHandover(holds, handover.levels[name], until)
                self._kept.setdefault(name, []).append(kept)

    def _take_kept(self, name):
        now = self._clock.now()
        return [
            replace(each, holds=list(self._unreleased(name, each.holds)))
            for each in self._kept.pop(name, ())
            if now < each.until
        ]

    def _unreleased(self, name, holds):
        for hold in holds:
            use_id, *_ = hold
            if (name, use_id) not in self._released:
                yield hold

    def _adopt(self, service, target, handovers):
        holds, levels = [], []
        kept = self._take_kept(target.name)
        for each in kept:
            for use_id, wall, domain in each.holds:
                until = from_wall(self._clock, wall) + CLOCK_SKEW
                holds.append(Hold(until, use_id, domain))
            for wall, level in each.levels:
                levels.append((from_wall(self._clock, wall) + CLOCK_SKEW, level))
        if not kept:
            until = self._occupied_until(service, target, handovers)
            until += CLOCK_SKEW + CANCEL_GRACE
            holds = [Hold(until) for _ in range(target.slots)]
        self._ledger.adopt(
            self._transition.target(target),
            holds,
            self._transition.links(target),
            levels,
        )
        self._vm.journal.write(
            Event.HOME_ADOPTED,
            target=target.name,
            service=service.name,
            handed_over=bool(kept),
            held=len(holds),
            seconds=round(self._held_for(holds), 3),
        )

    def _occupied_until(self, service, target, handovers):
        vouched = list(self._records.vouched([target.name]))
        for handover in handovers:
            told = (OccupancyBound(*fields) for fields in handover.vouched)
            vouched.extend(each for each in told if each.target == target.name)
        return occupied_until(self._clock, service, vouched)

    def _held_for(self, holds):
        now = self._clock.now()
        return max((hold.until - now for hold in holds), default=0.0)

    def _holds(self):
        """Yield each homed target, and until when earlier homes may occupy it."""
        for name, entry in self._ledger.targets.items():
            yield name, max((hold.until for hold in entry.holds), default=0.0)
