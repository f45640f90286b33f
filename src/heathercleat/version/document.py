"""Stored form of a configuration version: the document and the head row."""

from dataclasses import dataclass
from hashlib import sha256

import msgpack

from heathercleat.version.text import Drain, DrainScope, parse_text

HEAD_KEY = "config/head"


@dataclass(slots=True, frozen=True)
class VersionHead:
    """The row that names the version in force; ``at`` is in epoch seconds."""

    version: int
    object_key: str
    edit_id: str
    author: str
    at: float

    def pack(self):
        """Return the msgpack encoding of the row."""
        fields = [self.version, self.object_key, self.edit_id, self.author, self.at]
        return msgpack.packb(fields)


def unpack_head(data):
    """Return the :class:`VersionHead` encoded in a row."""
    return VersionHead(*msgpack.unpackb(data))


@dataclass(slots=True, frozen=True)
class Document:
    """A configuration: the source text and the planned drains by id.

    A drain is ``[scope, name, start]``, followed by the instant of its cancellation, if
    any; instants are in epoch seconds.
    """

    source: str
    drains: dict

    def pack(self):
        """Return the msgpack encoding of the document."""
        return msgpack.packb([self.source, self.drains])

    def parse(self):
        """Return the :class:`Text`, including the planned drains.

        :raises FindingsError: when the source is not valid.
        """
        text = parse_text(self.source)
        for id_, (scope, *fields) in self.drains.items():
            text.drains[id_] = Drain(id_, DrainScope(scope), *fields)
        return text


def unpack_document(data):
    """Return the :class:`Document` encoded in a stored object."""
    return Document(*msgpack.unpackb(data))


def object_key(data):
    """Return the key of a stored document, which contains the hash of its bytes."""
    return f"config/{sha256(data).hexdigest()}"
