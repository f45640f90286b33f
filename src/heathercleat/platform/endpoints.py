"""HTTP endpoints for the readiness checks of the platform and client look-ups."""

import json
from urllib.parse import parse_qs, urlsplit

from heathercleat.connection.http import Message
from heathercleat.platform.wire_names import READY_PATH, RESOLVE_PATH

_JSON_HEADERS = {"content-type": "application/json"}


def handle_platform_request(message, is_ready, lookup):
    """Return the response to a readiness check or look-up.

    :param message: the request, a :class:`Message`.
    :param is_ready: function that returns whether this VM accepts clients.
    :param lookup: function that returns the :class:`Lookup` for a region and a
        failure domain.
    """
    url = urlsplit(message.path)
    if message.method != "GET":
        return Message(status=405)
    if url.path == READY_PATH:
        return Message(status=200 if is_ready() else 503)
    if url.path != RESOLVE_PATH:
        return Message(status=404)
    query = parse_qs(url.query)
    region = query.get("region", [""])[0]
    failure_domain = query.get("zone", [""])[0]
    found = lookup(region, failure_domain)
    if not found.addresses:
        return Message(status=503)
    body = {"addresses": found.addresses, "ttl": f"{round(found.ttl * 1000)}ms"}
    return Message(headers=_JSON_HEADERS, body=json.dumps(body).encode())
