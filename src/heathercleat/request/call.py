"""One request of a caller, from its head to its outcome."""

from dataclasses import dataclass


@dataclass(slots=True)
class Call:
    """A request under way.

    ``deadline`` is an instant of this process, ``wall_deadline`` the same in epoch
    seconds. ``body`` holds the whole body, or is ``None`` while it streams. ``lease``
    is the number of the lease under which another VM forwarded the request here.
    """

    id: str
    service: object
    kind: object
    method: str
    path: str
    headers: list
    deadline: float
    wall_deadline: float
    stream: object
    received_at: float
    body: bytes | None = None
    key: str | None = None
    ticket: object = None
    lease: int | None = None
    caller: str = ""


@dataclass(slots=True)
class Outcome:
    """A whole answer that is kept to answer repeats."""

    status: int
    headers: list
    body: bytes
