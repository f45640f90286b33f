"""Routes and services of the operators' configuration."""

from copy import copy
from enum import Enum


class RequestKind(Enum):
    """Kind of requests; only safe ones may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def is_idempotent(self):
        """Return whether a request may run more than once."""
        return self is RequestKind.SAFE


class ServiceShare:
    """Weight of a service in the traffic split of a route."""

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class Route:
    """Settings for requests of one host and path prefix.

    :param timeout: maximum seconds from arrival to the final response.
    :param latency_objective: seconds after which a response counts as late.
    :param priority: rank of the requests, 0 is the most urgent.
    :param max_attempts: how often a request may run.
    :param sticky: whether requests have session affinity.
    :param regions: the only regions that may serve the requests; empty for all.
    :param shares: the :class:`ServiceShare` of each service.
    :param is_public: whether requests need no key of a workspace.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "kind",
        "timeout",
        "latency_objective",
        "priority",
        "max_attempts",
        "sticky",
        "regions",
        "shares",
        "is_public",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        kind,
        timeout,
        latency_objective,
        priority,
        max_attempts,
        sticky,
        regions,
        shares,
        is_public=False,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.timeout = timeout
        self.latency_objective = latency_objective
        self.priority = priority
        self.max_attempts = max_attempts
        self.sticky = sticky
        self.regions = regions
        self.shares = shares
        self.is_public = is_public

    def allows(self, region):
        """Return whether requests may be served in ``region``."""
        return not self.regions or region in self.regions

    def restricted_to(self, workspace):
        """Return this route with the priority and the regions of a workspace.

        The regions of the route and of the workspace both apply.

        :return: a :class:`Route`, or ``None`` if no region is left.
        """
        if workspace.priority is None and not workspace.regions:
            return self
        restricted = copy(self)
        if workspace.priority is not None:
            restricted.priority = workspace.priority
        if workspace.regions:
            allowed = self.regions or workspace.regions
            restricted.regions = allowed & workspace.regions
            if not restricted.regions:
                return None
        return restricted


class Service:
    """Settings of a service.

    :param cold_requests_per_second: rate that a cold target can serve, or ``None``.
    """

    __slots__ = ("name", "cold_requests_per_second")

    def __init__(self, name, cold_requests_per_second):
        self.name = name
        self.cold_requests_per_second = cold_requests_per_second


class Limits:
    """Limits on client requests, in bytes and seconds."""

    __slots__ = ("header_bytes", "body_bytes", "header_timeout", "idle_timeout")

    def __init__(self, header_bytes, body_bytes, header_timeout, idle_timeout):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout = header_timeout
        self.idle_timeout = idle_timeout


class RoutingTable:
    """All routes, services and workspaces of one version.

    :param workspaces: a :class:`WorkspaceIndex`; ``None`` if requests need no key.
    :param document: the encoded configuration from which it was decoded.
    :raises ValueError: if a route names a service that the version does not define.
    """

    __slots__ = (
        "version",
        "services",
        "limits",
        "workspaces",
        "document",
        "_hosts",
    )

    def __init__(
        self, version, routes, services, limits, workspaces=None, document=b""
    ):
        self.version = version
        self.services = services
        self.limits = limits
        self.workspaces = workspaces
        self.document = document
        self._hosts = {}
        for route in routes:
            self._check_services(route)
            self._hosts.setdefault(route.host, []).append(route)
        for each in self._hosts.values():
            each.sort(key=lambda route: len(route.prefix), reverse=True)

    @property
    def routes(self):
        """Return every :class:`Route`."""
        return [route for routes in self._hosts.values() for route in routes]

    def match(self, host, path):
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def _check_services(self, route):
        for share in route.shares:
            if share.service not in self.services:
                message = f'route "{route.name}": unknown service "{share.service}"'
                raise ValueError(message)
