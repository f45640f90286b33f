"""Tickets: which process may run a non-idempotent request.

A ticket names one process of one VM. Only that process runs requests under the ticket,
so a key can run at most once without any agreement between VMs. A ticket with
``claims`` also needs a claim in the platform's table before each run; that lets another
VM find out what ran when the process is gone.
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
    """A right to run; ``birth`` names the process, ``expires_at`` is epoch seconds."""

    id: str
    vm: str
    birth: str
    service: str
    claims: bool
    expires_at: float


def issue_ticket(keys, vm, birth, service, claims, expires_at):
    """Return a new ticket as text."""
    ticket_id = token_hex(_ID_BYTES)
    data = msgpack.packb([ticket_id, vm, birth, service, claims, expires_at])
    return urlsafe_b64encode(sign(keys[0], b"ticket", data) + data).decode()


def read(keys, text):
    """Return the :class:`Ticket` of a text.

    :raises RequestError: when it was not issued with one of ``keys``.
    """
    try:
        raw = urlsafe_b64decode(text.encode())
    except (Base64Error, ValueError):
        raw = b""
    signature, data = raw[:_SIGNATURE_BYTES], raw[_SIGNATURE_BYTES:]
    if not data or not verify(keys, signature, b"ticket", data):
        raise RequestError(ResultCode.TICKET_INVALID, "the ticket was not issued here")
    return Ticket(*msgpack.unpackb(data))
