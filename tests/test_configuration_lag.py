"""Tests of the log lines about VMs that do not have the newest configuration."""

import pytest

from heathercleat.events import Event
from heathercleat.steering.process.configuration_freshness import (
    BEHIND_SECONDS,
    BehindMonitor,
    ConfigurationFreshness,
)
from tests.fakes import FakeJournal, ManualClock

OWN_VERSION = 7


@pytest.fixture
def vm():
    return MonitoredVm()


class MonitoredVm:
    """A VM whose configuration is compared with those of others."""

    def __init__(self):
        self.version = OWN_VERSION
        self.clock = ManualClock()
        self.journal = FakeJournal()
        self.freshness = ConfigurationFreshness(lambda: self.version)
        self.monitor = BehindMonitor(
            self.freshness, lambda: self.version, self.journal, self.clock
        )

    def report(self, vm, version):
        self.freshness.record_report(vm, version, self.clock.now(), 0.0)

    def events_after(self, seconds):
        """Return the events of a check some seconds after another one."""
        self.monitor.check()
        self.clock.time += seconds
        self.monitor.check()
        return [event for event, _ in self.journal.events]


def test_vm_that_stays_behind_logs_the_version_that_it_lacks(vm):
    vm.report("vm-2", OWN_VERSION)
    vm.report("vm-3", OWN_VERSION + 2)
    assert vm.events_after(BEHIND_SECONDS) == [Event.CONFIGURATION_BEHIND]
    assert vm.journal.events[0][1]["peer"] == "vm-3"
    vm.version += 2
    assert vm.events_after(0.0)[1:] == [Event.CONFIGURATION_CURRENT]


@pytest.mark.parametrize(
    ("version", "seconds"), [(OWN_VERSION, 9.0), (OWN_VERSION + 1, 0.5)]
)
def test_configuration_on_its_way_is_not_logged_as_missing(vm, version, seconds):
    vm.report("vm-2", version)
    assert vm.events_after(seconds) == []


def test_version_of_a_vm_that_was_lost_is_not_missed(vm):
    vm.report("vm-2", OWN_VERSION + 1)
    vm.freshness.retain(())
    assert vm.events_after(BEHIND_SECONDS) == []
