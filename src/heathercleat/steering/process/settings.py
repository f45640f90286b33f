"""Settings of a VM that steers requests, independent of the file format."""

#: Link bandwidth that the requests of one core use, in Mbit/s.
MBPS_PER_CORE = 30.0


class Address:
    """An IP address and a port."""

    __slots__ = ("host", "port")

    def __init__(self, host, port):
        self.host = host
        self.port = port

    def __str__(self):
        return f"{self.host}:{self.port}"


class Bounds:
    """Limits set by the operators, with their defaults; durations in seconds.

    :ivar stop_grace: time from the stop signal until the platform kills the process.
    :ivar retry_ratio: retries allowed per request in a window.
    :ivar retry_window: length of the sliding window for the retries of a service.
    :ivar retry_slack: additional retries that all VMs together may send in a window.
    :ivar cold_factor: allowed request rate of a cold target, as a multiple of the rate
        that its service specifies.
    :ivar cold_slack: requests per second that are allowed in addition to that rate.
    :ivar lookup_ttl: maximum TTL of a client lookup.
    :ivar shift_share: maximum share of the requests that may change region within two
        seconds.
    :ivar revocation: time after which a removed key may no longer be used by requests
        sent later; ``None`` if there is no such limit.
    :ivar quota_window: length of the sliding window for the requests of a workspace.
    :ivar quota_over: share by which the requests in a window may exceed the limit.
    :ivar quota_slack: requests in a window that are tolerated beyond that share.
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
        "revocation",
        "quota_window",
        "quota_over",
        "quota_slack",
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
        self.revocation = None
        self.quota_window = 5.0
        self.quota_over = 0.0
        self.quota_slack = 0.0

    def update_from(self, other):
        """Copy all values of other :class:`Bounds`."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))


class NodeSettings:
    """Settings of one VM.

    :param regions: the region of each failure domain.
    :param front: :class:`Address` for client requests.
    :param ready: :class:`Address` for the platform's readiness checks.
    :param directory: :class:`Address` for client lookups.
    :param first_inner_port: first of the ports for traffic between VMs.
    :param seeds: IP addresses of VMs to contact first; may be stale.
    :param is_first_start: whether the fleet starts for the first time, so that this
        VM had no process before.
    :param store: address of the platform's table service.
    :param memory: memory limit of the process, in bytes.
    :param cores: CPU limit of the process, in cores; may be fractional.
    :param link_mbps: bandwidth of the VM's link, in Mbit/s.
    :param is_contended: whether callers compete for slots and memory, so that the VM
        divides both among them.
    :param path: path of the settings file, for reloads.
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
        "is_first_start",
        "store",
        "memory",
        "cores",
        "link_mbps",
        "is_contended",
        "bounds",
        "path",
    )

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields[name])

    @property
    def strength(self):
        """Return the usable capacity in cores, limited by CPU and bandwidth."""
        return min(self.cores, self.link_mbps / MBPS_PER_CORE)

    @property
    def gossip_port(self):
        """Return the UDP port for gossip between VMs."""
        return self.first_inner_port

    @property
    def forward_port(self):
        """Return the TCP port for requests forwarded by other VMs."""
        return self.first_inner_port + 1

    def internal_address(self, port):
        """Return this VM's :class:`Address` for internal traffic on a port."""
        return Address(self.ip, port)
