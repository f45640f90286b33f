import pytest

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


def test_entry_that_lapsed_with_the_store_is_kept_until_it_is_back():
    parts = Parts([entry("t1"), entry("t2")])
    parts.registry.store_returned()
    parts.registry.update([], ["t1"])
    assert ids(parts) == ["t1", "t2"]
    parts.clock.time += 1.0
    parts.registry.update([entry("t1")], [])
    parts.clock.time += 3.0
    parts.registry.update([], [])
    assert ids(parts) == ["t1", "t2"]


def test_entry_that_stays_away_after_the_stores_return_is_gone():
    parts = Parts([entry("t1"), entry("t2")])
    parts.registry.store_returned()
    parts.registry.update([], ["t1"])
    parts.clock.time += 3.0
    parts.registry.update([], [])
    assert ids(parts) == ["t2"]


def test_whole_list_read_after_an_outage_keeps_lapsed_entries_for_a_while():
    parts = Parts([entry("t1"), entry("t2")])
    parts.registry.store_returned()
    parts.registry.replace([entry("t2")])
    assert ids(parts) == ["t1", "t2"]


def test_replaced_target_is_forgotten():
    parts = Parts([entry("t1")])
    parts.registry.forget("t1", "another incarnation answered")
    assert ids(parts) == []


@pytest.mark.parametrize(("cold", "expected"), [(0.0, 0.0), (2.0, 102.0)])
def test_cold_time_counts_from_the_entry(cold, expected):
    parts = Parts([entry("t1", cold=cold)])
    assert parts.registry.cold_until("t1") == expected
