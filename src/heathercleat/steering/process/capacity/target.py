"""Targets as service discovery announces them."""

#: Fields that decide on who may send what to a target.
_STEERING_FIELDS = (
    "service",
    "host",
    "port",
    "failure_domain",
    "slots",
    "draining",
    "born",
)


class TargetEntry:
    """What one report of a target says.

    A target that starts again is another life of it, with the same id or another one:
    nothing that was known of the one before holds.

    :param slots: requests that it works on at once.
    :param draining: whether it takes no new requests.
    :param cold_for: seconds for which it was still cold when the entry was written.
    :param sequence: the target's own count of its reports since its start, ``None`` if
        it tells none.
    :param born: Unix milliseconds of its start, ``None`` if it tells none.
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
        "born",
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
        born=None,
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
        self.born = born
        self.version = version

    def is_same_life(self, other):
        """Return whether both are of the same start of the target."""
        return self.born == other.born

    def is_older_than(self, other):
        """Return whether the target reported this before another entry of its own.

        The store may write a delayed report after a later one: the order of rows is not
        that of reports.
        """
        if not self.is_same_life(other):
            if self.born is None or other.born is None:
                return self.born is None
            return self.born < other.born
        if self.sequence is None or other.sequence is None:
            return False
        return self.sequence < other.sequence

    def steers_like(self, other):
        """Return whether nothing has changed that matters for steering."""
        return all(
            getattr(self, name) == getattr(other, name) for name in _STEERING_FIELDS
        )
