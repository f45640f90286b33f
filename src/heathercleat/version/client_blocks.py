"""The client-block table: which failure domain is nearest to a caller.

Two packed arrays: the first address of each run and the index of its failure domain.
At 2.7 million blocks they take 16 MB; a look-up is one bisection.
"""

from array import array
from bisect import bisect_right
from ipaddress import ip_address, ip_network

NO_DOMAIN = 0xFFFF


class ClientBlockTable:
    """IPv4 client blocks to failure domains.

    :param domains: the names of the failure domains, by index.
    :param runs: ``(first address, domain index)`` pairs in rising order.
    """

    def __init__(self, domains, runs):
        self._domains = domains
        self._starts = array("I")
        self._values = array("H")
        for start, value in runs:
            self._starts.append(start)
            self._values.append(value)

    def __len__(self):
        return len(self._starts)

    @property
    def size_bytes(self):
        """Return the memory taken by the packed arrays, in bytes."""
        return self._starts.itemsize * len(self._starts) + self._values.itemsize * len(
            self._values
        )

    def find(self, address):
        """Return the failure domain for a dotted IPv4 address, or ``None``."""
        return self.find_by_number(int(ip_address(address)))

    def find_by_number(self, number):
        """Return the failure domain for an address given as an integer."""
        index = bisect_right(self._starts, number) - 1
        if index < 0:
            return None
        value = self._values[index]
        return None if value == NO_DOMAIN else self._domains[value]

    def replace(self, first, last, domain):
        """Change one run of addresses in place.

        :param first: the first address as an integer.
        :param last: the last address as an integer, inclusive.
        :param domain: the name of a known failure domain, or ``None``.
        """
        value = NO_DOMAIN if domain is None else self._domains.index(domain)
        left = bisect_right(self._starts, first) - 1
        right = bisect_right(self._starts, last) - 1
        after = NO_DOMAIN if right < 0 else self._values[right]
        begin = left if left >= 0 and self._starts[left] == first else left + 1
        end = right + 1
        starts, values = array("I", [first]), array("H", [value])
        follows = end < len(self._starts) and self._starts[end] == last + 1
        if last < 0xFFFFFFFF and not follows:
            starts.append(last + 1)
            values.append(after)
        self._starts[begin:end] = starts
        self._values[begin:end] = values


def build_client_blocks(blocks, domains):
    """Build a table from ``{CIDR: failure domain}``; the longest prefix wins.

    :param blocks: blocks of the text.
    :param domains: all failure domains of the text.
    """
    table = ClientBlockTable(list(domains), [])
    networks = [(ip_network(block), domain) for block, domain in blocks.items()]
    for network, domain in sorted(networks, key=lambda item: item[0].prefixlen):
        if network.version == 4:
            first = int(network.network_address)
            table.replace(first, int(network.broadcast_address), domain)
    return table
