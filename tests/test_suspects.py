"""Tests that crashes quarantine a request, and that a complete response clears it."""

import random

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from heathercleat.process.logs import Journal
from heathercleat.steering.process.quarantine.responses import EXEMPTION_SECONDS
from heathercleat.steering.process.quarantine.rows import (
    ROW_RETENTION_SECONDS,
    decode_quarantine,
    encode_quarantine,
)
from heathercleat.steering.process.quarantine.suspect import MAX_CRASHES, SuspectUpdate
from heathercleat.steering.process.quarantine.suspects import (
    CRASHES_TO_QUARANTINE,
    MAX_CRASHES_PER_HEARTBEAT,
    MAX_SUSPECTS,
    MIN_REMAINING_SECONDS,
    QUARANTINE_SECONDS,
    SUSPICION_SECONDS,
    Suspects,
)
from heathercleat.steering.process.store.protocol import StoreRow
from tests.fakes import ManualClock

INCARNATIONS = [f"i-{number}" for number in range(5)]


def make_suspects(clock=None):
    return Suspects(Journal("vm-1", "north-a"), clock or ManualClock())


def record_crashes(suspects, count, fingerprint="f"):
    for incarnation_id in INCARNATIONS[:count]:
        suspects.record_crash(fingerprint, incarnation_id)


def gossip(sender, receiver):
    for update in list(sender.updates()):
        receiver.merge(SuspectUpdate.of(update.fields()))


@pytest.mark.parametrize(("ends", "refused"), [(0, False), (2, False), (3, True)])
def test_third_crash_quarantines_a_request(ends, refused):
    suspects = make_suspects()
    record_crashes(suspects, ends)
    assert (suspects.refused_until("f") is not None) is refused
    assert suspects.refused_until("another") is None


def test_crash_counts_once_however_often_it_is_gossiped():
    suspects, other = make_suspects(), make_suspects()
    for _ in range(5):
        suspects.record_crash("f", "i-1")
        gossip(suspects, other)
        gossip(other, suspects)
    assert suspects.refused_until("f") is None
    assert other.refused_until("f") is None


def test_crashes_seen_by_three_vms_are_merged():
    vms = [make_suspects() for _ in range(3)]
    for vm, incarnation_id in zip(vms, INCARNATIONS, strict=False):
        vm.record_crash("f", incarnation_id)
    for vm in vms[1:]:
        gossip(vm, vms[0])
    assert vms[0].refused_until("f") is not None


def test_complete_response_clears_a_request_everywhere():
    one, other = make_suspects(), make_suspects()
    record_crashes(one, 3)
    gossip(one, other)
    other.record_response("f")
    gossip(other, one)
    assert one.refused_until("f") is None
    assert one.digest == other.digest


@pytest.mark.parametrize("at_other_vm", [False, True])
def test_crashes_soon_after_a_complete_response_are_not_counted(at_other_vm):
    """A popular request can be in progress at targets that crash for another reason."""
    clock = ManualClock()
    suspects, other = make_suspects(clock), make_suspects(clock)
    suspects.record_response("f")
    clock.time += EXEMPTION_SECONDS / 2
    record_crashes(other if at_other_vm else suspects, CRASHES_TO_QUARANTINE)
    gossip(other, suspects)
    assert suspects.refused_until("f") is None
    gossip(suspects, other)
    assert other.refused_until("f") is None


def test_old_response_does_not_exempt_a_request():
    clock = ManualClock()
    suspects = make_suspects(clock)
    suspects.record_response("f")
    clock.time += EXEMPTION_SECONDS + 0.1
    record_crashes(suspects, CRASHES_TO_QUARANTINE)
    assert suspects.refused_until("f") is not None


@pytest.mark.parametrize(
    ("ends", "seconds"), [(2, SUSPICION_SECONDS), (3, QUARANTINE_SECONDS)]
)
def test_suspicion_and_quarantine_expire(ends, seconds):
    clock = ManualClock()
    suspects = make_suspects(clock)
    record_crashes(suspects, ends)
    clock.time += seconds - 0.1
    suspects.expire()
    assert suspects.count == 1
    clock.time += 0.2
    suspects.expire()
    assert suspects.count == 0
    assert suspects.digest == 0
    assert suspects.refused_until("f") is None


