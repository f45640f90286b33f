"""Tests of the ``heathercleat quarantine`` command."""

import json
import time

import msgpack
import pytest

from heathercleat.cli import main
from heathercleat.cli._quarantine import _describe, _list_lines, _unpack_row
from heathercleat.steering.process.quarantine.rows import QuarantineRow
from heathercleat.steering.process.store.protocol import StoreRow
from tests.platform_samples import SETTINGS
from tests.test_crashing_requests import (
    DOWN_SECONDS,
    STABLE_SECONDS,
    fleet,  # noqa: F401
    send_repeatedly,
)

#: Upper bound of the time from the third crash to the write of the row.
ROW_WRITE_SECONDS = 2.0


def run_quarantine(capsys, *args):
    """Run the command and return the JSON that it prints."""
    main(["quarantine", *args, "--json"])
    return json.loads(capsys.readouterr().out)


def test_operators_list_show_and_lift_a_quarantine(fleet, capsys):  # noqa: F811
    fleet.set_fatal_paths(["/one/fatal"], DOWN_SECONDS)
    send_repeatedly(fleet, "POST", "/one/fatal", attempts=8)
    time.sleep(ROW_WRITE_SECONDS)
    fleet.set_fatal_paths([], DOWN_SECONDS)
    settings = "--settings", next(iter(fleet.vms.values())).settings
    (listed,) = run_quarantine(capsys, "list", *settings)
    assert (listed["route"], listed["service"]) == ("one", "s1")
    assert listed["seen_by"] in fleet.vms
    assert len(listed["ends"]) >= 3
    fingerprint = listed["fingerprint"]
    assert run_quarantine(capsys, "show", fingerprint, *settings) == listed
    assert run_quarantine(capsys, "lift", fingerprint, *settings) == {
        "lifted": fingerprint
    }
    time.sleep(STABLE_SECONDS)
    statuses = send_repeatedly(fleet, "POST", "/one/fatal", attempts=6)
    assert set(statuses) == {200}
    assert run_quarantine(capsys, "list", *settings) == []
    with pytest.raises(SystemExit) as caught:
        main(["quarantine", "lift", fingerprint, *settings])
    assert caught.value.code == 2
    assert fingerprint in capsys.readouterr().err


@pytest.mark.parametrize("words", [["list"], ["show", "f"], ["lift", "f"]])
def test_unavailable_store_is_reported(words, tmp_path, capsys):
    path = tmp_path / "node.json"
    platform = {"address": "127.0.9.250:9"}
    path.write_text(json.dumps({**SETTINGS, "platform": platform}))
    with pytest.raises(SystemExit) as caught:
        main(["quarantine", *words, "--settings", str(path)])
    assert caught.value.code == 3
    assert "error 5004" in capsys.readouterr().err


def test_unreadable_row_is_listed_as_unreadable():
    unreadable = _unpack_row(StoreRow("f", b"\xc1", 1))
    lines = list(_list_lines([_describe("f", unreadable)]))
    assert "cannot be read" in lines[1]


def test_row_without_optional_fields_is_read():
    row = QuarantineRow.unpack(msgpack.packb([1.0, ["i-1"]]))
    assert (row.until, row.ends, row.route, row.vm) == (1.0, ["i-1"], None, None)
