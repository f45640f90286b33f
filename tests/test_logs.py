import io
import json
from logging import getLogger
from time import sleep

import pytest

from heathercleat.events import Event
from heathercleat.process.logs import WRITE_INTERVAL_SECONDS, Journal, LogWriter


def lines_of(log):
    """Return what a writer has written after ``log()``."""
    stream = io.StringIO()
    writer = LogWriter("INFO", stream)
    writer.start()
    log()
    writer.stop()
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_errors_of_the_library_are_lines_like_others():
    (line,) = lines_of(lambda: getLogger("curio.kernel").error("task %s crashed", 7))
    assert (line["level"], line["message"]) == ("ERROR", "task 7 crashed")


@pytest.mark.parametrize("level", ["info", "warning"])
def test_warnings_of_the_library_are_left_out(level):
    assert lines_of(lambda: getattr(getLogger("curio.time"), level)("late")) == []


def test_writer_rests_until_there_is_a_line():
    stream = io.StringIO()
    writer = LogWriter("INFO", stream)
    takes = []
    pop_all = writer._handler.pop_all
    writer._handler.pop_all = lambda: takes.append(1) or pop_all()
    writer.start()
    sleep(4 * WRITE_INTERVAL_SECONDS)
    assert takes == []
    for _ in range(3):
        Journal("vm-1", "north-a").write(Event.VM_STARTED)
    sleep(4 * WRITE_INTERVAL_SECONDS)
    assert len(stream.getvalue().splitlines()) == 3
    assert len(takes) == 1
    writer.stop()
    assert not writer._thread.is_alive()
