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


def make_keeper(platform=None):
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


def test_edits_follow_one_another(editor, platform):
    assert run(editor.apply, make_edit("e1", 0)) == 1
    assert run(editor.apply, make_edit("e2", 1)) == 2
    assert [head.version for head in run(editor.history)] == [2, 1]


def test_of_two_racing_edits_one_wins_and_the_other_sees_the_lines(editor, platform):
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


def test_repeated_edit_takes_effect_once(editor, platform):
    run(editor.apply, make_edit("e1", 0))
    run(editor.apply, make_edit("e2", 1))
    assert run(editor.apply, make_edit("e1", 0)) == 1
    assert head_version(platform) == 2


def test_edit_without_an_answer_is_unknown_not_refused(editor, platform):
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


def test_keeper_never_goes_back():
    keeper = make_keeper()
    assert keeper.adopt(3, make_document("three").pack(), "peer")
    assert not keeper.adopt(2, make_document("two").pack(), "lagging peer")
    assert not keeper.adopt(3, make_document("other three").pack(), "peer")
    assert keeper.version == 3
    assert keeper.document.source.startswith("// three")


def test_keeper_keeps_what_is_in_force_when_a_newer_one_is_broken():
    keeper = make_keeper()
    keeper.adopt(1, make_document().pack(), "peer")
    assert not keeper.adopt(2, b"\xc1", "peer")
    assert not keeper.adopt(2, Document("{}", {}).pack(), "peer")
    assert keeper.version == 1


def test_damaged_object_is_not_adopted(editor, platform):
    run(editor.apply, make_edit("e1", 0))
    key = object_key(make_document().pack())
    platform.objects[key] = make_document("damaged").pack()
    keeper = make_keeper(platform)
    assert not run(keeper.read_platform)
    assert keeper.version == 0


def test_drain_that_leaves_too_little_is_refused_with_the_figure():
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


def test_earlier_drains_count():
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
    """Operators race while replies are lost; readers lag behind at random."""

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.editor = Editor(self.platform, ManualClock())
        self.keepers = [make_keeper(self.platform) for _ in range(2)]
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
        run(self.keepers[reader].read_platform)

    @rule(reader=st.integers(0, 1))
    def gossip(self, reader):
        other = self.keepers[1 - reader]
        if other.version:
            self.keepers[reader].adopt(other.version, other.data, "peer")

    def latest(self):
        row = self.platform.rows.get(HEAD_KEY)
        return 0 if row is None else unpack_head(row.value).version

    @invariant()
    def accepted_versions_stand_and_nobody_goes_back(self):
        for version, document in self.accepted.items():
            assert run(self.editor.show, version) == document
        versions = [keeper.version for keeper in self.keepers]
        assert all(a >= b for a, b in zip(versions, self.seen, strict=True))
        self.seen = versions


TestEdits = EditsMachine.TestCase
TestEdits.settings = settings(max_examples=30, stateful_step_count=12, deadline=None)
