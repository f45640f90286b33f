"""Configurations that VMs keep in the store beside rows of other writers."""

import json

import msgpack
import pytest
from curio import run

from heathercleat.platform.decode import decode_config
from heathercleat.process.logs import Journal
from heathercleat.steering.process.rejected_items import RejectedItemLog
from heathercleat.steering.process.store.configuration_archive import (
    ConfigurationArchive,
)
from heathercleat.steering.process.store.versions import era_of
from tests.fakes import ManualClock
from tests.platform_samples import config
from tests.scripted_store import ScriptedStore

IN_FORCE = decode_config(json.dumps(config()).encode())
INVALID_ROWS = [
    b"",
    msgpack.packb(None),
    msgpack.packb([b"digest", 7, b"not compressed"]),
    msgpack.packb([b"digest", "7", b""]),
    msgpack.packb([b"digest", 7]),
]


class WritableStore(ScriptedStore):
    """A store in memory that VMs write to."""

    async def write(self, table, key, value):
        self.put(key, value)
        return era_of(self.version)


def make_archive(store, in_force, adopted=None):
    journal = Journal("vm-1", "north-a")
    archive = ConfigurationArchive(
        store,
        lambda: True,
        lambda: in_force,
        adopted,
        RejectedItemLog(journal, ManualClock()),
        journal,
    )
    archive.record_invalid_row(b"{}")
    return archive


@pytest.mark.parametrize("value", INVALID_ROWS, ids=range(len(INVALID_ROWS)))
def test_row_of_another_writer_keeps_no_configuration_from_being_restored(value):
    store, adopted = WritableStore(), []
    store.put("other", value)
    run(make_archive(store, IN_FORCE)._synchronize)
    assert str(IN_FORCE.version) in store.rows
    run(make_archive(store, None, adopted.append)._synchronize)
    assert [each.version for each in adopted] == [IN_FORCE.version]
