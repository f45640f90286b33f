"""Tests that targets keep exactly one owner and their slot limit as VMs stop."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from heathercleat.process.logs import Journal
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.capacity_reports import REPORT_TTL_SECONDS
from heathercleat.steering.process.capacity.held_slots import HeldSlots
from heathercleat.steering.process.capacity.loss_rates import LossRates
from heathercleat.steering.process.capacity.owners import Owners
from heathercleat.steering.process.capacity.registry import TargetRegistry
from heathercleat.steering.process.capacity.slots import SlotLedger
from heathercleat.steering.process.directory import (
    SHORT_LOOKUP_TTL_SECONDS,
    START_SECONDS,
    Directory,
)
from heathercleat.steering.process.handover import Handover
from heathercleat.steering.process.membership.gossip import HEARTBEAT_INTERVAL_SECONDS
from heathercleat.steering.process.membership.heartbeat_composer import (
    HeartbeatComposer,
)
from heathercleat.steering.process.membership.member import Stage
from heathercleat.steering.process.membership.members import Members
from heathercleat.steering.process.membership.topology import (
    MONITORED_IN_REGION,
    MONITORED_OUTSIDE_REGION,
)
from standins.membership_simulation import (
    REGIONS,
    Network,
    SimulatedVm,
    run_nonblocking,
)
from tests.steering_parts import Parts, entry, make_heartbeat

LEAVING, FINISHING = Stage.LEAVING, Stage.FINISHING
TARGETS = [entry(f"t{number}") for number in range(8)]
NEAR, FAR = ("north-a", "north"), ("south-a", "south")
#: Seconds from the stop signal to the end of the process, and to the end of keep-alive.
STOP_GRACE_SECONDS, KEEP_ALIVE_SECONDS = 5.3, 2.5
#: Upper bound of the duration of a simulated request.
MAX_RUN_SECONDS = 3.5
#: Longest time in which VMs may differ on the owner of a target: three heartbeats.
AGREE_SECONDS = 3 * HEARTBEAT_INTERVAL_SECONDS
NO_TABLES = SimpleNamespace(
    operator_rows=SimpleNamespace(announced_change_version=0),
    target_rows=SimpleNamespace(announced_change_version=0),
    is_store_answering=True,
    is_store_lost=False,
)


def owners_of(parts, targets=TARGETS):
    return {parts.owners.owner_of(each.id) for each in targets}


@pytest.mark.parametrize("domain", [NEAR, ("north-b", "north"), FAR])
def test_leaving_vms_own_targets_where_none_serves(domain):
    parts = Parts(TARGETS)
    parts.members.record_heartbeat(make_heartbeat("vm-2", *domain, stage=LEAVING))
    assert owners_of(parts) == {"vm-1"}
    parts.members.stop_owning()
    assert owners_of(parts) == {"vm-2"}


def test_nearest_leaving_vm_owns_targets():
    parts = Parts([*TARGETS, entry("far", domain="south-a")])
    parts.members.leave()
    parts.members.record_heartbeat(make_heartbeat("vm-2", *FAR, stage=LEAVING))
    assert owners_of(parts) == {"vm-1"}
    assert parts.owners.owner_of("far") == "vm-2"


@pytest.mark.parametrize("domain", [NEAR, ("north-b", "north"), FAR])
def test_serving_vm_owns_targets_before_a_nearer_leaving_one(domain):
    parts = Parts(TARGETS)
    parts.members.leave()
    assert owners_of(parts) == {"vm-1"}
    parts.members.record_heartbeat(make_heartbeat("vm-2", *domain))
    assert owners_of(parts) == {"vm-2"}


def test_vm_that_starts_or_finishes_owns_nothing():
    parts = Parts(TARGETS)
    parts.members.stop_owning()
    parts.members.record_heartbeat(make_heartbeat("vm-2", stage=FINISHING))
    parts.members.record_heartbeat(make_heartbeat("vm-3", stage=Stage.STARTING))
    assert owners_of(parts) == {None}


def test_weak_leaving_vm_owns_nothing_beside_a_strong_one():
    parts = Parts(TARGETS)
    parts.members.leave()
    parts.members.record_heartbeat(make_heartbeat("vm-2", strength=0.1, stage=LEAVING))
    assert owners_of(parts) == {"vm-1"}


@pytest.mark.parametrize("serving", [0, 1, 5])
@pytest.mark.parametrize("count", [9, 72, 195, 300])
def test_views_of_a_fleet_agree_on_owners(count, serving):
    rng = random.Random(count)
    regions = {"north-a": "north", "south-a": "south"}
    stages = [Stage.SERVING] * serving + [LEAVING] * (count - serving)
    heartbeats = [
        make_heartbeat(f"fe-{number}", domain, regions[domain], stage=stage)
        for number, stage in enumerate(stages)
        for domain in [list(regions)[number % 2]]
    ]
    views = []
    for _ in range(3):
        parts = Parts([*TARGETS, entry("far", domain="south-a")], serving=False)
        rng.shuffle(heartbeats)
        for each in heartbeats:
            parts.members.record_heartbeat(each)
        views.append({each.id: parts.owners.owner_of(each.id) for each in TARGETS})
    assert views[0] == views[1] == views[2]
    best_stage = Stage.SERVING if serving else LEAVING
    owners = {parts.members.find_live(vm).stage for vm in views[0].values()}
    assert owners == {best_stage}


def lookup(parts):
    regions = {"north-a": "north", "north-b": "north"}
    directory = Directory(parts.members, regions, 80, 5.0, parts.clock)
    parts.clock.time += START_SECONDS
    found = directory.lookup("north", "north-a")
    return found, [each.partition(":")[0] for each in found.addresses]


def test_leaving_vm_is_in_lookups_only_where_none_serves():
    parts = Parts(TARGETS)
    parts.members.record_heartbeat(make_heartbeat("vm-2", *FAR, stage=LEAVING))
    found, addresses = lookup(parts)
    assert addresses == [parts.settings.ip]
    assert found.ttl > SHORT_LOOKUP_TTL_SECONDS
    parts.members.leave()
    found, addresses = lookup(parts)
    assert addresses == [parts.settings.ip]
    assert found.ttl == SHORT_LOOKUP_TTL_SECONDS


@pytest.mark.parametrize("stage", [Stage.STARTING, FINISHING])
def test_vm_that_runs_no_requests_is_never_in_lookups(stage):
    parts = Parts(TARGETS)
    parts.members.stop_owning()
    parts.members.record_heartbeat(make_heartbeat("vm-2", stage=stage))
    assert lookup(parts)[1] == []


class LeavingVm:
    """A leaving VM and its handover."""

    def __init__(self, *others):
        self.parts = Parts(TARGETS)
        for other in others:
            self.parts.members.record_heartbeat(other)
        self.handover = Handover(
            self.parts.members,
            self.parts.owners,
            lambda now: now >= self.short_of_time_at,
        )
        self.parts.members.leave()
        now = self.parts.clock.now()
        self.handover.begin(now, now + KEEP_ALIVE_SECONDS, now + STOP_GRACE_SECONDS)
        self.started_at = now
        self.short_of_time_at = now + STOP_GRACE_SECONDS

    def run(self, until, has_clients=False):
        """Advance to ``until`` seconds after the stop signal.

        :return: whether the VM has released its targets.
        """
        clock = self.parts.clock
        while clock.time < self.started_at + until:
            clock.time += 0.05
            for other in self.parts.members.live_others():
                other.last_heartbeat_at = clock.time
            self.handover.release_if_due(clock.time, has_clients)
        return self.handover.has_released


def test_vm_has_nothing_to_hand_over_where_another_serves():
    assert LeavingVm(make_heartbeat("vm-2")).run(0.1)


def test_last_vm_keeps_its_targets_while_a_request_can_finish_in_time():
    leaving = LeavingVm()
    assert not leaving.run(3.7)
    assert leaving.run(3.9)


def test_last_vm_hands_over_to_one_that_serves_again():
    leaving = LeavingVm(make_heartbeat("vm-2", stage=FINISHING))
    assert not leaving.run(1.0)
    leaving.parts.members.record_heartbeat(make_heartbeat("vm-2", incarnation=2))
    assert leaving.run(1.1)


def test_one_leaving_vm_of_a_region_keeps_its_targets_and_idle_ones_hand_over():
    names = [f"vm-{number}" for number in range(2, 9)]
    leaving = LeavingVm(*(make_heartbeat(name, stage=LEAVING) for name in names))
    assert not leaving.run(2.4)
    assert leaving.run(3.0)


def test_last_vm_of_a_region_keeps_its_targets_without_active_clients():
    leaving = LeavingVm(make_heartbeat("vm-2", *FAR, stage=LEAVING))
    assert not leaving.run(3.0)


@pytest.mark.parametrize(("later", "hands_over"), [(0.0, False), (1.0, True)])
def test_vm_with_too_little_time_for_a_route_hands_over_to_one_with_more(
    later, hands_over
):
    leaving = LeavingVm()
    leaving.run(later)
    leaving.parts.members.record_heartbeat(make_heartbeat("vm-2", stage=LEAVING))
    assert not leaving.run(1.5, has_clients=True)
    leaving.short_of_time_at = leaving.parts.clock.now()
    assert leaving.run(1.6, has_clients=True) is hands_over


def test_vm_with_clients_keeps_its_targets():
    names = [f"vm-{number}" for number in range(2, 9)]
    leaving = LeavingVm(*(make_heartbeat(name, stage=LEAVING) for name in names))
    assert not leaving.run(3.7, has_clients=True)
    assert leaving.run(3.9, has_clients=True)


class OwnersMachine(RuleBasedStateMachine):
    """VMs change their stages; three observers learn of it at different times."""

    COUNT = 9

    def __init__(self):
        super().__init__()
        domains = list(REGIONS)
        self.stages = {}
        self.views = []
        for _ in range(3):
            parts = Parts(serving=False)
            parts.members = Members(parts.settings, parts.journal, parts.clock, 1)
            parts.members._regions = REGIONS
            parts.owners = Owners(parts.registry, parts.members)
            parts.registry.replace(
                [entry(f"t{each}", domain=domains[each % 4]) for each in range(12)]
            )
            self.views.append(parts)
        numbers = range(2, 2 + self.COUNT)
        self.domains = {f"vm-{each}": domains[each % 4] for each in numbers}
        for vm in self.domains:
            self.set_stage(vm, Stage.SERVING, 1)
        self.deliver_all()

    @rule(number=st.integers(2, COUNT + 1), stage=st.sampled_from(Stage))
    def change(self, number, stage):
        vm = f"vm-{number}"
        self.set_stage(vm, stage, self.stages[vm][1] + 1)

    def set_stage(self, vm, stage, incarnation):
        self.stages[vm] = stage, incarnation

    @rule(number=st.integers(2, COUNT + 1))
    def deliver_to_first(self, number):
        """Deliver one VM's heartbeat to the first observer only."""
        self.deliver(self.views[0], f"vm-{number}")

    @rule()
    def deliver_all(self):
        for parts in self.views:
            for vm in self.domains:
                self.deliver(parts, vm)

    def deliver(self, parts, vm):
        stage, incarnation = self.stages[vm]
        domain = self.domains[vm]
        heartbeat = make_heartbeat(
            vm, domain, REGIONS[domain], incarnation=incarnation, stage=stage
        )
        parts.members.record_heartbeat(heartbeat)

    def owners(self, parts):
        return {f"t{each}": parts.owners.owner_of(f"t{each}") for each in range(12)}

    @invariant()
    def owners_have_the_best_known_stage(self):
        for parts in self.views:
            known = {each.vm: each.stage for each in parts.members.live_others()}
            best_stage = Stage.SERVING
            if best_stage not in known.values():
                best_stage = LEAVING
            expected = best_stage in known.values()
            for owner in self.owners(parts).values():
                assert (owner is not None) == expected
                assert owner is None or known[owner] == best_stage

    @rule()
    def check_agreement(self):
        self.deliver_all()
        first, *others = map(self.owners, self.views)
        assert all(each == first for each in others)


