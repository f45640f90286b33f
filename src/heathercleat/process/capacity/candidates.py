"""Cache of the entry VMs that look-ups return.

Ranking failure domains and assigning targets to homes is expensive with thousands of
VMs, and the result rarely changes. A cached result is discarded when the configuration,
the VM list or the membership changes, and after a short time, because drains begin and
end without such a change.
"""

from dataclasses import dataclass
from itertools import accumulate

from heathercleat.version.domain_ranking import DomainRanking

#: Lifetime of a cached result in seconds, and maximum delay until a drain is applied.
CACHE_TTL_SECONDS = 0.2
#: Maximum number of failure domains besides the best one.
MAX_FALLBACK_DOMAINS = 3
#: Weight of a VM that is not the home of any target; a slot has weight 1.
MIN_WEIGHT = 0.01


@dataclass(slots=True)
class DomainVms:
    """The entry VMs of one failure domain, weighted by the slots homed at each.

    ``weighted`` has pairs of VM and weight; ``cumulative_weights`` has the running sums
    of the weights, for :func:`random.choices`.
    """

    domain: str
    weighted: list
    cumulative_weights: list


@dataclass(slots=True)
class Candidates:
    """Cached :class:`DomainVms` for a service and a caller's domain, best first.

    ``state`` identifies the configuration, VM list and membership that were used.
    """

    domains: list
    state: tuple
    expires_at: float


class CandidateCache:
    """Candidates by service, failure domain of the caller and avoided domains.

    :param vm: the :class:`EntryVM` of this process.
    """

    def __init__(self, vm, clock):
        self._vm = vm
        self._clock = clock
        self._candidates = {}
        self._weights = {}

    def find(self, service, domain, avoided=frozenset()):
        """Return the :class:`DomainVms` for callers in a failure domain, best first.

        :param avoided: failure domains to rank last.
        """
        cache_key = service.name, domain, avoided
        cached = self._candidates.get(cache_key)
        now = self._clock.now()
        state = self._state()
        if cached is None or cached.state != state or cached.expires_at <= now:
            domains = list(self._build(service, domain, avoided))
            cached = Candidates(domains, state, now + CACHE_TTL_SECONDS)
            self._candidates[cache_key] = cached
        return cached.domains

    def _state(self):
        vm = self._vm
        return vm.version, vm.vm_serial, vm.membership.digest

    def _build(self, service, domain, avoided):
        """Yield the best failure domains that have entry VMs.

        Failure domains without targets of the service come last.
        """
        ranking = DomainRanking(self._vm.text, self._clock.wall(), avoided)
        count = 0
        for other in ranking.rank_domains(service, domain):
            entries = self._vm.entry_vms(other)
            if not entries:
                continue
            weighted = self._weigh_vms(service, other, entries)
            sums = accumulate(weight or MIN_WEIGHT for _, weight in weighted)
            yield DomainVms(other, weighted, list(sums))
            count += 1
            if count > MAX_FALLBACK_DOMAINS:
                return

    def _weigh_vms(self, service, domain, entries):
        names = tuple(entry.name for entry in entries)
        cache_key = service.name, domain
        state = self._vm.version, names
        cached = self._weights.get(cache_key)
        if cached is None or cached[0] != state:
            cached = state, _count_slots(self._vm.text, service, domain, names)
            self._weights[cache_key] = cached
        weights = cached[1]
        return [(entry, weights[entry.name]) for entry in entries]


def _count_slots(text, service, domain, names):
    """Return ``{VM name: slots of the service that are homed there}``."""
    weights = dict.fromkeys(names, 0)
    homes = text.placement.homes(domain, names)
    for target in service.targets_in(domain):
        if target.name in homes:
            weights[homes[target.name]] += target.limit
    return weights
