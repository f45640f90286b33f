"""Tests of the admission, queueing and refusal of requests at a VM."""

import json

import pytest
from curio import Event, TaskError, run, sleep, spawn

from heathercleat import HeathercleatError, ResultCode, parse_text
from heathercleat.errors import CallerDisconnectedError
from heathercleat.process.capacity.admission import Admission
from heathercleat.process.capacity.health import MAX_FAILURES, HealthTracker
from heathercleat.process.capacity.leases import HeldLease, LeaseHolder
from heathercleat.process.capacity.queue import MAX_STANDING_HOLDS, ServiceQueue
from heathercleat.process.capacity.retry_budget import RetryBudget
from heathercleat.process.capacity.slots import Hold, SlotLedger
from heathercleat.process.clock import DISTANT_PAST, SystemClock
from heathercleat.process.stalls import Stalls
from heathercleat.request.call import Call
from tests.fakes import FakeLinks, FakeVm, ManualClock
from tests.test_text import make_text

#: Number of concurrent requests that would wait too long for one slot.
BURST = 40


class FakeMembership:
    can_act = True

    def may_act_as_home(self):
        return self.can_act


class FakeDirectory:
    def assigned_homes(self, domain, targets):
        return []


class FakeHolder:
    """A lease holder with a lease of one slot.

    :param fell_short: whether the last search for leases found too few slots.
    """

    def __init__(self, fell_short):
        self.fell_short = fell_short
        self.lease = HeldLease(
            1, "lookup", "t2", "vm", "127.0.0.2", "north-a", 1, DISTANT_PAST, 0, 0
        )

    def on_lease_gained(self, callback):
        pass

    def leases_for(self, service):
        return [self.lease]

    def last_shortfall_at(self, service):
        return SystemClock().now() if self.fell_short else DISTANT_PAST

    def claim(self, service, avoid, max_round_trip):
        return None

    async def request_leases(self, service, want, avoid):
        pass


def make_parts(clock=None, holder=None, **service):
    clock = clock or SystemClock()
    vm = FakeVm()
    vm.text = parse_text(to_source(make_text(**service)))
    vm.local_homes = lambda service: []
    ledger = SlotLedger(clock)
    holder = holder or LeaseHolder(vm, FakeLinks(), FakeDirectory(), clock)
    health = HealthTracker(vm, ledger, clock)
    stalls = Stalls(clock)
    admission = Admission(vm, ledger, holder, FakeMembership(), health, stalls, clock)
    target = vm.text.services["lookup"].targets["t2"]
    ledger.adopt(target, [])
    return vm, ledger, health, admission


def to_source(document):
    return json.dumps(document)


def make_call(vm, seconds=5.0, clock=None):
    service = vm.text.services["lookup"]
    now = (clock or SystemClock()).now()
    return Call(
        id="c",
        service=service,
        kind=service.kinds[0],
        method="GET",
        path="/",
        headers=[],
        deadline=now + seconds,
        wall_deadline=0.0,
        stream=None,
        received_at=now,
    )


def code_of(caught):
    return caught.value.code


def test_requests_beyond_the_slots_wait_and_get_them_in_turn():
    vm, _, _, admission = make_parts()

    async def act():
        permits = [await admission.acquire(make_call(vm)) for _ in range(2)]
        waiting = await spawn(admission.acquire, make_call(vm))
        await sleep(0.01)
        assert admission.waiting_count("lookup") == 1
        await admission.release(make_call(vm), permits[0], True)
        return await waiting.join()

    assert run(act).target.name == "t2"


def test_earliest_deadline_goes_first():
    vm, _, _, admission = make_parts()
    order = []

    async def wait(name, seconds):
        await admission.acquire(make_call(vm, seconds))
        order.append(name)

    async def act():
        permits = [await admission.acquire(make_call(vm)) for _ in range(2)]
        late = await spawn(wait, "late", 5.0)
        early = await spawn(wait, "early", 1.0)
        await sleep(0.01)
        for permit in permits:
            await admission.release(make_call(vm), permit, True)
        await late.join()
        await early.join()

    run(act)
    assert order == ["early", "late"]


def test_refusal_is_immediate_and_has_a_retry_instant():
    vm, _, _, admission = make_parts(queue={"limit": 0, "wait_ms": 400})

    async def act():
        for _ in range(2):
            await admission.acquire(make_call(vm))
        started = SystemClock().now()
        with pytest.raises(HeathercleatError) as caught:
            await admission.acquire(make_call(vm))
        assert SystemClock().now() - started < 0.2
        return caught

    caught = run(act)
    assert code_of(caught) is ResultCode.NO_ROOM
    assert caught.value.retry_at > SystemClock().wall()


def test_retry_instants_of_refused_callers_are_spread():
    vm, _, _, admission = make_parts(queue={"limit": 0, "wait_ms": 400})

    async def act():
        for _ in range(2):
            await admission.acquire(make_call(vm))
        instants = []
        for _ in range(50):
            with pytest.raises(HeathercleatError) as caught:
                await admission.acquire(make_call(vm))
            instants.append(caught.value.retry_at)
        return instants

    instants = run(act)
    assert max(instants) - min(instants) > 0.5


def test_vm_that_may_not_act_as_home_admits_nothing_locally():
    vm, ledger, _, admission = make_parts(queue={"limit": 0, "wait_ms": 400})
    FakeMembership.can_act = False
    try:
        with pytest.raises(HeathercleatError) as caught:
            run(admission.acquire, make_call(vm))
    finally:
        FakeMembership.can_act = True
    assert code_of(caught) is ResultCode.NO_ROOM


