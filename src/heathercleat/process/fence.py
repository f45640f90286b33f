"""Fences for drills: addresses that a VM behaves as if it were cut off from.

Operators name them in the settings and send SIGHUP, to rehearse a network partition. A
call to a fenced address gets no answer, and its connections are closed.
"""

from ipaddress import ip_address, ip_network

from curio import sleep

#: Longer than any deadline of a call.
FOREVER = 3600.0


class Fence:
    """A set of IP networks that cannot be reached.

    :param networks: blocks such as ``127.0.3.0/24``.
    """

    def __init__(self, networks=()):
        self._networks = [ip_network(network) for network in networks]

    def covers(self, host):
        """Return whether ``host`` lies behind the fence."""
        if not self._networks:
            return False
        address = ip_address(host)
        return any(address in network for network in self._networks)

    async def wait_if_fenced(self, host):
        """Return at once, or never when ``host`` lies behind the fence."""
        if self.covers(host):
            await sleep(FOREVER)