OwnersMachine.TestCase.settings = settings(max_examples=60, deadline=None)
TestOwners = OwnersMachine.TestCase


class OwningVm(SimulatedVm):
    """A simulated VM that owns targets and runs requests on them."""

    def __init__(self, network, number, incarnation=1, serving=True):
        super().__init__(network, number, incarnation)
        self.members.set_serving(serving)
        journal = Journal(self.name, self.domain)
        clock = network.clock
        self.registry = TargetRegistry(journal, clock)
        self.owners = Owners(self.registry, self.members)
        self.ledger = SlotLedger(
            self.owners,
            self.registry,
            lambda name: None,
            Parts().settings.bounds,
            self.held,
            self.notices,
            journal,
            clock,
        )
        self.registry.replace(network.entries)
        self.composer = HeartbeatComposer(
            self.members,
            NO_TABLES,
            self.ledger,
            Admission(self.ledger, REGIONS.get, clock),
            LossRates(),
            self.suspects,
            tuple,
            clock,
        )
        self.uses = []

    def compose(self, interval):
        return self.composer.compose(interval)

    def new_owners(self):
        return self.ledger.new_owners()

    def successors(self):
        return self.ledger.pop_new_owners()

    def leave(self):
        """Leave as the process does, notifying all gossip partners at once."""
        self.members.leave()
        run_nonblocking(self.gossip.leave())

    def stop(self):
        """End the process and its requests."""
        self.running = False
        self.uses = []

    def run_requests(self, rng):
        """Finish requests that are due and start one on every free slot."""
        run_nonblocking(self.gossip.notify())
        now = self.network.clock.now()
        for use in [each for each in self.uses if each.deadline <= now]:
            self.uses.remove(use)
            self.ledger.release(use)
            use.target.health.record_success(now - use.started_at)
        for target in self.ledger.all():
            while target.free(now):
                deadline = now + rng.uniform(0.2, MAX_RUN_SECONDS)
                self.uses.append(target.claim(now, deadline))


