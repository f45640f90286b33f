"""HTTP headers that the platform defines for clients and targets."""

from math import isfinite

from heathercleat.platform.wire_names import (
    AFFINITY_COOKIE,
    DEADLINE_MS,
    EXPECTED_INSTANCE,
    LEAVING,
    NOT_EXECUTED,
    RATE_LIMIT,
    REQUEST_ID,
    RESPONSE_SIGNATURE,
    RETRY_AFTER,
    TARGET_LOAD,
    WORKSPACE_KEY,
    WORKSPACE_NAME,
)
from heathercleat.steering.request.attempt_result import TargetResponseHead
from heathercleat.steering.request.call import ClientHead

#: Timeout of a client whose request has no deadline.
DEFAULT_TIMEOUT_SECONDS = 30.0
#: Response statuses that imply that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED_STATUS = 421
_OVERLOADED_STATUS = 503
_OVERWRITTEN_HEADERS = (DEADLINE_MS, EXPECTED_INSTANCE)
#: Upper bound of a reported slowdown; larger ones would not change a decision.
MAX_SLOWDOWN = 20.0
_IDENTITY_HEADERS = (WORKSPACE_KEY, WORKSPACE_NAME)


def parse_client_head(headers):
    """Return the :class:`ClientHead` for the headers of a client's request."""
    request_id, timeout, affinity = None, DEFAULT_TIMEOUT_SECONDS, None
    keys = []
    for name, value in headers:
        if name == REQUEST_ID:
            request_id = value.decode("latin-1")
        elif name == DEADLINE_MS:
            timeout = _parse_timeout(value)
        elif name == b"cookie":
            affinity = (
                _find_cookie(value.decode("latin-1"), AFFINITY_COOKIE) or affinity
            )
        elif name == WORKSPACE_KEY:
            keys.append(value)
    return ClientHead(request_id, timeout, affinity, tuple(keys))


def replace_identity(headers, workspace):
    """Yield headers with the name of the workspace in place of the client's key.

    A workspace name that the client sent is removed, also one spelled with underscores,
    which some servers treat as hyphens.

    :param workspace: the :class:`Workspace`, or ``None`` on a public route.
    """
    for name, value in headers:
        if name.replace(b"_", b"-") not in _IDENTITY_HEADERS:
            yield name, value
    if workspace is not None:
        yield WORKSPACE_NAME, workspace.name.encode()


def workspace_name(headers):
    """Return the name of the workspace that :func:`replace_identity` set, or ``None``.

    :param headers: headers of a request that another VM forwarded.
    """
    name = next((value for name, value in headers if name == WORKSPACE_NAME), None)
    return None if name is None else name.decode(errors="replace")


def target_request_headers(headers, remaining, target_id):
    """Yield the headers of a request to a target.

    :param headers: the end-to-end headers of the client.
    :param remaining: the time until the deadline, in seconds.
    :param target_id: the only target that may run the request.
    """
    for name, value in headers:
        if name not in _OVERWRITTEN_HEADERS:
            yield name, value
    yield DEADLINE_MS, str(max(1, int(remaining * 1000))).encode()
    yield EXPECTED_INSTANCE, target_id.encode()


def parse_response_head(status, headers):
    """Return the :class:`TargetResponseHead` for a target's response."""
    head = TargetResponseHead()
    for name, value in headers:
        if name == REQUEST_ID:
            head.request_id = value.decode("latin-1")
        elif name == RESPONSE_SIGNATURE:
            head.is_signed = True
        elif name == NOT_EXECUTED:
            head.reports_not_run = True
        elif name == b"content-encoding":
            head.is_encoded = True
        elif name == TARGET_LOAD:
            head.running_count, head.waiting_count = _parse_load(value)
            head.slowdown = _parse_slowdown(value)
        elif name == RATE_LIMIT:
            head.rate_limit = _parse_amount(value)
        elif name == LEAVING:
            head.is_leaving = value == b"1"
        elif name == RETRY_AFTER:
            head.rest_seconds = _parse_amount(value)
        elif name == b"keep-alive":
            head.keep_alive_seconds = _parse_keep_alive_timeout(value)
    if status == _MISDIRECTED_STATUS:
        head.reports_not_run = True
        head.is_other_incarnation = True
    if status != _OVERLOADED_STATUS:
        head.rest_seconds = None
    head.status_implies_not_run = status in NOT_RUN_STATUSES
    return head


def find_slowdown(headers):
    """Return the slowdown in the headers of a target's response, or ``None``."""
    for name, value in headers:
        if name == TARGET_LOAD:
            return _parse_slowdown(value)
    return None


def retry_after_headers(wait):
    """Return the headers that ask a client to retry after ``wait`` seconds."""
    return [(RETRY_AFTER, f"{wait:.3f}".encode())]


def _parse_timeout(value):
    """Return a number of milliseconds in seconds, or the default if malformed."""
    try:
        return int(value) / 1000
    except ValueError:
        return DEFAULT_TIMEOUT_SECONDS


def _find_cookie(value, name):
    for part in value.split(";"):
        key, _, text = part.strip().partition("=")
        if key == name:
            return text
    return None


def _parse_load(value):
    """Parse ``running,waiting,slots``, which more fields may follow.

    Return the numbers of running and waiting requests, or ``(None, None)`` if the value
    is malformed.
    """
    try:
        running_count, waiting_count, _, *_ = value.split(b",")
        return int(running_count), int(waiting_count)
    except ValueError:
        return None, None


def _parse_slowdown(value):
    """Return the fourth field of a load report, 1.0 for 100 percent.

    ``None`` if it is missing, malformed or not positive.
    """
    fields = value.split(b",", 4)
    percent = _parse_amount(fields[3]) if len(fields) > 3 else None
    return min(MAX_SLOWDOWN, percent / 100) if percent else None


def _parse_amount(value):
    """Return a decimal number of 0 or more, or ``None`` if malformed."""
    try:
        amount = float(value)
    except ValueError:
        return None
    return amount if isfinite(amount) and amount >= 0 else None


def _parse_keep_alive_timeout(value):
    """Return the idle timeout of the target's connection in seconds, or ``None``."""
    for part in value.split(b","):
        key, _, text = part.strip().partition(b"=")
        if key == b"timeout" and text.isdigit():
            return float(text)
    return None
