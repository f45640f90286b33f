"""Look-ups of clients: which VMs to send requests to."""

from random import sample

#: VMs named for a client at most; of more, each look-up names others.
MOST_ADDRESSES = 64
#: Seconds for which clients may keep an answer: a VM that leaves goes on serving for
#: longer, and a client asks rarely enough for it to cost under 1% of a core.
LOOKUP_TTL = 2.0
#: The same where all that are named leave: VMs that start again are there soon.
LEAVING_TTL = 0.5
#: VMs of the client's own failure domain from which those of the rest of its region
#: are left out.
ENOUGH = 2


class Lookup:
    """An answer: addresses as text, and the seconds for which it may be kept."""

    __slots__ = ("addresses", "ttl")

    def __init__(self, addresses, ttl):
        self.addresses = addresses
        self.ttl = ttl


class Directory:
    """Answers look-ups.

    :param members: the live VMs.
    :param port: the port on which every VM takes requests.
    :param longest_ttl: the longest time in seconds for which an answer may be kept.
    """

    def __init__(self, members, port, longest_ttl):
        self._members = members
        self._port = port
        self._ttl = min(LOOKUP_TTL, longest_ttl)

    def lookup(self, region, failure_domain):
        """Return the :class:`Lookup` for a client of a region and failure domain.

        VMs that leave are named where no VM serves: they still run requests, and a
        client that is told of none takes the look-up for failed and tries it at others.
        """
        active = self._members.active()
        named = active or self._members.leaving()
        near = [each for each in named if each.region == region]
        here = [each for each in near if each.failure_domain == failure_domain]
        chosen = here if len(here) >= ENOUGH else near or named
        if len(chosen) > MOST_ADDRESSES:
            chosen = sample(chosen, MOST_ADDRESSES)
        addresses = [f"{each.ip}:{self._port}" for each in chosen]
        return Lookup(addresses, self._ttl if active else min(LEAVING_TTL, self._ttl))