class AnsweringNetwork(Network):
    """A network in which VMs answer the first heartbeat of a VM at once."""

    def send(self, sender, ip, data):
        known = ip in self.vms and self.vms[ip].members.find_live(sender.name)
        super().send(sender, ip, data)
        receiver = self.vms.get(ip)
        member = receiver and receiver.members.find_live(sender.name)
        if member and not known:
            run_nonblocking(receiver.gossip._send_all([member]))


class Fleet:
    """VMs that keep all targets full; sums up the use beyond the slot limit."""

    SLOTS = 4

    def __init__(self, count, targets, loss=0.0, seed=1):
        self.rng = random.Random(seed)
        self.network = AnsweringNetwork(loss, seed)
        self.network.entries = [
            entry(f"t{each}", slots=self.SLOTS, domain=list(REGIONS)[each % 4])
            for each in range(targets)
        ]
        self.vms = [OwningVm(self.network, number) for number in range(count)]
        self.network.run(4.0)
        self.excess_slot_seconds = 0.0
        self.used_slot_seconds = 0.0

    def run(self, seconds, step=0.05):
        end = self.network.clock.time + seconds
        while self.network.clock.time < end:
            for vm in self.network.running():
                vm.run_requests(self.rng)
            self.record_use(step)
            self.network.run(step)

    def record_use(self, step):
        running = {}
        for vm in self.network.running():
            for use in vm.uses:
                target_id = use.target.entry.id
                running[target_id] = running.get(target_id, 0) + 1
        self.used_slot_seconds += sum(running.values()) * step
        self.excess_slot_seconds += (
            sum(max(0, each - self.SLOTS) for each in running.values()) * step
        )

    def restart(self, vm):
        """Start an ended VM again; it serves after two heartbeat intervals."""
        restarted = OwningVm(self.network, vm.number, 2, serving=False)
        self.network.run(2 * HEARTBEAT_INTERVAL_SECONDS)
        restarted.members.set_serving(True)
        return restarted

    def longest_unowned_seconds(self, seconds):
        """Advance the time; return the longest time that a target had no owner."""
        longest, unowned_since = 0.0, {}
        end = self.network.clock.time + seconds
        while self.network.clock.time < end:
            self.network.run(0.05)
            now = self.network.clock.time
            owned = {
                target.entry.id
                for vm in self.network.running()
                for target in vm.ledger.all()
            }
            for each in self.network.entries:
                if each.id in owned:
                    unowned_since.pop(each.id, None)
                else:
                    longest = max(
                        longest, now - unowned_since.setdefault(each.id, now - 0.05)
                    )
        return longest


