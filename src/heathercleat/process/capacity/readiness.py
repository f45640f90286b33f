"""Readiness: the usable share of a service's slots in a failure domain.

While a failure domain starts or its homes change, some targets have no home yet, or
their slots may still be occupied by earlier requests. Callers sent there would have to
wait for leases from other domains. Look-ups therefore send it only the share of callers
that it can serve, and the rest to other domains, until the slots are usable.

After each change of the membership or the configuration, the VMs of a domain poll its
homes until all slots are usable. Meanwhile they also poll the homes of the nearest
other domains, which may not be ready either.
"""

from dataclasses import dataclass

from curio import Event as Signal
from curio import TaskGroup, ignore_after, sleep

from heathercleat.connection.messages import FetchReadiness, Readiness
from heathercleat.errors import PeerError
from heathercleat.process.clock import DISTANT_PAST
from heathercleat.process.membership.peer_links import CALL_TIMEOUT_SECONDS

CHECK_INTERVAL_SECONDS = 0.25
#: Seconds for which look-ups wait for the first poll after a start.
FIRST_POLL_TIMEOUT_SECONDS = CHECK_INTERVAL_SECONDS + CALL_TIMEOUT_SECONDS
#: Seconds for which homes are polled after a change, even if they are ready.
MIN_POLL_SECONDS = 10.0
#: Usable share of the slots at which a domain counts as ready for all its callers.
READY_SHARE = 0.5
#: Seconds for which a domain may be unready before callers are sent elsewhere; a
#: handover takes less time, and callers use a look-up for longer.
DIVERT_DELAY_SECONDS = 0.5
#: Lifetime of the cached shares of a service, in seconds.
SHARE_CACHE_TTL_SECONDS = 0.1
#: Maximum number of other failure domains to poll, nearest first.
MAX_DOMAINS = 6


@dataclass(slots=True)
class CachedShares:
    """Cached shares of a service's callers that each failure domain can serve."""

    shares: dict
    expires_at: float