def test_gossip_does_not_keep_a_suspect_alive():
    clock = ManualClock()
    one, other = make_suspects(clock), make_suspects(clock)
    record_crashes(one, 2)
    expires_at = clock.time + SUSPICION_SECONDS + 2 * MIN_REMAINING_SECONDS
    while clock.time < expires_at:
        # Updates are delayed in transit.
        in_transit = list(one.updates()), list(other.updates())
        clock.time += 0.4
        for receiver, received in zip((other, one), in_transit, strict=True):
            for each in received:
                receiver.merge(each)
        one.expire()
        other.expire()
    assert (one.count, other.count) == (0, 0)


def test_request_under_which_two_targets_crashed_is_not_retried():
    suspects = make_suspects()
    record_crashes(suspects, 1)
    assert suspects.may_retry("f")
    record_crashes(suspects, 2)
    assert not suspects.may_retry("f")


def test_number_of_suspects_is_bounded_and_the_oldest_is_evicted():
    suspects = make_suspects()
    for number in range(MAX_SUSPECTS + 5):
        suspects.record_crash(f"f{number}", "i-1")
    assert suspects.count == MAX_SUSPECTS
    assert "f0" not in {each.fingerprint for each in suspects.all()}


def test_heartbeat_has_a_bounded_number_of_crashes():
    suspects = make_suspects()
    for number in range(200):
        record_crashes(suspects, 5, f"f{number}")
    updates = list(suspects.updates())
    assert 0 < sum(len(update.ends) for update in updates) <= MAX_CRASHES_PER_HEARTBEAT


def test_own_third_crash_is_reported_once_and_a_received_one_is_not():
    reported = []
    one, other = make_suspects(), make_suspects()
    one.on_quarantine(reported.append)
    other.on_quarantine(reported.append)
    record_crashes(one, 5)
    gossip(one, other)
    assert [each.fingerprint for each in reported] == ["f"]


def test_quarantine_by_crashes_at_several_vms_is_reported_by_each():
    """A VM that saw one of the crashes reports it, though it did not see them all."""
    reported = []
    one, other, third = make_suspects(), make_suspects(), make_suspects()
    for each in (one, other, third):
        each.on_quarantine(reported.append)
    one.record_crash("f", "i-1", "two", "s1")
    other.record_crash("f", "i-2", "two", "s1")
    other.record_crash("f", "i-3", "two", "s1")
    gossip(one, other)
    gossip(other, one)
    gossip(other, third)
    assert [(each.route, each.service) for each in reported] == [("two", "s1")] * 2


@pytest.mark.parametrize(
    "fields",
    [
        None,
        [],
        ["f", 1.0, ["i-1"]],
        [1, 1.0, ["i-1"], []],
        ["f", "soon", ["i-1"], []],
        ["f", -1.0, ["i-1"], []],
        ["f", 1.0, "i-1", []],
        ["f", 1.0, [1], []],
        ["f", 1.0, ["i-1"] * (MAX_CRASHES + 1), []],
    ],
)
def test_malformed_update_is_an_error(fields):
    with pytest.raises(ValueError):
        SuspectUpdate.of(fields)


def test_received_time_is_bounded():
    clock = ManualClock()
    suspects = make_suspects(clock)
    suspects.merge(SuspectUpdate("f", float("inf"), INCARNATIONS[:3], []))
    assert suspects.refused_until("f") == clock.now() + QUARANTINE_SECONDS


def test_quarantine_survives_a_round_trip_through_the_store():
    clock = ManualClock()
    suspects = make_suspects(clock)
    record_crashes(suspects, 3)
    (suspect,) = suspects.all()
    row = StoreRow("f", encode_quarantine(suspect, clock), 1)
    update = decode_quarantine(row, clock)
    assert (update.fingerprint, update.ends) == ("f", INCARNATIONS[:3])
    assert update.remaining == pytest.approx(QUARANTINE_SECONDS)
    clock.time += QUARANTINE_SECONDS + 2 * ROW_RETENTION_SECONDS
    assert decode_quarantine(row, clock) is None