@pytest.mark.parametrize(
    ("count", "targets", "stops"), [(9, 12, 4), (72, 24, 4), (72, 144, 1)]
)
def test_leaving_vm_hands_its_slots_over(count, targets, stops):
    fleet = Fleet(count, targets)
    fleet.run(1.0)
    for vm in fleet.vms[:stops]:
        vm.leave()
        fleet.run(0.4)
    fleet.run(MAX_RUN_SECONDS)
    assert fleet.used_slot_seconds > 0
    assert fleet.excess_slot_seconds == 0.0


def test_starting_vm_waits_for_slots_of_the_previous_owner():
    fleet = Fleet(9, 12)
    for vm in fleet.vms[:3]:
        vm.leave()
        fleet.run(MAX_RUN_SECONDS + 0.5)
        vm.stop()
        fleet.run(2.0)
        fleet.restart(vm)
        fleet.run(1.0)
    assert fleet.excess_slot_seconds == 0.0


def test_new_owner_is_notified_without_being_a_gossip_partner():
    fleet = Fleet(72, 24)
    fleet.run(1.0)
    for vm in fleet.vms:
        vm.gossip._is_partner = lambda member: False
    leaving = next(vm for vm in fleet.vms if vm.uses)
    leaving.leave()
    new_owners = {
        each.name: each for each in fleet.vms if each.name in leaving.new_owners()
    }
    assert new_owners
    for target_id, owner, count, _ in leaving.ledger.handed_over_targets():
        held = new_owners[owner].held.count(target_id, fleet.network.clock.now())
        assert held == count


