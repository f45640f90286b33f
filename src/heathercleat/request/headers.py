"""Header names, and which headers pass through."""

from heathercleat.errors import RequestError

DEADLINE = "heathercleat-deadline"
TICKET = "heathercleat-ticket"
CODE = "heathercleat-code"
RUN = "heathercleat-run"
RETRY_AT = "heathercleat-retry-at"
REQUEST_ID = "heathercleat-request"
LEASE = "heathercleat-lease"
PEER = "heathercleat-peer"
SERVED_BY = "heathercleat-target"
IDEMPOTENCY_KEY = "idempotency-key"
OWN_PREFIX = b"heathercleat-"
#: Start of the path of every request: the name of the service follows.
SERVICE_PREFIX = "/s/"

_HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"proxy-connection",
}


def find(headers, name):
    """Return the value of a header as text, or ``None``.

    :param headers: pairs of lower-case names and values, as bytes.
    """
    wanted = name.encode()
    for key, value in headers:
        if key == wanted:
            return value.decode("latin-1")
    return None


def check_framing(headers, code):
    """Refuse a message whose length two parsers could read differently.

    :param code: the result code of the refusal.
    :raises RequestError: for both Content-Length and Transfer-Encoding, a repeated one
        of either, or a Transfer-Encoding other than chunked.
    """
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if lengths and codings:
        raise RequestError(code, "both Content-Length and Transfer-Encoding; send one")
    if len(lengths) > 1 or len(codings) > 1:
        raise RequestError(code, "a repeated length header; send it once")
    if codings and codings[0].lower() != b"chunked":
        raise RequestError(code, "a Transfer-Encoding other than chunked")


def end_to_end(headers):
    """Yield the headers that pass through, without this system's own."""
    named = _connection_options(headers)
    for name, value in headers:
        if name in _HOP_BY_HOP or name in named or name.startswith(OWN_PREFIX):
            continue
        yield name, value


def _connection_options(headers):
    return {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }
