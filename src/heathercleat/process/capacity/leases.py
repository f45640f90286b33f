"""Leases of slots: those granted to other VMs and those that other VMs granted.

A VM without a free slot requests leases from the homes of other targets, nearest first.
A lease gives it a number of slots of one target for a limited time. The granter counts
these slots as used until the lease expires, so a target is never overcommitted, even if
the two VMs lose contact.
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
LEASE_TTL_SECONDS = 1.0
#: Seconds before expiry at which a lease in use is renewed.
RENEW_BEFORE_SECONDS = 0.5
#: Seconds for which slots of a lease must be unused before they are returned.
IDLE_AFTER_SECONDS = 0.05
#: Minimum seconds before another lease request to a VM that had no free slot; jitter
#: makes it up to twice as long.
MIN_FULL_SECONDS = 0.05
#: Slots of a service that are not leased to other failure domains.
LOCAL_RESERVE_SLOTS = 1
#: Maximum number of failure domains, nearest first, that a search includes.
MAX_DOMAINS = 6
CHECK_INTERVAL_SECONDS = 0.05


@dataclass(slots=True)
class HeldLease:
    """A lease that another VM granted to this one.

    ``latency`` is the one-way latency to ``granter`` in seconds. ``peak`` is the
    maximum of ``in_use`` since the instant ``peak_since``. Instants are of
    ``clock.now()``.
    """

    id: int
    service: str
    target: str
    granter: str
    host: str
    failure_domain: str
    slots: int
    expires_at: float
    latency: float
    peak_since: float
    in_use: int = 0
    peak: int = 0
    is_renewing: bool = False

    @property
    def idle_at(self):
        """Return the instant at which slots beyond the peak count as idle."""
        return self.peak_since + IDLE_AFTER_SECONDS

    def claim(self):
        """Claim one slot; the caller has checked that one is free."""
        self.in_use += 1
        self.peak = max(self.peak, self.in_use)

    def shrink_to_peak(self, now):
        """Reduce the lease to its recent peak and return whether that freed slots."""
        unused = self.slots > self.peak
        self.slots = min(self.slots, self.peak)
        self.peak, self.peak_since = self.in_use, now
        return unused

    def has_free_slot(self, now):
        """Return whether a slot is free for a request that arrives before expiry."""
        return self.in_use < self.slots and now + self.latency < self.expires_at


class LeaseGranter:
    """Grants leases of the targets homed here to other VMs.

    :param waiting_count: a callable from a service name to the number of its queued
        requests.
    :param health: the health of the targets; slow targets are not leased.
    """

    def __init__(self, vm, ledger, membership, waiting_count, health, clock):
        self._vm = vm
        self._ledger = ledger
        self._membership = membership
        self._waiting_count = waiting_count
        self._health = health
        self._clock = clock

    def grant(self, request, holder, failure_domain):
        """Return the :class:`LeaseGrant` for a :class:`LeaseRequest` of ``holder``.

        Its ``lease_id`` is 0 if no slot can be leased.
        """
        lease = self._grant_lease(request, holder, failure_domain)
        if lease is None:
            full_until = self._clock.wall() + uniform(
                MIN_FULL_SECONDS, 2 * MIN_FULL_SECONDS
            )
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
        """Return the :class:`LeaseGrant` for a :class:`LeaseRenewal`.

        Its ``lease_id`` is 0 if the lease has expired or may not be renewed.
        """
        lease = None
        if self._membership.may_act_as_home():
            lease = self._ledger.renew(lease_id, self._clock.now() + LEASE_TTL_SECONDS)
        if lease is None:
            return LeaseGrant(0, "", 0, 0.0, 0.0)
        self._reclaim_if_queued(lease)
        return self._to_grant(lease)

    def _reclaim_if_queued(self, lease):
        """Reclaim half of a lease if requests are queued for the service here."""
        target = self._ledger.targets[lease.target].target
        if lease.slots > 1 and self._waiting_count(target.service):
            lease.slots -= lease.slots // 2

    def _grant_lease(self, request, holder, failure_domain):
        if not self._membership.may_act_as_home() or self._waiting_count(
            request.service
        ):
            return None
        now = self._clock.now()
        entries = [
            entry
            for entry in self._ledger.of_service(request.service)
            if entry.target.name not in request.avoid
            and not self._health.is_slow(entry)
        ]
        available = sum(entry.free(now) for entry in entries)
        if failure_domain != self._vm.settings.failure_domain:
            # The other half stays available to requests of this failure domain.
            available = (available - LOCAL_RESERVE_SLOTS + 1) // 2
        if available <= 0:
            return None
        entry = max(entries, key=lambda entry: entry.grantable(failure_domain, now))
        want = min(request.want, available)
        expires_at = now + LEASE_TTL_SECONDS
        return self._ledger.grant(entry, holder, failure_domain, want, expires_at)

    def _to_grant(self, lease):
        expires_at = to_wall(self._clock, lease.expires_at)
        return LeaseGrant(lease.id, lease.target, lease.slots, expires_at, 0.0)


class LeaseHolder:
    """The leases that this VM holds, and the search for more of them."""

    def __init__(self, vm, links, directory, clock):
        self._vm = vm
        self._links = links
        self._directory = directory
        self._clock = clock
        self._leases = {}
        self._searching = set()
        self._full_until = {}
        self._last_shortfall_at = {}
        self._on_lease_gained = None
        self._lease_gained = Signal()

    def on_lease_gained(self, callback):
        """Call ``await callback(service_name)`` whenever a lease is granted."""
        self._on_lease_gained = callback

    def leases_for(self, service_name):
        """Return the leases held for a service."""
        return self._leases.get(service_name, [])

    def last_shortfall_at(self, service_name):
        """Return the instant at which a search last ended with too few slots.

        It is negative infinity if that has never happened.
        """
        return self._last_shortfall_at.get(service_name, DISTANT_PAST)

    def claim(self, service_name, avoid, max_round_trip):
        """Claim a slot of the nearest lease that has a free one.

        :param avoid: names of targets not to use.
        :param max_round_trip: maximum round-trip time in seconds.
        :return: the :class:`HeldLease`, or ``None``.
        """
        now = self._clock.now()
        usable = [
            lease
            for lease in self.leases_for(service_name)
            if lease.has_free_slot(now)
            and lease.target not in avoid
            and 2 * lease.latency <= max_round_trip
        ]
        lease = min(usable, key=lambda lease: lease.latency, default=None)
        if lease is not None:
            lease.claim()
        return lease

    def release(self, lease):
        """Release a slot of a lease."""
        lease.in_use -= 1

    def discard(self, lease):
        """Drop a lease that its granter no longer accepts."""
        held = self._leases.get(lease.service, [])
        if lease in held:
            held.remove(lease)

    async def request_leases(self, service, want, avoid=()):
        """Start a search for ``want`` slots unless one is running for the service.

        :param avoid: names of targets not to lease.
        """
        if service.name in self._searching:
            return
        self._searching.add(service.name)
        await spawn(self._search, service, want, list(avoid), daemon=True)

    async def run(self):
        """Renew leases in use, return idle slots and drop expired leases, forever."""
        while True:
            now = self._clock.now()
            for leases in self._leases.values():
                for lease in list(leases):
                    await self._maintain(lease, leases, now)
            if not any(self._leases.values()):
                self._lease_gained.clear()
                await self._lease_gained.wait()
            await sleep(CHECK_INTERVAL_SECONDS)

    async def _maintain(self, lease, leases, now):
        if now >= lease.expires_at:
            leases.remove(lease)
            return
        # Not during a renewal: its response could restore the returned slots.
        if not lease.is_renewing and now >= lease.idle_at and lease.shrink_to_peak(now):
            message = LeaseReturn(lease.id, lease.slots)
            await spawn(self._call, lease.host, message, daemon=True)
        if not lease.slots:
            leases.remove(lease)
        elif not lease.is_renewing and lease.expires_at - now < RENEW_BEFORE_SECONDS:
            lease.is_renewing = True
            await spawn(self._renew, lease, daemon=True)

    async def _renew(self, lease):
        grant = await self._call(lease.host, LeaseRenewal(lease.id))
        lease.is_renewing = False
        if isinstance(grant, LeaseGrant) and grant.slots:
            lease.slots = grant.slots
            lease.expires_at = from_wall(self._clock, grant.expires_at)
        elif grant is not None:
            self.discard(lease)

    async def _search(self, service, want, avoid):
        try:
            for granter, latency in self._candidates(service):
                if want <= 0:
                    return
                want -= await self._request_lease(
                    service, granter, latency, want, avoid
                )
            if want > 0:
                self._last_shortfall_at[service.name] = self._clock.now()
        finally:
            self._searching.discard(service.name)

    async def _request_lease(self, service, granter, latency, want, avoid):
        """Request a lease from one VM and return the number of granted slots."""
        request = LeaseRequest(service.name, want, avoid)
        grant = await self._call(granter.host, request)
        if not isinstance(grant, LeaseGrant):
            return 0
        if not grant.slots:
            full_until = from_wall(self._clock, grant.full_until)
            self._full_until[service.name, granter.name] = full_until
            return 0
        lease = self._to_lease(service, granter, latency, grant)
        self._leases.setdefault(service.name, []).append(lease)
        await self._lease_gained.set()
        self._vm.journal.write(
            Event.LEASE_TAKEN,
            service=service.name,
            target=lease.target,
            granter=granter.name,
            granter_domain=granter.failure_domain,
            slots=lease.slots,
            want=want,
        )
        if self._on_lease_gained is not None:
            await self._on_lease_gained(service.name)
        return lease.slots

    def _to_lease(self, service, granter, latency, grant):
        return HeldLease(
            grant.lease_id,
            service.name,
            grant.target,
            granter.name,
            granter.host,
            granter.failure_domain,
            grant.slots,
            from_wall(self._clock, grant.expires_at),
            latency,
            self._clock.now(),
        )

    async def _call(self, host, message):
        try:
            return await self._links.call(host, message)
        except PeerError:
            return None

    def _candidates(self, service):
        """Yield ``(home, latency)`` of homes that may grant a lease, nearest first."""
        yield from self._skip_full(service, self._reachable(self._find_homes(service)))

    def _find_homes(self, service):
        text, here = self._vm.text, self._vm.settings.failure_domain
        domains = {target.failure_domain for target in service.targets.values()}
        for domain in text.nearest(here, domains)[:MAX_DOMAINS]:
            latency = text.latency_between(here, domain)
            for home in self._homes_in(domain, service):
                if home.name != self._vm.name:
                    yield home, latency

    def _homes_in(self, domain, service):
        text = self._vm.text
        drained = text.drained_vms(self._clock.wall())
        homes = self._directory.assigned_homes(domain, text.placement, service, drained)
        if domain == self._vm.settings.failure_domain:
            return self._vm.local_homes(service) or homes
        return homes

    def _reachable(self, homes):
        for home, latency in homes:
            if self._links.link_to(home.host).is_reachable:
                yield home, latency

    def _skip_full(self, service, homes):
        for home, latency in homes:
            full_until = self._full_until.get((service.name, home.name), 0.0)
            if full_until <= self._clock.now():
                yield home, latency
