"""Structured, non-blocking logs: one JSON object per line."""

import json
import sys
from collections import Counter, deque
from logging import ERROR, Formatter, Handler, getLogger
from threading import Event, Thread
from time import sleep

LOGGER_NAME = "heathercleat"
CURIO_LOGGER_NAME = "curio"
MAX_BUFFERED_LINES = 50_000
WRITE_INTERVAL_SECONDS = 0.05
FLUSH_SECONDS = 0.5


class Journal:
    """Logs events with their fields.

    :param vm: the name of this VM, added to each line.
    :param failure_domain: its failure domain, added to each line.
    """

    def __init__(self, vm, failure_domain, logger=None):
        self._logger = logger or getLogger(LOGGER_NAME)
        self._vm = vm
        self._failure_domain = failure_domain
        self._error_counts = Counter()

    def count_errors(self, event):
        """Return how often ``event``, of level ``ERROR``, was logged."""
        return self._error_counts[event]

    def write(self, event, **event_fields):
        """Log ``event``; the keyword arguments become fields of the line."""
        if event.level >= ERROR:
            self._error_counts[event] += 1
        if not self._logger.isEnabledFor(event.level):
            return
        fields = {
            "event": event.number,
            "name": event.name.lower(),
            "vm": self._vm,
            "failure_domain": self._failure_domain,
            **event_fields,
        }
        self._logger.log(event.level, "%s", event.name, extra={"fields": fields})


class JsonFormatter(Formatter):
    """Formats a record as one JSON object."""

    def format(self, record):
        """Return the line for ``record``, without a line break."""
        line = {"at": round(record.created, 6), "level": record.levelname}
        line.update(getattr(record, "fields", {"message": record.getMessage()}))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class BufferHandler(Handler):
    """Buffers records for another thread; drops and counts those that don't fit."""

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
        """Buffer or drop ``record``; no lock is needed because appends are atomic."""
        if len(self._records) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        self._records.append(record)
        if not self._filled.is_set():
            self._filled.set()

    def wait(self):
        """Block until a record is buffered or :meth:`interrupt` is called."""
        self._filled.wait()

    def interrupt(self):
        """Wake the thread that is blocked in :meth:`wait`."""
        self._filled.set()

    def pop_all(self):
        """Remove and return the buffered records."""
        self._filled.clear()
        return [self._records.popleft() for _ in range(len(self._records))]


class LogWriter:
    """Writes log lines to a stream in batches, in a thread of its own.

    Batches avoid a wake-up per line, and the thread sleeps while there are no lines.

    :param level: name of the lowest level to write.
    :param stream: the stream to write to; standard error by default.
    """

    def __init__(self, level, stream=None):
        self._stream = stream or sys.stderr
        self._handler = BufferHandler()
        self._formatter = JsonFormatter()
        self._logger = getLogger(LOGGER_NAME)
        self._logger.setLevel(level)
        self._logger.propagate = False
        self._logger.handlers = [self._handler]
        self._capture_curio_logs()
        self._is_stopping = False
        self._thread = Thread(target=self._run, daemon=True)

    @property
    def dropped(self):
        """Return the number of lines dropped because the buffer was full."""
        return self._handler.dropped

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Write the buffered lines, waiting for at most ``FLUSH_SECONDS``."""
        self._is_stopping = True
        self._handler.interrupt()
        self._thread.join(FLUSH_SECONDS)

    def _capture_curio_logs(self):
        """Send the errors that curio logs to the same handler.

        Warnings of curio are ignored: they report results that arrive just after a
        timeout, which are used nevertheless.
        """
        curio_logger = getLogger(CURIO_LOGGER_NAME)
        curio_logger.setLevel(ERROR)
        curio_logger.propagate = False
        curio_logger.handlers = [self._handler]

    def _run(self):
        while not self._is_stopping:
            self._handler.wait()
            sleep(WRITE_INTERVAL_SECONDS)
            self._write()
        self._write()

    def _write(self):
        lines = [self._formatter.format(record) for record in self._handler.pop_all()]
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            return
