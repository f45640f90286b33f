"""Tests that edits through a VM with an old configuration undo no other edit."""

import json

import pytest
from curio import run

from heathercleat.connection.http import Message
from heathercleat.connection.operator import OperatorService, operator_token
from heathercleat.process.configuration.editing import Editor
from heathercleat.version.document import Document
from tests.fakes import FakePlatform, FakeVm, ManualClock
from tests.test_text import make_text


class FakeConfiguration:
    """The configuration at a VM that may be older than the one of the platform."""

    def __init__(self, vm, platform):
        self._vm = vm
        self._platform = platform
        self.document = None

    async def read_platform(self):
        self._vm.version = len(await self._platform.read_range("config/version/"))

    async def announce(self):
        return None


@pytest.fixture
def vm():
    vm, platform, clock = FakeVm(), FakePlatform(), ManualClock()
    vm.clock = clock
    vm.editor = Editor(platform, clock)
    vm.configuration = FakeConfiguration(vm, platform)
    return vm


def post(vm, path, **arguments):
    body = json.dumps({"author": "operator", **arguments}).encode()
    key = vm.settings.keys[0]
    token = operator_token(key, "POST", path, body, vm.clock.wall())
    message = Message("POST", path, headers={"authorization": token}, body=body)
    response = run(OperatorService(vm).handle, message)
    return response.status, json.loads(response.body)


def apply(vm, edit_id, base, comment=""):
    text = f"// {comment}\n{json.dumps(make_text())}"
    return post(vm, "/v1/apply", edit_id=edit_id, base_version=base, text=text)


def set_stale_version(vm, version, drains):
    """Set the version in force at the VM, older than that of the platform."""
    vm.version = version
    vm.configuration.document = Document(json.dumps(make_text()), drains)


def plan_drain(vm, base):
    arguments = {"id": "d1", "scope": "target", "name": "t2", "at": 0.0}
    path = "/v1/drain/plan"
    return post(vm, path, edit_id="e-drain", base_version=base, **arguments)


def test_edit_through_a_stale_vm_keeps_the_drains_of_its_base(vm):
    set_stale_version(vm, 0, {})
    apply(vm, "e1", 0)
    assert plan_drain(vm, 1)[0] == 200
    set_stale_version(vm, 1, {})
    assert apply(vm, "e3", 2, "new") == (200, {"version": 3})
    assert "d1" in run(vm.editor.show, 3).drains


def test_drain_through_a_stale_vm_keeps_the_text_of_its_base(vm):
    set_stale_version(vm, 0, {})
    apply(vm, "e1", 0)
    apply(vm, "e2", 1, "second")
    set_stale_version(vm, 1, {})
    assert plan_drain(vm, 2)[0] == 200
    assert run(vm.editor.show, 3).source.startswith("// second")


def test_vm_adopts_the_winning_edit_when_it_reports_a_conflict(vm):
    set_stale_version(vm, 0, {})
    apply(vm, "e1", 0)
    apply(vm, "e2", 1, "theirs")
    set_stale_version(vm, 1, {})
    status, response = apply(vm, "e3", 1, "mine")
    assert (status, response["code"]) == (409, 5002)
    assert vm.version == 2


def test_edit_of_a_nonexistent_version_is_refused(vm):
    set_stale_version(vm, 0, {})
    status, response = apply(vm, "e1", 7)
    assert (status, response["messages"]) == (404, ["there is no version 7"])
