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
    """The configuration in force at a VM that lags."""

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


def post(vm, path, **call):
    body = json.dumps({"author": "operator", **call}).encode()
    key = vm.settings.keys[0]
    token = operator_token(key, "POST", path, body, vm.clock.wall())
    message = Message("POST", path, headers={"authorization": token}, body=body)
    answer = run(OperatorService(vm).handle, message)
    return answer.status, json.loads(answer.body)


def apply(vm, edit_id, base, comment=""):
    text = f"// {comment}\n{json.dumps(make_text())}"
    return post(vm, "/v1/apply", edit_id=edit_id, base_version=base, text=text)


def lag(vm, version, drains):
    """Let the VM have an older version in force than the platform's table."""
    vm.version = version
    vm.configuration.document = Document(json.dumps(make_text()), drains)


def plan_drain(vm, base):
    call = {"id": "d1", "scope": "target", "name": "t2", "at": 0.0}
    path = "/v1/drain/plan"
    return post(vm, path, edit_id="e-drain", base_version=base, **call)


def test_edit_through_a_vm_that_lags_keeps_the_drains_of_its_base(vm):
    lag(vm, 0, {})
    apply(vm, "e1", 0)
    assert plan_drain(vm, 1)[0] == 200
    lag(vm, 1, {})
    assert apply(vm, "e3", 2, "new") == (200, {"version": 3})
    assert "d1" in run(vm.editor.show, 3).drains


def test_drain_through_a_vm_that_lags_keeps_the_text_of_its_base(vm):
    lag(vm, 0, {})
    apply(vm, "e1", 0)
    apply(vm, "e2", 1, "second")
    lag(vm, 1, {})
    assert plan_drain(vm, 2)[0] == 200
    assert run(vm.editor.show, 3).source.startswith("// second")


def test_vm_follows_the_edit_that_came_first_when_it_tells_of_a_conflict(vm):
    lag(vm, 0, {})
    apply(vm, "e1", 0)
    apply(vm, "e2", 1, "theirs")
    lag(vm, 1, {})
    status, answer = apply(vm, "e3", 1, "mine")
    assert (status, answer["code"]) == (409, 5002)
    assert vm.version == 2


def test_edit_of_a_version_that_never_was_is_refused(vm):
    lag(vm, 0, {})
    status, answer = apply(vm, "e1", 7)
    assert (status, answer["messages"]) == (404, ["there is no version 7"])
