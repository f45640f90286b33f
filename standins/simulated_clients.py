"""Clients of a simulated fleet: look-ups, kept answers, kept connections."""

import random
from collections import Counter

#: Seconds between two looks of a client at its answer and its connection.
LOOK_SECONDS = 0.1
#: VMs that a look-up tries, nearest first.
TRIES = 3
#: Part of the clients that keep an answer for three times as long as it says.
LATE_SHARE = 1 / 3


class SimulatedClient:
    """A client that keeps one connection and looks up where to open the next one."""

    __slots__ = ("domain", "patience", "answer", "answer_until", "vm", "failed")

    def __init__(self, domain, patience, first_look_at):
        self.domain = domain
        self.patience = patience
        self.answer = ()
        self.answer_until = first_look_at
        self.vm = None
        self.failed = set()

    def usable(self):
        """Return the addresses of the answer that have not failed."""
        return [each for each in self.answer if each not in self.failed] or self.answer


class SimulatedClients:
    """As many clients in each failure domain, which look up and connect.

    :param fleet: the :class:`StopFleet` whose VMs they use.
    :param each: clients of a failure domain.
    """

    def __init__(self, fleet, each, seed=1):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._clients = [
            self._new(domain) for domain in fleet.regions for _ in range(each)
        ]

    def _new(self, domain):
        late = self._random.random() < LATE_SHARE
        first = self._fleet.clock.time + self._random.uniform(0.0, 2.0)
        return SimulatedClient(domain, 3.0 if late else 1.0, first)

    def look(self):
        """Renew the answers that are too old and the connections that are gone."""
        now = self._fleet.clock.time
        for client in self._clients:
            if now >= client.answer_until:
                self._look_up(client, now)
            if client.vm is not None and not self._is_open(client):
                client.failed.add(client.vm)
                client.vm = None
            if client.vm is None and client.answer:
                client.vm = self._random.choice(client.usable())

    def run(self, seconds):
        """Let time pass for the fleet and its clients."""
        for _ in range(round(seconds / LOOK_SECONDS)):
            self._fleet.run(LOOK_SECONDS)
            self.look()

    def drawn(self):
        """Return the new connections that each IP number would get, one a client."""
        loads = Counter()
        alike = Counter(tuple(client.usable()) for client in self._clients)
        for addresses, count in alike.items():
            for each in addresses:
                loads[each] += count / len(addresses)
        return loads

    def kept(self):
        """Return the kept connections of each IP number."""
        return Counter(client.vm for client in self._clients if client.vm is not None)

    def over_share(self, loads):
        """Return how many times its fair share each serving VM gets.

        The share is that of the clients of its region over its serving VMs.
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
            answer = vm.lookup(region, client.domain)
            if answer.addresses:
                client.answer = tuple(sorted(map(_ip, answer.addresses)))
                client.answer_until = now + client.patience * answer.ttl
                client.failed.clear()
                if client.vm not in client.answer:
                    client.vm = None
                return
        client.answer_until = now + 1.0

    def _nearest(self, failure_domain, region):
        """Return the VMs that a look-up tries."""
        vms = list(self._fleet.vms.values())
        here = [vm for vm in vms if vm.domain == failure_domain]
        picked = self._random.sample(here, min(TRIES, len(here)))
        if len(picked) < TRIES:
            rest = [vm for vm in vms if self._fleet.regions[vm.domain] == region]
            picked += self._random.sample(rest, min(TRIES - len(picked), len(rest)))
        return picked

    def _is_open(self, client):
        vm = self._fleet.vms[client.vm]
        return vm.serving


def _ip(address):
    return address.partition(":")[0]
