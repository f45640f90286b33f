"""A caller's request and its stored outcome."""

from dataclasses import dataclass

from heathercleat.version.text import DeliverySemantics


@dataclass(slots=True)
class Call:
    """A request in progress.

    ``deadline`` is an instant of ``clock.now()``; ``wall_deadline`` is the same in
    epoch seconds. ``body`` is ``None`` if the body is streamed. ``key`` is the
    idempotency key. ``lease_id`` is that of the lease under which another VM forwarded
    the request, or ``None``.
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
    lease_id: int | None = None
    caller: str = ""

    @property
    def cancels_on_disconnect(self):
        """Return whether to cancel the request when its caller disconnects.

        An at-most-once request continues, because the caller can retry it to get the
        outcome. While the caller still sends the body, reading it detects a disconnect.
        """
        if self.kind.semantics is DeliverySemantics.AT_MOST_ONCE:
            return False
        return self.stream is not None and self.stream.is_request_complete


@dataclass(slots=True)
class Outcome:
    """A complete response that is stored to answer client retries of the request."""

    status: int
    headers: list
    body: bytes
