"""Leases of slots: grants to other VMs, and those that other VMs granted to this one.

A VM without a free slot asks the homes of other targets, nearest first, for a lease: a
number of slots of one target until an instant. The granter counts them as used until
then, so what it grants never adds up to more than it has. A granter that is cut off is
not asked again and its leases lapse.
"""

from dataclasses import dataclass
from random import uniform

from curio import Event as Signal
from curio import sleep, spawn

from heathercleat.connection.messages import (
    LeaseGrant,
    LeaseRenewal,
    LeaseRequest,
    LeaseReturn,
)
from heathercleat.errors import PeerError
from heathercleat.events import Event
from heathercleat.process.clock import DISTANT_PAST, from_wall, to_wall

#: Seconds for which a lease is granted or renewed.
LEASE_TTL = 1.0
#: Seconds before expiry at which a lease in use is renewed.
RENEW_BEFORE = 0.5
#: Seconds after which unused slots are given back: they are missed at their home.
IDLE_AFTER = 0.05
#: Seconds for which a VM that had no room is not asked again.
FULL_FOR = 0.05
#: Slots of a service that are not leased to other failure domains.
LOCAL_RESERVE = 1
#: Failure domains asked for room at a time, nearest first.
MAX_DOMAINS = 6
CHECK_INTERVAL = 0.05


@dataclass(slots=True)
class HeldLease:
    """Slots of a target that another VM is the home of.

    ``distance`` is the one-way latency in seconds; instants are of this process.
    ``peak`` is the most slots in use at once since ``peak_from``.
    """

    id: int
    service: str
    target: str
    granter: str
    host: str
    failure_domain: str
    slots: int
    expires_at: float
    distance: float
    peak_from: float
    in_use: int = 0
    peak: int = 0
    renewing: bool = False

    @property
    def idle_at(self):
        """Return the instant from which slots beyond the peak are not needed."""
        return self.peak_from + IDLE_AFTER

    def take(self):
        """Use one slot."""
        self.in_use += 1
        self.peak = max(self.peak, self.in_use)

    def trim(self, now):
        """Keep as many slots as were in use at once lately; return whether fewer."""
        unused = self.slots > self.peak
        self.slots = min(self.slots, self.peak)
        self.peak, self.peak_from = self.in_use, now
        return unused

    def has_room(self, now):
        """Return whether a request sent now arrives under the lease."""
        return self.in_use < self.slots and now + self.distance < self.expires_at


class LeaseGranter:
    """Answers lease calls of other VMs from the ledger of this one.

    :param waiting: a callable from a service name to its number of waiting requests.
    :param health: knows the targets that are slow, which are not leased.
    """

    def __init__(self, vm, ledger, membership, waiting, health, clock):
        self._vm = vm
        self._ledger = ledger
        self._membership = membership
        self._waiting = waiting
        self._health = health
        self._clock = clock

    def grant(self, request, holder, failure_domain):
        """Answer a :class:`LeaseRequest` of the VM ``holder``."""
        lease = self._find(request, holder, failure_domain)
        if lease is None:
            full_until = self._clock.wall() + uniform(FULL_FOR, 2 * FULL_FOR)
            self._vm.journal.write(
                Event.LEASE_DENIED,
                service=request.service,
                holder=holder,
                want=request.want,
            )
            return LeaseGrant(0, "", 0, 0.0, full_until)
        self._vm.journal.write(
            Event.LEASE_GRANTED,
            service=request.service,
            holder=holder,
            holder_domain=failure_domain,
            target=lease.target,
            want=request.want,
            slots=lease.slots,
        )
        return self._to_grant(lease)

    def renew(self, lease_id):
        """Answer a :class:`LeaseRenewal`."""
        lease = None
        if self._membership.may_act():
            lease = self._ledger.renew(lease_id, self._clock.now() + LEASE_TTL)
        if lease is None:
            return LeaseGrant(0, "", 0, 0.0, 0.0)
        self._shrink(lease)
        return self._to_grant(lease)

    def _shrink(self, lease):
        """Take half of a lease back while requests wait for the service here."""
        target = self._ledger.targets[lease.target].target
        if lease.slots > 1 and self._waiting(target.service):
            lease.slots -= lease.slots // 2

    def _find(self, request, holder, failure_domain):
        if not self._membership.may_act() or self._waiting(request.service):
            return None
        now = self._clock.now()
        entries = [
            entry
            for entry in self._ledger.of_service(request.service)
            if entry.target.name not in request.avoid
            and not self._health.is_slow(entry)
        ]
        room = sum(entry.free(now) for entry in entries)
        if failure_domain != self._vm.settings.failure_domain:
            room = (room - LOCAL_RESERVE + 1) // 2
        if room <= 0:
            return None
        entry = max(entries, key=lambda entry: entry.grantable(failure_domain, now))
        want = min(request.want, room)
        expires_at = now + LEASE_TTL
        return self._ledger.grant(entry, holder, failure_domain, want, expires_at)

    def _to_grant(self, lease):
        expires_at = to_wall(self._clock, lease.expires_at)
        return LeaseGrant(lease.id, lease.target, lease.slots, expires_at, 0.0)


