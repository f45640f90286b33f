"""Targets as service discovery announces them."""


class TargetEntry:
    """One incarnation of a target.

    :param id: name of the incarnation; a restart has another one.
    :param slots: requests that it works on at once.
    :param draining: whether it takes no new requests.
    :param cold_for: seconds for which it was still cold when the entry was written.
    :param sequence: the target's own count of its reports, ``None`` if it tells none.
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
        self.version = version
