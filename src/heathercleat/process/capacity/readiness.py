"""Readiness: which part of a service's slots in a failure domain can be used now.

A domain that starts, or whose homes move, has targets that nobody admits requests to
yet, or whose slots earlier requests may still occupy. Callers sent there would wait for
leases from the domains that could have served them. So a part of the callers, those
beyond the share that can be served, is sent to other domains until the slots return.

Each home knows its own targets. The other VMs of the domain ask it after every change
of the membership or the text, until it has told that all is well. While it is not, they
ask the homes of the nearest other domains too, which may have come back as lately.
"""

from dataclasses import dataclass

from curio import Event as Signal
from curio import TaskGroup, ignore_after, sleep

from heathercleat.connection.messages import FetchReadiness, Readiness
from heathercleat.errors import PeerError
from heathercleat.process.clock import DISTANT_PAST
from heathercleat.process.membership.peer_links import CALL_TIMEOUT

CHECK_INTERVAL = 0.25
#: Seconds for which look-ups wait until a VM that starts has asked homes once.
FIRST_ROUND = CHECK_INTERVAL + CALL_TIMEOUT
#: Seconds after a change within which homes are asked, whatever they tell.
WATCH_SECONDS = 10.0
#: Share of the slots with which a domain serves all its callers.
ENOUGH = 0.5
#: Seconds for which a domain that was ready may not be before callers are sent away:
#: homes that are handed over are back sooner, and a look-up is kept for longer.
DIVERT_DELAY_SECONDS = 0.5
#: Seconds for which the answer for a service is kept.
SHARE_CACHE_TTL_SECONDS = 0.1
#: Other failure domains asked while this one is not ready, the nearest first.
MAX_DOMAINS = 6


@dataclass(slots=True)
class KnownShares:
    """Shares of a service's callers to serve by failure domain, kept for a moment."""

    shares: dict
    expires_at: float


class ReadinessTracker:
    """The readiness of each service, here and in near failure domains.

    :param vm: the process: text, settings, homes, VM list.
    :param ledger: the slots of the targets homed here.
    :param membership: who is alive in the failure domain.
    :param links: calls to peers.
    """

    def __init__(self, vm, ledger, membership, links, clock):
        self._vm = vm
        self._ledger = ledger
        self._membership = membership
        self._links = links
        self._clock = clock
        self._told = {}
        self._known = {}
        self._ready_at = {}
        self._watched_state = None
        self._watch_until = 0.0
        self._asked = Signal()

    @property
    def _here(self):
        return self._vm.settings.failure_domain

    def usable(self):
        """Return ``{service: slots}`` that requests can use at the homes of this VM."""
        services = {service.name: service for service, _ in self._vm.homes.desired()}
        return {name: self._usable_here(each) for name, each in services.items()}

    def share(self, service):
        """Return the share of a service's callers that this domain can serve, 0 to 1.

        :param service: a :class:`Service` of the text in force.
        """
        return self._shares(service)[self._here]

    def avoided(self, service, position):
        """Return the failure domains that cannot serve a caller of this domain now.

        :param position: the caller's position, from 0 up to 1.
        """
        shares = self._shares(service)
        ready_at = self._ready_at.get(service.name, DISTANT_PAST)
        if (
            position < shares[self._here]
            or self._clock.now() < ready_at + DIVERT_DELAY_SECONDS
        ):
            return frozenset()
        return frozenset(name for name, each in shares.items() if position >= each)

    async def wait_first_round(self):
        """Return when homes were asked once, or after ``FIRST_ROUND``.

        A VM that has just started would else send callers to homes that start as well.
        """
        if self._asked.is_set():
            return
        async with ignore_after(FIRST_ROUND):
            await self._asked.wait()
        await self._asked.set()

    async def run(self):
        """Ask homes for their readiness while it may change."""
        while True:
            if self._vm.text is not None and self._is_watching():
                await self._ask_homes()
            await sleep(CHECK_INTERVAL)

    def _is_watching(self):
        now = self._clock.now()
        state = self._vm.version, self._membership.digest
        if state != self._watched_state:
            self._watched_state = state
            self._watch_until = now + WATCH_SECONDS
        return now < self._watch_until or not self._is_ready()

    def _is_ready(self):
        services = self._vm.text.services.values()
        return all(self.share(service) >= 1 for service in services)

    async def _ask_homes(self):
        hosts = dict(self._hosts())
        self._told = {name: told for name, told in self._told.items() if name in hosts}
        async with TaskGroup() as group:
            for name, host in hosts.items():
                await group.spawn(self._ask, name, host)
        if self._vm.directory.known:
            await self._asked.set()

    async def _ask(self, name, host):
        try:
            answer = await self._links.call(host, FetchReadiness())
        except PeerError:
            return
        if isinstance(answer, Readiness):
            self._told[name] = answer.usable

    def _hosts(self):
        """Yield name and host of each home to ask."""
        members = self._membership.members
        for name in set(self._homes(self._here).values()):
            if name != self._vm.name:
                yield name, members[name].host
        if self._is_ready():
            return
        for domain in self._near_domains():
            for name in set(self._homes(domain).values()):
                yield name, self._vm.directory.find(name).host

    def _near_domains(self):
        """Return the nearest other failure domains."""
        text = self._vm.text
        others = (domain for domain in text.failure_domains if domain != self._here)
        return text.nearest(self._here, others)[:MAX_DOMAINS]

    def _homes(self, domain):
        """Return ``{target name: VM name}`` of a failure domain."""
        if domain == self._here:
            names = self._membership.live()
        else:
            entries = self._vm.directory.staying_in(domain)
            names = [entry.name for entry in entries]
        return self._vm.text.placement.homes(domain, names)

    def _shares(self, service):
        now = self._clock.now()
        known = self._known.get(service.name)
        if known is None or known.expires_at <= now:
            shares = {self._here: self._share(service, self._here)}
            if shares[self._here] >= 1:
                self._ready_at[service.name] = now
            else:
                for domain in self._near_domains():
                    shares[domain] = self._share(service, domain)
            known = KnownShares(shares, now + SHARE_CACHE_TTL_SECONDS)
            self._known[service.name] = known
        return known.shares

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
            min(slots, self._usable_of(home, service, slots, domain))
            for home, slots in totals.items()
        )
        return min(1.0, usable / (ENOUGH * total))

    def _usable_of(self, home, service, slots, domain):
        """Return the usable slots of a home.

        One of this domain that told nothing yet has none. One of another domain is
        well: it may be cut off from this VM, and not from callers.
        """
        if home == self._vm.name:
            return self._usable_here(service)
        told = self._told.get(home)
        if told is None:
            return 0 if domain == self._here else slots
        return told.get(service.name, 0)

    def _usable_here(self, service):
        if not self._membership.may_act():
            return 0
        return sum(
            self._usable_at(target)
            for each, target in self._vm.homes.desired()
            if each.name == service.name
        )

    def _usable_at(self, target):
        entry = self._ledger.targets.get(target.name)
        if entry is None or entry.blocked:
            return 0
        now = self._clock.now()
        held = sum(1 for hold in entry.holds if hold.until > now)
        return max(0, min(entry.limit(now), target.limit - held))
