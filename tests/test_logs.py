"""Tests of the log writer: library errors are logged and idle writers do not wake."""

import io
import json
from logging import getLogger
from time import sleep

import pytest
from curio import run

from heathercleat.events import Event
from heathercleat.process.logs import WRITE_INTERVAL_SECONDS, Journal, LogWriter
from heathercleat.process.supervision import run_supervised
from standins.fleet import Processes


def lines_of(log):
    """Return the lines that a writer has written after ``log()``."""
    stream = io.StringIO()
    writer = LogWriter("INFO", stream)
    writer.start()
    log()
    writer.stop()
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_library_errors_are_logged_as_json():
    (line,) = lines_of(lambda: getLogger("curio.kernel").error("task %s crashed", 7))
    assert (line["level"], line["message"]) == ("ERROR", "task 7 crashed")


@pytest.mark.parametrize("level", ["info", "warning"])
def test_library_messages_below_error_are_dropped(level):
    assert lines_of(lambda: getattr(getLogger("curio.time"), level)("late")) == []


def test_writer_is_idle_until_there_is_a_line():
    stream = io.StringIO()
    writer = LogWriter("INFO", stream)
    pops = []
    pop_all = writer._handler.pop_all
    writer._handler.pop_all = lambda: pops.append(1) or pop_all()
    writer.start()
    sleep(4 * WRITE_INTERVAL_SECONDS)
    assert pops == []
    for _ in range(3):
        Journal("vm-1", "north-a").write(Event.VM_STARTED)
    sleep(4 * WRITE_INTERVAL_SECONDS)
    assert len(stream.getvalue().splitlines()) == 3
    assert len(pops) == 1
    writer.stop()
    assert not writer._thread.is_alive()


def test_line_that_a_process_is_writing_is_not_read():
    processes = Processes()
    try:
        path = processes.folder / "vm.log"
        path.write_text('{"event": 1}\nplain\n{"event": 2, "na')
        assert processes.log("vm") == [{"event": 1}]
    finally:
        processes.stop()


def test_failed_loop_is_counted_and_logged_with_the_place_of_its_error():
    journal = Journal("vm-1", "north-a")

    async def fail():
        if journal.count_errors(Event.TASK_FAILED):
            raise SystemExit
        raise ValueError("unusable")

    def supervise():
        with pytest.raises(SystemExit):
            run(run_supervised, fail, journal, 0.0)

    (line,) = lines_of(supervise)
    assert line["name"] == "task_failed"
    assert line["where"].startswith("test_logs.py:")
    assert line["where"].endswith(" fail")