def test_requests_wait_for_a_lease_if_this_vm_is_home_of_no_target():
    vm, ledger, _, admission = make_parts()
    ledger.drop_all()

    async def act():
        waiting = [await spawn(admission.acquire, make_call(vm)) for _ in range(3)]
        await sleep(0.05)
        assert admission.waiting_count("lookup") == 3
        for task in waiting:
            await task.cancel()

    run(act)


@pytest.mark.parametrize("fell_short", [False, True])
def test_burst_is_refused_only_after_a_search_for_leases_fell_short(fell_short):
    vm, ledger, _, admission = make_parts(holder=FakeHolder(fell_short))
    ledger.drop_all()
    refused = []

    async def ask():
        try:
            await admission.acquire(make_call(vm))
        except HeathercleatError as error:
            refused.append(error)

    async def act():
        tasks = [await spawn(ask) for _ in range(BURST)]
        await sleep(0)
        waiting = admission.waiting_count("lookup")
        for task in tasks:
            await task.cancel()
        return waiting

    assert (run(act) == BURST) is not fell_short
    assert bool(refused) is fell_short


def test_waiter_that_times_out_gets_a_slot_freed_meanwhile():
    vm, ledger, _, admission = make_parts(queue={"limit": 8, "wait_ms": 100})
    entry = ledger.targets["t2"]
    entry.holds = [Hold(SystemClock().now() + 0.05) for _ in range(2)]
    assert run(admission.acquire, make_call(vm)).target.name == "t2"


def test_stall_of_this_process_does_not_lengthen_the_expected_wait():
    clock = ManualClock()
    vm, _, _, admission = make_parts(clock)
    call = make_call(vm, clock=clock)
    expected = admission.expected_wait(call.service)

    async def act():
        permit = await admission.acquire(call)
        clock.time += 5.0
        await admission.release(call, permit, True)

    run(act)
    assert admission.expected_wait(call.service) < 2 * expected


def test_cancelled_waiter_holds_no_slot():
    vm, ledger, _, admission = make_parts()

    async def act():
        permits = [await admission.acquire(make_call(vm)) for _ in range(2)]
        waiting = await spawn(admission.acquire, make_call(vm))
        await sleep(0.01)
        await waiting.cancel()
        for permit in permits:
            await admission.release(make_call(vm), permit, True)

    run(act)
    assert ledger.targets["t2"].free(SystemClock().now()) == 2


class FakeCallerStream:
    """The connection of a caller; ``disconnect`` closes it."""

    is_request_complete = True

    def __init__(self):
        self._disconnected = Event()

    async def disconnect(self):
        await self._disconnected.set()

    async def wait_closed(self):
        await self._disconnected.wait()
        return True


def test_disconnected_caller_leaves_the_queue_at_once():
    vm, _, _, admission = make_parts()

    async def act():
        for _ in range(2):
            await admission.acquire(make_call(vm))
        call = make_call(vm)
        call.stream = FakeCallerStream()
        waiting = await spawn(admission.acquire, call)
        await sleep(0.01)
        assert admission.waiting_count("lookup") == 1
        await call.stream.disconnect()
        await sleep(0.01)
        assert admission.waiting_count("lookup") == 0
        with pytest.raises(TaskError) as caught:
            await waiting.join()
        return caught.value.__cause__

    assert isinstance(run(act), CallerDisconnectedError)


def test_caller_that_disconnects_when_admitted_holds_no_slot():
    vm, ledger, _, admission = make_parts()

    async def act():
        permits = [await admission.acquire(make_call(vm)) for _ in range(2)]
        call = make_call(vm)
        call.stream = FakeCallerStream()
        await spawn(admission.acquire, call, daemon=True)
        await sleep(0.01)
        await call.stream.disconnect()
        for permit in permits:
            await admission.release(make_call(vm), permit, True)
        await sleep(0.05)

    run(act)
    assert ledger.targets["t2"].free(SystemClock().now()) == 2


def test_standing_queue_shortens_the_wait():
    service = parse_text(to_source(make_text())).services["lookup"]
    queue = ServiceQueue()
    assert queue.max_wait(service, now=100.0, stalled_seconds=0.0) == service.queue_wait
    queue.push(type("Waiting", (), {"request": type("R", (), {"deadline": 1.0})})())
    assert queue.max_wait(service, now=100.1, stalled_seconds=0.0) == service.queue_wait
    assert queue.max_wait(service, now=101.0, stalled_seconds=0.9) == service.queue_wait
    shorter = queue.max_wait(service, now=101.0, stalled_seconds=0.0)
    assert shorter == pytest.approx(MAX_STANDING_HOLDS * queue.mean_hold_seconds)


def test_failing_target_is_ejected_and_returns_with_one_slot():
    clock = ManualClock()
    vm, ledger, health, _ = make_parts(clock, warm_up_s=4)
    target = ledger.targets["t2"].target
    for _ in range(MAX_FAILURES):
        health.record_failure(target, "lost")
    assert ledger.targets["t2"].block_reason == "ejected"
    clock.time += 2.0
    health.update_blocked(clock.time)
    assert ledger.targets["t2"].block_reason is None
    assert ledger.targets["t2"].limit(clock.time) == 1


def test_probe_that_says_ready_does_not_end_an_ejection():
    clock = ManualClock()
    vm, ledger, health, _ = make_parts(clock)
    for _ in range(MAX_FAILURES):
        health.record_failure(ledger.targets["t2"].target, "lost")
    health.health_of("t2").probe_state = "ready"
    health.update_blocked(clock.time + 0.1)
    assert ledger.targets["t2"].block_reason == "ejected"


def test_retries_are_limited_to_a_share_of_the_requests():
    budget = RetryBudget()
    allowed = 0
    for _ in range(1000):
        budget.deposit()
        allowed += budget.withdraw()
    assert 100 <= allowed <= 111
