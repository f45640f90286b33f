"""Settings of a VM that steers requests, whatever file they come from."""

#: Mbit/s that one core's requests need, an estimate: 350 a second of 11 KB both ways.
LINK_PER_CORE = 30.0


class Address:
    """An IP number and a port."""

    __slots__ = ("host", "port")

    def __init__(self, host, port):
        self.host = host
        self.port = port

    def __str__(self):
        return f"{self.host}:{self.port}"


class Bounds:
    """What the operators demand of the VMs; lengths in seconds.

    The figures here are used where the settings do not tell.
    """

    __slots__ = (
        "stop_grace",
        "retry_ratio",
        "retry_window",
        "retry_slack",
        "cold_factor",
        "cold_slack",
        "lookup_ttl",
        "shift_share",
    )

    def __init__(self):
        self.stop_grace = 6.0
        self.retry_ratio = 0.2
        self.retry_window = 10.0
        self.retry_slack = 20.0
        self.cold_factor = 1.0
        self.cold_slack = 0.0
        self.lookup_ttl = 5.0
        self.shift_share = 0.15

    def take(self, other):
        """Take all figures of other :class:`Bounds`."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))


class NodeSettings:
    """Settings of one VM.

    :param regions: the region of each failure domain.
    :param front: where clients send requests.
    :param ready: where the platform asks whether the VM is ready.
    :param directory: where clients ask which VMs to use.
    :param first_inner_port: first of the ports for traffic between VMs.
    :param seeds: IP numbers of some VMs, which may be stale.
    :param store: address of the platform's table service.
    :param memory: bytes that the process may use.
    :param cores: cores that the process may use, fractions included.
    :param link_mbps: bandwidth of the VM's link, in Mbit/s.
    """

    __slots__ = (
        "vm",
        "ip",
        "failure_domain",
        "region",
        "regions",
        "front",
        "ready",
        "directory",
        "first_inner_port",
        "seeds",
        "store",
        "memory",
        "cores",
        "link_mbps",
        "bounds",
        "path",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    @property
    def strength(self):
        """Return the cores that the process can keep busy over its link."""
        return min(self.cores, self.link_mbps / LINK_PER_CORE)

    @property
    def gossip_port(self):
        """Return the UDP port for heartbeats between VMs."""
        return self.first_inner_port

    @property
    def forward_port(self):
        """Return the TCP port for requests that another VM forwards."""
        return self.first_inner_port + 1

    def internal_address(self, port):
        """Return this VM's :class:`Address` with a port."""
        return Address(self.ip, port)
