"""Targets as service discovery announces them."""


class TargetEntry:
    """One incarnation of a target.

    :param id: name of the incarnation; a restart has another one.
    :param slots: requests that it works on at once.
    :param draining: whether it takes no new requests.
    :param cold_for: seconds for which it was still cold when the entry was written.
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
    )

    def __init__(
        self, id, service, host, port, failure_domain, slots, draining, cold_for
    ):
        self.id = id
        self.service = service
        self.host = host
        self.port = port
        self.failure_domain = failure_domain
        self.slots = slots
        self.draining = draining
        self.cold_for = cold_for
