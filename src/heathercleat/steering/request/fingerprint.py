"""What tells a request that comes again from all other requests."""

from hashlib import blake2b

#: Headers that tell where a request goes and who sends it. All others may differ from
#: one attempt of a caller to the next.
SENDER_HEADERS = (b"host", b"authorization", b"cookie")
#: 64 bits: among ten thousand requests that are remembered, two are taken for the same
#: one with a chance of 1 in 10^11.
DIGEST_BYTES = 8


def fingerprint(method, path, headers, body):
    """Return a hexadecimal digest, the same for each attempt of one request.

    :param path: the request target with its query, as bytes.
    :param headers: pairs of bytes, names in lower case.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    parts = [method, path]
    for wanted in SENDER_HEADERS:
        parts.extend(value for name, value in headers if name == wanted)
        # Ends the values of one header, which may be none or several.
        parts.append(b"")
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
