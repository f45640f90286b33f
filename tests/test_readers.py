"""Which VMs read the store."""

import pytest

from heathercleat.steering.process.store.protocol import Snapshot
from heathercleat.steering.process.store.tables import SETTLE_SECONDS, Tables
from heathercleat.version.hashing import ranked
from tests.steering_parts import Parts, beat

VMS = [f"vm-{number}" for number in range(1, 10)]


class Fleet:
    """The tables of one VM, in a region with others that it has read of."""

    def __init__(self):
        self.parts = Parts()
        self.tables = Tables(
            self.parts.settings,
            self.parts.registry,
            self.parts.members,
            None,
            None,
            self.parts.journal,
            self.parts.clock,
        )
        self.read_members()
        own = self.parts.members.own
        self.others = [name for name in VMS if name != own.vm]
        for number, name in enumerate(self.others):
            ip = f"127.0.8.{number + 1}"
            self.parts.members.introduce(name, ip, own.failure_domain, own.region)

    def read_members(self):
        self.tables.member_rows._take_whole(Snapshot(1, []))

    @property
    def reads(self):
        return self.tables._is_reader()


@pytest.fixture
def fleet():
    return Fleet()


def test_vm_that_starts_leaves_the_reading_to_those_it_has_read_of(fleet):
    own = fleet.parts.members.own.vm
    first = ranked("reader", VMS)[:2]
    assert fleet.reads == (own in first)
    assert own not in first


def test_vm_that_hears_nobody_reads_for_itself_soon(fleet):
    fleet.parts.clock.time += SETTLE_SECONDS
    assert fleet.reads


def test_vm_alone_reads_as_soon_as_it_knows_that():
    parts = Parts()
    tables = Tables(
        parts.settings, parts.registry, parts.members, None, None, None, parts.clock
    )
    assert not tables._is_reader()
    tables.member_rows._take_whole(Snapshot(1, []))
    assert tables._is_reader()


def test_reader_is_one_that_the_store_answers(fleet):
    fleet.parts.clock.time += SETTLE_SECONDS
    for name in fleet.others:
        fleet.parts.members.heard(beat(name, domain="north-a"))
    assert not fleet.reads
    for name in fleet.others:
        fleet.parts.members.live(name).store_lost = True
    assert fleet.reads
