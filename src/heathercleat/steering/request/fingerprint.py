"""What tells a request that comes again from all other requests."""

from hashlib import blake2b

#: Headers that tell where a request goes and who sends it. All others may differ from
#: one attempt of a caller to the next.
SENDER_HEADERS = (b"host", b"authorization", b"cookie")
#: 64 bits: among ten thousand requests that are remembered, two are taken for the same
#: one with a chance of 1 in 10^11.
DIGEST_BYTES = 8
#: Those of them that tell one sender from another, where a request has any.
_NAMING_HEADERS = (b"authorization", b"cookie")


def fingerprint(method, path, headers, body):
    """Return a hexadecimal digest, the same for each attempt of one request.

    :param path: the request target with its query, as bytes.
    :param headers: pairs of bytes, names in lower case.
    """
    joined = _joined([method, path, *_sender_values(headers)])
    digest = blake2b(joined, digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()


def sender(headers):
    """Return a hexadecimal digest of who sends a request, ``None`` if nothing tells.

    :param headers: pairs of bytes, names in lower case.
    """
    if not any([name in _NAMING_HEADERS for name, _ in headers]):
        return None
    joined = _joined(_sender_values(headers))
    return blake2b(joined, digest_size=DIGEST_BYTES).hexdigest()


def _sender_values(headers):
    """Return the values of the headers that tell the sender."""
    values = []
    for wanted in SENDER_HEADERS:
        values += [value for name, value in headers if name == wanted]
        # Ends the values of one header, which may be none or several.
        values.append(b"")
    return values


def _joined(parts):
    """Return parts as one, such that no other parts come to the same."""
    return b"".join([b"%d:%b" % (len(part), part) for part in parts])
