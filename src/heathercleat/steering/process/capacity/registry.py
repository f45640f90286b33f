"""Registry of the targets that exist now, and of those that may be used."""

from heathercleat.events import Event

#: Seconds after the store's return in which entries that lapsed meanwhile come back.
LAPSE_GRACE = 2.2


class TargetRegistry:
    """All known targets by id.

    An entry that vanishes while the store was away is kept for :data:`LAPSE_GRACE`,
    since its target may be alive and about to come back; one that vanishes in calm
    times has left.

    :param journal: where changes are logged.
    """

    def __init__(self, journal, clock):
        self._journal = journal
        self._clock = clock
        self._targets = {}
        self._lapsing = {}
        self._by_service = {}
        self._cold_until = {}
        self._evacuated = frozenset()
        self._grace_until = 0.0
        self._known = False
        self._on_change = []

    @property
    def known(self):
        """Return whether the entries were read at least once."""
        return self._known

    @property
    def evacuated(self):
        """Return the failure domains whose targets get no requests."""
        return self._evacuated

    def on_change(self, callback):
        """Call ``callback()`` after each change of the usable targets."""
        self._on_change.append(callback)

    def of_service(self, service):
        """Return the usable targets of a service."""
        return self._by_service.get(service, ())

    def get(self, target_id):
        """Return the usable target of that id, or ``None``."""
        entry = self._targets.get(target_id)
        return entry if entry is not None and self._usable(entry) else None

    def knows(self, target_id):
        """Return whether a target is known, usable or not."""
        return target_id in self._targets

    def usable(self):
        """Yield every usable target."""
        for entries in self._by_service.values():
            yield from entries

    def cold_until(self, target_id):
        """Return the instant until which a target is cold; 0 when it is warm."""
        return self._cold_until.get(target_id, 0.0)

    def store_returned(self):
        """Note that the store answers again after it was away."""
        self._grace_until = self._clock.now() + LAPSE_GRACE

    def replace(self, entries):
        """Take the whole list of entries."""
        self._known = True
        present = {entry.id for entry in entries}
        for entry in entries:
            self._put(entry)
        for target_id in [each for each in self._targets if each not in present]:
            self._remove(target_id)
        self._rebuild()

    def update(self, entries, removed):
        """Take changed entries and the ids of removed ones.

        Return whether anything changed that matters for steering.
        """
        changed = [self._put(entry) for entry in entries]
        for target_id in removed:
            changed.append(self._remove(target_id))
        matters = self._expire_lapsed() or any(changed)
        if matters:
            self._rebuild()
        return matters

    def evacuate(self, failure_domains):
        """Set the failure domains whose targets get no requests."""
        if failure_domains == self._evacuated:
            return
        self._journal.write(
            Event.EVACUATION_CHANGED,
            before=sorted(self._evacuated),
            after=sorted(failure_domains),
        )
        self._evacuated = failure_domains
        self._rebuild()

    def forget(self, target_id, reason):
        """Drop a target that another incarnation has replaced at its address."""
        if self._targets.pop(target_id, None) is not None:
            self._journal.write(Event.TARGET_GONE, target=target_id, reason=reason)
            self._rebuild()

    def _put(self, entry):
        """Keep an entry; return whether what matters for steering has changed."""
        now = self._clock.now()
        self._lapsing.pop(entry.id, None)
        turned_cold = entry.cold_for > 0 and self.cold_until(entry.id) <= now
        if entry.cold_for > 0:
            self._cold_until[entry.id] = now + entry.cold_for
        before = self._targets.get(entry.id)
        self._targets[entry.id] = entry
        if before is None:
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
            return True
        if entry.draining != before.draining:
            self._log_drain(before, entry)
        usual = entry.draining == before.draining and entry.slots == before.slots
        return turned_cold or not usual

    def _remove(self, target_id):
        if target_id not in self._targets:
            return False
        now = self._clock.now()
        if now < self._grace_until:
            self._keep_lapsing(target_id, now)
            return False
        del self._targets[target_id]
        self._cold_until.pop(target_id, None)
        self._journal.write(Event.TARGET_GONE, target=target_id, reason="entry removed")
        return True

    def _keep_lapsing(self, target_id, now):
        if target_id in self._lapsing:
            return
        self._lapsing[target_id] = self._grace_until
        self._journal.write(
            Event.TARGET_LAPSING,
            target=target_id,
            seconds=round(self._grace_until - now, 3),
        )

    def _log_drain(self, before, entry):
        """Log that a target's entry turned from one state to the other."""
        event = Event.TARGET_DRAINING if entry.draining else Event.TARGET_REOPENED
        self._journal.write(
            event,
            target=entry.id,
            reason="entry",
            sequence=entry.sequence,
            sequence_before=before.sequence,
            version=entry.version,
        )

    def _expire_lapsed(self):
        now = self._clock.now()
        expired = [each for each, until in self._lapsing.items() if until <= now]
        for target_id in expired:
            del self._lapsing[target_id]
            self._remove(target_id)
        return bool(expired)

    def _usable(self, entry):
        return not entry.draining and entry.failure_domain not in self._evacuated

    def _rebuild(self):
        self._by_service = {}
        for entry in self._targets.values():
            if self._usable(entry):
                self._by_service.setdefault(entry.service, []).append(entry)
        for callback in self._on_change:
            callback()
