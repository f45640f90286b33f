"""Registry of the known targets, and of those that may receive requests."""

from heathercleat.events import Event
from heathercleat.steering.process.capacity.target_log import TargetLog

#: Seconds after an outage of the store until a target whose entry is still missing is
#: removed: the two seconds in which the platform lets targets renew their entries, and
#: up to 0.45 between two calls of a reader, the first of which counts as the earliest
#: instant of the return.
MISSING_GRACE_SECONDS = 2.45
#: Seconds for which the last entry of a removed target is kept; well above the longest
#: delay of a write in the store.
REMOVED_RETENTION_SECONDS = 60.0


class RemovedTarget:
    """The last entry of a removed target.

    :param expires_at: instant at which it is dropped.
    """

    __slots__ = ("entry", "expires_at")

    def __init__(self, entry, expires_at):
        self.entry = entry
        self.expires_at = expires_at


class TargetRegistry:
    """All known targets by id.

    A target whose entry disappears during an outage of the store is missing. It may
    still run, and is used for :data:`MISSING_GRACE_SECONDS` after the outage, a time
    that is never extended. A target whose entry disappears at any other time is removed
    at once.

    :param journal: where changes are logged.
    """

    def __init__(self, journal, clock):
        self._journal = journal
        self._log = TargetLog(journal)
        self._clock = clock
        self._targets = {}
        self._missing_until = {}
        self._removed = {}
        self._by_service = {}
        self._cold_until = {}
        self._evacuated = frozenset()
        # By failure domain: instant until which a lost evacuation still holds.
        self._lost_evacuations = {}
        self._missing_deadline = 0.0
        self._is_loaded = False
        # Whether the initial entries are stored; only later ones are logged one by one.
        self._is_initialized = False
        self._on_change = []

    @property
    def is_loaded(self):
        """Return whether the table was read at least once."""
        return self._is_loaded

    @property
    def evacuated(self):
        """Return the evacuated failure domains; their targets get no requests."""
        return self._evacuated

    def on_change(self, callback):
        """Call ``callback()`` after each change of the usable targets."""
        self._on_change.append(callback)

    def of_service(self, service):
        """Return the usable targets of a service."""
        return self._by_service.get(service, ())

    def get(self, target_id):
        """Return the entry of a usable target, or ``None``."""
        entry = self._targets.get(target_id)
        return entry if entry is not None and self._is_usable(entry) else None

    def entry(self, target_id):
        """Return the entry of a target, usable or not, or ``None``."""
        return self._targets.get(target_id)

    def contains(self, target_id):
        """Return whether there is an entry of a target, usable or not."""
        return target_id in self._targets

    def incarnations(self):
        """Return the incarnation ids of all targets with an entry."""
        return {entry.incarnation_id for entry in self._targets.values()}

    def usable(self):
        """Yield every usable target."""
        for entries in self._by_service.values():
            yield from entries

    def cold_until(self, target_id):
        """Return the instant until which a target is cold, or 0 if it is warm."""
        return self._cold_until.get(target_id, 0.0)

    def record_store_return(self, since):
        """Record the end of an outage of the store that affected all VMs.

        :param since: earliest instant at which the outage can have ended.
        """
        self._missing_deadline = since + MISSING_GRACE_SECONDS

    def remaining_use_seconds(self):
        """Return the seconds for which each missing target is still used, by id."""
        now = self._clock.now()
        return {each: until - now for each, until in self._missing_until.items()}

    def replace(self, entries, remaining_use_seconds=None):
        """Replace all entries; return the ids of targets whose change affects steering.

        :param remaining_use_seconds: result of :meth:`remaining_use_seconds` at the VM
            that sent the list; ``None`` for a list from the store.
        """
        first, self._is_loaded = not self._is_loaded, True
        present = {entry.id for entry in entries}
        removed = [each for each in self._targets if each not in present]
        changed = self._apply(entries, removed, remaining_use_seconds)
        if first:
            self._log.log_list(entries)
        return changed

    def update(self, entries, removed, remaining_use_seconds=None):
        """Merge changed entries and the ids of removed ones.

        Return the ids of the targets whose change affects steering.

        :param remaining_use_seconds: as in :meth:`replace`.
        """
        if remaining_use_seconds is not None:
            # The other VM may have removed a target that is still missing here.
            present = {entry.id for entry in entries}
            missing = [each for each in self._missing_until if each not in present]
            removed = {*removed, *missing}
        return self._apply(entries, removed, remaining_use_seconds)

    def _apply(self, entries, removed, remaining_use_seconds):
        changed = [entry.id for entry in entries if self._record_entry(entry)]
        now = self._clock.now()
        for target_id in removed:
            until = self._missing_deadline
            if remaining_use_seconds is not None:
                until = now + remaining_use_seconds.get(target_id, 0.0)
            if self._record_removal(target_id, until):
                changed.append(target_id)
        if changed or not self._is_initialized:
            self._is_initialized = True
            self._rebuild()
        return changed

    def expire(self):
        """End what holds only for a time without an entry.

        That is the use of missing targets, and evacuations that were lost.
        """
        now = self._clock.now()
        self._expire_lost_evacuations(now)
        expired = [each for each, until in self._missing_until.items() if until <= now]
        for target_id in expired:
            self._remove(target_id, "entry still missing")
        if expired:
            self._rebuild()

    def evacuate(self, failure_domains, ended=frozenset(), lost_until=None):
        """Set the failure domains whose targets get no requests.

        :param ended: failure domains whose evacuation the operators ended.
        :param lost_until: instant until which all others that are evacuated now remain
            so, since their evacuation may have been lost; ``None`` if none was.
        """
        lost = frozenset()
        if lost_until is not None:
            lost = self._evacuated - failure_domains - ended
        self._lost_evacuations = dict.fromkeys(lost, lost_until)
        self._set_evacuated(failure_domains | lost)

    def _set_evacuated(self, failure_domains):
        if failure_domains == self._evacuated:
            return
        self._journal.write(
            Event.EVACUATION_CHANGED,
            before=sorted(self._evacuated),
            after=sorted(failure_domains),
        )
        self._evacuated = failure_domains
        self._rebuild()

    def _expire_lost_evacuations(self, now):
        ended = {each for each, until in self._lost_evacuations.items() if until <= now}
        if not ended:
            return
        for each in ended:
            del self._lost_evacuations[each]
        self._set_evacuated(self._evacuated - ended)

    def remove_replaced(self, target_id, reason):
        """Remove a target that was replaced by another one at its address.

        Its entry stays in the table until it expires, and must not restore the target.
        """
        if target_id in self._targets:
            self._remove(target_id, reason)
            self._rebuild()

    def reject(self, target_ids):
        """Remove targets with invalid entries; return those that were known."""
        known = [each for each in target_ids if each in self._targets]
        for target_id in known:
            self._remove(target_id, "entry rejected")
        if known:
            self._rebuild()
        return known

    def _record_entry(self, entry):
        """Record an entry; return whether the change affects steering."""
        before = self._targets.get(entry.id)
        if self._is_outdated(entry, before):
            return False
        was_missing = self._missing_until.pop(entry.id, None) is not None
        if before is not None and entry.version == before.version:
            return was_missing
        self._removed.pop(entry.id, None)
        self._targets[entry.id] = entry
        if before is not None and entry.is_same_report(before):
            return was_missing
        restarted = before is not None and not entry.is_same_incarnation(before)
        if restarted:
            self._cold_until.pop(entry.id, None)
        became_cold = self._record_cold(entry)
        if before is None:
            if self._is_initialized:
                self._log.log_found(entry)
            return True
        if restarted:
            self._log.log_restart(before, entry)
        elif entry.draining != before.draining:
            self._log.log_draining(before, entry)
        has_changed = became_cold or not entry.has_same_steering_fields(before)
        return was_missing or has_changed

    def _is_outdated(self, entry, before):
        """Return whether an entry is older than the recorded or the removed one.

        If it were recorded, a delayed report could revert a drain or a removal.
        """
        removed_target = self._removed.get(entry.id)
        if before is None and removed_target is not None:
            before = removed_target.entry
            if entry.version <= before.version:
                return True
        if before is None or not entry.is_older_than(before):
            return False
        self._log.log_outdated(before, entry)
        return True

    def _record_cold(self, entry):
        """Record how long a target is cold; return whether it was warm before."""
        if not entry.cold_for:
            return False
        now = self._clock.now()
        became_cold = self.cold_until(entry.id) <= now
        self._cold_until[entry.id] = now + entry.cold_for
        return became_cold

    def _record_removal(self, target_id, until):
        """Record the removal of an entry; return whether it changed the target.

        :param until: instant until which the target is used, unless it is draining.
        """
        entry = self._targets.get(target_id)
        if entry is None:
            return False
        current_until = self._missing_until.get(target_id)
        if current_until is not None:
            until = min(until, current_until)
        now = self._clock.now()
        if until <= now or entry.draining:
            self._remove(target_id, "entry removed")
            return True
        self._missing_until[target_id] = until
        if current_until is None:
            self._log.log_missing(target_id, until - now)
        return current_until is None

    def _remove(self, target_id, reason):
        now = self._clock.now()
        self._expire_removed(now)
        entry = self._targets.pop(target_id)
        self._removed[target_id] = RemovedTarget(entry, now + REMOVED_RETENTION_SECONDS)
        self._missing_until.pop(target_id, None)
        self._cold_until.pop(target_id, None)
        self._log.log_removal(target_id, reason)

    def _expire_removed(self, now):
        """Drop expired entries of removed targets; they are in order of expiry."""
        for target_id, removed_target in list(self._removed.items()):
            if removed_target.expires_at > now:
                return
            del self._removed[target_id]

    def _is_usable(self, entry):
        return not entry.draining and entry.failure_domain not in self._evacuated

    def _rebuild(self):
        self._by_service = {}
        for entry in self._targets.values():
            if self._is_usable(entry):
                self._by_service.setdefault(entry.service, []).append(entry)
        for callback in self._on_change:
            callback()
