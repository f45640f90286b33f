"""Exact counts of the slots of the targets whose home is this VM.

The home of a target is the only VM that admits requests to it, so its limits are kept
by a local count. Other VMs use slots under leases with an expiry instant; the slots of
a live lease count as used whether or not requests run under it. All instants are those
of ``Clock.now()``.
"""

from dataclasses import dataclass, field
from math import ceil
from secrets import randbits

from heathercleat.process.capacity.shift_window import ShiftWindow

#: Seconds that a target may need to free the slot of a cancelled request.
CANCEL_GRACE = 0.25
#: Seconds by which the clocks of two VMs may differ.
CLOCK_SKEW = 0.25
#: Numbers of uses begin anywhere, so that those of two homes of a target differ.
FIRST_ID_BITS = 48


@dataclass(slots=True)
class SlotUse:
    """A request of this VM or of a lease holder that occupies a slot of a target."""

    id: int
    target: str
    deadline: float
    lease: "Lease | None" = None


@dataclass(slots=True)
class Lease:
    """Slots of one target that another VM may use until ``expires_at``."""

    id: int
    target: str
    holder: str
    failure_domain: str
    slots: int
    expires_at: float
    uses: int = 0

    def occupied(self, now):
        """Return the slots that this lease takes at ``now``."""
        if now < self.expires_at:
            return max(self.slots, self.uses)
        return self.uses


@dataclass(slots=True)
class Hold:
    """A slot that a request admitted by an earlier home may occupy.

    ``use_id`` is the number that the earlier home gave the request, or ``None`` when
    the earlier home could not be asked. ``failure_domain`` is that of the VM that sent
    the request, or ``None`` when it is not known.
    """

    until: float
    use_id: int | None = None
    failure_domain: str | None = None


@dataclass(slots=True)
class HandedOver:
    """What a home tells of a target: occupied slots, and the levels of spill to it.

    ``levels`` has ``(instant, slots)`` pairs, as kept by a :class:`ShiftWindow`.
    """

    holds: list
    levels: list


@dataclass(slots=True)
class TargetSlots:
    """The slots of one homed target and what occupies them."""

    target: object
    uses: dict = field(default_factory=dict)
    leases: dict = field(default_factory=dict)
    holds: list = field(default_factory=list)
    links: dict = field(default_factory=dict)
    shift: ShiftWindow | None = None
    closed: bool = False
    blocked: str | None = None
    warm_from: float = 0.0
    warm_at: float = 0.0

    def limit(self, now):
        """Return the slots that may be in use now, fewer while the target warms up."""
        limit = self.target.limit
        if now >= self.warm_at:
            return limit
        share = (now - self.warm_from) / (self.warm_at - self.warm_from)
        return max(1, ceil(limit * share)) if limit else 0

    def used(self, now):
        """Return the slots that are or may be occupied at ``now``."""
        self.prune(now)
        own = sum(1 for use in self.uses.values() if use.lease is None)
        leased = sum(lease.occupied(now) for lease in self.leases.values())
        return own + leased + len(self.holds)

    def free(self, now):
        """Return the slots that a new request may take."""
        if self.closed or self.blocked:
            return 0
        return max(0, self.limit(now) - self.used(now))

    def start_warm_up(self, now, seconds):
        """Let the limit rise from one slot to all over ``seconds``."""
        self.warm_from = now
        self.warm_at = now + seconds

    def foreign(self, now, failure_domain=None):
        """Return the slots taken by leases of other failure domains.

        :param failure_domain: count only this one.
        """
        leased = sum(
            lease.occupied(now)
            for lease in self.leases.values()
            if self._is_foreign(lease.failure_domain, failure_domain)
        )
        held = sum(
            1
            for hold in self.holds
            if hold.until > now
            and self._is_foreign(hold.failure_domain, failure_domain)
        )
        return leased + held

    def grantable(self, failure_domain, now):
        """Return the slots that may be leased to a VM of ``failure_domain``."""
        free = self.free(now)
        if failure_domain == self.target.failure_domain:
            return free
        if self.shift is not None:
            free = min(free, self.shift.room(self.foreign(now), now))
        link = self.links.get(failure_domain)
        if link is not None:
            free = min(free, link - self.foreign(now, failure_domain))
        return max(0, free)

    def _is_foreign(self, sender, failure_domain):
        if sender in (None, self.target.failure_domain):
            return False
        return failure_domain in (None, sender)

    def prune(self, now):
        """Forget what has lapsed."""
        if self.holds:
            self.holds = [hold for hold in self.holds if hold.until > now]
        lapsed = [id_ for id_, lease in self.leases.items() if not lease.occupied(now)]
        for id_ in lapsed:
            del self.leases[id_]

    def record_spill(self, now):
        """Tell the shift window how many slots other failure domains hold."""
        if self.shift is not None:
            self.shift.record(self.foreign(now), now)


