"""Selection of the VMs that monitor each other by heartbeats.

In a small fleet, VMs that handle requests form a full mesh. In a large one, each VM
picks a fixed number of others to exchange heartbeats with, and learns of the rest
through news, so that the cost per VM does not grow with the fleet.
"""

from heapq import nlargest

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.version.hashing import weight

#: Maximum VMs that handle requests in a full mesh.
MAX_MESH_SIZE = 18
#: Maximum live VMs in a full mesh, including those that handle no requests.
MOST_LIVE_IN_MESH = 120
#: VMs that a VM with requests picks in its own region and in other regions. On average
#: as many others pick it.
MONITORED_IN_REGION = 6
MONITORED_OUTSIDE_REGION = 3
#: The same for a VM that handles no requests, which only has to learn of changes.
IDLE_MONITORED_IN_REGION = 3
IDLE_MONITORED_OUTSIDE_REGION = 1
#: Additional VMs of a failure domain that are picked after one of its VMs became
#: silent, to detect quickly that a whole domain or region is lost.
SUSPECTS = 30
#: Seconds for which they stay picked.
SUSPECT_SECONDS = 4.0
#: Seconds for which VMs still exchange news after the fleet became small enough for a
#: full mesh.
NEWS_SECONDS = 3.0


class Topology:
    """The VMs that this VM picks to monitor.

    :param own: the :class:`Member` of this VM.
    """

    def __init__(self, own, clock):
        self._own = own
        self._clock = clock
        self._since = {}
        self._suspected_until = {}
        self._is_mesh = True
        self._mesh_since = DISTANT_PAST

    @property
    def is_mesh(self):
        """Return whether all VMs that handle requests exchange heartbeats."""
        return self._is_mesh

    @property
    def tells_news(self):
        """Return whether VMs exchange news.

        They continue for a while after the fleet became small, since some lost VMs may
        not be detected yet.
        """
        return not self._is_mesh or self._clock.now() < self._mesh_since + NEWS_SECONDS

    @property
    def monitored(self):
        """Return the names of the picked VMs, which have to send heartbeats back."""
        return self._since.keys()

    def monitored_since(self, vm):
        """Return the instant since which a VM is picked, or ``None`` if it is not."""
        return self._since.get(vm)

    def suspect(self, failure_domain):
        """Pick more VMs of a failure domain at the next update."""
        until = self._clock.now() + SUSPECT_SECONDS
        self._suspected_until[failure_domain] = until

    def is_outdated(self):
        """Return whether a suspicion expired since the last update."""
        now = self._clock.now()
        return any(until <= now for until in self._suspected_until.values())

    def update(self, live, active):
        """Pick again after a membership change.

        :param live: every live :class:`Member` except this VM.
        :param active: the VMs that handle requests; may include this VM.
        """
        others = [each for each in active if each is not self._own]
        self._set_mesh(len(others) < MAX_MESH_SIZE and len(live) < MOST_LIVE_IN_MESH)
        now = self._clock.now()
        self._suspected_until = {
            domain: until
            for domain, until in self._suspected_until.items()
            if until > now
        }
        carries = self._own in active
        picked = live if self._is_mesh else self._select(others, carries)
        self._since = {each.vm: self._since.get(each.vm, now) for each in picked}

    def _set_mesh(self, is_mesh):
        if is_mesh and not self._is_mesh:
            self._mesh_since = self._clock.now()
        self._is_mesh = is_mesh

    def _select(self, others, carries):
        near, far = [], []
        for each in others:
            (near if each.region == self._own.region else far).append(each)
        near_picks = MONITORED_IN_REGION if carries else IDLE_MONITORED_IN_REGION
        far_picks = (
            MONITORED_OUTSIDE_REGION if carries else IDLE_MONITORED_OUTSIDE_REGION
        )
        yield from nlargest(near_picks, near, key=self._weight)
        yield from nlargest(far_picks, far, key=self._weight)
        for domain in self._suspected_until:
            suspects = [each for each in others if each.failure_domain == domain]
            yield from nlargest(SUSPECTS, suspects, key=self._weight)

    def _weight(self, member):
        """Return a hash weight that is the same for both VMs of a pair."""
        return weight(*sorted((self._own.vm, member.vm)))
