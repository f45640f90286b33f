import io
import json
from logging import getLogger

import pytest

from heathercleat.process.logs import LogWriter


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