class SlotLedger:
    """The slots of every target whose home is this VM.

    :param clock: source of instants.
    """

    def __init__(self, clock):
        self._clock = clock
        self._targets = {}
        self._by_service = {}
        self._next_id = randbits(FIRST_ID_BITS)
        self._handed_over = {}

    @property
    def targets(self):
        """Return ``{target name: TargetSlots}`` of the homed targets."""
        return self._targets

    def of_service(self, service):
        """Return the homed :class:`TargetSlots` of a service."""
        return self._by_service.get(service, ())

    def adopt(self, target, holds, links=None, levels=()):
        """Become the home of ``target``.

        :param holds: a :class:`Hold` for each slot that may still be occupied.
        :param links: ``{failure domain: slots}`` limits of links to other domains.
        :param levels: the levels of spill that an earlier home told.
        """
        entry = TargetSlots(
            target,
            holds=list(holds),
            links=links or {},
            shift=_shift_window(target),
        )
        if entry.shift is not None:
            entry.shift.resume(levels)
        self._targets[target.name] = entry
        self._index()
        return entry

    def update(self, target, links):
        """Take the record of a new version of the text for a homed target."""
        entry = self._targets[target.name]
        cap = target.shift_cap
        if entry.shift is None or cap is None:
            entry.shift = _shift_window(target)
            entry.record_spill(self._clock.now())
        else:
            entry.shift.adjust(cap.slots, cap.window)
        entry.target = target
        entry.links = links
        self._index()

    def hand_over(self, name, receiver):
        """Stop being the home of a target.

        :param receiver: the VM that becomes the home; it learns of later releases.
        :return: what is :class:`HandedOver`, or ``None`` when this VM is not the home.
        """
        entry = self._targets.pop(name, None)
        if entry is None:
            return None
        self._index()
        now = self._clock.now()
        entry.closed = True
        entry.record_spill(now)
        for use in entry.uses.values():
            self._handed_over[use.id] = receiver
        levels = entry.shift.points if entry.shift is not None else []
        return HandedOver(list(_occupied_slots(entry, now)), levels)

    def drop_all(self):
        """Stop being the home of every target, when this VM was presumed dead."""
        for entry in self._targets.values():
            entry.closed = True
        self._targets.clear()
        self._by_service.clear()

    def take(self, entry, deadline):
        """Occupy a free slot for a request of this VM, or return ``None``."""
        if not entry.free(self._clock.now()):
            return None
        use = SlotUse(self._new_id(), entry.target.name, deadline)
        entry.uses[use.id] = use
        return use

    def grant(self, entry, holder, failure_domain, want, expires_at):
        """Lease up to ``want`` slots of a target, or return ``None`` for none.

        :param expires_at: an instant of this VM's clock.
        """
        slots = min(want, entry.grantable(failure_domain, self._clock.now()))
        if slots <= 0:
            return None
        lease = Lease(
            self._new_id(),
            entry.target.name,
            holder,
            failure_domain,
            slots,
            expires_at,
        )
        entry.leases[lease.id] = lease
        entry.record_spill(self._clock.now())
        return lease

    def renew(self, lease_id, expires_at):
        """Extend a live lease; return it, or ``None`` when it has lapsed."""
        lease = self.find_lease(lease_id)
        if lease is None or self._targets[lease.target].blocked:
            return None
        lease.expires_at = expires_at
        return lease

    def find_lease(self, lease_id):
        """Return a lease that has not expired, or ``None``."""
        now = self._clock.now()
        for entry in self._targets.values():
            lease = entry.leases.get(lease_id)
            if lease is not None and now < lease.expires_at:
                return lease
        return None

    def enter(self, lease_id, deadline):
        """Occupy a slot of a lease for a request of its holder, or return ``None``."""
        lease = self.find_lease(lease_id)
        if lease is None or lease.uses >= lease.slots:
            return None
        if self._targets[lease.target].blocked:
            return None
        lease.uses += 1
        use = SlotUse(self._new_id(), lease.target, deadline, lease)
        self._targets[lease.target].uses[use.id] = use
        return use

    def return_lease(self, lease_id, keep=0):
        """Take back the slots of a lease beyond ``keep``, or end it early.

        Requests under the lease keep their slots.
        """
        lease = self.find_lease(lease_id)
        if lease is None:
            return
        now = self._clock.now()
        lease.slots = min(lease.slots, keep)
        if not keep:
            lease.expires_at = now
        entry = self._targets[lease.target]
        entry.prune(now)
        entry.record_spill(now)

    def release(self, use, certain):
        """Free the slot of a request.

        :param certain: whether the target is known to be done with the request; if
            not, the slot stays occupied for ``CANCEL_GRACE``.
        :return: the VM to tell when the target has another home by now, or ``None``.
        """
        receiver = self._handed_over.pop(use.id, None)
        entry = self._targets.get(use.target)
        if entry is None or entry.uses.pop(use.id, None) is None:
            return receiver
        now = self._clock.now()
        if use.lease is not None:
            use.lease.uses -= 1
        if not certain:
            self._linger(entry, use, now)
        entry.record_spill(now)
        return receiver

    def release_hold(self, target, use_id):
        """Free the slot of a request that an earlier home reported as done."""
        entry = self._targets.get(target)
        if entry is None:
            return
        entry.holds = [hold for hold in entry.holds if hold.use_id != use_id]
        entry.record_spill(self._clock.now())

    def _linger(self, entry, use, now):
        # The lease shrinks by the slot held here, or its holder could fill it again
        # while the target still works on the cancelled request.
        if use.lease is not None:
            use.lease.slots -= 1
        domain = use.lease.failure_domain if use.lease is not None else None
        entry.holds.append(Hold(now + CANCEL_GRACE, failure_domain=domain))

    def _new_id(self):
        self._next_id += 1
        return self._next_id

    def _index(self):
        self._by_service = {}
        for entry in self._targets.values():
            self._by_service.setdefault(entry.target.service, []).append(entry)


def _occupied_slots(entry, now):
    """Yield a :class:`Hold` for each slot of a target that may still be occupied."""
    for use in entry.uses.values():
        domain = use.lease.failure_domain if use.lease is not None else None
        yield Hold(use.deadline + CANCEL_GRACE, use.id, domain)
    for lease in entry.leases.values():
        for _ in range(lease.occupied(now) - lease.uses):
            yield Hold(lease.expires_at, None, lease.failure_domain)
    yield from entry.holds


def _shift_window(target):
    cap = target.shift_cap
    return ShiftWindow(cap.slots, cap.window) if cap else None
