"""Selection of the VMs that monitor each other by heartbeats.

In a small fleet, VMs that handle requests form a full mesh. In a large one, each VM
monitors a fixed number of others by heartbeats, and learns of the rest through updates,
so that the cost per VM does not grow with the fleet.
"""

from heapq import nlargest

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.version.hashing import rendezvous_weight

#: Maximum VMs that handle requests in a full mesh: 18 times the usual rate is 120
#: datagrams a second, 1% of a core.
MAX_MESH_SIZE = 18
#: Maximum live VMs in a full mesh, including those that handle no requests.
MAX_MESH_LIVE = 120
#: Number of VMs that a VM with requests monitors in its own region and in other
#: regions. On average the same number of VMs monitor it, so that it sends 18 heartbeats
#: in an interval. The chance that none of 300 VMs monitors a given one is 1 in 8,000.
MONITORED_IN_REGION = 6
MONITORED_OUTSIDE_REGION = 3
#: The same for a VM that handles no requests, which only has to learn of changes. Where
#: most VMs are such, with nine each they would send the others as many heartbeats as
#: those send each other.
IDLE_MONITORED_IN_REGION = 3
IDLE_MONITORED_OUTSIDE_REGION = 1
#: Additional VMs of a failure domain that are monitored after one of its VMs became
#: silent. A whole domain or region that is lost is then detected in two steps; without
#: it, a cut region of 15 VMs was known after 8.5 s in place of 3.5 s.
EXTRA_MONITORED_IN_DOMAIN = 30
#: Seconds for which these additional VMs are monitored after the last such failure.
EXTRA_MONITORING_SECONDS = 4.0
#: Seconds for which VMs still exchange updates after the fleet became small enough for
#: a full mesh.
UPDATES_SECONDS = 3.0


class Topology:
    """The VMs that this VM monitors.

    :param own: the :class:`Member` of this VM.
    """

    def __init__(self, own, clock):
        self._own = own
        self._clock = clock
        self._monitored_since = {}
        self._extra_monitoring_until = {}
        self._is_mesh = True
        self._mesh_since = DISTANT_PAST

    @property
    def is_mesh(self):
        """Return whether all VMs that handle requests exchange heartbeats."""
        return self._is_mesh

    @property
    def sends_updates(self):
        """Return whether VMs exchange member updates.

        Updates are still exchanged for :data:`UPDATES_SECONDS` after the fleet became
        small, since some lost VMs may not be detected yet.
        """
        return (
            not self._is_mesh or self._clock.now() < self._mesh_since + UPDATES_SECONDS
        )

    @property
    def monitored(self):
        """Return the names of the monitored VMs; they are asked to send heartbeats."""
        return self._monitored_since.keys()

    def monitored_since(self, vm):
        """Return the instant since which a VM is monitored, or ``None``."""
        return self._monitored_since.get(vm)

    def extend_monitoring(self, failure_domain):
        """Monitor additional VMs of a failure domain, from the next :meth:`update`."""
        until = self._clock.now() + EXTRA_MONITORING_SECONDS
        self._extra_monitoring_until[failure_domain] = until

    def is_outdated(self):
        """Return whether additional monitoring ended since the last :meth:`update`."""
        now = self._clock.now()
        return any(until <= now for until in self._extra_monitoring_until.values())

    def update(self, live, request_handling_vms):
        """Select the monitored VMs after a membership change.

        :param live: every live :class:`Member` except this VM.
        :param request_handling_vms: the VMs that handle requests; may include this VM.
        """
        others = [each for each in request_handling_vms if each is not self._own]
        self._set_mesh(len(others) < MAX_MESH_SIZE and len(live) < MAX_MESH_LIVE)
        now = self._clock.now()
        self._extra_monitoring_until = {
            domain: until
            for domain, until in self._extra_monitoring_until.items()
            if until > now
        }
        handles_requests = self._own in request_handling_vms
        selected = live if self._is_mesh else self._select(others, handles_requests)
        self._monitored_since = {
            each.vm: self._monitored_since.get(each.vm, now) for each in selected
        }

    def _set_mesh(self, is_mesh):
        if is_mesh and not self._is_mesh:
            self._mesh_since = self._clock.now()
        self._is_mesh = is_mesh

    def _select(self, others, handles_requests):
        in_region, outside = [], []
        for each in others:
            (in_region if each.region == self._own.region else outside).append(each)
        count_in_region = (
            MONITORED_IN_REGION if handles_requests else IDLE_MONITORED_IN_REGION
        )
        count_outside = (
            MONITORED_OUTSIDE_REGION
            if handles_requests
            else IDLE_MONITORED_OUTSIDE_REGION
        )
        yield from nlargest(count_in_region, in_region, key=self._weight)
        yield from nlargest(count_outside, outside, key=self._weight)
        for domain in self._extra_monitoring_until:
            in_domain = [each for each in others if each.failure_domain == domain]
            yield from nlargest(EXTRA_MONITORED_IN_DOMAIN, in_domain, key=self._weight)

    def _weight(self, member):
        """Return a hash weight that is the same for both VMs of a pair."""
        return rendezvous_weight(*sorted((self._own.vm, member.vm)))
