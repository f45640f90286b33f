"""How recently the configuration in force is known to have been the newest."""

from heathercleat.events import Event
from heathercleat.process.clock import DISTANT_PAST

#: Seconds from the first report to this VM until it has heard all VMs. A version in a
#: first report until then may be in force there for any time.
START_SECONDS = 2.0
#: Seconds for which another VM has to have a newer version before this is logged; a
#: new version is in force at all VMs within less.
BEHIND_SECONDS = 1.0
#: Maximum age of a proof on which this VM refuses what its configuration lacks. Longer
#: than VMs take to renew and pass on proofs while the store responds.
MAX_REFUSAL_PROOF_SECONDS = 15.0


class ConfigurationFreshness:
    """The latest instant at which the configuration in force was proven the newest.

    A proof starts with a read of the store and has the instant at which that read
    began, so that a change that the read missed was made later. VMs pass proofs on in
    heartbeats. A proof for one version also holds for each newer one, since that was
    written after the read.

    A store that was restored from a backup may not have the newest configuration yet. A
    read therefore proves nothing from the instant at which another VM may have had a
    newer version than this VM has now.

    :param version: returns the version of the configuration in force, 0 without one.
    """

    def __init__(self, version):
        self._version = version
        self._proven_at = None
        self._reports = {}
        self._starting_until = None
        self._newest_report = None
        # Earlier proofs do not count for refusals.
        self._refusal_proof_from = DISTANT_PAST

    @property
    def proven_at(self):
        """Return the instant of the latest proof, or ``None``."""
        newest = self._newest_report
        if self._proven_at is None or not newest or self._version() >= newest.version:
            return self._proven_at
        return None if newest.since is None else min(self._proven_at, newest.since)

    @property
    def newest_elsewhere(self):
        """Return the name and the version of the live VM with the newest version.

        Both are ``None`` if no VM reported one.
        """
        versions = ((each.version, vm) for vm, each in self._reports.items())
        version, vm = max(versions, default=(None, None))
        return vm, version

    def version_at(self, vm):
        """Return the version that a live VM reported; 0 if it reported none."""
        report = self._reports.get(vm)
        return report.version if report is not None else 0

    def record_read(self, began_at):
        """Record that all changes up to an instant were read and applied."""
        self._advance(began_at)

    def record_report(self, vm, version, sent_at, age):
        """Record the version in force at another VM, and its proof.

        :param vm: name of the other VM.
        :param version: the version that was in force there.
        :param sent_at: earliest instant at which it can have sent the report.
        :param age: age of its proof in seconds, ``None`` without one.
        """
        self._record_version(vm, version, sent_at)
        if age is not None and version <= self._version():
            self._advance(sent_at - age)

    def retain(self, vms):
        """Drop the reports of VMs that are not in ``vms``."""
        self._reports = {vm: each for vm, each in self._reports.items() if vm in vms}

    def was_newest(self, max_age, at):
        """Return whether the proof was at most ``max_age`` seconds old at an instant.

        :param max_age: ``None`` if no proof is needed.
        """
        if max_age is None:
            return True
        proven_at = self.proven_at
        return proven_at is not None and at <= proven_at + max_age

    def require_newer_proof(self, instant):
        """Let only proofs from an instant on justify refusals.

        Changes from before may be missing, as the store was restored from a backup.
        """
        self._refusal_proof_from = max(self._refusal_proof_from, instant)

    def justifies_refusals(self, at):
        """Return whether what the configuration lacks is known to be lacking.

        :param at: instant at which the request arrived.
        """
        newest = self._newest_report
        if newest is not None and newest.version > self._version():
            return False
        proven_at = self._proven_at
        if proven_at is None or proven_at < self._refusal_proof_from:
            return False
        return at <= proven_at + MAX_REFUSAL_PROOF_SECONDS

    def _record_version(self, vm, version, sent_at):
        if self._starting_until is None:
            self._starting_until = sent_at + START_SECONDS
        before = self._reports.get(vm)
        if before is None:
            since = None if sent_at < self._starting_until else sent_at
        elif version > before.version:
            since = before.sent_at
        else:
            since = before.since
        report = VersionReport(version, since, sent_at)
        self._reports[vm] = report
        if self._newest_report is None or version > self._newest_report.version:
            self._newest_report = report

    def _advance(self, proven_at):
        if self._proven_at is None or proven_at > self._proven_at:
            self._proven_at = proven_at


class VersionReport:
    """The configuration version that another VM reported last.

    :param since: earliest instant from which it can have had this version; ``None`` if
        that may be any time.
    :param sent_at: earliest instant at which it can have sent the report.
    """

    __slots__ = ("version", "since", "sent_at")

    def __init__(self, version, since, sent_at):
        self.version = version
        self.since = since
        self.sent_at = sent_at


class FreshnessMonitor:
    """Logs when keys can no longer be accepted for want of a proof, and again.

    :param freshness: the :class:`ConfigurationFreshness`.
    :param bounds: the :class:`Bounds`.
    """

    def __init__(self, freshness, bounds, journal, clock):
        self._freshness = freshness
        self._bounds = bounds
        self._journal = journal
        self._clock = clock
        self._is_fresh = False

    def check(self):
        """Log a change since the last check."""
        now, proven_at = self._clock.now(), self._freshness.proven_at
        is_fresh = self._freshness.was_newest(self._bounds.revocation, now)
        if is_fresh == self._is_fresh:
            return
        self._is_fresh = is_fresh
        event = Event.PROOF_RETURNED if is_fresh else Event.PROOF_LOST
        age = None if proven_at is None else round(now - proven_at, 3)
        self._journal.write(event, age=age)


class BehindMonitor:
    """Logs when another VM has a newer configuration for long, and when it ends.

    :param freshness: the :class:`ConfigurationFreshness`.
    :param version: returns the version of the configuration in force, 0 without one.
    """

    def __init__(self, freshness, version, journal, clock):
        self._freshness = freshness
        self._version = version
        self._journal = journal
        self._clock = clock
        self._behind_since = None
        self._is_logged = False

    def check(self):
        """Log a change since the last check."""
        vm, newest = self._freshness.newest_elsewhere
        now, version = self._clock.now(), self._version()
        if newest is None or newest <= version:
            if self._is_logged:
                seconds = round(now - self._behind_since, 3)
                self._journal.write(
                    Event.CONFIGURATION_CURRENT, version=version, seconds=seconds
                )
            self._behind_since, self._is_logged = None, False
            return
        if self._behind_since is None:
            self._behind_since = now
        if not self._is_logged and now - self._behind_since >= BEHIND_SECONDS:
            self._is_logged = True
            self._journal.write(
                Event.CONFIGURATION_BEHIND, version=version, peer=vm, newest=newest
            )
