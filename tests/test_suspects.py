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

LIVES = [f"i-{number}" for number in range(5)]


def made(clock=None):
    return Suspects(Journal("vm-1", "north-a"), clock or ManualClock())


def end(suspects, count, fingerprint="f"):
    for life in LIVES[:count]:
        suspects.ended(fingerprint, life)


def tell(sender, receiver):
    for news in list(sender.news()):
        receiver.told(SuspectUpdate.of(news.fields()))


@pytest.mark.parametrize(("ends", "refused"), [(0, False), (2, False), (3, True)])
def test_third_end_quarantines_a_request(ends, refused):
    suspects = made()
    end(suspects, ends)
    assert (suspects.refused_until("f") is not None) is refused
    assert suspects.refused_until("another") is None


def test_one_end_counts_once_however_often_it_is_told():
    suspects, other = made(), made()
    for _ in range(5):
        suspects.ended("f", "i-1")
        tell(suspects, other)
        tell(other, suspects)
    assert suspects.refused_until("f") is None
    assert other.refused_until("f") is None


def test_ends_seen_by_three_vms_are_united():
    vms = [made() for _ in range(3)]
    for vm, life in zip(vms, LIVES, strict=False):
        vm.ended("f", life)
    for vm in vms[1:]:
        tell(vm, vms[0])
    assert vms[0].refused_until("f") is not None


def test_whole_answer_clears_a_request_everywhere():
    one, other = made(), made()
    end(one, 3)
    tell(one, other)
    other.answered("f")
    tell(other, one)
    assert one.refused_until("f") is None
    assert one.digest == other.digest


@pytest.mark.parametrize("told", [False, True])
def test_ends_soon_after_a_whole_answer_are_not_laid_to_the_request(told):
    """As with a popular request, under way at many targets that end by a fault."""
    clock = ManualClock()
    suspects, other = made(clock), made(clock)
    suspects.answered("f")
    clock.time += EXEMPTION_SECONDS / 2
    end(other if told else suspects, CRASHES_TO_QUARANTINE)
    tell(other, suspects)
    assert suspects.refused_until("f") is None
    tell(suspects, other)
    assert other.refused_until("f") is None


def test_old_answer_does_not_speak_for_a_request():
    clock = ManualClock()
    suspects = made(clock)
    suspects.answered("f")
    clock.time += EXEMPTION_SECONDS + 0.1
    end(suspects, CRASHES_TO_QUARANTINE)
    assert suspects.refused_until("f") is not None


@pytest.mark.parametrize(
    ("ends", "seconds"), [(2, SUSPICION_SECONDS), (3, QUARANTINE_SECONDS)]
)
def test_suspicion_and_quarantine_have_an_end(ends, seconds):
    clock = ManualClock()
    suspects = made(clock)
    end(suspects, ends)
    clock.time += seconds - 0.1
    suspects.expire()
    assert suspects.count == 1
    clock.time += 0.2
    suspects.expire()
    assert suspects.count == 0
    assert suspects.digest == 0
    assert suspects.refused_until("f") is None


def test_vms_do_not_keep_a_suspect_alive_by_telling_each_other():
    clock = ManualClock()
    one, other = made(clock), made(clock)
    end(one, 2)
    over = clock.time + SUSPICION_SECONDS + 2 * MIN_REMAINING_SECONDS
    while clock.time < over:
        # News is on its way for a while.
        told = list(one.news()), list(other.news())
        clock.time += 0.4
        for receiver, news in zip((other, one), told, strict=True):
            for each in news:
                receiver.told(each)
        one.expire()
        other.expire()
    assert (one.count, other.count) == (0, 0)


def test_request_under_which_two_targets_ended_is_left_to_its_caller():
    suspects = made()
    end(suspects, 1)
    assert suspects.may_retry("f")
    end(suspects, 2)
    assert not suspects.may_retry("f")


def test_memory_is_bounded_and_the_oldest_goes_first():
    suspects = made()
    for number in range(MAX_SUSPECTS + 5):
        suspects.ended(f"f{number}", "i-1")
    assert suspects.count == MAX_SUSPECTS
    assert "f0" not in {each.fingerprint for each in suspects.all()}


def test_heartbeat_tells_a_bounded_number_of_ends():
    suspects = made()
    for number in range(200):
        end(suspects, 5, f"f{number}")
    told = list(suspects.news())
    assert 0 < sum(len(news.ends) for news in told) <= MAX_CRASHES_PER_HEARTBEAT


def test_own_third_end_is_reported_once_and_a_told_one_is_not():
    caught = []
    one, other = made(), made()
    one.on_quarantine(caught.append)
    other.on_quarantine(caught.append)
    end(one, 5)
    tell(one, other)
    assert [each.fingerprint for each in caught] == ["f"]


