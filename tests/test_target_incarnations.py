"""Reports of targets that are read out of order, and targets that restart.

A delayed report must not undo a later drain, and state of an earlier incarnation must
not affect the next one.
"""

import time

import pytest

from standins.fleet import wait_for
from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config
from tests.steering_parts import Parts, entry

DOMAINS = {"north-a": "north", "north-b": "north"}
TARGETS = {"i-1": ("s1", "north-a", 4), "i-2": ("s1", "north-b", 4)}
INVALID_DOCUMENTS = [
    {},
    [],
    "ready",
    {"state": "ready"},
    {"service": ["s1"], "zone": {}},
]


def ids(parts):
    return sorted(each.id for each in parts.registry.of_service("s1"))


@pytest.mark.parametrize("whole", [True, False])
def test_delayed_report_does_not_undo_a_drain(whole):
    parts = Parts([entry("t1", sequence=4), entry("t2", sequence=4)])
    parts.registry.update([entry("t1", sequence=21, draining=True)], [])
    delayed = entry("t1", sequence=20)
    if whole:
        parts.registry.replace([delayed, entry("t2", sequence=4)])
    else:
        assert not parts.registry.update([delayed], [])
    assert ids(parts) == ["t2"]


def test_later_report_of_the_same_incarnation_is_accepted():
    parts = Parts([entry("t1", sequence=21, draining=True)])
    assert parts.registry.update([entry("t1", sequence=22)], [])
    assert ids(parts) == ["t1"]


def test_delayed_report_does_not_restore_a_removed_target():
    parts = Parts([entry("t1", sequence=4), entry("t2")])
    parts.registry.update([entry("t1", sequence=21, draining=True)], [])
    parts.registry.update([], ["t1"])
    parts.clock.time += 6.0
    parts.registry.update([entry("t1", sequence=20)], [])
    assert ids(parts) == ["t2"]


def test_removed_target_returns_with_its_next_report():
    parts = Parts([entry("t1", sequence=4)])
    parts.registry.update([], ["t1"])
    parts.registry.update([entry("t1", sequence=5)], [])
    assert ids(parts) == ["t1"]


def test_restarted_target_starts_a_new_sequence():
    parts = Parts([entry("t1", sequence=21, started_ms=1000, draining=True)])
    assert parts.registry.update([entry("t1", sequence=1, started_ms=2000)], [])
    assert ids(parts) == ["t1"]


@pytest.mark.parametrize("started_ms", [1000, None])
def test_report_of_an_earlier_incarnation_changes_nothing(started_ms):
    parts = Parts([entry("t1", sequence=1, started_ms=2000, draining=True)])
    parts.registry.update([entry("t1", sequence=99, started_ms=started_ms)], [])
    assert ids(parts) == []


def test_restarted_target_is_cold_for_its_reported_time():
    parts = Parts([entry("t1", started_ms=1000, cold=9.0)])
    now = parts.clock.now()
    parts.registry.update([entry("t1", started_ms=2000, cold=2.0)], [])
    assert parts.registry.cold_until("t1") == now + 2.0
    parts.registry.update([entry("t1", started_ms=3000)], [])
    assert parts.registry.cold_until("t1") == 0.0


def test_row_that_is_read_again_does_not_extend_the_cold_time():
    same = entry("t1", cold=2.0)
    parts = Parts([same])
    until = parts.registry.cold_until("t1")
    parts.clock.time += 1.5
    parts.registry.replace([same])
    assert parts.registry.cold_until("t1") == until


def test_state_of_the_previous_incarnation_is_dropped():
    parts = Parts([entry("t1", slots=2, started_ms=1000)])
    previous = parts.ledger.get("t1")
    use = previous.claim(parts.clock.now())
    previous.health.eject(parts.clock.now())
    parts.registry.update([entry("t1", slots=2, started_ms=2000)], [])
    target = parts.ledger.get("t1")
    assert target.free(parts.clock.now()) == 2
    parts.ledger.release(use)
    assert target.free(parts.clock.now()) == 2


def test_requests_in_progress_keep_their_slots_in_the_same_incarnation():
    parts = Parts([entry("t1", slots=2, started_ms=1000)])
    parts.ledger.get("t1").claim(parts.clock.now())
    parts.registry.update([entry("t1", slots=2, started_ms=1000, cold=1.0)], [])
    assert parts.ledger.get("t1").free(parts.clock.now()) == 1


def test_target_with_a_new_domain_is_reported_as_a_change():
    parts = Parts([entry("t1")])
    assert parts.registry.update([entry("t1", domain="north-b")], [])


def test_target_with_an_invalid_entry_is_not_used_until_a_valid_one_returns():
    parts = Parts([entry("t1", sequence=4), entry("t2")])
    assert parts.registry.reject(["t1", "t9"])
    assert ids(parts) == ["t2"]
    parts.registry.update([entry("t1", sequence=5)], [])
    assert ids(parts) == ["t1", "t2"]


@pytest.fixture
def fleet():
    with SteeringFleet(
        config(), DOMAINS, dict.fromkeys(DOMAINS, 1), TARGETS, subnet=41
    ) as started:
        yield started


def logged_values(fleet, vm, event, field):
    """Return the set of values of a field in a VM's log lines of an event."""
    return {line[field] for line in fleet.log(vm) if line.get("name") == event}


def gets_requests(fleet, target_id, count=12):
    """Send requests through all VMs; return whether a target ran any of them."""
    before = len(fleet.record(target_id)["runs"])
    for number in range(count):
        for vm in fleet.vms.values():
            status, _, _ = fleet.send(vm, "GET", "/one/two/x", f"{vm.name}-{number}")
            assert status == 200
    return len(fleet.record(target_id)["runs"]) > before


def test_malformed_rows_of_another_writer_do_not_stop_service(fleet):
    for number, document in enumerate(INVALID_DOCUMENTS):
        fleet.put("servers", f"foreign-{number}", document)
    fleet.put("servers", "i-1", {"service": "s1", "slots": "many"})
    for vm in fleet.vms.values():
        wait_for(
            lambda vm=vm: "i-1" in logged_values(fleet, vm, "target_gone", "target")
        )
        assert "foreign-0" in logged_values(fleet, vm, "row_rejected", "key")
    assert not gets_requests(fleet, "i-1")
    fleet.announce("i-1", sequence=5)
    wait_for(lambda: gets_requests(fleet, "i-1"))


def test_restarted_target_with_the_same_id_is_used_again(fleet):
    fleet.announce("i-1", state="draining", sequence=9, born=1000)
    for vm in fleet.vms.values():
        wait_for(
            lambda vm=vm: (
                "i-1" in logged_values(fleet, vm, "target_restarted", "target")
            )
        )
    fleet.announce("i-1", sequence=8, born=1000)
    time.sleep(2.0)
    assert not gets_requests(fleet, "i-1")
    fleet.announce("i-1", sequence=1, born=2000)
    wait_for(lambda: gets_requests(fleet, "i-1"))