class LeaseHolder:
    """The leases that this VM holds, and the search for more.

    :param on_lease_gained: a coroutine function called with the service that gained
        room.
    """

    def __init__(self, vm, links, directory, clock):
        self._vm = vm
        self._links = links
        self._directory = directory
        self._clock = clock
        self._leases = {}
        self._seeking = set()
        self._full_until = {}
        self._short_at = {}
        self._on_room = None
        self._gained = Signal()

    def on_lease_gained(self, callback):
        """Call ``await callback(service)`` whenever a lease is gained."""
        self._on_room = callback

    def held(self, service):
        """Return the leases held for a service."""
        return self._leases.get(service, [])

    def last_shortfall_at(self, service):
        """Return when a search last ended without all the slots that it wanted."""
        return self._short_at.get(service, DISTANT_PAST)

    def take(self, service, avoid, patience):
        """Use a slot of the nearest lease with room.

        :param avoid: names of targets not to use.
        :param patience: the longest round trip to accept, in seconds.
        :return: the :class:`HeldLease`, or ``None``.
        """
        now = self._clock.now()
        fitting = [
            lease
            for lease in self.held(service)
            if lease.has_room(now)
            and lease.target not in avoid
            and 2 * lease.distance <= patience
        ]
        lease = min(fitting, key=lambda lease: lease.distance, default=None)
        if lease is not None:
            lease.take()
        return lease

    def release(self, lease):
        """Give a slot back to the lease it came from."""
        lease.in_use -= 1

    def end(self, lease):
        """Forget a lease that its granter no longer honours."""
        held = self._leases.get(lease.service, [])
        if lease in held:
            held.remove(lease)

    async def seek(self, service, want, avoid=()):
        """Look for ``want`` slots elsewhere, unless a search is under way."""
        if service.name in self._seeking:
            return
        self._seeking.add(service.name)
        await spawn(self._seek, service, want, list(avoid), daemon=True)

    async def run(self):
        """Renew leases in use, give idle slots back, forget lapsed leases."""
        while True:
            now = self._clock.now()
            for leases in self._leases.values():
                for lease in list(leases):
                    await self._maintain(lease, leases, now)
            if not any(self._leases.values()):
                self._gained.clear()
                await self._gained.wait()
            await sleep(CHECK_INTERVAL)

    async def _maintain(self, lease, leases, now):
        if now >= lease.expires_at:
            leases.remove(lease)
            return
        # A renewal under way could give back what is returned meanwhile.
        if not lease.renewing and now >= lease.idle_at and lease.trim(now):
            item = LeaseReturn(lease.id, lease.slots)
            await spawn(self._call, lease.host, item, daemon=True)
        if not lease.slots:
            leases.remove(lease)
        elif not lease.renewing and lease.expires_at - now < RENEW_BEFORE:
            lease.renewing = True
            await spawn(self._renew, lease, daemon=True)

    async def _renew(self, lease):
        grant = await self._call(lease.host, LeaseRenewal(lease.id))
        lease.renewing = False
        if isinstance(grant, LeaseGrant) and grant.slots:
            lease.slots = grant.slots
            lease.expires_at = from_wall(self._clock, grant.expires_at)
        elif grant is not None:
            self.end(lease)

    async def _seek(self, service, want, avoid):
        try:
            for entry, distance in self._candidates(service):
                if want <= 0:
                    return
                want -= await self._ask(service, entry, distance, want, avoid)
            if want > 0:
                self._short_at[service.name] = self._clock.now()
        finally:
            self._seeking.discard(service.name)

    async def _ask(self, service, entry, distance, want, avoid):
        """Ask one VM for room and return the number of slots it granted."""
        request = LeaseRequest(service.name, want, avoid)
        grant = await self._call(entry.host, request)
        if not isinstance(grant, LeaseGrant):
            return 0
        if not grant.slots:
            full_until = from_wall(self._clock, grant.full_until)
            self._full_until[service.name, entry.name] = full_until
            return 0
        lease = self._to_lease(service, entry, distance, grant)
        self._leases.setdefault(service.name, []).append(lease)
        await self._gained.set()
        self._vm.journal.write(
            Event.LEASE_TAKEN,
            service=service.name,
            target=lease.target,
            granter=entry.name,
            granter_domain=entry.failure_domain,
            slots=lease.slots,
            want=want,
        )
        if self._on_room is not None:
            await self._on_room(service.name)
        return lease.slots

    def _to_lease(self, service, entry, distance, grant):
        return HeldLease(
            grant.lease_id,
            service.name,
            grant.target,
            entry.name,
            entry.host,
            entry.failure_domain,
            grant.slots,
            from_wall(self._clock, grant.expires_at),
            distance,
            self._clock.now(),
        )

    async def _call(self, host, item):
        try:
            return await self._links.call(host, item)
        except PeerError:
            return None

    def _candidates(self, service):
        """Yield ``(VM, distance)`` of VMs that may have room, nearest first."""
        yield from self._with_room(service, self._reachable(self._homes(service)))

    def _homes(self, service):
        text, here = self._vm.text, self._vm.settings.failure_domain
        domains = {target.failure_domain for target in service.targets.values()}
        for domain in text.nearest(here, domains)[:MAX_DOMAINS]:
            distance = text.distance(here, domain)
            for entry in self._homes_in(domain, service):
                if entry.name != self._vm.name:
                    yield entry, distance

    def _homes_in(self, domain, service):
        placement = self._vm.text.placement
        homes = self._directory.homes_in(domain, placement, service)
        if domain == self._vm.settings.failure_domain:
            return self._vm.local_homes(service) or homes
        return homes

    def _reachable(self, homes):
        for entry, distance in homes:
            if self._links.to(entry.host).reachable:
                yield entry, distance

    def _with_room(self, service, homes):
        for entry, distance in homes:
            full_until = self._full_until.get((service.name, entry.name), 0.0)
            if full_until <= self._clock.now():
                yield entry, distance
