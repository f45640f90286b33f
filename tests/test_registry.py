import pytest

from heathercleat.steering.process.capacity.registry import LAPSE_GRACE_SECONDS
from tests.steering_parts import Parts, entry


def ids(parts, service="s1"):
    return sorted(each.id for each in parts.registry.of_service(service))


def test_entries_come_and_go():
    parts = Parts([entry("t1"), entry("t2")])
    assert ids(parts) == ["t1", "t2"]
    parts.registry.update([entry("t3")], ["t1"])
    assert ids(parts) == ["t2", "t3"]


def test_draining_target_gets_no_requests():
    parts = Parts([entry("t1"), entry("t2")])
    parts.registry.update([entry("t1", draining=True)], [])
    assert ids(parts) == ["t2"]
    assert parts.registry.get("t1") is None


def test_evacuated_domain_gets_no_requests_until_it_is_taken_back():
    parts = Parts([entry("t1"), entry("t2", domain="north-b")])
    parts.registry.evacuate(frozenset(["north-b"]))
    assert ids(parts) == ["t1"]
    parts.registry.evacuate(frozenset())
    assert ids(parts) == ["t1", "t2"]


def returned(parts):
    """Let the store return after it was away for all."""
    parts.registry.store_returned(parts.clock.now())


def test_entry_that_lapsed_with_the_store_is_kept_until_it_is_back():
    parts = Parts([entry("t1"), entry("t2")])
    returned(parts)
    parts.registry.update([], ["t1"])
    assert ids(parts) == ["t1", "t2"]
    parts.clock.time += 1.0
    parts.registry.update([entry("t1")], [])
    parts.clock.time += 3.0
    parts.registry.expire()
    assert ids(parts) == ["t1", "t2"]


def test_entry_that_stays_away_after_the_stores_return_is_gone():
    parts = Parts([entry("t1"), entry("t2")])
    returned(parts)
    parts.registry.update([], ["t1"])
    parts.clock.time += LAPSE_GRACE_SECONDS - 0.01
    parts.registry.expire()
    assert ids(parts) == ["t1", "t2"]
    parts.clock.time += 0.02
    parts.registry.expire()
    assert ids(parts) == ["t2"]


def test_whole_list_read_after_an_outage_keeps_lapsed_entries_for_a_while():
    parts = Parts([entry("t1"), entry("t2")])
    returned(parts)
    parts.registry.replace([entry("t2")])
    assert ids(parts) == ["t1", "t2"]


def test_entry_that_lapses_matters_to_other_vms_once():
    parts = Parts([entry("t1"), entry("t2")])
    returned(parts)
    assert parts.registry.update([], ["t1"])
    assert not parts.registry.update([], ["t1"])


def test_target_that_said_that_it_leaves_does_not_lapse():
    parts = Parts([entry("t1", draining=True), entry("t2")])
    returned(parts)
    parts.registry.update([], ["t1"])
    assert parts.registry.lapsing() == {}
    assert not parts.registry.knows("t1")


def test_list_of_another_vm_tells_for_how_long_entries_lapse():
    parts = Parts([entry("t1"), entry("t2"), entry("t3")])
    parts.registry.replace([entry("t3")], {"t1": 1.5})
    assert ids(parts) == ["t1", "t3"]
    parts.clock.time += 1.6
    parts.registry.expire()
    assert ids(parts) == ["t3"]


def test_own_grace_does_not_keep_what_another_vm_knows_to_be_gone():
    parts = Parts([entry("t1"), entry("t2")])
    returned(parts)
    parts.registry.replace([entry("t2")], {})
    assert ids(parts) == ["t2"]


def test_lapse_is_never_extended():
    parts = Parts([entry("t1"), entry("t2")])
    parts.registry.replace([entry("t2")], {"t1": 1.0})
    parts.clock.time += 0.5
    parts.registry.replace([entry("t2")], {"t1": 1.0})
    assert parts.registry.lapsing() == {"t1": 0.5}


def test_target_that_is_gone_is_not_brought_back_by_another_vms_lapse():
    parts = Parts([entry("t1"), entry("t2")])
    parts.registry.update([], ["t1"])
    parts.registry.replace([entry("t2")], {"t1": 2.0})
    assert ids(parts) == ["t2"]


def test_replaced_target_is_forgotten():
    parts = Parts([entry("t1")])
    parts.registry.remove_replaced("t1", "another incarnation answered")
    assert ids(parts) == []


def test_old_entry_of_a_replaced_target_does_not_bring_it_back():
    parts = Parts([entry("t1", version=7)])
    parts.registry.remove_replaced("t1", "another incarnation answered")
    parts.registry.replace([entry("t1", version=7)])
    assert ids(parts) == []
    parts.registry.update([entry("t1", version=9)], [])
    assert ids(parts) == ["t1"]


@pytest.mark.parametrize(("cold", "expected"), [(0.0, 0.0), (2.0, 102.0)])
def test_cold_time_counts_from_the_entry(cold, expected):
    parts = Parts([entry("t1", cold=cold)])
    assert parts.registry.cold_until("t1") == expected


def test_first_table_is_one_line_and_later_targets_are_a_line_each(caplog):
    parts = Parts()
    with caplog.at_level("INFO", "heathercleat"):
        parts.registry.replace([entry("t1"), entry("t2"), entry("t3", service="s2")])
        parts.registry.update([entry("t4")], [])
    lines = [(record.fields["name"], record.fields) for record in caplog.records]
    names = [name for name, _ in lines if name.startswith("target")]
    assert names == ["targets_listed", "target_found"]
    assert dict(lines)["targets_listed"]["services"] == {"s1": 2, "s2": 1}
