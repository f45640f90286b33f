"""Tests that each target has exactly one owner, preferably a near and strong VM."""

from tests.steering_parts import Parts, entry, make_heartbeat

TARGETS = [entry(f"t{number}") for number in range(8)]


def advance(parts, seconds):
    """Advance the time in short steps and update the live members after each."""
    for _ in range(int(seconds * 10)):
        parts.clock.time += 0.1
        parts.members.update_live()


def test_only_serving_vms_own_targets():
    parts = Parts(TARGETS, serving=False)
    assert parts.owners.owned() == []
    parts.members.set_serving(True)
    assert len(parts.owners.owned()) == len(TARGETS)


def test_vms_of_a_domain_share_its_targets_evenly():
    parts = Parts(TARGETS)
    parts.members.record_heartbeat(make_heartbeat("vm-2"))
    owners = [parts.owners.owner_of(each.id) for each in TARGETS]
    assert owners.count("vm-1") == owners.count("vm-2") == len(TARGETS) // 2


def test_vm_owns_targets_of_another_domain_only_without_a_nearer_vm():
    parts = Parts([entry("t1"), entry("t2", domain="south-a")])
    parts.members.record_heartbeat(make_heartbeat("vm-2", domain="north-b"))
    assert parts.owners.owner_of("t1") == "vm-1"
    assert parts.owners.owner_of("t2") is not None
    parts.members.record_heartbeat(
        make_heartbeat("vm-3", domain="south-a", region="south")
    )
    assert parts.owners.owner_of("t2") == "vm-3"


def test_silent_vm_loses_its_targets():
    parts = Parts(TARGETS)
    parts.members.record_heartbeat(make_heartbeat("vm-2"))
    advance(parts, 2.0)
    assert {parts.owners.owner_of(each.id) for each in TARGETS} == {"vm-1"}


def test_vm_that_leaves_hands_its_targets_over_at_once():
    parts = Parts(TARGETS)
    parts.members.record_heartbeat(make_heartbeat("vm-2"))
    parts.members.record_heartbeat(make_heartbeat("vm-2", serving=False))
    assert {parts.owners.owner_of(each.id) for each in TARGETS} == {"vm-1"}


def test_heartbeat_of_an_earlier_process_is_ignored():
    parts = Parts(TARGETS)
    parts.members.record_heartbeat(make_heartbeat("vm-2", incarnation=5))
    assert (
        parts.members.record_heartbeat(
            make_heartbeat("vm-2", incarnation=4, serving=False)
        )
        is None
    )
    assert parts.members.find_live("vm-2").is_serving


def test_vm_read_from_the_store_only_is_not_live():
    parts = Parts(TARGETS)
    parts.members.add_known("vm-9", "127.0.9.9", "north-a", "north")
    assert parts.members.find_live("vm-9") is None
    assert [each.vm for each in parts.members.others()] == ["vm-9"]


def test_weak_vms_own_nothing_beside_strong_ones():
    parts = Parts(TARGETS)
    for number in range(2, 6):
        parts.members.record_heartbeat(make_heartbeat(f"vm-{number}", strength=0.1))
    assert {parts.owners.owner_of(each.id) for each in TARGETS} == {"vm-1"}


def test_weak_vms_own_targets_without_strong_ones():
    parts = Parts(TARGETS, serving=False)
    parts.members.record_heartbeat(make_heartbeat("vm-2", strength=2.0))
    parts.members.record_heartbeat(make_heartbeat("vm-3", strength=0.3))
    assert {parts.owners.owner_of(each.id) for each in TARGETS} == {"vm-2"}
    parts.members.record_heartbeat(make_heartbeat("vm-2", strength=2.0, serving=False))
    assert {parts.owners.owner_of(each.id) for each in TARGETS} == {"vm-3"}


def test_all_vms_own_targets_where_strong_ones_are_too_few():
    parts = Parts(TARGETS, serving=False)
    parts.members.record_heartbeat(make_heartbeat("vm-2", strength=1.0))
    for number in range(3, 13):
        parts.members.record_heartbeat(make_heartbeat(f"vm-{number}", strength=0.4))
    assert len({parts.owners.owner_of(each.id) for each in TARGETS}) > 1


def test_pause_of_this_process_does_not_declare_others_dead():
    parts = Parts(TARGETS)
    parts.members.record_heartbeat(make_heartbeat("vm-2"))
    parts.clock.time += 5.0
    parts.members.update_live()
    assert parts.members.find_live("vm-2") is not None
    advance(parts, 2.0)
    assert parts.members.find_live("vm-2") is None


def test_vm_with_a_clock_set_back_is_live_again_after_its_restart():
    parts = Parts(TARGETS)
    parts.members.record_heartbeat(make_heartbeat("vm-2", incarnation=5))
    advance(parts, 2.0)
    assert (
        parts.members.record_heartbeat(make_heartbeat("vm-2", incarnation=3))
        is not None
    )
    assert parts.members.find_live("vm-2").incarnation == 3
