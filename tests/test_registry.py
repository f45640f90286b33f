"""Tests of which targets may get requests while their table entries change."""

import pytest

from heathercleat.steering.process.capacity.registry import MISSING_GRACE_SECONDS
from tests.steering_parts import Parts, entry


def ids(parts, service="s1"):
    return sorted(each.id for each in parts.registry.of_service(service))


def test_update_adds_and_removes_entries():
    parts = Parts([entry("t1"), entry("t2")])
    assert ids(parts) == ["t1", "t2"]
    parts.registry.update([entry("t3")], ["t1"])
    assert ids(parts) == ["t2", "t3"]


def test_draining_target_gets_no_requests():
    parts = Parts([entry("t1"), entry("t2")])
    parts.registry.update([entry("t1", draining=True)], [])
    assert ids(parts) == ["t2"]
    assert parts.registry.get("t1") is None


def test_evacuated_domain_gets_no_requests_until_evacuation_ends():
    parts = Parts([entry("t1"), entry("t2", domain="north-b")])
    parts.registry.evacuate(frozenset(["north-b"]))
    assert ids(parts) == ["t1"]
    parts.registry.evacuate(frozenset())
    assert ids(parts) == ["t1", "t2"]


@pytest.fixture
def evacuated_parts():
    """Targets of two failure domains, one of which is evacuated."""
    parts = Parts([entry("t1"), entry("t2", domain="north-b")])
    parts.registry.evacuate(frozenset(["north-b"]))
    return parts


def test_lost_evacuation_holds_until_rows_are_complete_again(evacuated_parts):
    parts = evacuated_parts
    lost_until = parts.clock.now() + 2.0
    parts.registry.evacuate(frozenset(), lost_until=lost_until)
    parts.registry.evacuate(frozenset(["south-a"]), lost_until=lost_until)
    parts.clock.time = lost_until - 0.1
    parts.registry.expire()
    assert ids(parts) == ["t1"]
    parts.clock.time = lost_until
    parts.registry.expire()
    assert ids(parts) == ["t1", "t2"]
    assert parts.registry.evacuated == {"south-a"}


def test_evacuation_that_operators_end_does_not_count_as_lost(evacuated_parts):
    parts = evacuated_parts
    lost_until = parts.clock.now() + 2.0
    parts.registry.evacuate(frozenset(), frozenset(["north-b"]), lost_until)
    assert ids(parts) == ["t1", "t2"]


def test_evacuation_that_is_written_again_does_not_lapse(evacuated_parts):
    parts = evacuated_parts
    lost_until = parts.clock.now() + 2.0
    parts.registry.evacuate(frozenset(), lost_until=lost_until)
    parts.registry.evacuate(frozenset(["north-b"]), lost_until=lost_until)
    parts.clock.time = lost_until
    parts.registry.expire()
    assert ids(parts) == ["t1"]


def end_store_outage(parts):
    """Report the end of a store outage that affected all VMs."""
    parts.registry.record_store_return(parts.clock.now())


def test_entry_removed_in_a_store_outage_is_kept_until_it_returns():
    parts = Parts([entry("t1"), entry("t2")])
    end_store_outage(parts)
    parts.registry.update([], ["t1"])
    assert ids(parts) == ["t1", "t2"]
    parts.clock.time += 1.0
    parts.registry.update([entry("t1")], [])
    parts.clock.time += 3.0
    parts.registry.expire()
    assert ids(parts) == ["t1", "t2"]


@pytest.mark.parametrize("sequence", [1, 2])
def test_vms_that_dropped_a_missing_target_learn_that_its_entry_is_back(sequence):
    parts = Parts([entry("t1", sequence=1), entry("t2")])
    end_store_outage(parts)
    parts.registry.update([], ["t1"])
    assert parts.registry.update([entry("t1", sequence=sequence)], []) == ["t1"]


