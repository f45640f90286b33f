"""Tests of the admission queue: which request gets a free slot."""

import pytest
from curio import run, sleep, spawn

from heathercleat.steering.process.capacity.admission import Admission
from tests.steering_parts import Parts, call, entry, route


def make_admission(parts):
    return Admission(parts.ledger, parts.members.region_of, parts.clock)


def fill(parts, *ids):
    """Claim every free slot of some targets and return the uses."""
    now = parts.clock.now()
    return [
        target.claim(now)
        for target in parts.ledger.all()
        if target.entry.id in ids
        for _ in range(target.free(now))
    ]


def acquire(admission, request, preferred=(), patience=0.0):
    deadline = request.arrived_at + patience
    request.give_up_at = deadline
    return run(admission.acquire, request, preferred, frozenset(), deadline)


@pytest.mark.parametrize(("regions", "served"), [((), True), (("north",), False)])
def test_request_stays_within_the_regions_of_its_route(regions, served):
    parts = Parts([entry("t1", slots=1), entry("t9", domain="south-a", slots=4)])
    fill(parts, "t1")
    request = call(parts.clock, route(regions=regions))
    assert (acquire(make_admission(parts), request) is not None) is served


def test_affinity_target_is_preferred():
    parts = Parts([entry("t1", slots=4), entry("t2", slots=4)])
    use = acquire(make_admission(parts), call(parts.clock), preferred=("t2",))
    assert use.target.entry.id == "t2"


@pytest.mark.parametrize(("slots_in_use", "served"), [(1, True), (3, False)])
def test_busy_target_is_reserved_for_requests_with_its_affinity(slots_in_use, served):
    parts = Parts([entry("t1", slots=4), entry("t2", slots=4)])
    fill(parts, "t1")
    (other,) = (each for each in parts.ledger.all() if each.entry.id == "t2")
    for _ in range(slots_in_use):
        other.claim(parts.clock.now())
    use = acquire(make_admission(parts), call(parts.clock), preferred=("t1",))
    assert (use is not None) is served


def service_order(parts, requests, preferred=None):
    """Return the ids of requests in the order in which they get the slot of t1."""
    admission = make_admission(parts)
    (use,) = fill(parts, "t1")
    served_ids = []

    async def wait(request):
        request.give_up_at = request.arrived_at + 5.0
        wanted = (preferred or {}).get(request.id, ())
        permit = await admission.acquire(
            request, wanted, frozenset(), parts.clock.now() + 5.0
        )
        served_ids.append(request.id)
        await admission.release(permit, True)

    async def main():
        tasks = [await spawn(wait, request) for request in requests]
        await sleep(0.05)
        await admission.release(use, True)
        for task in tasks:
            await task.join()

    run(main)
    return served_ids


def test_retried_request_goes_first_and_a_late_one_last():
    parts = Parts([entry("t1", slots=1)])
    late = call(parts.clock, id="late")
    late.soft_deadline = parts.clock.now() - 1.0
    retried = call(parts.clock, is_client_retry=True, id="back")
    first = call(parts.clock, id="first")
    assert service_order(parts, [late, first, retried]) == ["back", "first", "late"]


def test_route_of_higher_priority_goes_first():
    parts = Parts([entry("t1", slots=1)])
    low = call(parts.clock, route(priority=2), id="less")
    high = call(parts.clock, route(priority=1), id="more")
    assert service_order(parts, [low, high]) == ["more", "less"]


def test_disconnected_client_gets_no_slot():
    parts = Parts([entry("t1", slots=1)])
    admission = make_admission(parts)
    fill(parts, "t1")
    request = call(parts.clock)
    request.give_up_at = parts.clock.now() + 5.0

    async def main():
        deadline = parts.clock.now() + 5.0
        task = await spawn(admission.acquire, request, (), frozenset(), deadline)
        await sleep(0.05)
        await request.on_disconnect.interrupt()
        return await task.join()

    assert run(main) is None
    assert admission.waiting_count("s1") == 0


@pytest.mark.parametrize(("patience", "served"), [(0.0, True), (0.1, False)])
def test_free_target_is_not_used_while_a_request_waits_for_affinity(patience, served):
    parts = Parts([entry("t1", slots=2), entry("t2", slots=2)])
    fill(parts, "t1")
    request = call(parts.clock)
    request.affinity_until = request.arrived_at + patience
    use = acquire(make_admission(parts), request, preferred=("t1",))
    assert (use is not None) is served