def test_whole_failure_domain_is_notified_at_once_of_a_leaving_vm():
    fleet = Fleet(72, 24)
    vm = fleet.vms[0]
    vm.members.leave()
    run_nonblocking(vm.gossip.notify())
    same_domain = [each for each in fleet.vms[1:] if each.domain == vm.domain]
    assert len(same_domain) > MONITORED_IN_REGION
    assert all(each.members.find_live(vm.name).stage == LEAVING for each in same_domain)


def test_successor_is_notified_at_once_of_released_slots():
    fleet = Fleet(72, 24)
    vm = next(each for each in fleet.vms if each.ledger.all())
    (target,) = vm.ledger.all()
    vm.members.leave()
    name = vm.owners.owner_of(target.entry.id)
    successor = next(each for each in fleet.vms if each.name == name)
    now = fleet.network.clock.now()
    successor.held.add_target(target.entry.id, vm.name)
    assert successor.held.count(target.entry.id, now) >= target.entry.slots
    # Suppress the notification of the failure domain, not that of the successor.
    vm.gossip._notified_stage = LEAVING
    run_nonblocking(vm.gossip.notify())
    assert successor.held.count(target.entry.id, now) == 0


@pytest.mark.parametrize("count", [9, 72])
def test_leaving_vm_still_receives_reports(count):
    fleet = Fleet(count, 12)
    vm = fleet.vms[0]
    vm.leave()
    fleet.network.run(2 * REPORT_TTL_SECONDS)
    owners = [
        each
        for each in fleet.vms[1:]
        if vm.capacity_reports.has_valid_report(each.name)
    ]
    assert len(owners) >= min(count - 1, MONITORED_IN_REGION + MONITORED_OUTSIDE_REGION)


def test_end_of_a_leaving_vm_adds_no_monitored_vms():
    fleet = Fleet(72, 12)
    vm = fleet.vms[0]
    monitored = {each.name: len(each.members.topology.monitored) for each in fleet.vms}
    vm.leave()
    fleet.network.run(1.0)
    vm.stop()
    for _ in range(20):
        fleet.network.run(0.2)
        for each in fleet.network.running():
            assert len(each.members.topology.monitored) <= monitored[each.name]
    assert all(not each.members.find_live(vm.name) for each in fleet.network.running())


def test_vms_that_stop_may_have_clients():
    parts = Parts(TARGETS)
    parts.members.record_heartbeat(make_heartbeat("vm-2", stage=FINISHING))
    parts.members.record_heartbeat(make_heartbeat("vm-3", stage=Stage.STARTING))
    parts.members.leave()
    names = {each.vm for each in parts.members.serving_or_stopping()}
    assert names == {"vm-1", "vm-2"}


