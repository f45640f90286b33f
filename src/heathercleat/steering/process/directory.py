"""Client lookups: the addresses of the VMs that clients send requests to."""

from collections import Counter
from math import ceil
from random import sample

#: Maximum addresses in a lookup result; a random sample if there are more VMs.
MAX_ADDRESSES = 64
#: Seconds for which clients may cache a lookup; shorter than the time for which a
#: leaving VM keeps its client connections, and long enough for lookups to cost under 1%
#: of a core.
LOOKUP_TTL_SECONDS = 2.0
#: The same for lookups at a VM that is leaving or has just started. Other VMs often
#: leave or start at the same time, and this VM learns of them late.
SHORT_LOOKUP_TTL_SECONDS = 0.5
#: Seconds after the start for which the short TTL is used; a whole fleet restarts
#: within this time.
START_SECONDS = 5.0
#: Minimum number of VMs in the client's failure domain for which VMs of other failure
#: domains may be omitted.
MIN_DOMAIN_VMS = 2
#: Maximum share of a region's clients for one VM, as a multiple of an even share, so
#: that the first restarted VMs of a failure domain do not get all of its clients.
MAX_OVER_SHARE = 2.0


class Lookup:
    """A lookup result: addresses as ``host:port``, and the TTL in seconds."""

    __slots__ = ("addresses", "ttl")

    def __init__(self, addresses, ttl):
        self.addresses = addresses
        self.ttl = ttl


class Directory:
    """Selects the VMs for client lookups.

    :param members: the :class:`Members`.
    :param regions: the region of each failure domain.
    :param port: the port on which every VM accepts client requests.
    :param max_ttl: maximum TTL of a lookup, in seconds.
    """

    def __init__(self, members, regions, port, max_ttl, clock):
        self._members = members
        self._domain_counts = Counter(regions.values())
        self._port = port
        self._max_ttl = max_ttl
        self._clock = clock
        self._starting_until = clock.now() + START_SECONDS

    def lookup(self, region, failure_domain):
        """Return the :class:`Lookup` for a client of a region and failure domain.

        Leaving VMs are listed if no VM is serving, since they still accept requests and
        clients treat an empty result as a failed lookup.
        """
        serving = self._members.strong_serving()
        candidates = serving or self._members.strong_leaving()
        in_region = [each for each in candidates if each.region == region]
        in_domain = [
            each for each in in_region if each.failure_domain == failure_domain
        ]
        chosen = (
            self._select(in_domain, in_region, self._domain_counts[region])
            or candidates
        )
        if len(chosen) > MAX_ADDRESSES:
            chosen = sample(chosen, MAX_ADDRESSES)
        addresses = [f"{each.ip}:{self._port}" for each in chosen]
        return Lookup(addresses, min(self._ttl(), self._max_ttl))

    def _ttl(self):
        is_starting = self._clock.now() < self._starting_until
        is_stable = self._members.own.is_serving and not is_starting
        return LOOKUP_TTL_SECONDS if is_stable else SHORT_LOOKUP_TTL_SECONDS

    def _select(self, in_domain, in_region, domain_count):
        """Return the VMs to list, those of the client's failure domain first.

        Other VMs of the region are added as needed to keep each VM's load within
        :data:`MAX_OVER_SHARE`, assuming equally many clients in each failure domain.

        :param in_domain: the VMs of the client's failure domain.
        :param in_region: the VMs of its region.
        :param domain_count: the number of failure domains of the region.
        """
        if len(in_domain) < MIN_DOMAIN_VMS:
            return in_region
        min_count = ceil(len(in_region) / (domain_count * MAX_OVER_SHARE))
        if len(in_domain) >= min_count:
            return in_domain
        others = [each for each in in_region if each not in in_domain]
        return in_domain + sample(others, min_count - len(in_domain))
