"""Tests that no request runs twice, and none reported as not run ever runs."""

import pytest
from curio import run, spawn
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from heathercleat import HeathercleatError, ResultCode
from heathercleat.errors import PlatformError
from heathercleat.process.at_most_once.claims import ClaimTable, RowState
from heathercleat.process.at_most_once.deduplication import (
    RETENTION_SECONDS,
    DeduplicationTable,
    EntryState,
)
from heathercleat.request.call import Outcome
from heathercleat.request.ticket import Ticket, issue_ticket, read_ticket
from tests.fakes import FakePlatform, ManualClock

KEYS = ["a-shared-key-for-tests"]
OTHER_KEYS = ["another-shared-key-here"]


def make_ticket(instance_id="p1", claims=True, expires_at=160.0):
    return Ticket("ticket", "north-a-1", instance_id, "rules", claims, expires_at)


async def with_claims(claims, act):
    """Return the result of ``act()``, called while the claim table runs."""
    worker = await spawn(claims.run, daemon=True)
    try:
        return await act()
    finally:
        await worker.cancel()


def test_ticket_is_read_as_it_was_issued():
    text = issue_ticket(KEYS, "vm", "birth", "rules", True, 12.0)
    ticket = read_ticket(KEYS, text)
    assert (ticket.vm, ticket.instance_id, ticket.requires_claims) == (
        "vm",
        "birth",
        True,
    )


@pytest.mark.parametrize(
    "text",
    ["", "x", "!!", issue_ticket(OTHER_KEYS, "", "", "", 0, 1)],
    ids=["empty", "short", "not base64", "other key"],
)
def test_ticket_with_an_invalid_signature_is_refused(text):
    with pytest.raises(HeathercleatError) as caught:
        read_ticket(KEYS, text)
    assert caught.value.code is ResultCode.TICKET_INVALID


def test_rotated_keys_still_verify_old_tickets():
    old = issue_ticket(OTHER_KEYS, "vm", "birth", "rules", True, 12.0)
    assert read_ticket([*KEYS, *OTHER_KEYS], old).vm == "vm"


def test_same_key_with_another_request_is_refused():
    table = DeduplicationTable(ManualClock())
    table.begin(make_ticket(), "k", b"one")
    with pytest.raises(HeathercleatError) as caught:
        table.begin(make_ticket(), "k", b"two")
    assert caught.value.code is ResultCode.KEY_REUSED


def test_closed_key_never_runs():
    table = DeduplicationTable(ManualClock())
    assert table.close_out("ticket", "k", 160.0).state is EntryState.CLOSED
    with pytest.raises(HeathercleatError) as caught:
        table.begin(make_ticket(), "k", b"one")
    assert caught.value.code is ResultCode.TICKET_CLOSED


def test_expired_ticket_only_returns_recorded_outcomes():
    clock = ManualClock()
    table = DeduplicationTable(clock)
    entry, is_first = table.begin(make_ticket(), "ran", b"x")
    run(table.finish, entry, EntryState.DONE, Outcome(200, [], b"done"))
    clock.time = 161.0
    again, is_first = table.begin(make_ticket(), "ran", b"x")
    assert again.outcome.body == b"done" and not is_first
    with pytest.raises(HeathercleatError) as caught:
        table.begin(make_ticket(), "new", b"x")
    assert caught.value.code is ResultCode.TICKET_EXPIRED


def test_ticket_older_than_the_retention_has_an_unknown_outcome():
    clock = ManualClock()
    table = DeduplicationTable(clock)
    clock.time = 100_000.0
    with pytest.raises(HeathercleatError) as caught:
        table.begin(make_ticket(), "k", b"x")
    assert caught.value.code is ResultCode.OUTCOME_UNKNOWN


def test_expired_key_is_never_closed_out_as_not_run():
    clock = ManualClock()
    table = DeduplicationTable(clock)
    entry, _ = table.begin(make_ticket(), "ran", b"x")
    run(table.finish, entry, EntryState.DONE, Outcome(200, [], b"done"))
    clock.time = 160.0 + RETENTION_SECONDS
    table.begin(Ticket("other", "vm", "p1", "rules", True, 9000.0), "k", b"x")
    with pytest.raises(HeathercleatError) as caught:
        table.close_out("ticket", "ran", 160.0)
    assert caught.value.code is ResultCode.OUTCOME_UNKNOWN