@pytest.mark.parametrize(("count", "loss"), [(9, 0.0), (9, 0.05), (72, 0.0)])
def test_stopping_fleet_owns_its_targets_until_the_end(count, loss):
    fleet = Fleet(count, 12, loss)
    for vm in fleet.vms:
        vm.leave()
        assert fleet.longest_unowned_seconds(3.6 / count) <= AGREE_SECONDS
    assert fleet.longest_unowned_seconds(1.0) <= AGREE_SECONDS


def test_all_slots_are_used_again_after_lost_heartbeats():
    fleet = Fleet(9, 12, loss=0.3)
    for vm in fleet.vms[:3]:
        vm.leave()
    fleet.run(0.5)
    fleet.network.is_cut = lambda sender, receiver: sender in fleet.vms[:3]
    fleet.run(REPORT_TTL_SECONDS)
    # If VMs that stay lost heartbeats, their targets would get new owners again.
    fleet.network.loss = 0.0
    fleet.run(MAX_RUN_SECONDS + REPORT_TTL_SECONDS)
    now = fleet.network.clock.now()
    owned = [(vm, target) for vm in fleet.vms[3:] for target in vm.ledger.all()]
    assert len(owned) == 12
    for vm, target in owned:
        assert vm.held.count(target.entry.id, now) == 0


def test_reports_of_a_vm_are_dropped_with_it():
    parts = Parts([entry("t1", slots=4)])
    for vm in ("vm-2", "vm-3"):
        parts.members.record_heartbeat(make_heartbeat(vm, stage=LEAVING))
        parts.held.record_report(vm, [["t1", 1, 60.0]])
    parts.held.retain({"vm-3"})
    assert parts.held.count("t1", parts.clock.now()) == 1
    parts.held.retain(set())
    assert not parts.held._holds
    assert not parts.held._target_ids_by_vm
    assert not parts.held._incarnations


class HoldsMachine(RuleBasedStateMachine):
    """Two former owners report slots that they still hold; heartbeats get lost."""

    SLOTS = 4
    VMS = ("vm-2", "vm-3")

    def __init__(self):
        super().__init__()
        self.parts = Parts([entry("t1", slots=self.SLOTS)])
        self.held: HeldSlots = self.parts.held
        self.reported = {}
        self.incarnations = dict.fromkeys(self.VMS, 1)
        for vm in self.VMS:
            self.receive_heartbeat(vm)

    def receive_heartbeat(self, vm):
        heartbeat = make_heartbeat(vm, incarnation=self.incarnations[vm], stage=LEAVING)
        self.parts.members.record_heartbeat(heartbeat)

    @rule(
        vm=st.sampled_from(VMS),
        count=st.integers(0, SLOTS),
        seconds=st.floats(0.0, 5.0),
    )
    def report(self, vm, count, seconds):
        held = [["t1", count, seconds]] if count else []
        self.held.record_report(vm, held)
        self.reported[vm] = count, self.parts.clock.now() + seconds

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm):
        self.incarnations[vm] += 1
        self.receive_heartbeat(vm)
        self.reported.pop(vm, None)

    @rule(seconds=st.floats(0.0, 2.0))
    def wait(self, seconds):
        self.parts.clock.time += seconds

    @rule()
    def claim_slot(self):
        now = self.parts.clock.now()
        (target,) = self.parts.ledger.all()
        if target.free(now):
            target.claim(now, now + 1.0)

    @rule()
    def release(self):
        (target,) = self.parts.ledger.all()
        if target.uses:
            self.parts.ledger.release(target.uses[0])

    @invariant()
    def last_report_counts_until_its_deadline(self):
        now = self.parts.clock.now()
        held = sum(count for count, until in self.reported.values() if now < until)
        assert self.held.count("t1", now) == held
        (target,) = self.parts.ledger.all()
        if not target.health.is_unresponsive(now, now) and target.limit(now):
            expected = max(0, self.SLOTS - held - len(target.uses))
            assert target.free(now) == expected


HoldsMachine.TestCase.settings = settings(max_examples=60, deadline=None)
TestHolds = HoldsMachine.TestCase
