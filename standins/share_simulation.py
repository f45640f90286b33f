"""Simulates owners of targets that serve several workspaces, without a network.

The decisions are those of the real :class:`Admission`; time is simulated.
"""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

from curio import run, sleep, spawn

from heathercleat.steering.process.capacity import admission as admission_module
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.workspace_shares import WorkspaceShares
from heathercleat.steering.version.routing import RoutingTable, Service
from heathercleat.steering.version.workspaces import Workspace, WorkspaceIndex
from tests.steering_parts import Parts, call, entry, route

#: Slots of a target and mean seconds for which a request holds one.
SLOTS_PER_TARGET, HOLD_SECONDS = 6, 0.2
HEARTBEAT_SECONDS = 0.15
#: Factor of that at a target that has not cached the object of a request, and seconds
#: for which a request waits for one that has.
UNCACHED_FACTOR, AFFINITY_SECONDS = 3.3, 0.12
#: Rounds of the event loop after which all tasks that can run have run.
SETTLE_ROUNDS = 4
#: Seconds before the deadline at which a request stops waiting.
GIVE_UP_MARGIN_SECONDS = 0.25


class Stream:
    """Requests of one workspace on one route.

    :param rate: requests per second.
    :param homes: weight of each owner.
    """

    def __init__(self, workspace, rate, homes=(1,), name="r1", is_retry=False, rank=1):
        self.workspace = workspace
        self.rate = rate
        self.homes = homes
        self.is_retry = is_retry
        self.route = route(priority=rank)
        self.route.name = name


class _NearMembers:
    """Stands in for :class:`Members` with all VMs alive in one region."""

    region = "north"

    def __init__(self):
        self.dead = set()

    @property
    def own(self):
        return self

    def find_live(self, vm):
        return None if vm in self.dead else self


def configuration(names, version=1):
    """Return a :class:`RoutingTable` that lists some workspaces."""
    index = WorkspaceIndex()
    for name in names:
        index.add(Workspace(name), [name.encode()])
    return RoutingTable(version, [], {"s1": Service("s1", None)}, None, index)


class Owner:
    """One owner of targets.

    :param names: the workspaces of its configuration; ``None`` for no division.
    """

    def __init__(self, number, target_count, names):
        ids = [f"t{number}-{each}" for each in range(target_count)]
        self.name = f"vm-{number}"
        self.parts = Parts([entry(each, slots=SLOTS_PER_TARGET) for each in ids])
        self.members = _NearMembers()
        self.table = names and configuration(names)
        self.shares = names and WorkspaceShares(
            self.members,
            self.parts.ledger,
            lambda: self.table,
            self.parts.journal,
            self.parts.clock,
        )
        parts = self.parts
        self.admission = Admission(
            parts.ledger, parts.members.region_of, parts.clock, self.shares
        )

    @property
    def has_free_slot(self):
        """Return whether a target has a free slot."""
        now = self.parts.clock.now()
        return any(each.free(now) for each in self.parts.ledger.all())


class Simulation:
    """A run with some owners and streams of requests.

    :param events: pairs of an instant and a function that is called then.
    :param has_affinity: whether each request has an affinity target, at random.
    """

    def __init__(self, owners, streams, seconds, seed=1, events=(), has_affinity=False):
        self.owners = owners
        self.streams = streams
        self.seconds = seconds
        self._has_affinity = has_affinity
        #: Requests, and served requests, by workspace and route.
        self.sent, self.served, self.on_time = Counter(), Counter(), Counter()
        #: Seconds to wait that refused requests were told, by workspace.
        self.waits = {}
        self._rng = Random(seed)
        self._agenda, self._numbers = [], count()
        for instant, action in events:
            self._at(instant, self._call, action)

    def run(self):
        """Run the simulation and return it."""
        timeout_after = admission_module.timeout_after
        admission_module.timeout_after = _wait_without_timeout
        try:
            run(self._main)
        finally:
            admission_module.timeout_after = timeout_after
        return self

    def fraction(self, workspace, route="r1"):
        """Return the fraction of the requests of a workspace that was served."""
        return self.served[workspace, route] / self.sent[workspace, route]

    @property
    def rate(self):
        """Return the requests served per second."""
        return self.served.total() / self.seconds

    async def _main(self):
        for stream in self.streams:
            self._at(self._rng.expovariate(stream.rate), self._arrive, stream)
        self._at(0.0, self._report)
        start = self.owners[0].parts.clock.now()
        while self._agenda:
            instant, _, action, arguments = heappop(self._agenda)
            for owner in self.owners:
                owner.parts.clock.time = start + instant
            self._now = instant
            await action(*arguments)
            for _ in range(SETTLE_ROUNDS):
                await sleep(0)

    def _at(self, instant, action, *arguments):
        heappush(self._agenda, (instant, next(self._numbers), action, arguments))

    async def _call(self, action):
        action(self)

    async def _report(self):
        """Deliver the reports of all owners; admit as the maintenance loop does."""
        for owner in self.owners:
            await owner.admission.admit_all_queued()
            report = owner.shares and owner.shares.report()
            for other in self.owners if report else ():
                if other is not owner and owner.name not in other.members.dead:
                    other.shares.merge(owner.name, report)
        if self._now < self.seconds:
            self._at(self._now + HEARTBEAT_SECONDS, self._report)

    async def _arrive(self, stream):
        if self._now >= self.seconds:
            return
        next_at = self._now + self._rng.expovariate(stream.rate)
        self._at(next_at, self._arrive, stream)
        self.sent[stream.workspace, stream.route.name] += 1
        (owner,) = self._rng.choices(self.owners, stream.homes)
        if not owner.has_free_slot:
            owner = next((each for each in self.owners if each.has_free_slot), owner)
        request = call(owner.parts.clock, stream.route, stream.is_retry)
        request.workspace = stream.workspace
        request.give_up_at = request.deadline - GIVE_UP_MARGIN_SECONDS
        wait_seconds = request.give_up_at - request.arrived_at
        self._at(self._now + wait_seconds, self._expire, request)
        await spawn(self._serve, owner, request, daemon=True)

    async def _serve(self, owner, request):
        preferred = ()
        if self._has_affinity:
            targets = list(owner.parts.ledger.all())
            preferred = (self._rng.choice(targets).entry.id,)
            request.affinity_until = request.arrived_at + AFFINITY_SECONDS
        acquire = owner.admission.acquire
        use = await acquire(request, preferred, (), request.give_up_at)
        if use is None:
            if request.share_wait is not None:
                waits = self.waits.setdefault(request.workspace, [])
                waits.append(request.share_wait)
            return
        key = request.workspace, request.route.name
        self.served[key] += 1
        hold_seconds = HOLD_SECONDS * self._rng.uniform(0.75, 1.25)
        if preferred and use.target.entry.id not in preferred:
            hold_seconds *= UNCACHED_FACTOR
        self.on_time[key] += self._now + hold_seconds <= request.soft_deadline
        self._at(self._now + hold_seconds, owner.admission.release, use, True)

    async def _expire(self, request):
        if request.on_disconnect is not None:
            await request.on_disconnect.interrupt()


async def _wait_without_timeout(seconds, wait):
    """Stand in for curio's ``timeout_after``; waits end at simulated instants."""
    await wait()
