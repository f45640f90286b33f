"""What the registry notes of targets, as log lines."""

from heathercleat.events import Event


class TargetLog:
    """Writes a line for each change of a target.

    The target's own count of its reports and the row's version tell in which order
    things were said and written.
    """

    def __init__(self, journal):
        self._journal = journal

    def listed(self, entries):
        """Log the entries known at first: one line in place of hundreds."""
        services = {}
        for entry in entries:
            services[entry.service] = services.get(entry.service, 0) + 1
        self._journal.write(Event.TARGETS_LISTED, services=services)

    def found(self, entry):
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
            version=entry.version,
        )

    def restarted(self, before, entry):
        """Log that a target started again under its id."""
        self._journal.write(
            Event.TARGET_RESTARTED,
            target=entry.id,
            started_ms=entry.started_ms,
            started_ms_before=before.started_ms,
            cold_for=entry.cold_for,
            draining=entry.draining,
        )

    def log_draining(self, before, entry):
        """Log that a target says that it leaves, or no longer says so."""
        event = Event.TARGET_DRAINING if entry.draining else Event.TARGET_REOPENED
        self._journal.write(
            event,
            target=entry.id,
            reason="entry",
            sequence=entry.sequence,
            sequence_before=before.sequence,
            version=entry.version,
        )

    def outdated(self, before, entry):
        """Log that an entry was reported before one that is known."""
        self._journal.write(
            Event.ENTRY_OUTDATED,
            target=entry.id,
            sequence=entry.sequence,
            sequence_before=before.sequence,
            started_ms=entry.started_ms,
            started_ms_before=before.started_ms,
            version=entry.version,
        )

    def lapsing(self, target_id, seconds):
        """Log that a target without an entry is used for some seconds."""
        self._journal.write(
            Event.TARGET_LAPSING, target=target_id, seconds=round(seconds, 3)
        )

    def log_removal(self, target_id, reason):
        """Log that a target is used no longer."""
        self._journal.write(Event.TARGET_GONE, target=target_id, reason=reason)
