"""A caller: looks up entry VMs, keeps the answer as long as it says, sends requests."""

import json
import time
from http.client import HTTPException
from urllib.parse import quote

from standins.fleet import PORTS, call

ATTEMPTS = 4


class Caller:
    """One caller with its cache of look-ups.

    :param hosts: IP numbers of entry VMs to ask first.
    """

    def __init__(self, hosts, timeout=10.0):
        self._hosts = list(hosts)
        self._timeout = timeout
        self._lookups = {}

    def look_up(self, service):
        """Return the look-up answer for a service, from the cache while it is valid."""
        cached = self._lookups.get(service)
        if cached is not None and cached["expires_at"] > time.time():
            return cached
        known = cached["vms"] if cached else []
        hosts = [vm["address"] for vm in known] + self._hosts
        for host in hosts:
            try:
                answer = self._ask(host, service)
            except (OSError, HTTPException):
                continue
            if answer is not None:
                self._lookups[service] = answer
                return answer
        raise ConnectionError(f"no entry VM answered a look-up for {service}")

    def send(self, service, method, path, body=None, headers=None):
        """Send an idempotent request, to the next entry VM when one does not answer."""
        last = None
        for _ in range(ATTEMPTS):
            for vm in self.look_up(service)["vms"]:
                try:
                    return self._call(vm, service, method, path, body, headers)
                except (OSError, HTTPException) as error:
                    last = error
            self._lookups.pop(service, None)
        raise ConnectionError(f"no entry VM served {service}: {last!r}")

    def run_once(self, service, method, path, body, key):
        """Send a non-idempotent request with a ticket and an Idempotency-Key.

        Repeats go out with the same ticket and key until the outcome is known.
        """
        lookup = self.look_up(service)
        headers = {
            "heathercleat-ticket": lookup["ticket"],
            "idempotency-key": key,
            "content-type": "application/octet-stream",
        }
        places = [lookup["ticket_vm"], *lookup["vms"]]
        last = None
        for place in places:
            try:
                return self._call(place, service, method, path, body, headers)
            except (OSError, HTTPException) as error:
                last = error
        raise ConnectionError(f"no entry VM served {service}: {last!r}")

    def forget(self):
        """Drop every cached look-up."""
        self._lookups.clear()

    def _ask(self, host, service):
        path = f"/lookup?service={quote(service)}"
        status, _, body = call(host, PORTS["caller"], "GET", path, timeout=2.0)
        return json.loads(body) if status == 200 else None

    def _call(self, vm, service, method, path, body, headers):
        return call(
            vm["address"],
            vm["port"],
            method,
            f"/s/{service}{path}",
            body,
            headers,
            timeout=self._timeout,
        )
