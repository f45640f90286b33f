"""HTTP client that looks up entry VMs, caches the look-up and sends requests."""

import json
import time
from http.client import HTTPException
from urllib.parse import quote

from standins.fleet import PORTS, call

ATTEMPTS = 4


class Caller:
    """A caller with its look-up cache.

    :param hosts: IP addresses of entry VMs for the first look-up.
    """

    def __init__(self, hosts, timeout=10.0):
        self._hosts = list(hosts)
        self._timeout = timeout
        self._lookups = {}

    def look_up(self, service):
        """Return the look-up response for a service, cached until it expires.

        :raises ConnectionError: when no entry VM responds.
        """
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
        raise ConnectionError(f"no entry VM responded to a look-up for {service}")

    def send(self, service, method, path, body=None, headers=None):
        """Send an idempotent request; on a connection error, try the next entry VM.

        :raises ConnectionError: when every entry VM failed in each round.
        """
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

        Retries carry the same ticket and key.

        :raises ConnectionError: when every entry VM failed.
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
        """Clear the look-up cache."""
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
