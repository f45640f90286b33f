"""VMs that resume after a suspension, which their monotonic clock does not count."""

import signal
import threading
import time

import pytest
from curio import run, sleep, spawn

from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.response_times import ResponseTimes
from heathercleat.steering.process.capacity.run_times import RunTimes
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.process.shutdown import Shutdown
from heathercleat.steering.request.attempt_result import DEADLINE_REASON, AttemptOutcome
from heathercleat.steering.request.local import CONNECT_TIMEOUT_SECONDS, LocalDispatcher
from standins.skewed import MAX_STEP_SECONDS, SuspendAwareClock
from standins.steering_fleet import SteeringFleet
from tests.steering_parts import Parts, ReachableTargets, call, entry
from tests.test_crashing_requests import (
    DOMAINS,
    DOWN_SECONDS,
    STABLE_SECONDS,
    TARGETS,
    plain_config,
)

SUSPENDED_SECONDS = [0.5, 2.0, 5.0]
WAIT_MS = 1000
#: Limit on the time from the resumption to the client's response: the rest of the
#: request's timeout, and the delay of a response that is forwarded by another VM.
MAX_DELAY_SECONDS = 1.3


@pytest.fixture
def fleet():
    with SteeringFleet(
        plain_config(),
        DOMAINS,
        dict.fromkeys(DOMAINS, 2),
        TARGETS,
        subnet=43,
        suspends=True,
    ) as started:
        yield started


def suspend(vm, seconds):
    vm.process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    vm.process.send_signal(signal.SIGCONT)


def event_names(fleet, vm, since):
    return [line["name"] for line in fleet.log(vm) if line["at"] >= since]


@pytest.mark.parametrize("seconds", SUSPENDED_SECONDS)
def test_resumed_vm_keeps_all_members_and_serves(fleet, seconds):
    vm = fleet.vms["north-a-1"]
    suspend(vm, seconds)
    resumed_at = time.time()
    statuses = [
        fleet.send(vm, "GET", "/one/two/x", f"q{number}")[0] for number in range(20)
    ]
    time.sleep(1.0)
    assert set(statuses) == {200}
    assert "member_dead" not in event_names(fleet, vm, resumed_at)
    assert len(fleet.resolve(vm, "", "")) == len(fleet.vms)


def test_resumed_vm_refuses_requests_quarantined_meanwhile(fleet):
    vm = fleet.vms["north-a-1"]
    fleet.set_fatal_paths(["/one/fatal"], DOWN_SECONDS)
    vm.process.send_signal(signal.SIGSTOP)
    others = [each for each in fleet.vms.values() if each is not vm]
    for number in range(3):
        fleet.send(others[number], "POST", "/one/fatal", f"q{number}")
        time.sleep(1.5 * DOWN_SECONDS)
    assert len(fleet.crashes()) == 3
    vm.process.send_signal(signal.SIGCONT)
    time.sleep(STABLE_SECONDS)
    assert fleet.send(vm, "POST", "/one/fatal", "q4")[0] == 503
    assert len(fleet.crashes()) == 3


def test_request_whose_deadline_passed_in_a_suspension_ends_soon_after(fleet):
    vm = fleet.vms["north-a-1"]
    for each in TARGETS:
        fleet.switch_target(each, work_s=30.0)
    ended_at = []

    def send():
        try:
            fleet.send(vm, "POST", "/one/x", "slow", wait_ms=WAIT_MS)
        finally:
            ended_at.append(time.monotonic())

    client = threading.Thread(target=send)
    client.start()
    time.sleep(0.3)
    suspend(vm, 3.0)
    resumed_at = time.monotonic()
    client.join()
    assert ended_at[0] - resumed_at <= MAX_DELAY_SECONDS


def test_suspend_aware_clock_excludes_suspensions():
    now = [100.0]
    clock = SuspendAwareClock(lambda: now[0])
    now[0] += MAX_STEP_SECONDS / 2
    assert clock.monotonic() == pytest.approx(100.0 + MAX_STEP_SECONDS / 2)
    now[0] += 5.0
    assert clock.monotonic() == pytest.approx(100.0 + MAX_STEP_SECONDS / 2)


class SlowPool:
    """A pool in which connecting takes ``seconds`` and then times out."""

    def __init__(self, clock, seconds):
        self._clock = clock
        self._seconds = seconds
        self.checkout_count = 0

    async def checkout(self, host, port, max_age=None):
        self.checkout_count += 1
        self._clock.time += self._seconds
        raise TimeoutError("the deadline has passed")


def make_dispatcher(parts, pool):
    return LocalDispatcher(
        Admission(parts.ledger, parts.members.region_of, parts.clock),
        parts.ledger,
        parts.registry,
        pool,
        ResponseTimes(),
        Shutdown(RunTimes(parts.clock), lambda: True),
        None,
        Suspects(parts.journal, parts.clock),
        ReachableTargets(),
        parts.journal,
        parts.clock,
    )


def test_request_whose_deadline_passed_while_it_waited_is_not_sent():
    """A target must not be ejected for a deadline that passed in a suspension."""
    parts = Parts([entry("t1", slots=1)])
    pool = SlowPool(parts.clock, 0.0)
    local = make_dispatcher(parts, pool)
    (target,) = parts.ledger.all()
    request = call(parts.clock)
    request.give_up_at = request.deadline

    async def main():
        use = target.claim(parts.clock.now())
        task = await spawn(local.run, request, (), (), request.deadline)
        await sleep(0)
        parts.clock.time += 2.0
        await local._admission.release(use, False)
        return await task.join()

    result = run(main)
    assert (result.outcome, result.reason) == (AttemptOutcome.NOT_SENT, DEADLINE_REASON)
    assert pool.checkout_count == 0
    assert target.limit(parts.clock.now()) == 1


@pytest.mark.parametrize(
    ("left", "is_ejected"),
    [(CONNECT_TIMEOUT_SECONDS / 2, False), (2 * CONNECT_TIMEOUT_SECONDS, True)],
)
def test_target_is_ejected_only_after_the_whole_connect_timeout(left, is_ejected):
    parts = Parts([entry("t1", slots=1)])
    pool = SlowPool(parts.clock, CONNECT_TIMEOUT_SECONDS)
    local = make_dispatcher(parts, pool)
    (target,) = parts.ledger.all()
    request = call(parts.clock)
    request.deadline = parts.clock.now() + left
    result = run(local.run, request, (), (), request.deadline)
    assert result.outcome is AttemptOutcome.NOT_SENT
    assert (target.limit(parts.clock.now()) == 0) is is_ejected
