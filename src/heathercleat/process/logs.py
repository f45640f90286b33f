"""Structured logs: one JSON object a line, never waiting for the reader."""

import json
import sys
from logging import Formatter, StreamHandler, getLogger
from logging.handlers import QueueHandler, QueueListener
from queue import Empty, Full, Queue
from time import monotonic, sleep

LOGGER_NAME = "heathercleat"
QUEUE_LINES = 50_000
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


class DroppingQueueHandler(QueueHandler):
    """Drops lines and counts them when the reader of the log falls behind."""

    def __init__(self, queue):
        super().__init__(queue)
        self._dropped = 0

    @property
    def dropped(self):
        """Return the number of lines dropped so far."""
        return self._dropped

    def prepare(self, record):
        """Return ``record`` as it is; the listener formats it."""
        return record

    def enqueue(self, record):
        """Queue ``record`` or drop it."""
        try:
            self.queue.put_nowait(record)
        except Full:
            self._dropped += 1


class LogWriter:
    """Moves log lines to a stream on a thread of its own.

    :param stream: where lines go.
    :param level: name of the lowest level written.
    """

    def __init__(self, level, stream=None):
        self._queue = Queue(QUEUE_LINES)
        self._handler = DroppingQueueHandler(self._queue)
        writer = StreamHandler(stream or sys.stderr)
        writer.setFormatter(JsonFormatter())
        self._listener = QueueListener(self._queue, writer)
        self._logger = getLogger(LOGGER_NAME)
        self._logger.setLevel(level)
        self._logger.propagate = False
        self._logger.handlers = [self._handler]

    @property
    def dropped(self):
        """Return the number of lines dropped because the reader fell behind."""
        return self._handler.dropped

    def start(self):
        """Start writing."""
        self._listener.start()

    def stop(self):
        """Write what is queued, but wait no longer than ``FLUSH_SECONDS``."""
        deadline = monotonic() + FLUSH_SECONDS
        while not self._queue.empty() and monotonic() < deadline:
            sleep(0.01)
        try:
            while True:
                self._queue.get_nowait()
        except Empty:
            pass