class ReadinessTracker:
    """Tracks the readiness of each service, here and in near failure domains.

    :param vm: the :class:`EntryVM` of this process.
    :param ledger: the slots of the targets homed here.
    :param membership: the :class:`Membership` of the failure domain.
    :param links: the :class:`PeerLinks` to other VMs.
    """

    def __init__(self, vm, ledger, membership, links, clock):
        self._vm = vm
        self._ledger = ledger
        self._membership = membership
        self._links = links
        self._clock = clock
        self._reported = {}
        self._cached = {}
        self._ready_at = {}
        self._polled_state = None
        self._poll_until = 0.0
        self._polled = Signal()

    @property
    def _local_domain(self):
        return self._vm.settings.failure_domain

    def usable_slots(self):
        """Return ``{service name: usable slots}`` of the targets homed here."""
        services = {service.name: service for service, _ in self._vm.homes.desired()}
        return {name: self._usable_slots_here(each) for name, each in services.items()}

    def ready_share(self, service):
        """Return the share of a service's callers that this domain can serve, 0 to 1.

        :param service: a :class:`Service` of the current configuration.
        """
        return self._shares(service)[self._local_domain]

    def avoided_domains(self, service, position):
        """Return the failure domains that can't serve a caller of this domain now.

        :param position: the caller's position in the ramp, from 0 up to 1; see
            :func:`ramp_position`.
        """
        shares = self._shares(service)
        ready_at = self._ready_at.get(service.name, DISTANT_PAST)
        if (
            position < shares[self._local_domain]
            or self._clock.now() < ready_at + DIVERT_DELAY_SECONDS
        ):
            return frozenset()
        return frozenset(name for name, each in shares.items() if position >= each)

    async def wait_for_first_poll(self):
        """Wait until the homes have been polled once, or for a limited time.

        Otherwise a VM that has just started could send callers to homes that are
        starting as well.
        """
        if self._polled.is_set():
            return
        async with ignore_after(FIRST_POLL_TIMEOUT_SECONDS):
            await self._polled.wait()
        # After a timeout, later look-ups do not wait again.
        await self._polled.set()

    async def run(self):
        """Poll the homes while their readiness may change, forever."""
        while True:
            if self._vm.text is not None and self._should_poll():
                await self._poll_homes()
            await sleep(CHECK_INTERVAL_SECONDS)

    def _should_poll(self):
        """Return whether to poll the homes now; a change starts a new poll period."""
        now = self._clock.now()
        state = self._vm.version, self._membership.digest
        if state != self._polled_state:
            self._polled_state = state
            self._poll_until = now + MIN_POLL_SECONDS
        return now < self._poll_until or not self._is_ready()

    def _is_ready(self):
        services = self._vm.text.services.values()
        return all(self.ready_share(service) >= 1 for service in services)

    async def _poll_homes(self):
        hosts = dict(self._hosts_to_poll())
        self._reported = {
            name: reported for name, reported in self._reported.items() if name in hosts
        }
        async with TaskGroup() as group:
            for name, host in hosts.items():
                await group.spawn(self._poll, name, host)
        if self._vm.vm_directory.is_loaded:
            await self._polled.set()

    async def _poll(self, name, host):
        try:
            response = await self._links.call(host, FetchReadiness())
        except PeerError:
            return
        if isinstance(response, Readiness):
            self._reported[name] = response.usable

    def _hosts_to_poll(self):
        """Yield the name and host of each home to poll."""
        members = self._membership.members
        for name in set(self._homes(self._local_domain).values()):
            if name != self._vm.name:
                yield name, members[name].host
        if self._is_ready():
            return
        for domain in self._near_domains():
            for name in set(self._homes(domain).values()):
                yield name, self._vm.vm_directory.find(name).host

    def _near_domains(self):
        """Return the nearest other failure domains."""
        text = self._vm.text
        others = (
            domain for domain in text.failure_domains if domain != self._local_domain
        )
        return text.nearest(self._local_domain, others)[:MAX_DOMAINS]

    def _homes(self, domain):
        """Return ``{target name: VM name}`` of a failure domain."""
        if domain == self._local_domain:
            names = self._membership.live_names()
        else:
            drained = self._vm.text.drained_vms(self._clock.wall())
            entries = self._vm.vm_directory.available_in(domain, drained)
            names = [entry.name for entry in entries]
        return self._vm.text.placement.homes(domain, names)

    def _shares(self, service):
        """Return ``{failure domain: share of the service's callers it can serve}``."""
        now = self._clock.now()
        cached = self._cached.get(service.name)
        if cached is None or cached.expires_at <= now:
            shares = {self._local_domain: self._share(service, self._local_domain)}
            if shares[self._local_domain] >= 1:
                self._ready_at[service.name] = now
            else:
                for domain in self._near_domains():
                    shares[domain] = self._share(service, domain)
            cached = CachedShares(shares, now + SHARE_CACHE_TTL_SECONDS)
            self._cached[service.name] = cached
        return cached.shares

    def _share(self, service, domain):
        wall = self._clock.wall()
        homes, totals = self._homes(domain), {}
        for target in service.targets_in(domain):
            if not self._vm.text.find_drain(target, wall):
                home = homes.get(target.name)
                totals[home] = totals.get(home, 0) + target.limit
        total = sum(totals.values())
        if not total:
            return 1.0
        usable = sum(
            min(slots, self._usable_slots_at(home, service, slots, domain))
            for home, slots in totals.items()
        )
        return min(1.0, usable / (READY_SHARE * total))

    def _usable_slots_at(self, home, service, slots, domain):
        """Return the usable slots of a home.

        A home of this domain that has not responded yet counts as unusable. One of
        another domain counts as fully usable, since callers may be able to reach it
        even if this VM can't.
        """
        if home == self._vm.name:
            return self._usable_slots_here(service)
        reported = self._reported.get(home)
        if reported is None:
            return 0 if domain == self._local_domain else slots
        return reported.get(service.name, 0)

    def _usable_slots_here(self, service):
        if not self._membership.may_act_as_home():
            return 0
        return sum(
            self._usable_slots_of_target(target)
            for each, target in self._vm.homes.desired()
            if each.name == service.name
        )

    def _usable_slots_of_target(self, target):
        entry = self._ledger.targets.get(target.name)
        if entry is None or entry.block_reason:
            return 0
        now = self._clock.now()
        held = sum(1 for hold in entry.holds if hold.expires_at > now)
        return max(0, min(entry.limit(now), target.limit - held))
