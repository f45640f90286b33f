"""Tests that claim rows are removed once their retention time is over, not before."""

import pytest
from curio import run, spawn

from heathercleat.errors import PlatformError
from heathercleat.events import Event
from heathercleat.process.at_most_once.claims import (
    BUCKET_SECONDS,
    CLAIM_PREFIX,
    ClaimTable,
)
from heathercleat.process.at_most_once.deduplication import RETENTION_SECONDS
from heathercleat.process.at_most_once.sweeper import BATCH_ROWS, ClaimSweeper
from heathercleat.process.configuration.platform import VmEntry
from heathercleat.request.ticket import Ticket
from tests.fakes import FakePlatform, FakeVm, ManualClock

OLD_EXPIRY = 50.0
NEW_EXPIRY = 50.0 + BUCKET_SECONDS


class FakeDirectory:
    def __init__(self, *names):
        self.entries = [VmEntry(name, "127.0.0.1", "north-a", False) for name in names]


@pytest.fixture
def platform():
    return FakePlatform()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def sweeper(platform, clock):
    vm = FakeVm()
    vm.vm_directory = FakeDirectory(vm.name)
    return ClaimSweeper(vm, platform, clock)


def claim(platform, expires_at, *keys):
    """Claim keys with a ticket that expires at ``expires_at``."""

    async def claim_keys():
        claims = ClaimTable(platform, "p1")
        worker = await spawn(claims.run, daemon=True)
        ticket = Ticket("ticket", "north-a-1", "p1", "rules", True, expires_at)
        for key in keys:
            await claims.claim(ticket, key)
        await worker.cancel()

    run(claim_keys)


def claim_rows(platform):
    return [key for key in platform.rows if key.startswith(CLAIM_PREFIX)]


def test_rows_of_old_tickets_are_removed_and_others_stay(platform, clock, sweeper):
    claim(platform, OLD_EXPIRY, "k1", "k2")
    claim(platform, NEW_EXPIRY, "k3")
    clock.time = BUCKET_SECONDS + RETENTION_SECONDS
    assert run(sweeper.sweep) == 2
    assert len(claim_rows(platform)) == 1


def test_rows_are_kept_until_the_retention_time_ends(platform, clock, sweeper):
    claim(platform, BUCKET_SECONDS - 1.0, "k1")
    clock.time = BUCKET_SECONDS + RETENTION_SECONDS - 1
    assert run(sweeper.sweep) == 0
    assert len(claim_rows(platform)) == 1


def test_many_rows_are_removed_in_batches(platform, clock, sweeper):
    claim(platform, OLD_EXPIRY, *map(str, range(2 * BATCH_ROWS + 5)))
    clock.time = BUCKET_SECONDS + RETENTION_SECONDS
    before = platform.transactions
    assert run(sweeper.sweep) == 2 * BATCH_ROWS + 5
    assert platform.transactions - before == 3


def test_other_rows_are_never_swept(platform, clock, sweeper):
    run(platform.transact, [], [type("W", (), {"key": "config/head", "value": b"x"})()])
    clock.time = 10 * BUCKET_SECONDS
    assert run(sweeper.sweep) == 0
    assert "config/head" in platform.rows


def test_failed_sweep_is_repeated_the_next_time(platform, clock, sweeper):
    claim(platform, OLD_EXPIRY, "k1")
    clock.time = BUCKET_SECONDS + RETENTION_SECONDS
    platform.down = True
    with pytest.raises(PlatformError):
        run(sweeper.sweep)
    platform.down = False
    assert run(sweeper.sweep) == 1
    assert sweeper._vm.journal.events[-1] == (Event.CLAIMS_SWEPT, {"rows": 1})


def test_lost_reply_to_a_removal_is_harmless(platform, clock, sweeper):
    claim(platform, OLD_EXPIRY, "k1")
    claim(platform, NEW_EXPIRY, "k2")
    clock.time = BUCKET_SECONDS + RETENTION_SECONDS
    platform.fail_after = 1
    with pytest.raises(PlatformError):
        run(sweeper.sweep)
    assert run(sweeper.sweep) == 0
    assert len(claim_rows(platform)) == 1
