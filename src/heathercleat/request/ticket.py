"""Tickets: permission for one process to run non-idempotent requests.

A ticket names one process of one VM. Only that process runs requests under the ticket,
so each key runs at most once without coordination between VMs. If ``requires_claims``
is true, each run also requires a claim in the platform's table. After the process has
exited, other VMs can learn from the claims which requests it ran.
"""

from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from dataclasses import dataclass
from secrets import token_hex

import msgpack

from heathercleat.codes import ResultCode
from heathercleat.connection.peer import sign, verify
from heathercleat.errors import RequestError

_SIGNATURE_BYTES = 32
_ID_BYTES = 12


@dataclass(slots=True, frozen=True)
class Ticket:
    """A ticket for the process ``instance_id``; ``expires_at`` is epoch seconds."""

    id: str
    vm: str
    instance_id: str
    service: str
    requires_claims: bool
    expires_at: float


def issue_ticket(keys, vm, instance_id, service, requires_claims, expires_at):
    """Return a new ticket, signed with the first of ``keys`` and encoded as text."""
    ticket_id = token_hex(_ID_BYTES)
    data = msgpack.packb(
        [ticket_id, vm, instance_id, service, requires_claims, expires_at]
    )
    return urlsafe_b64encode(sign(keys[0], b"ticket", data) + data).decode()


def read_ticket(keys, text):
    """Decode a ticket and verify its signature.

    :raises RequestError: if it was not signed with one of ``keys``.
    """
    try:
        raw = urlsafe_b64decode(text.encode())
    except (Base64Error, ValueError):
        raw = b""
    signature, data = raw[:_SIGNATURE_BYTES], raw[_SIGNATURE_BYTES:]
    if not data or not verify(keys, signature, b"ticket", data):
        raise RequestError(ResultCode.TICKET_INVALID, "the ticket was not issued here")
    return Ticket(*msgpack.unpackb(data))
