import pytest
from curio import run, sleep, spawn

from heathercleat.steering.process.capacity.admission import Admission
from tests.steering_parts import Parts, call, entry, route


def admission(parts):
    return Admission(parts.ledger, parts.members.region_of, parts.clock)


def fill(parts, *ids):
    """Take every slot of some targets and return the uses."""
    now = parts.clock.now()
    return [
        target.claim(now)
        for target in parts.ledger.all()
        if target.entry.id in ids
        for _ in range(target.free(now))
    ]


def acquire(made, request, preferred=(), patience=0.0):
    until = request.arrived_at + patience
    request.give_up_at = until
    return run(made.acquire, request, preferred, frozenset(), until)


@pytest.mark.parametrize(("regions", "served"), [((), True), (("north",), False)])
def test_owner_of_another_regions_target_keeps_to_the_routes_regions(regions, served):
    parts = Parts([entry("t1", slots=1), entry("t9", domain="south-a", slots=4)])
    fill(parts, "t1")
    request = call(parts.clock, route(regions=regions))
    assert (acquire(admission(parts), request) is not None) is served


def test_target_that_knows_the_object_goes_first():
    parts = Parts([entry("t1", slots=4), entry("t2", slots=4)])
    use = acquire(admission(parts), call(parts.clock), preferred=("t2",))
    assert use.target.entry.id == "t2"


@pytest.mark.parametrize(("taken", "served"), [(1, True), (3, False)])
def test_busy_target_is_kept_for_the_objects_that_it_knows(taken, served):
    parts = Parts([entry("t1", slots=4), entry("t2", slots=4)])
    fill(parts, "t1")
    (other,) = (each for each in parts.ledger.all() if each.entry.id == "t2")
    for _ in range(taken):
        other.claim(parts.clock.now())
    use = acquire(admission(parts), call(parts.clock), preferred=("t1",))
    assert (use is not None) is served


def order_of(parts, requests, preferred=None):
    """Return the ids of requests in the order in which they get the slot of t1."""
    made = admission(parts)
    (use,) = fill(parts, "t1")
    got = []

    async def wait(request):
        request.give_up_at = request.arrived_at + 5.0
        wanted = (preferred or {}).get(request.id, ())
        permit = await made.acquire(
            request, wanted, frozenset(), parts.clock.now() + 5.0
        )
        got.append(request.id)
        await made.release(permit, True)

    async def main():
        tasks = [await spawn(wait, request) for request in requests]
        await sleep(0.05)
        await made.release(use, True)
        for task in tasks:
            await task.join()

    run(main)
    return got


def test_request_that_came_back_goes_first_and_a_late_one_last():
    parts = Parts([entry("t1", slots=1)])
    late = call(parts.clock, id="late")
    late.soft_deadline = parts.clock.now() - 1.0
    back = call(parts.clock, is_client_retry=True, id="back")
    first = call(parts.clock, id="first")
    assert order_of(parts, [late, first, back]) == ["back", "first", "late"]


def test_more_urgent_route_goes_first():
    parts = Parts([entry("t1", slots=1)])
    less = call(parts.clock, route(priority=2), id="less")
    more = call(parts.clock, route(priority=1), id="more")
    assert order_of(parts, [less, more]) == ["more", "less"]


def test_client_that_left_gets_no_slot():
    parts = Parts([entry("t1", slots=1)])
    made = admission(parts)
    fill(parts, "t1")
    request = call(parts.clock)
    request.give_up_at = parts.clock.now() + 5.0

    async def main():
        until = parts.clock.now() + 5.0
        task = await spawn(made.acquire, request, (), frozenset(), until)
        await sleep(0.05)
        await request.on_disconnect.interrupt()
        return await task.join()

    assert run(main) is None
    assert made.waiting_count("s1") == 0


@pytest.mark.parametrize(("patience", "served"), [(0.0, True), (0.1, False)])
def test_idle_target_is_not_used_while_a_request_waits_for_its_home(patience, served):
    parts = Parts([entry("t1", slots=2), entry("t2", slots=2)])
    fill(parts, "t1")
    request = call(parts.clock)
    request.affinity_until = request.arrived_at + patience
    use = acquire(admission(parts), request, preferred=("t1",))
    assert (use is not None) is served
