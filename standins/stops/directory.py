"""Look-ups of clients, as the platform's clients make them."""

import json

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    connect,
    exchange,
    with_deadline,
)
from standins.steering_fleet import READY_PORT

#: VMs that a client asks, and seconds that it waits for each.
MOST_ASKED = 3
ASK_SECONDS = 1.0
#: Seconds for which a client keeps an answer at most.
MAX_TTL_SECONDS = 5.0
MAX_RESPONSE_BYTES = 1 << 16
MILLISECONDS = 1000


class Directory:
    """What the clients of one failure domain know of VMs.

    :param vms: the :class:`SteeringVm` of the fleet.
    """

    def __init__(self, vms, domain, region, clock, rng):
        self._vms = {vm.host: vm for vm in vms}
        self._nearest = sorted(vms, key=lambda vm: (vm.domain != domain, vm.number))
        self._path = f"/v1/resolve?name=a.example&region={region}&zone={domain}"
        self._clock = clock
        self._rng = rng
        self._known = []
        self._until = 0.0

    async def choose(self, failed):
        """Return a VM for a new connection.

        :param failed: names of VMs that have failed the client; one of them is chosen
            where no other is known.
        """
        if self._clock.now() >= self._until:
            await self._look_up()
        known = self._known or list(self._vms.values())
        others = [vm for vm in known if vm.name not in failed]
        return self._rng.choice(others or known)

    async def _look_up(self):
        """Ask for addresses; what is known stays where nobody answers."""
        # Clients that ask at the same time make one look-up together.
        self._until = self._clock.now() + ASK_SECONDS
        for vm in self._nearest[:MOST_ASKED]:
            try:
                response = await self._ask(vm)
            except (TimeoutError, *CONNECTION_ERRORS):
                continue
            if response.status == 200:
                self._take(json.loads(response.body))
                return

    async def _ask(self, vm):
        deadline = self._clock.now() + ASK_SECONDS
        stream = await connect(vm.host, READY_PORT, deadline, self._clock)
        try:
            asking = exchange(stream, Message(path=self._path), MAX_RESPONSE_BYTES)
            return await with_deadline(deadline, self._clock, asking)
        finally:
            await stream.close()

    def _take(self, found):
        hosts = [address.rpartition(":")[0] for address in found["addresses"]]
        self._known = [self._vms[host] for host in hosts]
        ttl = int(found["ttl"].removesuffix("ms")) / MILLISECONDS
        self._until = self._clock.now() + min(ttl, MAX_TTL_SECONDS)
