"""Entry VMs and homes worked out once for many look-ups.

At the size of thousands of VMs the order of failure domains and the division of targets
cost far more than an answer, and change rarely. They are kept until the text or the
list of VMs changes, or for a short while, since drains begin at instants.
"""

from dataclasses import dataclass
from itertools import accumulate

from heathercleat.version.domain_ranking import DomainRanking

#: Seconds for which candidates are kept, and so a drain may be noticed late.
CACHE_TTL_SECONDS = 0.2
#: Failure domains that a look-up falls back on.
MAX_FAR_DOMAINS = 3
#: Weight of a VM that is the home of no target, against one slot.
LEAST_WEIGHT = 0.01


@dataclass(slots=True)
class DomainVms:
    """The entry VMs of one failure domain, each with the slots it is the home of.

    ``cumulative`` has the running sums of the weights, for draws.
    """

    domain: str
    weighted: list
    cumulative: list


@dataclass(slots=True)
class Candidates:
    """Failure domains for a service and a caller's domain, the best one first."""

    domains: list
    state: tuple
    expires_at: float


class CandidateCache:
    """Candidates by service and failure domain of the caller.

    :param vm: the process: text, membership, VM list.
    """

    def __init__(self, vm, clock):
        self._vm = vm
        self._clock = clock
        self._candidates = {}
        self._weights = {}

    def find(self, service, domain, avoided=frozenset()):
        """Return the :class:`DomainVms` for callers of a domain, the best one first.

        :param avoided: failure domains that come last for the caller.
        """
        place = service.name, domain, avoided
        known = self._candidates.get(place)
        now = self._clock.now()
        state = self._state()
        if known is None or known.state != state or known.expires_at <= now:
            domains = list(self._build(service, domain, avoided))
            known = Candidates(domains, state, now + CACHE_TTL_SECONDS)
            self._candidates[place] = known
        return known.domains

    def _state(self):
        vm = self._vm
        return vm.version, vm.vm_serial, vm.membership.digest

    def _build(self, service, domain, avoided):
        """Yield the best domains with entry VMs; those without targets come last."""
        reach = DomainRanking(self._vm.text, self._clock.wall(), avoided)
        found = 0
        for other in reach.rank_domains(service, domain):
            entries = self._vm.entry_vms(other)
            if not entries:
                continue
            weighted = self._weigh(service, other, entries)
            sums = accumulate(weight or LEAST_WEIGHT for _, weight in weighted)
            yield DomainVms(other, weighted, list(sums))
            found += 1
            if found > MAX_FAR_DOMAINS:
                return

    def _weigh(self, service, domain, entries):
        names = tuple(entry.name for entry in entries)
        place = service.name, domain
        state = self._vm.version, names
        known = self._weights.get(place)
        if known is None or known[0] != state:
            known = state, _count_slots(self._vm.text, service, domain, names)
            self._weights[place] = known
        weights = known[1]
        return [(entry, weights[entry.name]) for entry in entries]


def _count_slots(text, service, domain, names):
    """Return the slots of the service that each VM is the home of."""
    weights = dict.fromkeys(names, 0)
    homes = text.placement.homes(domain, names)
    for target in service.targets_in(domain):
        if target.name in homes:
            weights[homes[target.name]] += target.limit
    return weights
