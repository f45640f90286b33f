"""Tests of the retries that all VMs together send for a service."""

import pytest

from heathercleat.steering.process.capacity.retry_budget import RetryBudgets
from tests.steering_parts import Parts, make_heartbeat

VM_COUNT = 9
SERVICE = "s1"
#: Seconds between two checks which VMs are live.
CHECK_SECONDS = 0.5
#: Retries that the budget allows all VMs together without a request.
SLACK = 60.0
#: Requests that one VM gets in a window.
REQUESTS = 100


class RetryingVm:
    """A VM of a fleet that retries as often as its budget allows."""

    def __init__(self, is_first_start=False):
        self.is_first_start = is_first_start
        self.parts = Parts()
        self._start_process()
        self.hear_others()

    def _start_process(self):
        parts = self.parts
        parts.settings.is_first_start = self.is_first_start
        self.bounds = parts.settings.bounds
        self.bounds.retry_slack = SLACK
        budgets = RetryBudgets(parts.members, parts.settings, parts.clock)
        self.budget = budgets.of(SERVICE)

    @property
    def now(self):
        return self.parts.clock.time

    def hear_others(self):
        for number in range(2, VM_COUNT + 1):
            self.parts.members.record_heartbeat(make_heartbeat(f"vm-{number}"))

    def restart(self):
        """Replace the process, which then hears the other VMs."""
        self.is_first_start = False
        self.parts = Parts()
        self._start_process()
        self.hear_others()

    def lose_others(self, seconds):
        """Let time pass without heartbeats of other VMs."""
        for _ in range(round(seconds / CHECK_SECONDS)):
            self.pass_time(CHECK_SECONDS)
            self.parts.members.update_live()

    def pass_time(self, seconds):
        self.parts.clock.time += seconds

    def serve(self, requests=REQUESTS):
        for _ in range(requests):
            self.budget.record_request(self.now)

    def retry_all(self):
        count = 0
        while self.budget.withdraw(self.now):
            count += 1
        return count

    def allowed(self, requests=REQUESTS):
        """Return the retries that this many requests allow all VMs together."""
        return self.bounds.retry_ratio * requests + self.bounds.retry_slack


@pytest.fixture
def vms():
    return [RetryingVm() for _ in range(VM_COUNT)]


@pytest.mark.parametrize("cut_seconds", [2.0, 30.0, 120.0, 400.0])
def test_vms_that_are_cut_off_from_each_other_stay_within_the_budget(vms, cut_seconds):
    retries = 0
    for vm in vms:
        vm.lose_others(cut_seconds)
        vm.serve()
        retries += vm.retry_all()
    assert 0 < retries <= vms[0].allowed(VM_COUNT * REQUESTS)


@pytest.mark.parametrize("restarts", [1, 2, 4])
def test_vms_that_restart_within_a_window_stay_within_the_budget(vms, restarts):
    retries = 0
    for vm in vms:
        vm.pass_time(60.0)
        retries += vm.retry_all()
        for _ in range(restarts):
            vm.pass_time(1.0)
            vm.restart()
            retries += vm.retry_all()
    assert 0 < retries <= vms[0].allowed(0)


def test_vm_that_starts_alone_does_not_use_the_budget_of_the_fleet(vms):
    retries = sum(vm.retry_all() for vm in vms)
    starting = RetryingVm()
    starting.parts = Parts()
    starting._start_process()
    retries += starting.retry_all()
    assert retries <= vms[0].allowed(0)


def test_vms_that_start_for_the_first_time_may_retry_at_once():
    vms = [RetryingVm(is_first_start=True) for _ in range(VM_COUNT)]
    retries = sum(vm.retry_all() for vm in vms)
    assert VM_COUNT <= retries <= vms[0].allowed(0)
