"""Digests that identify retried requests and their senders."""

from hashlib import blake2b

#: Headers included in the digest; others may differ between retries of a request.
DIGEST_HEADERS = (b"host", b"authorization", b"cookie")
#: 64 bits: among 10,000 remembered requests, the chance that two have the same digest
#: is 1 in 10^11.
DIGEST_BYTES = 8
#: Headers that identify a sender.
_CREDENTIAL_HEADERS = (b"authorization", b"cookie")


def fingerprint(method, path, headers, body):
    """Return a hexadecimal digest, equal for all retries of a request.

    :param path: the path with the query, as bytes.
    :param headers: pairs of bytes, names in lower case.
    """
    joined = _join_parts([method, path, *_digest_header_values(headers)])
    digest = blake2b(joined, digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()


def sender_digest(headers):
    """Return a hexadecimal digest of the sender's credentials, ``None`` without any.

    :param headers: pairs of bytes, names in lower case.
    """
    if not any([name in _CREDENTIAL_HEADERS for name, _ in headers]):
        return None
    joined = _join_parts(_digest_header_values(headers))
    return blake2b(joined, digest_size=DIGEST_BYTES).hexdigest()


def _digest_header_values(headers):
    """Return the values of :data:`DIGEST_HEADERS`."""
    values = []
    for wanted in DIGEST_HEADERS:
        values += [value for name, value in headers if name == wanted]
        # Separates headers, since one may have no value or several.
        values.append(b"")
    return values


def _join_parts(parts):
    """Join parts unambiguously, each prefixed by its length."""
    return b"".join([b"%d:%b" % (len(part), part) for part in parts])
