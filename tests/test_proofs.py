"""Tests that no VM uses a removed key after the time that the operators allow.

The VMs pass proofs of the newest configuration on in heartbeats over a simulated
network; some of them read the store.
"""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from heathercleat.steering.process.configuration_freshness import (
    ConfigurationFreshness,
)
from standins.membership_simulation import Network, SimulatedVm
from tests.conftest import PHASES_WITHOUT_SHRINKING

REVOCATION_SECONDS = 5.0
#: Seconds between two reads of the store, and for which a read takes.
READ_INTERVAL_SECONDS, READ_SECONDS = 1.0, 0.4
STEP_SECONDS = 0.05
SMALL, LARGE = 12, 30


class KeyedFleet:
    """VMs that learn of configuration versions from a store or from each other.

    A version takes effect in the store at once; a VM may use the keys of its version
    while it has a recent proof.
    """

    def __init__(self, count, readers=3, loss=0.0, seed=1):
        self.network = Network(loss, seed)
        self.vms = [SimulatedVm(self.network, number) for number in range(count)]
        self.readers = set(range(readers))
        self.version = 1
        #: By version: the instant at which the next version was written.
        self.replaced_at = {}
        self.too_late = []
        self._reads = {}
        self.run(4.0)

    @property
    def now(self):
        return self.network.clock.time

    def write_configuration(self):
        """Write a version that removes a key of the one before."""
        self.replaced_at[self.version] = self.now
        self.version += 1

    def can_serve(self, vm):
        """Return whether a VM may use the keys of its version."""
        return vm.freshness.was_newest(REVOCATION_SECONDS, self.now)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.network.run(STEP_SECONDS)
            for number in self.readers:
                self._read(number)
            self._fetch_newer_versions()
            self._check()

    def _read(self, number):
        """Start a read of the store, or finish the one under way."""
        vm, read = self.vms[number], self._reads.get(number)
        if read is None or self.now >= read[0] + READ_INTERVAL_SECONDS:
            self._reads[number] = (self.now, self.version)
        elif self.now >= read[0] + READ_SECONDS and vm.running:
            began_at, version = read
            vm.configuration_version = max(vm.configuration_version, version)
            vm.freshness.record_read(began_at)

    def _fetch_newer_versions(self):
        """Let each VM fetch the version of VMs that it can hear."""
        for vm in self.vms:
            heard = [
                other.configuration_version
                for other in self.vms
                if vm.members.find_live(other.name) is not None
                and not self.network.is_cut(other, vm)
            ]
            if vm.running and random.random() < 0.2:
                vm.configuration_version = max(vm.configuration_version, *heard, 0)

    def _check(self):
        for vm in self.vms:
            replaced_at = self.replaced_at.get(vm.configuration_version)
            if vm.running and replaced_at is not None and self.can_serve(vm):
                late = self.now - replaced_at - REVOCATION_SECONDS
                if late > 0.0:
                    self.too_late.append((vm.name, late))


@pytest.mark.parametrize("count", [SMALL, LARGE])
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_every_vm_has_a_recent_proof_while_some_read_the_store(count, loss):
    fleet = KeyedFleet(count, loss=loss)
    for _ in range(40):
        fleet.run(0.1)
        assert all(map(fleet.can_serve, fleet.vms))


def test_vms_without_contact_stop_in_time():
    fleet = KeyedFleet(SMALL)
    cut = fleet.vms[4:8]
    fleet.network.is_cut = lambda sender, receiver: (sender in cut) != (receiver in cut)
    fleet.write_configuration()
    fleet.run(2.0)
    assert all(map(fleet.can_serve, cut))
    fleet.run(4.0)
    assert not any(map(fleet.can_serve, cut))
    assert all(map(fleet.can_serve, fleet.vms[:4]))
    assert not fleet.too_late


def test_all_vms_stop_in_time_when_nobody_reads_the_store():
    fleet = KeyedFleet(SMALL)
    fleet.readers = set()
    fleet.write_configuration()
    fleet.run(6.0)
    assert not any(map(fleet.can_serve, fleet.vms))
    assert not fleet.too_late


def test_suspended_vm_has_no_proof_when_it_wakes():
    fleet = KeyedFleet(SMALL)
    fleet.vms[0].running = fleet.vms[8].running = False
    fleet.write_configuration()
    fleet.run(7.0)
    assert not any(map(fleet.can_serve, (fleet.vms[0], fleet.vms[8])))


def test_pause_between_receiving_and_sending_does_not_renew_a_proof():
    fleet = KeyedFleet(2, readers=1)
    reader, other = fleet.vms
    fleet.readers = set()
    began_at = reader.freshness.proven_at
    fleet.run(1.0)
    assert other.freshness.proven_at <= began_at


def make_freshness(version):
    """Return the freshness of a VM with a version in force."""
    return ConfigurationFreshness(lambda: version)


def test_read_of_a_restored_store_proves_nothing_while_a_peer_has_a_newer_version():
    freshness = make_freshness(74)
    freshness.record_read(10.0)
    freshness.record_report("vm-2", 77, 10.2, 1.0)
    freshness.record_read(11.0)
    assert not freshness.was_newest(REVOCATION_SECONDS, 11.0)


def test_change_that_a_peer_has_first_leaves_the_proof_from_before_it():
    freshness = make_freshness(74)
    for at in (8.0, 9.0, 10.0, 11.0):
        freshness.record_report("vm-2", 74, at, 0.5)
    freshness.record_report("vm-2", 77, 11.2, 0.1)
    assert freshness.proven_at == 10.5
    freshness.record_read(13.0)
    assert freshness.proven_at == 11.0


def test_proof_counts_again_once_the_newer_version_is_in_force():
    versions = [74]
    freshness = ConfigurationFreshness(lambda: versions[-1])
    freshness.record_report("vm-2", 77, 10.0, 1.0)
    freshness.record_read(11.0)
    versions.append(77)
    assert freshness.proven_at == 11.0


class KeyedFleetMachine(RuleBasedStateMachine):
    """Cuts, stalls and readers that change never extend the use of a removed key."""

    def __init__(self):
        super().__init__()
        self.fleet = KeyedFleet(6, readers=2, loss=0.1)

    @rule(seconds=st.sampled_from([0.3, 1.0, 3.0]))
    def wait(self, seconds):
        self.fleet.run(seconds)

    @rule()
    def write_configuration(self):
        self.fleet.write_configuration()

    @rule(readers=st.sets(st.integers(0, 5), max_size=3))
    def turn_away(self, readers):
        self.fleet.readers = readers

    @rule(numbers=st.sets(st.integers(0, 5), max_size=5))
    def cut(self, numbers):
        names = {f"vm-{number}" for number in numbers}
        self.fleet.network.is_cut = lambda sender, receiver: (
            (sender.name in names) != (receiver.name in names)
        )

    @rule(numbers=st.sets(st.integers(0, 5), max_size=3))
    def suspend(self, numbers):
        for number, vm in enumerate(self.fleet.vms):
            vm.running = number not in numbers

    @invariant()
    def no_key_is_used_too_late(self):
        assert not self.fleet.too_late


KeyedFleetMachine.TestCase.settings = settings(
    max_examples=15,
    stateful_step_count=12,
    deadline=None,
    phases=PHASES_WITHOUT_SHRINKING,
)
TestKeyedFleet = KeyedFleetMachine.TestCase
