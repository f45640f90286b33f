"""What targets ask for in responses reaches the VMs that may own them next."""

from math import inf

import pytest

from heathercleat.steering.process.capacity.notice_update import NoticeUpdate
from heathercleat.steering.process.capacity.notices import (
    MAX_REPORTED,
    RETENTION_SECONDS,
    SPREAD_SECONDS,
)
from heathercleat.steering.request.attempt_result import TargetResponseHead
from standins.membership_simulation import Network, SimulatedVm, run_nonblocking
from tests.steering_parts import Parts, entry

#: Enough rounds of heartbeats for a change to reach all VMs.
ROUNDS_SECONDS = 1.0


class WelcomingVm(SimulatedVm):
    """A simulated VM that welcomes new processes."""

    def receive(self, data):
        newcomer = self.gossip.receive(data)
        if newcomer is not None:
            run_nonblocking(self.gossip.welcome(newcomer))


def make_head(rate=None, leaving=False, rest=None):
    head = TargetResponseHead()
    head.rate_limit = rate
    head.is_leaving = leaving
    head.rest_seconds = rest
    return head


def start_network(count, loss=0.0):
    network = Network(loss)
    return network, [WelcomingVm(network, number) for number in range(count)]


def rates(vms, target_id="t1"):
    return [vm.notices.rate(target_id) for vm in vms]


@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("count", [6, 40])
def test_limit_and_its_end_reach_the_vms_of_the_region(count, loss):
    network, vms = start_network(count, loss)
    network.run(ROUNDS_SECONDS)
    in_region = [vm for vm in vms if network.regions[vm.domain] == "north"]
    owner = in_region[0]
    owner.notices.record_response(entry(), make_head(5.0))
    network.run(2 * SPREAD_SECONDS)
    assert set(rates(in_region)) == {5.0}
    owner.notices.record_response(entry(), make_head())
    network.run(2 * SPREAD_SECONDS)
    assert set(rates(vms)) == {None}


def test_new_process_learns_of_a_limit_that_is_no_longer_spreading():
    network, vms = start_network(6)
    network.run(ROUNDS_SECONDS)
    vms[0].notices.record_response(entry(), make_head(5.0))
    network.run(2 * SPREAD_SECONDS)
    vms[1].running = False
    restarted = WelcomingVm(network, 1, incarnation=2)
    assert rates([restarted]) == [None]
    network.run(ROUNDS_SECONDS)
    assert rates([restarted]) == [5.0]


def test_departure_reaches_the_vms_of_the_region_and_new_processes():
    network, vms = start_network(6)
    network.run(ROUNDS_SECONDS)
    vms[0].notices.record_response(entry(), make_head(leaving=True))
    network.run(2 * SPREAD_SECONDS)
    vms[1].running = False
    restarted = WelcomingVm(network, 1, incarnation=2)
    network.run(ROUNDS_SECONDS)
    assert vms[4].notices.closed_until("t1") == inf
    assert restarted.notices.closed_until("t1") == inf


def test_rest_reaches_the_vms_of_the_region_and_new_processes():
    network, vms = start_network(6)
    network.run(ROUNDS_SECONDS)
    vms[0].notices.record_response(entry(), make_head(rest=30.0))
    ends_at = vms[0].notices.closed_until("t1")
    network.run(2 * SPREAD_SECONDS)
    vms[1].running = False
    restarted = WelcomingVm(network, 1, incarnation=2)
    network.run(ROUNDS_SECONDS)
    for vm in (vms[4], restarted):
        assert vm.notices.closed_until("t1") == pytest.approx(ends_at, abs=0.1)


def test_rest_does_not_grow_as_it_is_passed_on():
    parts = Parts([entry()])
    parts.notices.record_response(entry(), make_head(rest=3.0))
    ends_at = parts.notices.closed_until("t1")
    for _ in range(20):
        (update,) = parts.notices.updates("north")
        parts.clock.time += 0.1
        parts.notices.merge(update)
    assert parts.notices.closed_until("t1") == ends_at


def test_departure_is_not_reverted():
    parts = Parts([entry(sequence=1)])
    parts.notices.record_response(entry(), make_head(leaving=True))
    parts.notices.record_response(entry(), make_head())
    parts.registry.update([entry(sequence=2)], ())
    parts.notices.merge(NoticeUpdate("t1", "north-a", 0.0, None, False, 0.0))
    assert parts.ledger.get("t1").free(parts.clock.now()) == 0


def test_restarted_target_is_not_leaving():
    parts = Parts([entry(started_ms=1)])
    parts.notices.record_response(entry(started_ms=1), make_head(leaving=True))
    parts.registry.update([entry(started_ms=2)], ())
    assert parts.ledger.get("t1").free(parts.clock.now()) == 2


def test_heartbeats_carry_no_notices_without_changes():
    network, vms = start_network(2)
    vms[0].notices.record_response(entry(), make_head(5.0))
    assert vms[0].notices.pack("north")
    network.run(2 * SPREAD_SECONDS)
    assert vms[0].notices.pack("north") == b""


def test_older_response_does_not_revert_a_newer_one():
    parts = Parts([entry()])
    parts.notices.record_response(entry(), make_head(5.0))
    parts.notices.record_response(entry(), make_head())
    parts.notices.merge(NoticeUpdate("t1", "north-a", 0.1, 5.0, False, 0.0))
    assert parts.notices.rate("t1") is None


def test_notice_of_a_removed_target_outlives_a_lapse_of_its_entry():
    parts = Parts([entry()])
    parts.notices.record_response(entry(), make_head(5.0))
    parts.registry.replace([])
    parts.clock.time += RETENTION_SECONDS - 1
    parts.notices.expire()
    assert parts.notices.rate("t1") == 5.0
    parts.clock.time += 2
    parts.notices.expire()
    assert parts.notices.rate("t1") is None


def test_message_is_bounded():
    parts = Parts()
    for number in range(MAX_REPORTED + 5):
        parts.clock.time += 0.01
        parts.notices.record_response(entry(f"t{number}"), make_head(5.0))
    updates = parts.notices.updates("north")
    assert len(updates) == MAX_REPORTED
    assert updates[0].incarnation == f"t{MAX_REPORTED + 4}"


@pytest.mark.parametrize(
    "fields",
    [
        [],
        "t1",
        [1, "north-a", 0.0, 5.0, False, 0.0],
        ["t1", None, 0.0, 5.0, False, 0.0],
        ["t1", "north-a", -1, 5.0, False, 0.0],
        ["t1", "north-a", 0.0, "5", False, 0.0],
        ["t1", "north-a", 0.0, float("nan"), False, 0.0],
        ["t1", "north-a", None, 5.0, False, 0.0],
        ["t1", "north-a", 0.0, None, 1, 0.0],
        ["t1", "north-a", 0.0, None, False, -1.0],
        ["t1", "north-a", 0.0, None, False],
    ],
)
def test_malformed_update_is_an_error(fields):
    with pytest.raises(ValueError, match=r"."):
        NoticeUpdate.from_fields(fields)