def test_closed_key_is_retained_while_its_ticket_is_valid():
    clock = ManualClock()
    table = DeduplicationTable(clock)
    long_ticket = Ticket("ticket", "vm", "p1", "rules", True, 100.0 + 3600)
    table.close_out("ticket", "k", long_ticket.expires_at)
    clock.time = 100.0 + 2 * RETENTION_SECONDS
    with pytest.raises(HeathercleatError) as caught:
        table.begin(long_ticket, "k", b"x")
    assert caught.value.code is ResultCode.TICKET_CLOSED


def test_claim_and_close_out_exclude_each_other():
    platform = FakePlatform()
    owner, other = ClaimTable(platform, "p1"), ClaimTable(platform, "p2")

    async def act():
        row = await with_claims(owner, lambda: owner.claim(make_ticket(), "k"))
        assert (row.state, row.writer) == (RowState.CLAIMED, "p1")
        row = await with_claims(other, lambda: other.close_out(make_ticket(), "k"))
        assert (row.state, row.writer) == (RowState.CLAIMED, "p1")
        row = await with_claims(other, lambda: other.close_out(make_ticket(), "k2"))
        assert row.state is RowState.CLOSED
        row = await with_claims(owner, lambda: owner.claim(make_ticket(), "k2"))
        assert row.state is RowState.CLOSED

    run(act)


def test_lost_reply_of_a_claim_is_resolved_by_reading_back():
    platform = FakePlatform()
    platform.fail_after = 1
    claims = ClaimTable(platform, "p1")
    row = run(with_claims, claims, lambda: claims.claim(make_ticket(), "k"))
    assert (row.state, row.writer) == (RowState.CLAIMED, "p1")


def test_claim_without_effect_is_an_error():
    platform = FakePlatform()
    platform.fail_before = 1
    claims = ClaimTable(platform, "p1")
    with pytest.raises(PlatformError):
        run(with_claims, claims, lambda: claims.claim(make_ticket(), "k"))


def test_concurrent_claims_share_a_transaction():
    platform = FakePlatform()
    claims = ClaimTable(platform, "p1")

    async def act():
        tasks = [
            await spawn(claims.claim, make_ticket(), f"k{number}")
            for number in range(30)
        ]
        return [await task.join() for task in tasks]

    rows = run(with_claims, claims, act)
    assert all(row.state is RowState.CLAIMED for row in rows)
    assert platform.transactions == 1


def test_conflict_of_one_claim_does_not_fail_the_others():
    platform = FakePlatform()
    owner, other = ClaimTable(platform, "p1"), ClaimTable(platform, "p2")

    async def act():
        await with_claims(other, lambda: other.close_out(make_ticket(), "k1"))

        async def claim_both():
            tasks = [
                await spawn(owner.claim, make_ticket(), key) for key in ("k1", "k2")
            ]
            return [await task.join() for task in tasks]

        return await with_claims(owner, claim_both)

    states = [row.state for row in run(act)]
    assert states == [RowState.CLOSED, RowState.CLAIMED]


class ClaimsMachine(RuleBasedStateMachine):
    """An owner and two other processes race for one key; replies may be lost."""

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.owner = ClaimTable(self.platform, "owner")
        self.others = [ClaimTable(self.platform, name) for name in ("b", "c")]
        self.may_run = False
        self.reported_not_run = False

    @rule(before=st.integers(0, 1), after=st.integers(0, 1), down=st.booleans())
    def set_faults(self, before, after, down):
        self.platform.fail_before = before
        self.platform.fail_after = after
        self.platform.down = down

    @rule()
    def claim(self):
        try:
            row = run(
                with_claims, self.owner, lambda: self.owner.claim(make_ticket(), "k")
            )
        except PlatformError:
            return
        if row.state is RowState.CLAIMED and row.writer == "owner":
            self.may_run = True

    @rule(index=st.integers(0, 1))
    def close(self, index):
        other = self.others[index]
        try:
            row = run(with_claims, other, lambda: other.close_out(make_ticket(), "k"))
        except PlatformError:
            return
        if row.state is RowState.CLOSED:
            self.reported_not_run = True

    @invariant()
    def request_reported_as_not_run_never_runs(self):
        assert not (self.may_run and self.reported_not_run)


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(max_examples=40, stateful_step_count=12, deadline=None)
