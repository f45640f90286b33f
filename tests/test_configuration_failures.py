"""Tests that VMs adopt and keep versions while the platform or the network fails."""

import copy
import json
import time
from pathlib import Path

import pytest

from standins.demo import demo_text
from standins.fleet import PORTS, Fleet, call, wait_for

VMS = {"north-a": 2, "north-b": 1, "south-a": 1}
ADOPTION_SECONDS = 5.0


@pytest.fixture
def fleet():
    with Fleet(demo_text(), VMS, subnet=24) as running:
        yield running


def text_with_queue_limit(fleet, limit):
    text = copy.deepcopy(fleet.text)
    text["services"]["style-lookup"]["queue"] = {"limit": limit, "wait_ms": 300}
    return text


def all_have_version(fleet, version):
    return all(fleet.version(vm) == version for vm in fleet.vms.values())


def test_version_is_adopted_by_all_vms_within_seconds(fleet):
    assert fleet.apply(text_with_queue_limit(fleet, 9), 1) == 2
    wait_for(lambda: all_have_version(fleet, 2), ADOPTION_SECONDS)


def test_edit_with_lost_replies_is_reported_as_accepted(fleet):
    fleet.switch_platform(lose_replies=3)
    assert fleet.apply(text_with_queue_limit(fleet, 9), 1) == 2
    wait_for(lambda: all_have_version(fleet, 2), ADOPTION_SECONDS)


def test_conflicting_operator_gets_the_changed_lines(fleet):
    fleet.apply(text_with_queue_limit(fleet, 9), 1)
    path = fleet.folder / "mine.jsonc"
    path.write_text(json.dumps(text_with_queue_limit(fleet, 7), indent=1))
    other = fleet.vms["south-a-1"]
    result = fleet.run("apply", path, "--base", 1, vm=other, check=False)
    assert result.returncode == 5
    assert '"limit": 9' in result.stderr
    assert fleet.version(other) == 2


def test_edit_during_an_outage_is_refused_and_nothing_reverts(fleet):
    fleet.apply(text_with_queue_limit(fleet, 9), 1)
    wait_for(lambda: all_have_version(fleet, 2))
    fleet.switch_platform(down=True)
    path = fleet.folder / "late.jsonc"
    path.write_text(json.dumps(text_with_queue_limit(fleet, 7)))
    result = fleet.run("apply", path, "--base", 2, check=False)
    assert result.returncode == 3
    assert "5004" in result.stderr
    assert all_have_version(fleet, 2)


def test_vm_restarted_during_an_outage_takes_the_version_of_its_peers(fleet):
    vm = fleet.vms["north-a-1"]
    path = Path(vm.settings)
    settings = json.loads(path.read_text())
    settings["seeds"] = [fleet.vms["south-a-1"].host, fleet.vms["north-a-2"].host]
    path.write_text(json.dumps(settings))
    fleet.apply(text_with_queue_limit(fleet, 9), 1)
    wait_for(lambda: all_have_version(fleet, 2))
    fleet.switch_platform(down=True)
    vm.process.kill()
    vm.process.wait()
    fleet.start_vm(vm)
    wait_for(lambda: fleet.version(vm) == 2)


def test_vm_without_peers_or_platform_refuses_requests(fleet):
    vm = fleet.vms["north-b-1"]
    fleet.partition_off("north-b", ["north-a", "south-a"])
    fleet.switch_platform(down=True)
    vm.process.kill()
    vm.process.wait()
    fleet.start_vm(vm)
    wait_for(lambda: fleet.version(vm) == 0)
    for path in ("/lookup?service=style-lookup", "/s/style-lookup/x"):
        status, headers, _ = call(vm.host, PORTS["caller"], "GET", path)
        assert (status, headers["heathercleat-code"]) == (503, "2003")
    fleet.switch_platform(down=False)
    wait_for(lambda: fleet.version(vm) == 1, ADOPTION_SECONDS)


def test_stale_replica_of_the_platform_reverts_no_vm(fleet):
    fleet.apply(text_with_queue_limit(fleet, 9), 1)
    wait_for(lambda: all_have_version(fleet, 2))
    fleet.switch_platform(stale_reads_s=60.0)
    deadline = time.monotonic() + 2.0
    while time.monotonic() < deadline:
        assert all_have_version(fleet, 2)


def test_domain_cut_off_from_the_platform_gets_versions_from_peers(fleet):
    fleet.partition_off("south-a", ["platform"])
    time.sleep(0.5)
    fleet.apply(text_with_queue_limit(fleet, 9), 1)
    wait_for(lambda: all_have_version(fleet, 2), 2 * ADOPTION_SECONDS)


def test_isolated_domain_keeps_serving_and_catches_up(fleet):
    fleet.wait_ready()
    vm = fleet.vms["south-a-1"]
    fleet.partition_off("south-a", ["platform", "north-a", "north-b"])
    time.sleep(0.5)
    fleet.apply(text_with_queue_limit(fleet, 9), 1)
    status, headers, _ = call(vm.host, PORTS["caller"], "GET", "/s/style-lookup/x")
    assert status == 200
    assert headers["heathercleat-target"] == "style-south-a"
    assert fleet.version(vm) == 1
    fleet.heal()
    wait_for(lambda: all_have_version(fleet, 2), ADOPTION_SECONDS)
