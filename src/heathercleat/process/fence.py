"""Simulated network partitions, to rehearse failures.

Operators list networks under ``fenced`` in the settings and send SIGHUP. Calls to a
fenced address time out, and calls from it are not answered.
"""

from ipaddress import ip_address, ip_network

from curio import sleep

#: Seconds; longer than the deadline of any call.
FENCED_DELAY_SECONDS = 3600.0


class Fence:
    """A set of IP networks to treat as unreachable.

    :param networks: networks in CIDR notation, such as ``127.0.3.0/24``.
    """

    def __init__(self, networks=()):
        self._networks = [ip_network(network) for network in networks]

    def contains(self, host):
        """Return whether ``host``, an IP address, is in one of the networks."""
        if not self._networks:
            return False
        address = ip_address(host)
        return any(address in network for network in self._networks)

    async def wait_if_fenced(self, host):
        """Return at once, or after ``FENCED_DELAY_SECONDS`` if ``host`` is fenced."""
        if self.contains(host):
            await sleep(FENCED_DELAY_SECONDS)
