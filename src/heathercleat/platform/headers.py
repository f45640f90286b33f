"""Headers of clients and targets, decoded and written once."""

from heathercleat.platform.wire_names import (
    AFFINITY_COOKIE,
    DEADLINE_MS,
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
    REQUEST_ID,
    RESPONSE_SIGNATURE,
    RETRY_AFTER,
    TARGET_LOAD,
)
from heathercleat.steering.request.attempt_result import TargetResponseHead
from heathercleat.steering.request.call import ClientHead

#: Seconds that a client waits which does not say how long.
DEFAULT_WAIT = 30.0
#: Statuses that promise a client that its request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421
_SET_HERE = (DEADLINE_MS, EXPECTED_INSTANCE)


def parse_client_head(headers):
    """Return the :class:`ClientHead` of a request's headers."""
    request_id, wait, affinity = None, DEFAULT_WAIT, None
    for name, value in headers:
        if name == REQUEST_ID:
            request_id = value.decode("latin-1")
        elif name == DEADLINE_MS:
            wait = _milliseconds(value)
        elif name == b"cookie":
            affinity = _cookie(value.decode("latin-1"), AFFINITY_COOKIE) or affinity
    return ClientHead(request_id, wait, affinity)


def target_request_headers(headers, remaining, target_id):
    """Yield the headers of a request to a target.

    :param headers: the end-to-end headers of the client.
    :param remaining: seconds for which the answer is waited for.
    :param target_id: the incarnation that alone may run the request.
    """
    for name, value in headers:
        if name not in _SET_HERE:
            yield name, value
    yield DEADLINE_MS, str(max(1, int(remaining * 1000))).encode()
    yield EXPECTED_INSTANCE, target_id.encode()


def parse_response_head(status, headers):
    """Return the :class:`TargetResponseHead` of a target's answer."""
    head = TargetResponseHead()
    for name, value in headers:
        if name == REQUEST_ID:
            head.request_id = value.decode("latin-1")
        elif name == RESPONSE_SIGNATURE:
            head.signed = True
        elif name == NOT_EXECUTED:
            head.not_run = True
        elif name == b"content-encoding":
            head.encoded = True
        elif name == TARGET_LOAD:
            head.running, head.waiting = _load(value)
        elif name == b"keep-alive":
            head.keep_for = _keep_alive(value)
    if status == _MISDIRECTED:
        head.not_run = True
        head.replaced = True
    head.promises = status in NOT_RUN_STATUSES
    return head


def retry_after_headers(wait):
    """Return the headers that ask a client to come back after ``wait`` seconds."""
    return [(RETRY_AFTER, f"{wait:.3f}".encode())]


def _milliseconds(value):
    try:
        return int(value) / 1000
    except ValueError:
        return DEFAULT_WAIT


def _cookie(value, name):
    for part in value.split(";"):
        key, _, text = part.strip().partition("=")
        if key == name:
            return text
    return None


def _load(value):
    """Return ``(running, waiting)``, or ``(None, None)`` when it is malformed."""
    try:
        running, waiting, _ = value.split(b",")
        return int(running), int(waiting)
    except ValueError:
        return None, None


def _keep_alive(value):
    """Return the seconds for which the target keeps an idle connection, or ``None``."""
    for part in value.split(b","):
        key, _, text = part.strip().partition(b"=")
        if key == b"timeout" and text.isdigit():
            return float(text)
    return None
