"""One request of a caller, from its head to its outcome."""

from dataclasses import dataclass

from heathercleat.version.text import Semantics


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

    @property
    def ends_with_caller(self):
        """Return whether the request is of no use once its caller has left.

        An at-most-once request goes on: its caller gets the outcome with a repeat. A
        caller that still sends its body is noticed when the body ends early.
        """
        if self.kind.semantics is Semantics.AT_MOST_ONCE:
            return False
        return self.stream is not None and self.stream.is_request_complete


@dataclass(slots=True)
class Outcome:
    """A whole answer that is kept to answer repeats."""

    status: int
    headers: list
    body: bytes
