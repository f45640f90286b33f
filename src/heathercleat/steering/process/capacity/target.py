"""Entries of targets in service discovery."""

#: Fields that affect which requests are sent to a target.
_STEERING_FIELDS = (
    "service",
    "host",
    "port",
    "failure_domain",
    "slots",
    "draining",
    "started_ms",
)


class TargetEntry:
    """One report of a target.

    A restarted target is another incarnation, with the same id or a new one: no state
    of the previous incarnation applies to it.

    :param slots: maximum number of concurrent requests.
    :param draining: whether the target accepts no new requests.
    :param cold_for: remaining seconds of its cold phase when the entry was written.
    :param sequence: the target's counter of its reports since its start, or ``None``.
    :param started_ms: start of the target in Unix milliseconds, or ``None``.
    :param version: version of the row in the store.
    """

    __slots__ = (
        "id",
        "service",
        "host",
        "port",
        "failure_domain",
        "slots",
        "draining",
        "cold_for",
        "sequence",
        "started_ms",
        "version",
    )

    def __init__(
        self,
        id,
        service,
        host,
        port,
        failure_domain,
        slots,
        draining,
        cold_for,
        sequence=None,
        started_ms=None,
        version=0,
    ):
        self.id = id
        self.service = service
        self.host = host
        self.port = port
        self.failure_domain = failure_domain
        self.slots = slots
        self.draining = draining
        self.cold_for = cold_for
        self.sequence = sequence
        self.started_ms = started_ms
        self.version = version

    @property
    def incarnation_id(self):
        """Return an id that is unique to this incarnation of the target."""
        return self.id if self.started_ms is None else f"{self.id}@{self.started_ms}"

    def is_same_incarnation(self, other):
        """Return whether both entries are of the same incarnation of a target."""
        return self.started_ms == other.started_ms

    def is_older_than(self, other):
        """Return whether the target reported this entry before the other one.

        The versions of the rows do not show this, since the store may write a delayed
        report after a newer one.
        """
        if not self.is_same_incarnation(other):
            if self.started_ms is None or other.started_ms is None:
                return self.started_ms is None
            return self.started_ms < other.started_ms
        if self.sequence is None or other.sequence is None:
            return False
        return self.sequence < other.sequence

    def is_same_report(self, other):
        """Return whether the target reported both entries at once.

        A store that is restored from a backup assigns other versions to the same
        reports.
        """
        return (
            self.has_same_steering_fields(other)
            and self.sequence == other.sequence
            and self.cold_for == other.cold_for
        )

    def has_same_steering_fields(self, other):
        """Return whether both entries are equal in all fields that affect steering."""
        return all(
            getattr(self, name) == getattr(other, name) for name in _STEERING_FIELDS
        )
