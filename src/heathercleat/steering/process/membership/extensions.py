"""Reports of optional parts of the product, appended to heartbeats.

They follow the other parts of a datagram as one message of their own, a table by name.
VMs of earlier builds ignore it. A report with an unknown name is ignored, too, so that
VMs of several builds may exchange heartbeats.
"""

from typing import Protocol

import msgpack

from heathercleat.events import Event

#: Maximum bytes of one encoded report, so that a heartbeat stays within one datagram
#: of 8 KB with four of them.
MAX_REPORT_BYTES = 1024


class HeartbeatExtension(Protocol):
    """A part of the product that reports to the other VMs that handle requests.

    ``name`` identifies its reports in heartbeats.
    """

    name: str

    def report(self):
        """Return what to send, as lists, texts and numbers; ``None`` for nothing."""

    def merge(self, vm, report):
        """Record the report of another VM.

        :raises ValueError: when it is malformed; :exc:`TypeError` likewise.
        """


class Extensions:
    """The :class:`HeartbeatExtension` objects of a VM.

    :param failures: the :class:`RejectedItemLog` for reports that cannot be sent.
    """

    def __init__(self, extensions, failures, journal):
        self._extensions = {each.name: each for each in extensions}
        self._failures = failures
        self._journal = journal

    def pack(self):
        """Return the encoded reports, empty if there are none."""
        reports = {
            name: report
            for name, each in self._extensions.items()
            if (report := self._report(each)) is not None
        }
        return msgpack.packb(reports) if reports else b""

    def merge(self, vm, reports):
        """Record the reports of another VM; log those that are malformed."""
        for name, report in reports.items():
            extension = self._extensions.get(name)
            if extension is None:
                continue
            try:
                extension.merge(vm, report)
            except (ValueError, TypeError) as error:
                reason = f"report {name}: {error!r}"
                self._journal.write(Event.PEER_REJECTED, peer=vm, reason=reason)

    def _report(self, extension):
        """Return the report of an extension; log one that cannot be sent."""
        try:
            report = extension.report()
            size = len(msgpack.packb(report))
        except Exception as error:  # noqa: BLE001
            self._failures.log(extension.name, error)
            return None
        if size > MAX_REPORT_BYTES:
            self._failures.log(extension.name, f"{size} bytes are too many")
            return None
        return report
