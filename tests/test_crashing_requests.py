"""Requests that end each target that begins to run them."""

import time

import pytest

from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config

DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
TARGETS = {
    f"i-{number}": ("s1", list(DOMAINS)[number % 3], 4) for number in range(1, 13)
}
#: Seconds that a target takes to come back, and between two attempts of the caller.
DOWN_SECONDS = 1.0
ATTEMPT_GAP = 0.25
ATTEMPTS = 40


@pytest.fixture
def fleet():
    with SteeringFleet(
        config(), DOMAINS, dict.fromkeys(DOMAINS, 2), TARGETS, subnet=64
    ) as started:
        yield started


def send_again_and_again(fleet, method, path, attempts=ATTEMPTS):
    """Send the same request at each VM in turn; return the statuses."""
    vms = list(fleet.vms.values())
    statuses = []
    for number in range(attempts):
        vm = vms[number % len(vms)]
        answer = fleet.send(vm, method, path, f"q{number}", Cookie="Affinity-Key=28")
        statuses.append(answer[0])
        time.sleep(ATTEMPT_GAP)
    return statuses


def test_each_end_of_a_target_is_logged_with_the_request(fleet):
    fleet.set_fatal(["/one/fatal"], DOWN_SECONDS)
    send_again_and_again(fleet, "POST", "/one/fatal", attempts=2)
    lines = [line for vm in fleet.vms.values() for line in fleet.log(vm)]
    ended = [line for line in lines if line["name"] == "target_ended"]
    assert [line["request"] for line in ended] == ["q0", "q1"]
    assert len({line["target"] for line in ended}) == 2
    assert len({line["fingerprint"] for line in ended}) == 1
