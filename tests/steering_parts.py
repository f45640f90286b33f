"""Components of a steering VM for tests, without sockets."""

from itertools import count

from heathercleat.platform.settings import decode_node_settings
from heathercleat.process.logs import Journal
from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.held_slots import HeldSlots
from heathercleat.steering.process.capacity.notices import Notices
from heathercleat.steering.process.capacity.owners import Owners
from heathercleat.steering.process.capacity.registry import TargetRegistry
from heathercleat.steering.process.capacity.slots import SlotLedger
from heathercleat.steering.process.capacity.target import TargetEntry
from heathercleat.steering.process.membership.heartbeat import Heartbeat
from heathercleat.steering.process.membership.member import MemberUpdate, Stage
from heathercleat.steering.process.membership.members import Members
from heathercleat.steering.request.call import Call
from heathercleat.steering.version.routing import (
    RequestKind,
    Route,
    Service,
    ServiceShare,
)
from tests.fakes import ManualClock
from tests.platform_samples import SETTINGS

COLD_REQUESTS_PER_SECOND = 10.0
_versions = count(1)


def entry(
    id="t1",
    service="s1",
    domain="north-a",
    slots=2,
    draining=False,
    cold=0.0,
    sequence=None,
    started_ms=None,
    version=None,
):
    """Return a target entry; without a version, its row is newer than earlier ones."""
    return TargetEntry(
        id,
        service,
        "127.0.0.9",
        80,
        domain,
        slots,
        draining,
        cold,
        sequence,
        started_ms,
        next(_versions) if version is None else version,
    )


def route(
    kind=RequestKind.SAFE, regions=(), sticky=False, attempts=2, priority=1, timeout=1.0
):
    return Route(
        "r1",
        "a.example",
        "/",
        kind,
        timeout,
        0.3,
        priority,
        attempts,
        sticky,
        frozenset(regions),
        (ServiceShare("s1", 1.0),),
    )


def call(clock, route=None, is_client_retry=False, affinity=None, id="c1"):
    request = Call(id, b"GET", b"/", [], b"", route or _ROUTE, "s1", None)
    request.arrived_at = clock.now()
    request.deadline = clock.now() + 1.0
    request.soft_deadline = clock.now() + 0.3
    request.is_client_retry = is_client_retry
    request.affinity = affinity
    return request


def make_heartbeat(
    vm="vm-2",
    domain="north-a",
    region="north",
    serving=True,
    incarnation=1,
    strength=0.86,
    store_answers=True,
    stage=None,
):
    update = MemberUpdate(
        vm,
        "127.0.9.2",
        domain,
        region,
        incarnation,
        incarnation,
        True,
        Stage(serving) if stage is None else stage,
        False,
        strength,
    )
    return Heartbeat(update, 0.15, 0, 0, store_answers, 0, [], [], [], [], [], 0, [])


class ReachableTargets:
    """Stands in for :class:`TargetReachability` at a VM that is not partitioned."""

    async def record_failure(self, target_id):
        return None

    async def is_any_reachable(self):
        return True


class Parts:
    """The capacity and membership components of one VM."""

    def __init__(self, entries=(), serving=True):
        self.clock = ManualClock()
        self.journal = Journal("vm-1", "north-a")
        self.settings = decode_node_settings(SETTINGS)
        self.registry = TargetRegistry(self.journal, self.clock)
        self.members = Members(self.settings, self.journal, self.clock, 1)
        self.owners = Owners(self.registry, self.members)
        self.capacity_reports = CapacityReports(self.clock)
        self.held = HeldSlots(self.members, self.capacity_reports, self.clock)
        self.notices = Notices(
            self.registry, self.members.region_of, self.journal, self.clock
        )
        self.ledger = SlotLedger(
            self.owners,
            self.registry,
            lambda name: Service(name, COLD_REQUESTS_PER_SECOND),
            self.settings.bounds,
            self.held,
            self.notices,
            self.journal,
            self.clock,
        )
        if serving:
            self.members.set_serving(True)
        if entries:
            self.registry.replace(list(entries))


_ROUTE = route()
