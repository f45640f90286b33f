"""The targets that may run a request, and what is known of them here."""

from heathercleat.steering.process.slots import IDLE_SHARE


class Candidate:
    """A target that may run a request.

    :param owner: name of the VM that owns it.
    :param region: the region that it lies in.
    :param free: free slots, as far as this VM knows.
    :param sound: whether it takes requests at its usual rate.
    """

    __slots__ = ("entry", "owner", "region", "free", "sound")

    def __init__(self, entry, owner, region, free, sound):
        self.entry = entry
        self.owner = owner
        self.region = region
        self.free = free
        self.sound = sound


class Candidates:
    """Finds the candidates of requests.

    :param members: the live VMs.
    :param registry: the usable targets.
    :param owners: the owner of each target.
    :param ledger: the free slots of own targets.
    :param admission: the waits at own targets.
    :param rooms: what is believed of other owners' targets.
    """

    def __init__(self, members, registry, owners, ledger, admission, rooms, clock):
        self._members = members
        self._registry = registry
        self._owners = owners
        self._ledger = ledger
        self._admission = admission
        self._rooms = rooms
        self._clock = clock

    def find(self, call, avoid=frozenset(), avoid_vms=frozenset()):
        """Yield a :class:`Candidate` for each allowed target.

        :param avoid: ids of targets to leave out.
        :param avoid_vms: names of VMs whose targets to leave out.
        """
        now = self._clock.now()
        for entry in self._registry.of_service(call.service):
            region = self._members.region_of(entry.failure_domain)
            if entry.id in avoid or not call.route.allows(region):
                continue
            owner = self._owners.of(entry.id)
            if owner is None or owner in avoid_vms:
                continue
            member = self._members.live(owner)
            if member is not None and self._may_carry(call, member):
                yield self._candidate(entry, owner, region, now)

    def split(self, call, avoid, avoid_vms):
        """Return the candidates of this region, and those of the others by region."""
        near, far = [], {}
        for each in self.find(call, avoid, avoid_vms):
            if self.is_near(each):
                near.append(each)
            else:
                far.setdefault(each.region, []).append(each)
        return near, far

    def is_near(self, candidate):
        """Return whether a candidate lies in this VM's region."""
        return candidate.region == self._members.own.region

    def wait(self, owner, service):
        """Return the seconds that a request would wait at an owner, or ``None``."""
        if owner == self._members.own.vm:
            return self._admission.expected_wait(service)
        return self._rooms.wait(owner, service)

    def shortest_wait(self, call):
        """Return the shortest known wait in this region in seconds, or ``None``."""
        owners = {each.owner for each in self.find(call) if self.is_near(each)}
        waits = [self.wait(owner, call.service) for owner in owners]
        return min((each for each in waits if each is not None), default=None)

    def describe(self, call):
        """Return what is known of the targets that may run a request, for the log."""
        near, far = self.split(call, frozenset(), frozenset())
        elsewhere = [each for candidates in far.values() for each in candidates]
        parts = [_describe("here", near), _describe("elsewhere", elsewhere)]
        wait = self.shortest_wait(call)
        parts.append("no wait known" if wait is None else f"wait {wait:.3f} s")
        return "; ".join(parts)

    def _candidate(self, entry, owner, region, now):
        if owner == self._members.own.vm:
            free = self._ledger.free(entry.id, now)
            limit = self._ledger.limit(entry.id, now)
        else:
            free = self._rooms.free(entry.id, owner)
            limit = self._rooms.limit(entry.id, owner)
        sound = limit is None or limit >= IDLE_SHARE * entry.slots
        return Candidate(entry, owner, region, free, sound)

    def _may_carry(self, call, member):
        """Return whether a request's body may pass through a VM."""
        own_region = self._members.own.region
        return member.region == own_region or call.route.allows(member.region)


def _describe(name, candidates):
    sound = sum(each.sound for each in candidates)
    free = sum(each.free for each in candidates)
    return f"{name} {len(candidates)} targets, {sound} sound, {free} free"
