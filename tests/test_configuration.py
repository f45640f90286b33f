"""Tests that an edit takes effect once and that no VM reverts to an older version."""

import json

import pytest
from curio import run
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from heathercleat import FindingsError, HeathercleatError, ResultCode
from heathercleat.errors import PlatformError
from heathercleat.process.configuration.editing import (
    ConflictError,
    Edit,
    Editor,
    cancel_drain,
    parse_drain,
    plan_drain,
)
from heathercleat.process.configuration.manager import ConfigurationManager
from heathercleat.process.membership.directory import Directory
from heathercleat.process.membership.membership import Membership
from heathercleat.version.document import HEAD_KEY, Document, object_key, unpack_head
from tests.fakes import FakeLinks, FakePlatform, FakeVm, ManualClock
from tests.test_text import make_text


def make_document(comment="", **service):
    return Document(f"// {comment}\n{json.dumps(make_text(**service))}", {})


def make_edit(edit_id="e1", base=0, comment=""):
    return Edit(edit_id, "operator", base, make_document(comment))


def make_manager(platform=None):
    vm, clock, directory = FakeVm(), ManualClock(), Directory()
    links = FakeLinks()
    membership = Membership(vm, links, clock)
    platform = platform or FakePlatform()
    return ConfigurationManager(vm, platform, links, membership, directory, clock)


@pytest.fixture
def platform():
    return FakePlatform()


@pytest.fixture
def editor(platform):
    return Editor(platform, ManualClock())


def head_version(platform):
    return unpack_head(platform.rows[HEAD_KEY].value).version


def test_edits_create_consecutive_versions(editor, platform):
    assert run(editor.apply, make_edit("e1", 0)) == 1
    assert run(editor.apply, make_edit("e2", 1)) == 2
    assert [head.version for head in run(editor.history)] == [2, 1]


def test_later_of_two_conflicting_edits_fails_with_the_changed_lines(editor, platform):
    run(editor.apply, make_edit("e1", 0))
    run(editor.apply, make_edit("e2", 1, comment="theirs"))
    with pytest.raises(ConflictError) as caught:
        run(editor.apply, make_edit("e3", 1, comment="mine"))
    assert "+// theirs" in str(caught.value)
    assert head_version(platform) == 2


def test_lost_reply_of_an_edit_is_resolved_by_its_id(editor, platform):
    platform.fail_after = 1
    assert run(editor.apply, make_edit("e1", 0)) == 1
    assert head_version(platform) == 1


def test_retried_edit_takes_effect_once(editor, platform):
    run(editor.apply, make_edit("e1", 0))
    run(editor.apply, make_edit("e2", 1))
    assert run(editor.apply, make_edit("e1", 0)) == 1
    assert head_version(platform) == 2


def test_edit_without_a_reply_is_unknown_not_refused(editor, platform):
    platform.fail_before = 99
    with pytest.raises(HeathercleatError) as caught:
        run(editor.apply, make_edit("e1", 0))
    assert caught.value.code is ResultCode.EDIT_UNKNOWN


def test_edit_is_refused_while_the_platform_is_down(editor, platform):
    platform.down = True
    with pytest.raises(PlatformError):
        run(editor.apply, make_edit("e1", 0))


def test_invalid_text_is_never_written(editor, platform):
    with pytest.raises(FindingsError):
        run(editor.apply, Edit("e1", "operator", 0, Document("{}", {})))
    assert not platform.rows


def test_manager_never_adopts_an_older_version():
    manager = make_manager()
    assert manager.adopt(3, make_document("three").pack(), "peer")
    assert not manager.adopt(2, make_document("two").pack(), "lagging peer")
    assert not manager.adopt(3, make_document("other three").pack(), "peer")
    assert manager.version == 3
    assert manager.document.source.startswith("// three")


def test_manager_keeps_its_version_if_a_newer_one_is_invalid():
    manager = make_manager()
    manager.adopt(1, make_document().pack(), "peer")
    assert not manager.adopt(2, b"\xc1", "peer")
    assert not manager.adopt(2, Document("{}", {}).pack(), "peer")
    assert manager.version == 1


def test_damaged_object_is_not_adopted(editor, platform):
    run(editor.apply, make_edit("e1", 0))
    key = object_key(make_document().pack())
    platform.objects[key] = make_document("damaged").pack()
    manager = make_manager(platform)
    assert not run(manager.read_platform)
    assert manager.version == 0


def test_drain_that_leaves_too_few_slots_is_refused_with_the_numbers():
    drain = parse_drain("d1", "target", "t1", 0)
    with pytest.raises(HeathercleatError, match="2 of 6 slots") as caught:
        plan_drain(make_document(), drain, now=10.0)
    assert caught.value.code is ResultCode.HEADROOM_REFUSED


def test_drain_is_planned_and_cancelled():
    document = make_document(min_slots=2)
    planned = plan_drain(document, parse_drain("d1", "target", "t1", 50.0), now=10.0)
    text = planned.parse()
    target = text.services["lookup"].targets["t1"]
    assert text.find_drain(target, 49.0) is None
    assert text.find_drain(target, 50.0).id == "d1"
    assert cancel_drain(planned, "d1", now=60.0).drains == {}


def test_earlier_drains_reduce_the_headroom():
    document = make_document(min_slots=2)
    planned = plan_drain(document, parse_drain("d1", "target", "t1", 0), now=10.0)
    with pytest.raises(HeathercleatError, match="0 of 6 slots"):
        plan_drain(planned, parse_drain("d2", "target", "t2", 0), now=10.0)


@pytest.mark.parametrize(
    ("scope", "name"), [("target", "ghost"), ("failure_domain", "ghost")]
)
def test_drain_of_an_unknown_name_is_refused(scope, name):
    with pytest.raises(HeathercleatError, match="ghost"):
        plan_drain(make_document(), parse_drain("d1", scope, name, 0), now=10.0)


class EditsMachine(RuleBasedStateMachine):
    """Concurrent edits with lost replies, and readers with outdated versions."""

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.editor = Editor(self.platform, ManualClock())
        self.managers = [make_manager(self.platform) for _ in range(2)]
        self.accepted = {}
        self.seen = [0, 0]
        self.number = 0

    @rule(before=st.integers(0, 2), after=st.integers(0, 2))
    def fault(self, before, after):
        self.platform.fail_before = before
        self.platform.fail_after = after

    @rule(lag=st.integers(0, 2))
    def edit(self, lag):
        self.number += 1
        base = max(0, self.latest() - lag)
        edit = make_edit(f"e{self.number}", base, str(self.number))
        try:
            version = run(self.editor.apply, edit)
        except HeathercleatError:
            return
        assert version not in self.accepted
        self.accepted[version] = edit.document

    @rule(reader=st.integers(0, 1))
    def read(self, reader):
        run(self.managers[reader].read_platform)

    @rule(reader=st.integers(0, 1))
    def gossip(self, reader):
        other = self.managers[1 - reader]
        if other.version:
            self.managers[reader].adopt(other.version, other.data, "peer")

    def latest(self):
        row = self.platform.rows.get(HEAD_KEY)
        return 0 if row is None else unpack_head(row.value).version

    @invariant()
    def accepted_versions_persist_and_no_reader_reverts(self):
        for version, document in self.accepted.items():
            assert run(self.editor.show, version) == document
        versions = [manager.version for manager in self.managers]
        assert all(a >= b for a, b in zip(versions, self.seen, strict=True))
        self.seen = versions


TestEdits = EditsMachine.TestCase
TestEdits.settings = settings(max_examples=30, stateful_step_count=12, deadline=None)
