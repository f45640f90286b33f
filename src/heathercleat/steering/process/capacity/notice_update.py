"""Wire format of a notice between VMs."""

from math import isfinite


class NoticeUpdate:
    """A notice as passed on between VMs; the order of the slots is the wire format.

    :param incarnation: see :attr:`TargetEntry.incarnation_id`.
    :param failure_domain: that of the target.
    :param age: seconds since the latest response.
    :param rate: requests per second that the target accepts, ``None`` without a limit.
    :param is_leaving: whether it shuts down soon.
    :param rest_seconds: remaining seconds for which it asks for no requests.
    """

    __slots__ = (
        "incarnation",
        "failure_domain",
        "age",
        "rate",
        "is_leaving",
        "rest_seconds",
    )

    def __init__(
        self, incarnation, failure_domain, age, rate, is_leaving, rest_seconds
    ):
        self.incarnation = incarnation
        self.failure_domain = failure_domain
        self.age = age
        self.rate = rate
        self.is_leaving = is_leaving
        self.rest_seconds = rest_seconds

    def fields(self):
        """Return the values in the order of the slots."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def from_fields(cls, fields):
        """Return the update with decoded fields.

        :raises ValueError: if the fields are malformed.
        """
        if not isinstance(fields, list) or len(fields) != len(cls.__slots__):
            raise ValueError(f"{fields!r} is not a list of the fields of a notice")
        update = cls(*fields)
        for text in (update.incarnation, update.failure_domain):
            if not isinstance(text, str):
                raise ValueError(f"{text!r} is not the name of a target or its domain")
        for seconds in (update.age, update.rest_seconds):
            if not _is_amount(seconds):
                raise ValueError(f"{seconds!r} is not a number of seconds, 0 or more")
        if update.rate is not None and not _is_amount(update.rate):
            raise ValueError(f"{update.rate!r} is not a rate, 0 or more")
        if not isinstance(update.is_leaving, bool):
            raise ValueError(f"{update.is_leaving!r} is not a boolean: leaving")
        return update


def _is_amount(value):
    return isinstance(value, int | float) and isfinite(value) and value >= 0
