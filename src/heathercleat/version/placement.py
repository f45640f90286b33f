"""Assignment of targets to their homes, the entry VMs that admit their requests.

The targets of a service in a failure domain are grouped into pools, and all targets of
a pool share one home. Requests wait in one queue per pool, which makes the wait shorter
than in separate queues per target. The size of a pool is limited by the load that one
VM can handle.
"""

from dataclasses import dataclass

from heathercleat.version.hashing import (
    assign_evenly,
    rank_by_weight,
    rendezvous_weight,
)

#: A service gets one pool for this many slots in a failure domain, at least one.
MIN_POOL_SLOTS = 12


@dataclass(slots=True, frozen=True)
class TargetPool:
    """Targets of one service in one failure domain that share a home."""

    name: str
    targets: tuple
    slots: int


class Placement:
    """Homes of all targets, for one version of the configuration.

    :param services: ``{name: Service}``.
    """

    def __init__(self, services):
        self._services = services
        self._pools = {}
        self._homes = {}

    def homes(self, failure_domain, names):
        """Return ``{target name: VM name}`` for the targets of a failure domain.

        The result depends only on the configuration and ``names``.

        :param names: the VMs that may be homes; the result is empty without any.
        """
        names = tuple(sorted(names))
        cached = self._homes.get(failure_domain)
        if cached is None or cached[0] != names:
            homes = dict(self._assign(failure_domain, names))
            cached = self._homes[failure_domain] = names, homes
        return cached[1]

    def homes_of(self, service, failure_domain, names):
        """Return the VMs that are homes of a service's targets, without duplicates."""
        homes = self.homes(failure_domain, names)
        targets = service.targets_in(failure_domain)
        found = (homes.get(target.name) for target in targets)
        return list(dict.fromkeys(name for name in found if name is not None))

    def _assign(self, failure_domain, names):
        """Yield each target with its home.

        Pools are assigned in descending order of size, each to the VM of the largest
        weight whose slots are below the average (consistent hashing with bounded loads;
        Mirrokni, Thorup and Zadimoghaddam, 2016).
        """
        if not names:
            return
        pools = self._pools_in(failure_domain)
        mean_slots = sum(pool.slots for pool in pools) / len(names)
        loads = dict.fromkeys(names, 0)
        for pool in pools:
            available = (
                name
                for name in rank_by_weight(pool.name, names)
                if loads[name] < mean_slots
            )
            home = next(available, names[0])
            loads[home] += pool.slots
            yield from ((target, home) for target in pool.targets)

    def _pools_in(self, failure_domain):
        pools = self._pools.get(failure_domain)
        if pools is None:
            pools = [
                pool
                for service in self._services.values()
                for pool in _split_into_pools(
                    service, service.targets_in(failure_domain)
                )
            ]
            pools.sort(
                key=lambda pool: (-pool.slots, rendezvous_weight("order", pool.name))
            )
            self._pools[failure_domain] = pools
        return pools


def _split_into_pools(service, targets):
    """Yield the pools of a service's targets in one failure domain."""
    slots = {target.name: target.slots for target in targets}
    count = max(1, sum(slots.values()) // MIN_POOL_SLOTS)
    pools = {f"{service.name}/{number}": [] for number in range(count)}
    for target, pool in assign_evenly(list(slots), list(pools)).items():
        pools[pool].append(target)
    for name, target_names in pools.items():
        if target_names:
            yield TargetPool(
                name, tuple(target_names), sum(slots[each] for each in target_names)
            )
