"""Log lines of the target registry."""

from heathercleat.events import Event
from heathercleat.steering.process.store.versions import number_of


class TargetLog:
    """Writes a log line for each change of a target.

    The lines contain the sequence number of the target's report and the version of the
    row, since reports may be written to the store out of order.
    """

    def __init__(self, journal):
        self._journal = journal

    def log_list(self, entries):
        """Log the number of targets of each service when the table was first read."""
        services = {}
        for entry in entries:
            services[entry.service] = services.get(entry.service, 0) + 1
        self._journal.write(Event.TARGETS_LISTED, services=services)

    def log_found(self, entry):
        """Log the first entry of a target."""
        self._journal.write(
            Event.TARGET_FOUND,
            target=entry.id,
            service=entry.service,
            domain=entry.failure_domain,
            slots=entry.slots,
            cold_for=entry.cold_for,
            draining=entry.draining,
            sequence=entry.sequence,
            version=number_of(entry.version),
        )

    def log_restart(self, previous, entry):
        """Log that a target restarted under the same id."""
        self._journal.write(
            Event.TARGET_RESTARTED,
            target=entry.id,
            started_ms=entry.started_ms,
            started_ms_before=previous.started_ms,
            cold_for=entry.cold_for,
            draining=entry.draining,
        )

    def log_draining(self, previous, entry):
        """Log that a target started or stopped draining."""
        event = Event.TARGET_DRAINING if entry.draining else Event.TARGET_REOPENED
        self._journal.write(
            event,
            target=entry.id,
            reason="entry",
            sequence=entry.sequence,
            sequence_before=previous.sequence,
            version=number_of(entry.version),
        )

    def log_outdated(self, previous, entry):
        """Log that an entry is older than a recorded one and was ignored."""
        self._journal.write(
            Event.ENTRY_OUTDATED,
            target=entry.id,
            sequence=entry.sequence,
            sequence_before=previous.sequence,
            started_ms=entry.started_ms,
            started_ms_before=previous.started_ms,
            version=number_of(entry.version),
        )

    def log_missing(self, target_id, seconds):
        """Log that the entry of a target is missing.

        :param seconds: seconds for which the target is still used.
        """
        self._journal.write(
            Event.TARGET_LAPSING, target=target_id, seconds=round(seconds, 3)
        )

    def log_removal(self, target_id, reason):
        """Log that a target was removed."""
        self._journal.write(Event.TARGET_GONE, target=target_id, reason=reason)
