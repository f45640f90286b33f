"""Look-ups of clients: which VMs to send requests to."""

from collections import Counter
from math import ceil
from random import sample

#: VMs named for a client at most; of more, each look-up names others.
MAX_ADDRESSES = 64
#: Seconds for which clients may keep an answer: a VM that leaves goes on serving for
#: longer, and a client asks rarely enough for it to cost under 1% of a core.
LOOKUP_TTL = 2.0
#: The same for answers of a VM that leaves or has just started: others may leave or
#: start with it, of which it hears later than a VM that stays.
SHORT_LOOKUP_TTL_SECONDS = 0.5
#: Seconds after the start of a process in which it has just started: a fleet that was
#: stopped at once is back within them.
START_SECONDS = 5.0
#: VMs of the client's own failure domain from which those of the rest of its region
#: may be left out.
ENOUGH = 2
#: Times its even share of a region's clients that a VM is named for at most, so that
#: the first VMs back in a failure domain do not get all of its clients.
MAX_OVER_SHARE = 2.0


class Lookup:
    """An answer: addresses as text, and the seconds for which it may be kept."""

    __slots__ = ("addresses", "ttl")

    def __init__(self, addresses, ttl):
        self.addresses = addresses
        self.ttl = ttl


class Directory:
    """Answers look-ups.

    :param members: the live VMs.
    :param regions: the region of each failure domain.
    :param port: the port on which every VM takes requests.
    :param longest_ttl: the longest time in seconds for which an answer may be kept.
    """

    def __init__(self, members, regions, port, longest_ttl, clock):
        self._members = members
        self._domains = Counter(regions.values())
        self._port = port
        self._longest_ttl = longest_ttl
        self._clock = clock
        self._started_until = clock.now() + START_SECONDS

    def lookup(self, region, failure_domain):
        """Return the :class:`Lookup` for a client of a region and failure domain.

        VMs that leave are named where no VM serves: they still run requests, and a
        client that is told of none takes the look-up for failed and tries it at others.
        """
        active = self._members.active()
        named = active or self._members.leaving()
        near = [each for each in named if each.region == region]
        here = [each for each in near if each.failure_domain == failure_domain]
        chosen = self._choose(here, near, self._domains[region]) or named
        if len(chosen) > MAX_ADDRESSES:
            chosen = sample(chosen, MAX_ADDRESSES)
        addresses = [f"{each.ip}:{self._port}" for each in chosen]
        return Lookup(addresses, min(self._ttl(), self._longest_ttl))

    def _ttl(self):
        just_started = self._clock.now() < self._started_until
        stays = self._members.own.serving and not just_started
        return LOOKUP_TTL if stays else SHORT_LOOKUP_TTL_SECONDS

    def _choose(self, here, near, domains):
        """Return the VMs to name, those of the client's failure domain first.

        The rest of the region is named as far as it takes to keep the load of each VM
        within bounds, if each failure domain has as many clients.

        :param here: the VMs of the client's failure domain.
        :param near: those of its region.
        :param domains: the number of failure domains of the region.
        """
        if len(here) < ENOUGH:
            return near
        least = ceil(len(near) / (domains * MAX_OVER_SHARE))
        if len(here) >= least:
            return here
        others = [each for each in near if each not in here]
        return here + sample(others, least - len(here))
