"""Look-ups with a cache, as clients of the platform do them."""

import json

from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    connect,
    exchange,
    with_deadline,
)
from standins.steering_fleet import READY_PORT

#: Number of VMs that a look-up tries, and the timeout for each.
MAX_LOOKUP_VMS = 3
LOOKUP_TIMEOUT_SECONDS = 1.0
#: Maximum TTL of a cached look-up.
MAX_TTL_SECONDS = 5.0
MAX_RESPONSE_BYTES = 1 << 16
MS_PER_SECOND = 1000


class Directory:
    """The look-up cache of the clients of one failure domain.

    :param vms: the :class:`SteeringVm` of the fleet.
    """

    def __init__(self, vms, domain, region, clock, rng):
        self._vms = {vm.host: vm for vm in vms}
        self._nearest = sorted(vms, key=lambda vm: (vm.domain != domain, vm.number))
        self._path = f"/v1/resolve?name=a.example&region={region}&zone={domain}"
        self._clock = clock
        self._rng = rng
        self._cached_vms = []
        self._expires_at = 0.0

    async def choose(self, failed):
        """Return a VM for a new connection.

        :param failed: names of VMs to avoid, if there are others.
        """
        if self._clock.now() >= self._expires_at:
            await self._look_up()
        candidates = self._cached_vms or list(self._vms.values())
        others = [vm for vm in candidates if vm.name not in failed]
        return self._rng.choice(others or candidates)

    async def _look_up(self):
        """Refresh the cache; keep its content if no VM responds."""
        # Set first, so that concurrent clients do not repeat the look-up.
        self._expires_at = self._clock.now() + LOOKUP_TIMEOUT_SECONDS
        for vm in self._nearest[:MAX_LOOKUP_VMS]:
            try:
                response = await self._request_lookup(vm)
            except (TimeoutError, *CONNECTION_ERRORS):
                continue
            if response.status == 200:
                self._update_cache(json.loads(response.body))
                return

    async def _request_lookup(self, vm):
        deadline = self._clock.now() + LOOKUP_TIMEOUT_SECONDS
        stream = await connect(vm.host, READY_PORT, deadline, self._clock)
        try:
            exchanging = exchange(stream, Message(path=self._path), MAX_RESPONSE_BYTES)
            return await with_deadline(deadline, self._clock, exchanging)
        finally:
            await stream.close()

    def _update_cache(self, lookup):
        hosts = [address.rpartition(":")[0] for address in lookup["addresses"]]
        self._cached_vms = [self._vms[host] for host in hosts]
        ttl = int(lookup["ttl"].removesuffix("ms")) / MS_PER_SECOND
        self._expires_at = self._clock.now() + min(ttl, MAX_TTL_SECONDS)
