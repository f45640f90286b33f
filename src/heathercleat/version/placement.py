"""Placement: which entry VM of a failure domain is the home of which targets.

The targets of a service in a failure domain are grouped into pools, and all targets of
a pool share one home. A home gives a waiting request the first slot that becomes free
in its pool, so a few slots in one pool serve with far shorter waits than the same slots
divided over several homes. Pools are kept small enough for one VM to carry.
"""

from dataclasses import dataclass

from heathercleat.version.hashing import assign_evenly, rank_by_weight, weight

#: Slots from which a pool is divided, in whole multiples.
MIN_POOL_SLOTS = 12


@dataclass(slots=True, frozen=True)
class TargetPool:
    """Targets of one service in one failure domain that share a home."""

    name: str
    targets: tuple
    slots: int


class Placement:
    """Homes by failure domain, for one version of the text.

    :param services: ``{name: Service}`` of the text.
    """

    def __init__(self, services):
        self._services = services
        self._pools = {}
        self._homes = {}

    def homes(self, failure_domain, names):
        """Return ``{target name: VM name}`` for the targets of a failure domain.

        Every VM that knows the same text and names computes the same homes.

        :param names: the VMs that may be homes; without any there are no homes.
        """
        names = tuple(sorted(names))
        known = self._homes.get(failure_domain)
        if known is None or known[0] != names:
            homes = dict(self._assign(failure_domain, names))
            known = self._homes[failure_domain] = names, homes
        return known[1]

    def homes_of(self, service, failure_domain, names):
        """Return the VMs that are homes of a service's targets, each once."""
        homes = self.homes(failure_domain, names)
        targets = service.targets_in(failure_domain)
        found = (homes.get(target.name) for target in targets)
        return list(dict.fromkeys(name for name in found if name is not None))

    def _assign(self, failure_domain, names):
        """Yield each target and its home.

        A pool goes to the name of the largest weight that has less than an even part of
        the slots so far (bounded loads as in Mirrokni, Thorup and Zadimoghaddam, 2016),
        the largest pool first, so that no VM has more than that and one pool.
        """
        if not names:
            return
        pools = self._pools_in(failure_domain)
        even = sum(pool.slots for pool in pools) / len(names)
        loads = dict.fromkeys(names, 0)
        for pool in pools:
            fitting = (
                name for name in rank_by_weight(pool.name, names) if loads[name] < even
            )
            home = next(fitting, names[0])
            loads[home] += pool.slots
            yield from ((target, home) for target in pool.targets)

    def _pools_in(self, failure_domain):
        pools = self._pools.get(failure_domain)
        if pools is None:
            pools = [
                pool
                for service in self._services.values()
                for pool in _divide(service, service.targets_in(failure_domain))
            ]
            pools.sort(key=lambda pool: (-pool.slots, weight("order", pool.name)))
            self._pools[failure_domain] = pools
        return pools


def _divide(service, targets):
    """Yield the pools of a service's targets in one failure domain."""
    slots = {target.name: target.slots for target in targets}
    count = max(1, sum(slots.values()) // MIN_POOL_SLOTS)
    pools = {f"{service.name}/{number}": [] for number in range(count)}
    for target, pool in assign_evenly(list(slots), list(pools)).items():
        pools[pool].append(target)
    for name, members in pools.items():
        if members:
            yield TargetPool(name, tuple(members), sum(slots[each] for each in members))
