"""Table of client address blocks and their nearest failure domains.

Packed arrays hold the first address and the failure domain of each range, so that a
table of millions of blocks stays small. A look-up is a binary search.
"""

from array import array
from bisect import bisect_right
from ipaddress import ip_address, ip_network

#: Domain index of address ranges without a failure domain.
NO_DOMAIN = 0xFFFF


class ClientBlockTable:
    """Maps IPv4 client addresses to failure domains.

    :param domains: the names of the failure domains, by index.
    :param ranges: ``(first address, domain index)`` of each address range, in order.
    """

    def __init__(self, domains, ranges):
        self._domains = domains
        self._starts = array("I")
        self._domain_indexes = array("H")
        for start, domain_index in ranges:
            self._starts.append(start)
            self._domain_indexes.append(domain_index)

    def __len__(self):
        return len(self._starts)

    @property
    def size_bytes(self):
        """Return the size of the packed arrays, in bytes."""
        return self._starts.itemsize * len(
            self._starts
        ) + self._domain_indexes.itemsize * len(self._domain_indexes)

    def find(self, address):
        """Return the failure domain of an IPv4 address, or ``None``."""
        return self.find_by_number(int(ip_address(address)))

    def find_by_number(self, number):
        """Return the failure domain of an integer address, or ``None``."""
        index = bisect_right(self._starts, number) - 1
        if index < 0:
            return None
        domain_index = self._domain_indexes[index]
        return None if domain_index == NO_DOMAIN else self._domains[domain_index]

    def assign_range(self, first, last, domain):
        """Assign a range of addresses to a failure domain.

        :param first: the first address, as an integer.
        :param last: the last address, inclusive.
        :param domain: one of the table's failure domains, or ``None``.
        """
        domain_index = NO_DOMAIN if domain is None else self._domains.index(domain)
        # Replace the ranges that start in the new one. Restore the domain of the last
        # range that it overlaps for the addresses after it.
        first_index = bisect_right(self._starts, first) - 1
        last_index = bisect_right(self._starts, last) - 1
        following_domain_index = (
            NO_DOMAIN if last_index < 0 else self._domain_indexes[last_index]
        )
        begin = (
            first_index
            if first_index >= 0 and self._starts[first_index] == first
            else first_index + 1
        )
        end = last_index + 1
        starts, domain_indexes = array("I", [first]), array("H", [domain_index])
        has_adjacent_range = end < len(self._starts) and self._starts[end] == last + 1
        if last < 0xFFFFFFFF and not has_adjacent_range:
            starts.append(last + 1)
            domain_indexes.append(following_domain_index)
        self._starts[begin:end] = starts
        self._domain_indexes[begin:end] = domain_indexes


def build_client_blocks(blocks, domains):
    """Return a table of ``{CIDR: failure domain}``; the longest prefix wins.

    IPv6 blocks are ignored.

    :param domains: the names of all failure domains.
    """
    table = ClientBlockTable(list(domains), [])
    networks = [(ip_network(block), domain) for block, domain in blocks.items()]
    for network, domain in sorted(networks, key=lambda item: item[0].prefixlen):
        if network.version == 4:
            first = int(network.network_address)
            table.assign_range(first, int(network.broadcast_address), domain)
    return table
