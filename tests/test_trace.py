"""Tests of the ``heathercleat trace`` command."""

import json

import pytest

from heathercleat.cli import main


def line(at, name, vm="vm-1", **fields):
    return json.dumps({"at": at, "event": 1, "name": name, "vm": vm, **fields})


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "vm.log"
    lines = [
        line(1.0, "store_lost", table="op"),
        line(80.0, "target_ejected", vm="vm-2", target="i-1"),
        line(81.0, "member_dead", vm="vm-9", peer="vm-8"),
        line(
            90.0,
            "request_refused",
            request="q1",
            tries=["vm-2 i-1 home not-sent - 0.03"],
        ),
        line(91.0, "request_late", request="q2", tries=[]),
        line(92.0, "lines_left_out", lines=7),
        "2026-12-02 a collector's prefix " + line(89.0, "route_retried", request="q1"),
        "not a log line {",
    ]
    path.write_text("\n".join(lines))
    return str(path)


def test_trace_has_the_requests_lines_in_order_and_related_earlier_events(log, capsys):
    main(["trace", "q1", log])
    names = [text.split()[3] for text in capsys.readouterr().out.splitlines()[:-1]]
    assert names == ["target_ejected", "route_retried", "request_refused"]


def test_trace_has_crashes_under_other_attempts(tmp_path, capsys):
    path = tmp_path / "vm.log"
    lines = [
        line(50.0, "target_ended", request="q1", target="i-1", fingerprint="f"),
        line(51.0, "target_ended", request="q2", target="i-2", fingerprint="g"),
        line(52.0, "request_quarantined", vm="vm-2", fingerprint="f"),
        line(90.0, "request_refused", request="q3", tries=[], fingerprint="f"),
        line(95.0, "quarantine_ended", fingerprint="f"),
    ]
    path.write_text("\n".join(lines))
    main(["trace", "q3", str(path)])
    names = [text.split()[3] for text in capsys.readouterr().out.splitlines()]
    assert names == ["target_ended", "request_quarantined", "request_refused"]


def test_trace_as_json(log, capsys):
    main(["trace", "q1", log, "--json"])
    printed = [json.loads(text) for text in capsys.readouterr().out.splitlines()]
    assert printed[-1]["tries"] == ["vm-2 i-1 home not-sent - 0.03"]


def test_error_for_an_unknown_request_mentions_dropped_log_lines(log, capsys):
    with pytest.raises(SystemExit) as caught:
        main(["trace", "q9", log])
    assert caught.value.code == 2
    assert "7 lines left out" in capsys.readouterr().err


def test_error_for_a_missing_log_names_the_file(capsys):
    with pytest.raises(SystemExit):
        main(["trace", "q9", "/nowhere.log"])
    assert "/nowhere.log" in capsys.readouterr().err
