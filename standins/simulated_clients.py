"""Clients of a simulated fleet, with cached look-ups and persistent connections."""

import random
from collections import Counter

#: Seconds between a client's checks of its cached look-up and its connection.
CHECK_SECONDS = 0.1
#: Number of VMs that a look-up tries, nearest first.
MAX_LOOKUP_VMS = 3
#: Share of the clients that cache look-ups for three times their TTL.
SLOW_REFRESH_SHARE = 1 / 3


class SimulatedClient:
    """A client with one persistent connection.

    :param ttl_factor: factor by which it exceeds the TTL of a look-up.
    """

    __slots__ = ("domain", "ttl_factor", "addresses", "expires_at", "vm", "failed")

    def __init__(self, domain, ttl_factor, first_check_at):
        self.domain = domain
        self.ttl_factor = ttl_factor
        self.addresses = ()
        self.expires_at = first_check_at
        self.vm = None
        self.failed = set()

    def usable(self):
        """Return the addresses that have not failed; all of them if all have."""
        return [
            each for each in self.addresses if each not in self.failed
        ] or self.addresses


class SimulatedClients:
    """The clients of all failure domains.

    :param fleet: the :class:`StopFleet` to which they connect.
    :param clients_per_domain: number of clients in each failure domain.
    """

    def __init__(self, fleet, clients_per_domain, seed=1):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._clients = [
            self._new(domain)
            for domain in fleet.regions
            for _ in range(clients_per_domain)
        ]

    def _new(self, domain):
        is_slow = self._random.random() < SLOW_REFRESH_SHARE
        first = self._fleet.clock.time + self._random.uniform(0.0, 2.0)
        return SimulatedClient(domain, 3.0 if is_slow else 1.0, first)

    def refresh(self):
        """Refresh expired look-ups and reopen closed connections."""
        now = self._fleet.clock.time
        for client in self._clients:
            if now >= client.expires_at:
                self._look_up(client, now)
            if client.vm is not None and not self._is_open(client):
                client.failed.add(client.vm)
                client.vm = None
            if client.vm is None and client.addresses:
                client.vm = self._random.choice(client.usable())

    def run(self, seconds):
        """Advance the simulated time of the fleet and its clients."""
        for _ in range(round(seconds / CHECK_SECONDS)):
            self._fleet.run(CHECK_SECONDS)
            self.refresh()

    def expected_connections(self):
        """Return the expected number of new connections by IP address.

        Each client opens one, at random among its usable addresses.
        """
        loads = Counter()
        address_sets = Counter(tuple(client.usable()) for client in self._clients)
        for addresses, count in address_sets.items():
            for each in addresses:
                loads[each] += count / len(addresses)
        return loads

    def open_connections(self):
        """Return the number of open connections by IP address."""
        return Counter(client.vm for client in self._clients if client.vm is not None)

    def relative_load(self, loads):
        """Return each serving VM's load relative to its fair share.

        The fair share is the number of clients in its region per serving VM there.
        """
        regions = self._fleet.regions
        clients = Counter(regions[each.domain] for each in self._clients)
        serving = self._fleet.serving()
        vms = Counter(regions[vm.domain] for vm in serving)
        return {
            vm: loads[vm.ip] * vms[regions[vm.domain]] / clients[regions[vm.domain]]
            for vm in serving
        }

    def _look_up(self, client, now):
        region = self._fleet.regions[client.domain]
        for vm in self._nearest(client.domain, region):
            if not vm.running:
                continue
            response = vm.lookup(region, client.domain)
            if response.addresses:
                client.addresses = tuple(sorted(map(_ip, response.addresses)))
                client.expires_at = now + client.ttl_factor * response.ttl
                client.failed.clear()
                if client.vm not in client.addresses:
                    client.vm = None
                return
        client.expires_at = now + 1.0

    def _nearest(self, failure_domain, region):
        """Return the VMs that a look-up tries, those of the failure domain first."""
        vms = list(self._fleet.vms.values())
        here = [vm for vm in vms if vm.domain == failure_domain]
        picked = self._random.sample(here, min(MAX_LOOKUP_VMS, len(here)))
        if len(picked) < MAX_LOOKUP_VMS:
            rest = [vm for vm in vms if self._fleet.regions[vm.domain] == region]
            picked += self._random.sample(
                rest, min(MAX_LOOKUP_VMS - len(picked), len(rest))
            )
        return picked

    def _is_open(self, client):
        vm = self._fleet.vms[client.vm]
        return vm.serving


def _ip(address):
    return address.partition(":")[0]
