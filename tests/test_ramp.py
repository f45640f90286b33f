"""Tests that a drained failure domain loses its callers gradually."""

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
from heathercleat.version.drain_ramp import moved_share, ramp_position
from heathercleat.version.text import Drain, DrainScope
from standins.fleet import Fleet, wait_for
from standins.load import Load
from tests.test_text import make_text

WINDOW_SECONDS = 3.0
SLOTS = 8
CAP_SLOTS = 4
RAMP_SECONDS = SLOTS / CAP_SLOTS * WINDOW_SECONDS
DOMAINS = ("north-a", "north-b", "south-a")
CALLERS = 24
#: Requests per second of each caller; low enough that one failure domain can serve all
#: callers on a busy machine.
REQUESTS_PER_SECOND = 2


def make_drain(at=100.0, until=None):
    return Drain("d1", DrainScope.FAILURE_DOMAIN, "north-a", at, until)


def ramp_text(cap=CAP_SLOTS):
    """Return a text in which the slots of north-a take two windows to move."""
    text = make_text()
    text["regions"] = {
        "north": {"failure_domains": ["north-a", "north-b"]},
        "south": {"failure_domains": ["south-a"]},
    }
    service = text["services"]["lookup"]
    # Each target has a third of the cap; the two in other domains add up to ``cap``.
    service["shift_cap"] = {"slots": cap * 3 // 2, "window_s": WINDOW_SECONDS}
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


def test_ramp_time_follows_from_the_caps_of_other_domains():
    assert (
        parse_text(json.dumps(ramp_text())).ramps.ramp_seconds("north-a")
        == RAMP_SECONDS
    )


def test_service_without_a_cap_needs_no_ramp():
    assert parse_text(json.dumps(make_text())).ramps.ramp_seconds("north-a") == 0


def test_drain_begins_after_its_ramp():
    assert scheduled(at=0.0, now=50.0).starts_at == 50.0 + RAMP_SECONDS
    assert scheduled(at=500.0, now=50.0).starts_at == 500.0


@pytest.mark.parametrize(
    ("wall_time", "share"),
    [(90, 0), (94, 0), (97, 0.5), (99.4, 0.9), (100, 1), (500, 1)],
)
def test_callers_move_away_before_the_drain_begins(wall_time, share):
    assert moved_share(make_drain(), RAMP_SECONDS, wall_time) == pytest.approx(share)


@pytest.mark.parametrize(
    ("wall_time", "share"), [(200, 1), (203, 0.5), (206, 0), (999, 0)]
)
def test_callers_return_after_a_cancelled_drain(wall_time, share):
    assert moved_share(
        make_drain(until=200.0), RAMP_SECONDS, wall_time
    ) == pytest.approx(share)


def test_drain_cancelled_during_its_ramp_returns_callers():
    drain = make_drain(until=97.0)
    assert moved_share(drain, RAMP_SECONDS, 97.0) == pytest.approx(0.5)
    assert moved_share(drain, RAMP_SECONDS, 100.0) == pytest.approx(0.0)


@given(
    at=st.floats(100, 200),
    cancelled_after=st.floats(-RAMP_SECONDS, 50),
    wall_time=st.floats(90, 300),
    later=st.floats(0, WINDOW_SECONDS),
)
@settings(max_examples=200, deadline=None)
def test_share_changes_by_at_most_the_cap_in_a_window(
    at, cancelled_after, wall_time, later
):
    drain = make_drain(at, at + cancelled_after)
    change = moved_share(drain, RAMP_SECONDS, wall_time + later) - moved_share(
        drain, RAMP_SECONDS, wall_time
    )
    assert abs(change) * SLOTS <= CAP_SLOTS + 1e-6


def test_each_caller_moves_once_and_most_positions_differ():
    text = parse_text(json.dumps(ramp_text()))
    text.drains["d1"] = make_drain()
    callers = [f"10.0.{number // 250}.{number % 250}" for number in range(1000)]
    moved = [
        {caller for caller in callers if text.avoided_domains(caller, wall_time)}
        for wall_time in (95, 97, 99, 100)
    ]
    assert moved[0] < moved[1] < moved[2] < moved[3] == set(callers)
    assert len(moved[1]) == pytest.approx(500, abs=60)
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
    assert "d1" not in plan_drain(cancelled, other, 101.0 + RAMP_SECONDS).drains


def test_drain_cancelled_before_its_ramp_is_removed():
    planned = plan_drain(make_document(), scheduled(at=500.0), 50.0)
    assert cancel_drain(planned, "d1", 60.0).drains == {}


@pytest.fixture
def fleet():
    vms = dict.fromkeys(DOMAINS, 1)
    settings = {"lookup_ttl_ms": 200}
    with Fleet(ramp_text(), vms, subnet=38, settings=settings) as running:
        running.wait_ready()
        yield running


def test_planned_drain_of_a_domain_moves_callers_gradually(fleet):
    hosts = [vm.host for vm in fleet.vms.values()]
    loads = [
        Load(
            hosts,
            "lookup",
            rate=REQUESTS_PER_SECOND,
            seed=number,
            client=f"10.0.0.{number}",
        )
        for number in range(CALLERS)
    ]
    for load in loads:
        load.__enter__()
    time.sleep(1.0)
    fleet.run("drain", "plan", "d1", "failure_domain", "north-a")
    planned_at = time.time()
    wait_for(
        lambda: not served_since(loads, "north-a", time.time() - 0.5), RAMP_SECONDS + 6
    )
    seconds = time.time() - planned_at
    for load in loads:
        load.stop()
    results = [each for load in loads for each in load.results]
    assert {each.status for each in results} == {200}
    assert seconds > RAMP_SECONDS / 2
    middle_at = planned_at + RAMP_SECONDS / 2
    middle_results = [each for each in results if abs(each.sent_at - middle_at) < 0.5]
    share = len(in_domain(middle_results, "north-a")) / len(middle_results)
    assert 0.2 < share < 0.8


def in_domain(results, domain):
    return [each for each in results if (each.target or "").startswith(domain)]


def served_since(loads, domain, since):
    """Return the requests sent since an instant that a domain served.

    Without requests since then, return all requests.
    """
    results = [each for load in loads for each in list(load.results)]
    recent = [each for each in results if each.sent_at >= since]
    return in_domain(recent, domain) if recent else results
