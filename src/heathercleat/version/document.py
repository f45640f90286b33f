"""A version of the configuration as it is stored: the document and its head row."""

from dataclasses import dataclass
from hashlib import sha256

import msgpack

from heathercleat.version.text import Drain, DrainScope, parse_text

HEAD_KEY = "config/head"


@dataclass(slots=True, frozen=True)
class VersionHead:
    """The row that names the version in force; ``at`` is epoch seconds."""

    version: int
    object_key: str
    edit_id: str
    author: str
    at: float

    def pack(self):
        """Return the bytes of the row."""
        fields = [self.version, self.object_key, self.edit_id, self.author, self.at]
        return msgpack.packb(fields)


def unpack_head(data):
    """Return the :class:`VersionHead` of a row."""
    return VersionHead(*msgpack.unpackb(data))


@dataclass(slots=True, frozen=True)
class Document:
    """A configuration as operators wrote it: the text, and drains by id.

    A drain is ``[scope, name, at]`` with a fourth field ``until`` once it is cancelled.
    """

    source: str
    drains: dict

    def pack(self):
        """Return the bytes of the object in the platform's store."""
        return msgpack.packb([self.source, self.drains])

    def parse(self):
        """Return the :class:`Text` with the drains.

        :raises FindingsError: when the text is not valid.
        """
        text = parse_text(self.source)
        for id_, (scope, *fields) in self.drains.items():
            text.drains[id_] = Drain(id_, DrainScope(scope), *fields)
        return text


def unpack_document(data):
    """Return the :class:`Document` of an object."""
    return Document(*msgpack.unpackb(data))


def object_key(data):
    """Return the name under which a document is stored: the hash of its bytes."""
    return f"config/{sha256(data).hexdigest()}"
