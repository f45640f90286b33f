"""Tests of the reports of optional parts in heartbeats."""

import pytest

from heathercleat.steering.process.membership.extensions import MAX_REPORT_BYTES
from standins.membership_simulation import Network, SimulatedVm


class Recorder:
    """A :class:`HeartbeatExtension` that records what other VMs report."""

    def __init__(self, name, report):
        self.name = name
        self._report = report
        self.merged = []

    def report(self):
        return self._report

    def merge(self, vm, report):
        if not isinstance(report, list):
            raise ValueError(f"{report!r} is not a list")
        self.merged.append(report)


def exchange(*extensions):
    """Run two VMs that each have one set of extensions."""
    network = Network()
    by_number = dict(enumerate(extensions))
    network.extensions_of = lambda vm: by_number[vm.number]
    vms = [SimulatedVm(network, number) for number in by_number]
    network.run(1.0)
    return vms


def test_report_reaches_other_vms():
    first, second = Recorder("speeds", [["t1", 2.5]]), Recorder("speeds", None)
    exchange([first], [second])
    assert second.merged[0] == [["t1", 2.5]]
    assert first.merged == []


@pytest.mark.parametrize("report", [{"not": "a list"}, "x" * (MAX_REPORT_BYTES + 1)])
def test_unusable_report_does_not_break_the_heartbeat(report):
    receiver = Recorder("speeds", None)
    vms = exchange([Recorder("speeds", report)], [receiver])
    assert receiver.merged == []
    assert vms[1].serving_names == {vm.name for vm in vms}


def test_vm_without_an_extension_ignores_its_reports():
    vms = exchange([Recorder("speeds", [])], [])
    assert vms[1].serving_names == {vm.name for vm in vms}