def test_quarantine_by_ends_of_several_vms_is_reported_by_each():
    """None wrote its row where no VM saw the third end beside the others."""
    caught = []
    one, other, third = made(), made(), made()
    for each in (one, other, third):
        each.on_quarantine(caught.append)
    one.ended("f", "i-1", "two", "s1")
    other.ended("f", "i-2", "two", "s1")
    other.ended("f", "i-3", "two", "s1")
    tell(one, other)
    tell(other, one)
    tell(other, third)
    assert [(each.route, each.service) for each in caught] == [("two", "s1")] * 2


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
def test_news_of_another_form_is_an_error(fields):
    with pytest.raises(ValueError):
        SuspectUpdate.of(fields)


def test_told_time_is_bounded():
    clock = ManualClock()
    suspects = made(clock)
    suspects.told(SuspectUpdate("f", float("inf"), LIVES[:3], []))
    assert suspects.refused_until("f") == clock.now() + QUARANTINE_SECONDS


def test_quarantine_is_the_same_after_its_way_through_the_store():
    clock = ManualClock()
    suspects = made(clock)
    end(suspects, 3)
    (suspect,) = suspects.all()
    row = StoreRow("f", encode_quarantine(suspect, clock), 1)
    news = decode_quarantine(row, clock)
    assert (news.fingerprint, news.ends) == ("f", LIVES[:3])
    assert news.remaining == pytest.approx(QUARANTINE_SECONDS)
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
def test_row_of_another_writer_is_an_error(fields):
    row = StoreRow("f", msgpack.packb(fields), 1)
    with pytest.raises(ValueError):
        decode_quarantine(row, ManualClock())


@given(st.binary(max_size=40))
def test_any_bytes_in_a_row_are_an_error_or_a_quarantine(value):
    try:
        news = decode_quarantine(StoreRow("f", value, 1), ManualClock())
    except ValueError:
        return
    assert news is None or 0 <= news.remaining <= QUARANTINE_SECONDS


class SpreadMachine(RuleBasedStateMachine):
    """Several VMs that see ends and answers and tell each other, in any order."""

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.vms = [made(self.clock) for _ in range(3)]
        self.seen = set()
        self.answered = False

    @rule(vm=st.integers(0, 2), life=st.sampled_from(LIVES))
    def see_end(self, vm, life):
        self.vms[vm].ended("f", life)
        self.seen.add(life)

    @rule(vm=st.integers(0, 2))
    def answer(self, vm):
        self.vms[vm].answered("f")
        self.answered = True

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def tell(self, sender, receiver):
        tell(self.vms[sender], self.vms[receiver])

    @rule(vm=st.integers(0, 2))
    def restart(self, vm):
        """What only this VM knew is lost; the others tell the rest."""
        others = [each for each in self.vms if each is not self.vms[vm]]
        known = {life for each in others for life in _lives(each)}
        self.seen &= known
        self.vms[vm] = made(self.clock)

    @rule(seconds=st.floats(0.1, 2 * EXEMPTION_SECONDS))
    def wait(self, seconds):
        self.clock.time += seconds

    @invariant()
    def no_end_is_counted_twice(self):
        for vm in self.vms:
            assert len(_lives(vm)) == len(set(_lives(vm)))
            assert set(_lives(vm)) <= self.seen

    def teardown(self):
        """The cut heals: all tell all, and agree."""
        if not hasattr(self, "vms"):
            return
        for _ in range(3):
            for sender in self.vms:
                for receiver in self.vms:
                    tell(sender, receiver)
        assert len({vm.digest for vm in self.vms}) == 1
        verdicts = {vm.refused_until("f") is None for vm in self.vms}
        assert len(verdicts) == 1
        if len(self.seen) >= CRASHES_TO_QUARANTINE and not self.answered:
            assert verdicts == {False}


def _lives(suspects):
    return [life for suspect in suspects.all() for life in suspect.ends]


SpreadMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
TestSpreadMachine = SpreadMachine.TestCase


def test_vms_that_know_other_ends_have_another_digest():
    """Checksums of 1 and 2, and of 0 and 3, came to the same: neither told."""
    one, other = made(), made()
    for life in ("i-1", "i-2"):
        one.ended("f", life)
    for life in ("i-0", "i-3"):
        other.ended("f", life)
    assert one.digest != other.digest


def test_vms_that_know_other_ends_of_too_many_agree():
    """Each kept those that it had learned first, and told the others for ever."""
    one, other = made(), made()
    for number in range(MAX_CRASHES):
        one.ended("f", f"i-{number}")
        other.ended("f", f"j-{number}")
    tell(one, other)
    tell(other, one)
    (here,), (there,) = one.all(), other.all()
    assert set(here.ends) == set(there.ends)
    assert len(here.ends) == MAX_CRASHES


def test_random_order_of_news_comes_to_the_same_digest():
    rng = random.Random(5)
    vms = [made() for _ in range(4)]
    for number in range(40):
        rng.choice(vms).ended(f"f{number % 7}", rng.choice(LIVES))
    for _ in range(60):
        tell(*rng.sample(vms, 2))
    for sender in vms:
        for receiver in vms:
            tell(sender, receiver)
    assert len({vm.digest for vm in vms}) == 1