def test_entry_that_does_not_return_after_a_store_outage_is_removed():
    parts = Parts([entry("t1"), entry("t2")])
    end_store_outage(parts)
    parts.registry.update([], ["t1"])
    parts.clock.time += MISSING_GRACE_SECONDS - 0.01
    parts.registry.expire()
    assert ids(parts) == ["t1", "t2"]
    parts.clock.time += 0.02
    parts.registry.expire()
    assert ids(parts) == ["t2"]


def test_full_list_read_after_an_outage_keeps_missing_entries():
    parts = Parts([entry("t1"), entry("t2")])
    end_store_outage(parts)
    parts.registry.replace([entry("t2")])
    assert ids(parts) == ["t1", "t2"]


def test_missing_entry_is_reported_as_a_change_once():
    parts = Parts([entry("t1"), entry("t2")])
    end_store_outage(parts)
    assert parts.registry.update([], ["t1"])
    assert not parts.registry.update([], ["t1"])


def test_draining_target_is_removed_at_once_after_an_outage():
    parts = Parts([entry("t1", draining=True), entry("t2")])
    end_store_outage(parts)
    parts.registry.update([], ["t1"])
    assert parts.registry.remaining_use_seconds() == {}
    assert not parts.registry.contains("t1")


def test_remaining_use_is_taken_from_the_list_of_another_vm():
    parts = Parts([entry("t1"), entry("t2"), entry("t3")])
    parts.registry.replace([entry("t3")], {"t1": 1.5})
    assert ids(parts) == ["t1", "t3"]
    parts.clock.time += 1.6
    parts.registry.expire()
    assert ids(parts) == ["t3"]


def test_target_that_another_vm_has_removed_is_removed_at_once():
    parts = Parts([entry("t1"), entry("t2")])
    end_store_outage(parts)
    parts.registry.replace([entry("t2")], {})
    assert ids(parts) == ["t2"]


def test_remaining_use_is_never_extended():
    parts = Parts([entry("t1"), entry("t2")])
    parts.registry.replace([entry("t2")], {"t1": 1.0})
    parts.clock.time += 0.5
    parts.registry.replace([entry("t2")], {"t1": 1.0})
    assert parts.registry.remaining_use_seconds() == {"t1": 0.5}


def test_removed_target_is_not_restored_by_another_vms_list():
    parts = Parts([entry("t1"), entry("t2")])
    parts.registry.update([], ["t1"])
    parts.registry.replace([entry("t2")], {"t1": 2.0})
    assert ids(parts) == ["t2"]


def test_replaced_target_is_removed():
    parts = Parts([entry("t1")])
    parts.registry.remove_replaced("t1", "another incarnation answered")
    assert ids(parts) == []


def test_old_entry_does_not_restore_a_replaced_target():
    parts = Parts([entry("t1", version=7)])
    parts.registry.remove_replaced("t1", "another incarnation answered")
    parts.registry.replace([entry("t1", version=7)])
    assert ids(parts) == []
    parts.registry.update([entry("t1", version=9)], [])
    assert ids(parts) == ["t1"]


@pytest.mark.parametrize(("cold", "expected"), [(0.0, 0.0), (2.0, 102.0)])
def test_cold_time_starts_when_the_entry_is_read(cold, expected):
    parts = Parts([entry("t1", cold=cold)])
    assert parts.registry.cold_until("t1") == expected


def test_unchanged_report_in_a_restored_store_makes_no_target_cold():
    parts = Parts([entry("t1", cold=3.0, sequence=4)])
    parts.clock.time += 5.0
    assert not parts.registry.replace([entry("t1", cold=3.0, sequence=4)])
    assert parts.registry.cold_until("t1") <= parts.clock.time


def test_first_table_is_logged_in_one_line_and_later_targets_one_by_one(caplog):
    parts = Parts()
    with caplog.at_level("INFO", "heathercleat"):
        parts.registry.replace([entry("t1"), entry("t2"), entry("t3", service="s2")])
        parts.registry.update([entry("t4")], [])
    lines = [(record.fields["name"], record.fields) for record in caplog.records]
    names = [name for name, _ in lines if name.startswith("target")]
    assert names == ["targets_listed", "target_found"]
    assert dict(lines)["targets_listed"]["services"] == {"s1": 2, "s2": 1}
