"""HTTP client that looks up entry VMs, caches the look-up and sends requests."""

import json
import time
from http.client import HTTPException
from urllib.parse import quote

from standins.fleet import PORTS, call

MAX_ROUNDS = 4


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
        cached_vms = cached["vms"] if cached else []
        hosts = [vm["address"] for vm in cached_vms] + self._hosts
        for host in hosts:
            try:
                response = self._request_lookup(host, service)
            except (OSError, HTTPException):
                continue
            if response is not None:
                self._lookups[service] = response
                return response
        raise ConnectionError(f"no entry VM responded to a look-up for {service}")

    def send(self, service, method, path, body=None, headers=None):
        """Send an idempotent request; on a connection error, try the next entry VM.

        :raises ConnectionError: when every entry VM failed in each round.
        """
        last_error = None
        for _ in range(MAX_ROUNDS):
            for vm in self.look_up(service)["vms"]:
                try:
                    return self._call(vm, service, method, path, body, headers)
                except (OSError, HTTPException) as error:
                    last_error = error
            self._lookups.pop(service, None)
        raise ConnectionError(f"no entry VM served {service}: {last_error!r}")

    def send_at_most_once(self, service, method, path, body, key):
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
        entry_vms = [lookup["ticket_vm"], *lookup["vms"]]
        last_error = None
        for entry_vm in entry_vms:
            try:
                return self._call(entry_vm, service, method, path, body, headers)
            except (OSError, HTTPException) as error:
                last_error = error
        raise ConnectionError(f"no entry VM served {service}: {last_error!r}")

    def clear_lookups(self):
        """Clear the look-up cache."""
        self._lookups.clear()

    def _request_lookup(self, host, service):
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
