"""Which VMs send heartbeats to each other.

In a small fleet each VM that carries requests sends heartbeats to all others. In a
large one each picks a fixed number of others, which answer it; what they do not hear
directly VMs tell each other as news. So the cost for a VM does not grow with the fleet.
"""

from heapq import nlargest

from heathercleat.process.clock import DISTANT_PAST
from heathercleat.version.hashing import rendezvous_weight

#: VMs that carry requests up to which all of them send heartbeats to each other: 18
#: times the usual rate is 120 datagrams a second, 1% of a core.
MAX_MESH_SIZE = 18
#: Live VMs, those that carry no requests included, up to which the same holds.
MOST_LIVE_IN_MESH = 120
#: VMs that one that carries requests picks in its own region and outside of it. Each is
#: picked by as many on average, and answers those too: 18 heartbeats for each interval.
#: That none of 300 VMs picks a given one has a chance of 1 in 8,000; it still picks its
#: own.
MONITORED_IN_REGION = 6
MONITORED_OUTSIDE_REGION = 3
#: The same for a VM that carries no requests: it only has to learn of changes. 168 of
#: 195 VMs are such, and with nine picks each they sent the 27 others as many heartbeats
#: as these send each other.
IDLE_MONITORED_IN_REGION = 3
IDLE_MONITORED_OUTSIDE_REGION = 1
#: VMs of a failure domain that are picked as well once a picked one has fallen silent,
#: and the seconds for which they are: all of a domain or region that is gone are found
#: in two waves. Without it a cut region of 15 VMs was known after 8.5 s, with it after
#: 3.5 s (60 VMs, simulated).
SUSPECTS = 30
SUSPECT_SECONDS = 4.0
#: Seconds for which VMs still tell news when their fleet has become small: two waves of
#: VMs that fall silent.
NEWS_SECONDS = 3.0


class Topology:
    """The VMs that this VM picks.

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
        """Return whether all VMs that carry requests hear each other directly."""
        return self._is_mesh

    @property
    def tells_news(self):
        """Return whether VMs tell each other news.

        Those of a fleet that has just become small still do, for a while: half of it
        may be cut off and not be known to be.
        """
        return not self._is_mesh or self._clock.now() < self._mesh_since + NEWS_SECONDS

    @property
    def monitored(self):
        """Return the names of the picked VMs, which are expected to answer."""
        return self._since.keys()

    def monitored_since(self, vm):
        """Return the instant at which a VM was picked, or ``None``."""
        return self._since.get(vm)

    def suspect(self, failure_domain):
        """Pick more VMs of a failure domain, one of which fell silent."""
        until = self._clock.now() + SUSPECT_SECONDS
        self._suspected_until[failure_domain] = until

    def is_outdated(self):
        """Return whether a suspicion has ended since the last update."""
        now = self._clock.now()
        return any(until <= now for until in self._suspected_until.values())

    def update(self, live, active):
        """Pick anew after a change.

        :param live: every live :class:`Member` but this VM.
        :param active: those that carry requests; may hold this VM.
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
        picked = live if self._is_mesh else self._choose(others, carries)
        self._since = {each.vm: self._since.get(each.vm, now) for each in picked}

    def _set_mesh(self, is_mesh):
        if is_mesh and not self._is_mesh:
            self._mesh_since = self._clock.now()
        self._is_mesh = is_mesh

    def _choose(self, others, carries):
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
        """Return the weight of a pair of VMs, the same for both of them."""
        return rendezvous_weight(*sorted((self._own.vm, member.vm)))
