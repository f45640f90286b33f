"""Targets whose entry is removed soon after a VM or all VMs regain the store.

Only an outage for all VMs may keep a target in use without an entry, for a short time.
"""

import time

import pytest

from heathercleat.steering.process.capacity.registry import MISSING_GRACE_SECONDS
from heathercleat.version.hashing import rank_by_weight
from standins.fleet import wait_for
from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config

DOMAINS = {
    "north-a": "north",
    "north-b": "north",
    "north-c": "north",
    "south-a": "south",
    "west-a": "west",
}
VMS = {domain: f"{domain}-1" for domain in DOMAINS}
#: The VM that reads the store for the region ``north``.
READER = rank_by_weight("reader", [VMS[each] for each in VMS if each[0] == "n"])[0]
TARGETS = {
    f"i-{domain}": ("s1", domain, 4) for domain in ("north-a", "north-b", "north-c")
}
#: Time after the removal of its entry in which requests may still reach a target.
DRAIN_SECONDS = 2.0
OUTAGE_SECONDS = 3.0
#: Limit on the time from the end of the grace period to the last request at the target:
#: the interval at which missing targets expire, and the time to forward a request.
MAX_DELAY_SECONDS = 0.5
SEND_SECONDS = 5.0


@pytest.fixture
def fleet():
    with SteeringFleet(
        config(), DOMAINS, dict.fromkeys(DOMAINS, 1), TARGETS, subnet=39
    ) as started:
        yield started


def has_store_returned(fleet, vm):
    """Return whether a VM has logged that it can read the target table again."""
    return any(
        line.get("name") == "store_returned" and line["table"] == "servers"
        for line in fleet.log(vm)
    )


def send_until(fleet, vm, end):
    """Send requests through a VM until ``end``; yield each id and its send time."""
    number = 0
    while (now := time.monotonic()) < end:
        number += 1
        fleet.send(vm, "GET", "/one/two/x", f"q{number}")
        yield f"q{number}", now


def test_vm_accepted_again_by_the_store_stops_using_a_removed_target(fleet):
    vm = fleet.vms[READER]
    leaving = f"i-{vm.domain}"
    fleet.switch_store(refused=[vm.host])
    time.sleep(OUTAGE_SECONDS)
    fleet.switch_store(refused=[])
    wait_for(lambda: has_store_returned(fleet, vm))
    left_at = time.monotonic()
    fleet.put("servers", leaving, None)
    sent = dict(send_until(fleet, vm, left_at + SEND_SECONDS))
    served_ids = {run[0] for run in fleet.record(leaving)["runs"]}
    late = [each for each in served_ids if sent[each] > left_at + DRAIN_SECONDS]
    assert served_ids, "the VM stopped using the target before the first request"
    assert late == []


def test_target_removed_in_a_total_outage_is_used_until_its_grace_period_ends(
    fleet,
):
    vm = fleet.vms[READER]
    missing = f"i-{vm.domain}"
    fleet.switch_store(down="busy")
    time.sleep(OUTAGE_SECONDS)
    fleet.put("servers", missing, None)
    fleet.switch_store(down=None)
    returned_at = time.monotonic()
    sent = dict(send_until(fleet, vm, returned_at + SEND_SECONDS))
    request_times = [
        sent[run[0]] - returned_at for run in fleet.record(missing)["runs"]
    ]
    assert (
        MISSING_GRACE_SECONDS / 2
        < max(request_times)
        < MISSING_GRACE_SECONDS + MAX_DELAY_SECONDS
    )
