import json
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heathercleat import parse_text
from heathercleat.process.configuration.editing import (
    cancel_drain,
    plan_drain,
    schedule_drain,
)
from heathercleat.version.document import Document
from heathercleat.version.drain_ramp import departed_share, ramp_position
from heathercleat.version.text import Drain, DrainScope
from standins.fleet import Fleet, wait_for
from standins.load import Load
from tests.test_text import make_text

WINDOW = 3.0
SLOTS = 8
CAP = 4
LEAD = SLOTS / CAP * WINDOW
DOMAINS = ("north-a", "north-b", "south-a")
CALLERS = 24
#: Requests a second of each caller: together they need 5 of the 8 slots of a failure
#: domain where a request takes 0.1 s, as it did on a machine with a load average of 25.
RATE = 2


def make_drain(at=100.0, until=None):
    return Drain("d1", DrainScope.FAILURE_DOMAIN, "north-a", at, until)


def ramp_text(cap=CAP):
    """Return a text in which all slots of north-a need two windows to move."""
    text = make_text()
    text["regions"] = {
        "north": {"failure_domains": ["north-a", "north-b"]},
        "south": {"failure_domains": ["south-a"]},
    }
    service = text["services"]["lookup"]
    # Each of the three targets has a third of the cap; two of them are elsewhere.
    service["shift_cap"] = {"slots": cap * 3 // 2, "window_s": WINDOW}
    service["targets"] = {
        f"{domain}-t": {
            "address": f"127.0.0.{number}:9000",
            "failure_domain": domain,
            "slots": SLOTS,
        }
        for number, domain in enumerate(DOMAINS, 1)
    }
    return text


def make_document():
    return Document(json.dumps(ramp_text()), {})


def scheduled(at=0.0, now=50.0):
    drain = make_drain(at)
    return schedule_drain(make_document().parse(), drain, now)


def test_lead_is_what_the_caps_elsewhere_need():
    assert parse_text(json.dumps(ramp_text())).ramps.ramp_seconds("north-a") == LEAD


def test_service_without_a_cap_needs_no_lead():
    assert parse_text(json.dumps(make_text())).ramps.ramp_seconds("north-a") == 0


def test_drain_begins_late_enough_for_its_callers_to_move():
    assert scheduled(at=0.0, now=50.0).at == 50.0 + LEAD
    assert scheduled(at=500.0, now=50.0).at == 500.0


@pytest.mark.parametrize(
    ("wall", "share"), [(90, 0), (94, 0), (97, 0.5), (99.4, 0.9), (100, 1), (500, 1)]
)
def test_callers_leave_before_the_drain_begins(wall, share):
    assert departed_share(make_drain(), LEAD, wall) == pytest.approx(share)


@pytest.mark.parametrize(("wall", "share"), [(200, 1), (203, 0.5), (206, 0), (999, 0)])
def test_callers_return_after_a_cancelled_drain(wall, share):
    assert departed_share(make_drain(until=200.0), LEAD, wall) == pytest.approx(share)


def test_drain_cancelled_while_callers_leave_turns_them_round():
    drain = make_drain(until=97.0)
    assert departed_share(drain, LEAD, 97.0) == pytest.approx(0.5)
    assert departed_share(drain, LEAD, 100.0) == pytest.approx(0.0)


@given(
    at=st.floats(100, 200),
    cancelled_after=st.floats(-LEAD, 50),
    wall=st.floats(90, 300),
    later=st.floats(0, WINDOW),
)
@settings(max_examples=200, deadline=None)
def test_share_changes_by_a_cap_within_a_window_at_most(
    at, cancelled_after, wall, later
):
    drain = make_drain(at, at + cancelled_after)
    change = departed_share(drain, LEAD, wall + later) - departed_share(
        drain, LEAD, wall
    )
    assert abs(change) * SLOTS <= CAP + 1e-6


def test_each_caller_moves_once_and_most_positions_differ():
    text = parse_text(json.dumps(ramp_text()))
    text.drains["d1"] = make_drain()
    callers = [f"10.0.{number // 250}.{number % 250}" for number in range(1000)]
    away = [
        {caller for caller in callers if text.avoided(caller, wall)}
        for wall in (95, 97, 99, 100)
    ]
    assert away[0] < away[1] < away[2] < away[3] == set(callers)
    assert len(away[1]) == pytest.approx(500, abs=60)
    assert len({ramp_position(caller) for caller in callers}) == len(callers)


def test_cancelled_drain_is_kept_while_callers_return():
    document, text = make_document(), make_document().parse()
    drain = schedule_drain(text, make_drain(0.0), 50.0)
    planned = plan_drain(document, drain, 50.0)
    cancelled = cancel_drain(planned, "d1", 100.0)
    assert cancelled.drains["d1"][3] == 100.0
    target = cancelled.parse().find_target("north-a-t")
    assert cancelled.parse().find_drain(target, 101.0) is None
    other = Drain("d2", DrainScope.TARGET, "south-a-t", 0.0)
    assert "d1" in plan_drain(cancelled, other, 101.0).drains
    assert "d1" not in plan_drain(cancelled, other, 101.0 + LEAD).drains


def test_drain_cancelled_before_anybody_moved_is_forgotten():
    planned = plan_drain(make_document(), scheduled(at=500.0), 50.0)
    assert cancel_drain(planned, "d1", 60.0).drains == {}


@pytest.fixture
def fleet():
    vms = dict.fromkeys(DOMAINS, 1)
    settings = {"lookup_ttl_ms": 200}
    with Fleet(ramp_text(), vms, subnet=38, settings=settings) as running:
        running.wait_ready()
        yield running


def test_planned_drain_of_a_domain_moves_callers_little_by_little(fleet):
    hosts = [vm.host for vm in fleet.vms.values()]
    loads = [
        Load(hosts, "lookup", rate=RATE, seed=number, client=f"10.0.0.{number}")
        for number in range(CALLERS)
    ]
    for load in loads:
        load.__enter__()
    time.sleep(1.0)
    fleet.run("drain", "plan", "d1", "failure_domain", "north-a")
    planned_at = time.time()
    wait_for(lambda: not named(loads, "north-a", time.time() - 0.5), LEAD + 6)
    seconds = time.time() - planned_at
    for load in loads:
        load.stop()
    results = [each for load in loads for each in load.results]
    assert {each.status for each in results} == {200}
    assert seconds > LEAD / 2
    middle = planned_at + LEAD / 2
    during = [each for each in results if abs(each.sent_at - middle) < 0.5]
    share = len(in_domain(during, "north-a")) / len(during)
    assert 0.2 < share < 0.8


def in_domain(results, domain):
    return [each for each in results if (each.target or "").startswith(domain)]


def named(loads, domain, since):
    """Return the requests that a domain served for callers since an instant."""
    results = [each for load in loads for each in list(load.results)]
    recent = [each for each in results if each.sent_at >= since]
    return in_domain(recent, domain) if recent else results
