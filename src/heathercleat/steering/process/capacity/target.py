"""Targets as service discovery announces them."""

#: Fields that decide on who may send what to a target.
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
    """What one report of a target says.

    A target that starts again is another incarnation, with the same id or another one:
    nothing that was known of the one before holds.

    :param slots: requests that it works on at once.
    :param draining: whether it takes no new requests.
    :param cold_for: seconds for which it was still cold when the entry was written.
    :param sequence: the target's own count of its reports since its start, ``None`` if
        it tells none.
    :param started_ms: Unix milliseconds of its start, ``None`` if it tells none.
    :param version: the store's version of the row that the entry was read from.
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
        """Return what tells this start of the target from every other one."""
        return self.id if self.started_ms is None else f"{self.id}@{self.started_ms}"

    def is_same_incarnation(self, other):
        """Return whether both are of the same start of the target."""
        return self.started_ms == other.started_ms

    def is_older_than(self, other):
        """Return whether the target reported this before another entry of its own.

        The store may write a delayed report after a later one: the order of rows is not
        that of reports.
        """
        if not self.is_same_incarnation(other):
            if self.started_ms is None or other.started_ms is None:
                return self.started_ms is None
            return self.started_ms < other.started_ms
        if self.sequence is None or other.sequence is None:
            return False
        return self.sequence < other.sequence

    def has_same_steering_fields(self, other):
        """Return whether nothing has changed that matters for steering."""
        return all(
            getattr(self, name) == getattr(other, name) for name in _STEERING_FIELDS
        )
