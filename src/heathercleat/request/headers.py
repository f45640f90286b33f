"""Names of HTTP headers, framing checks and removal of hop-by-hop headers."""

from heathercleat.errors import RequestError

DEADLINE_HEADER = "heathercleat-deadline"
TICKET_HEADER = "heathercleat-ticket"
CODE_HEADER = "heathercleat-code"
RUN_HEADER = "heathercleat-run"
RETRY_AT_HEADER = "heathercleat-retry-at"
REQUEST_ID_HEADER = "heathercleat-request"
LEASE_HEADER = "heathercleat-lease"
PEER_HEADER = "heathercleat-peer"
TARGET_HEADER = "heathercleat-target"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
OWN_HEADER_PREFIX = b"heathercleat-"
#: Prefix of every request path; the name of the service follows.
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
    """Return the value of a header, decoded as Latin-1, or ``None``.

    :param headers: pairs of lower-case names and values, as bytes.
    """
    wanted = name.encode()
    for key, value in headers:
        if key == wanted:
            return value.decode("latin-1")
    return None


def check_framing(headers, code):
    """Reject ambiguous framing, which could allow request smuggling.

    :param code: the result code of the error.
    :raises RequestError: if the message has both Content-Length and Transfer-Encoding,
        repeats one of them, or has a Transfer-Encoding other than chunked.
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
    """Yield the headers except hop-by-hop headers and those of Heathercleat."""
    named = _connection_options(headers)
    for name, value in headers:
        if name in _HOP_BY_HOP or name in named or name.startswith(OWN_HEADER_PREFIX):
            continue
        yield name, value


def _connection_options(headers):
    return {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }
