"""Structured logs: one JSON object a line, never waiting for the reader."""

import json
import sys
from collections import deque
from logging import ERROR, Formatter, Handler, getLogger
from threading import Event, Thread
from time import sleep

LOGGER_NAME = "heathercleat"
LIBRARY_LOGGER = "curio"
BUFFER_LINES = 50_000
WRITE_INTERVAL = 0.05
FLUSH_SECONDS = 0.5


class Journal:
    """Writes events as log lines.

    :param vm: the name of this VM, on every line.
    :param failure_domain: its failure domain, on every line.
    """

    def __init__(self, vm, failure_domain, logger=None):
        self._logger = logger or getLogger(LOGGER_NAME)
        self._vm = vm
        self._failure_domain = failure_domain

    def write(self, event, **inputs):
        """Log ``event`` with the inputs of the decision."""
        if not self._logger.isEnabledFor(event.level):
            return
        fields = {
            "event": event.number,
            "name": event.name.lower(),
            "vm": self._vm,
            "failure_domain": self._failure_domain,
            **inputs,
        }
        self._logger.log(event.level, "%s", event.name, extra={"fields": fields})


class JsonFormatter(Formatter):
    """Formats a record as one JSON object."""

    def format(self, record):
        """Return the line for ``record``."""
        line = {"at": round(record.created, 6), "level": record.levelname}
        line.update(getattr(record, "fields", {"message": record.getMessage()}))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class BufferHandler(Handler):
    """Buffers records for another thread; drops and counts them when it is full."""

    def __init__(self):
        super().__init__()
        self._records = deque()
        self._dropped = 0
        self._filled = Event()

    @property
    def dropped(self):
        """Return the number of records dropped so far."""
        return self._dropped

    def handle(self, record):
        """Buffer ``record`` or drop it; needs no lock, since appends are atomic."""
        if len(self._records) >= BUFFER_LINES:
            self._dropped += 1
            return
        self._records.append(record)
        if not self._filled.is_set():
            self._filled.set()

    def wait(self):
        """Wait until there is something to take, or :meth:`interrupt` is called."""
        self._filled.wait()

    def interrupt(self):
        """End a wait."""
        self._filled.set()

    def take(self):
        """Return the buffered records and forget them."""
        self._filled.clear()
        return [self._records.popleft() for _ in range(len(self._records))]


class LogWriter:
    """Moves log lines to a stream, many at a time, on a thread of its own.

    A wake-up for every line would cost a request more than its line does; one each 0.05
    s without any line was a fifth of those of a process without requests.

    :param stream: where lines go.
    :param level: name of the lowest level written.
    """

    def __init__(self, level, stream=None):
        self._stream = stream or sys.stderr
        self._handler = BufferHandler()
        self._formatter = JsonFormatter()
        self._logger = getLogger(LOGGER_NAME)
        self._logger.setLevel(level)
        self._logger.propagate = False
        self._logger.handlers = [self._handler]
        self._take_library_lines()
        self._stopping = False
        self._thread = Thread(target=self._run, daemon=True)

    @property
    def dropped(self):
        """Return the number of lines dropped because the reader fell behind."""
        return self._handler.dropped

    def start(self):
        """Start writing."""
        self._thread.start()

    def stop(self):
        """Write what is buffered, but wait no longer than ``FLUSH_SECONDS``."""
        self._stopping = True
        self._handler.interrupt()
        self._thread.join(FLUSH_SECONDS)

    def _take_library_lines(self):
        """Write what curio logs the same way, in place of bare lines on stderr.

        Its warnings only tell of results that came just after their deadline and were
        used all the same: 223 of them in 50 s under load.
        """
        library = getLogger(LIBRARY_LOGGER)
        library.setLevel(ERROR)
        library.propagate = False
        library.handlers = [self._handler]

    def _run(self):
        while not self._stopping:
            self._handler.wait()
            sleep(WRITE_INTERVAL)
            self._write()
        self._write()

    def _write(self):
        lines = [self._formatter.format(record) for record in self._handler.take()]
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            return
