"""Encoding of the rows in which VMs register themselves in the store."""

from ipaddress import IPv4Address

import msgpack

from heathercleat.steering.process.membership.member import Member


def encode_member(ip, failure_domain, region):
    """Return the encoded value of a VM's row."""
    return msgpack.packb([ip, failure_domain, region])


def decode_member(row):
    """Return the :class:`Member` that a row describes.

    :raises ValueError: when the row is malformed.
    """
    fields = msgpack.unpackb(row.value)
    if not isinstance(fields, list) or len(fields) != 3:
        raise ValueError(f"{fields!r} is not a list of address, failure domain, region")
    if not all(isinstance(each, str) and each for each in fields):
        raise ValueError(f"{fields!r} contains a value that is not a non-empty string")
    IPv4Address(fields[0])
    return Member(row.key, *fields)