@pytest.mark.parametrize(
    "fields",
    [
        None,
        1,
        [],
        ["soon", ["i-1"]],
        [1.0, "i-1"],
        [1.0, [1]],
        [1.0, ["i-1"], 0],
        [1.0, ["i-1"], 0, "s1", "vm-1", 1.0],
        [1.0, ["i-1"], "one", "s1", "vm-1", "then"],
    ],
)
def test_malformed_row_is_an_error(fields):
    row = StoreRow("f", msgpack.packb(fields), 1)
    with pytest.raises(ValueError):
        decode_quarantine(row, ManualClock())


@given(st.binary(max_size=40))
def test_any_bytes_in_a_row_are_an_error_or_a_quarantine(value):
    try:
        update = decode_quarantine(StoreRow("f", value, 1), ManualClock())
    except ValueError:
        return
    assert update is None or 0 <= update.remaining <= QUARANTINE_SECONDS


class GossipMachine(RuleBasedStateMachine):
    """Several VMs that see crashes and responses and send updates, in any order."""

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.vms = [make_suspects(self.clock) for _ in range(3)]
        self.seen = set()
        self.has_response = False

    @rule(vm=st.integers(0, 2), incarnation_id=st.sampled_from(INCARNATIONS))
    def see_crash(self, vm, incarnation_id):
        self.vms[vm].record_crash("f", incarnation_id)
        self.seen.add(incarnation_id)

    @rule(vm=st.integers(0, 2))
    def respond(self, vm):
        self.vms[vm].record_response("f")
        self.has_response = True

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def send_updates(self, sender, receiver):
        gossip(self.vms[sender], self.vms[receiver])

    @rule(vm=st.integers(0, 2))
    def restart(self, vm):
        """Restart a VM; crashes that only this VM recorded are lost."""
        others = [each for each in self.vms if each is not self.vms[vm]]
        kept = {incarnation_id for each in others for incarnation_id in _crashes(each)}
        self.seen &= kept
        self.vms[vm] = make_suspects(self.clock)

    @rule(seconds=st.floats(0.1, 2 * EXEMPTION_SECONDS))
    def wait(self, seconds):
        self.clock.time += seconds

    @invariant()
    def no_crash_is_counted_twice(self):
        for vm in self.vms:
            assert len(_crashes(vm)) == len(set(_crashes(vm)))
            assert set(_crashes(vm)) <= self.seen

    def teardown(self):
        """Check that all VMs agree after all have sent their updates to all."""
        if not hasattr(self, "vms"):
            return
        for _ in range(3):
            for sender in self.vms:
                for receiver in self.vms:
                    gossip(sender, receiver)
        assert len({vm.digest for vm in self.vms}) == 1
        allowed = {vm.refused_until("f") is None for vm in self.vms}
        assert len(allowed) == 1
        if len(self.seen) >= CRASHES_TO_QUARANTINE and not self.has_response:
            assert allowed == {False}


def _crashes(suspects):
    return [
        incarnation_id for suspect in suspects.all() for incarnation_id in suspect.ends
    ]


GossipMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
TestGossipMachine = GossipMachine.TestCase


def test_vms_with_different_crashes_have_different_digests():
    """With a linear checksum these digests are equal, so no update would be sent."""
    one, other = make_suspects(), make_suspects()
    for incarnation_id in ("i-1", "i-2"):
        one.record_crash("f", incarnation_id)
    for incarnation_id in ("i-0", "i-3"):
        other.record_crash("f", incarnation_id)
    assert one.digest != other.digest


def test_vms_with_too_many_different_crashes_agree():
    """Unless both keep the same crashes, they send updates forever."""
    one, other = make_suspects(), make_suspects()
    for number in range(MAX_CRASHES):
        one.record_crash("f", f"i-{number}")
        other.record_crash("f", f"j-{number}")
    gossip(one, other)
    gossip(other, one)
    (here,), (there,) = one.all(), other.all()
    assert set(here.ends) == set(there.ends)
    assert len(here.ends) == MAX_CRASHES


def test_digest_does_not_depend_on_the_order_of_updates():
    rng = random.Random(5)
    vms = [make_suspects() for _ in range(4)]
    for number in range(40):
        rng.choice(vms).record_crash(f"f{number % 7}", rng.choice(INCARNATIONS))
    for _ in range(60):
        gossip(*rng.sample(vms, 2))
    for sender in vms:
        for receiver in vms:
            gossip(sender, receiver)
    assert len({vm.digest for vm in vms}) == 1
