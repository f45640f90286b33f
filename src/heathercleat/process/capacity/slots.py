"""Slot accounting for the targets whose home is this VM.

Only the home of a target admits requests to it, so a local count enforces the limits of
the target. Other VMs use slots under leases that expire; all slots of a live lease
count as used, whether or not requests run under it. All instants are those of
``Clock.now()``.
"""

from dataclasses import dataclass, field
from math import ceil
from secrets import randbits

from heathercleat.process.capacity.shift_window import ShiftWindow

#: Seconds for which a cancelled request may still occupy its target.
CANCEL_GRACE_SECONDS = 0.25
#: Maximum clock skew between two VMs, in seconds.
MAX_CLOCK_SKEW_SECONDS = 0.25
#: Bits of the random first id, so that the ids of two homes of a target differ.
INITIAL_ID_BITS = 48


@dataclass(slots=True)
class SlotUse:
    """A request that occupies a slot.

    ``lease`` is ``None`` if this VM received the request, and otherwise the lease under
    which another VM sent it.
    """

    id: int
    target: str
    deadline: float
    lease: "Lease | None" = None


@dataclass(slots=True)
class Lease:
    """Slots of one target that the VM ``holder`` may use until ``expires_at``.

    ``uses`` is the number of requests that run under the lease.
    """

    id: int
    target: str
    holder: str
    failure_domain: str
    slots: int
    expires_at: float
    uses: int = 0

    def occupied(self, now):
        """Return the slots that count as used; after expiry, only those of requests."""
        if now < self.expires_at:
            return max(self.slots, self.uses)
        return self.uses


@dataclass(slots=True)
class Hold:
    """A slot that counts as used until an instant because a request may occupy it.

    The request was admitted by an earlier home or has been cancelled. ``use_id`` is the
    id that the earlier home assigned to it, or ``None`` if unknown. ``failure_domain``
    is that of the VM that sent the request, or ``None`` if unknown.
    """

    expires_at: float
    use_id: int | None = None
    failure_domain: str | None = None


@dataclass(slots=True)
class TargetHandover:
    """The state of a target that its home hands over to the next home.

    ``holds`` has a :class:`Hold` for each occupied slot, ``levels`` the points of the
    :class:`ShiftWindow`.
    """

    holds: list
    levels: list


@dataclass(slots=True)
class TargetSlots:
    """The slots of one homed target and their current uses.

    ``is_closed`` is set when this VM is no longer the home. ``block_reason`` tells why
    the target gets no new requests, and is ``None`` if the target is usable.
    ``link_limits`` has the maximum number of slots for each other failure domain.
    """

    target: object
    uses: dict = field(default_factory=dict)
    leases: dict = field(default_factory=dict)
    holds: list = field(default_factory=list)
    link_limits: dict = field(default_factory=dict)
    shift_window: ShiftWindow | None = None
    is_closed: bool = False
    block_reason: str | None = None
    warm_up_started_at: float = 0.0
    warm_up_ends_at: float = 0.0

    def limit(self, now):
        """Return the slots that may be used at ``now``; fewer during warm-up."""
        limit = self.target.limit
        if now >= self.warm_up_ends_at:
            return limit
        share = (now - self.warm_up_started_at) / (
            self.warm_up_ends_at - self.warm_up_started_at
        )
        return max(1, ceil(limit * share)) if limit else 0

    def used(self, now):
        """Return the slots used at ``now`` by requests, leases and holds."""
        self.prune(now)
        own = sum(1 for use in self.uses.values() if use.lease is None)
        leased = sum(lease.occupied(now) for lease in self.leases.values())
        return own + leased + len(self.holds)

    def free(self, now):
        """Return the slots available to new requests; 0 if the target is blocked."""
        if self.is_closed or self.block_reason:
            return 0
        return max(0, self.limit(now) - self.used(now))

    def start_warm_up(self, now, seconds):
        """Raise the limit linearly from one slot to all over ``seconds``."""
        self.warm_up_started_at = now
        self.warm_up_ends_at = now + seconds

    def foreign(self, now, failure_domain=None):
        """Return the slots used by other failure domains through leases and holds.

        :param failure_domain: count only this one; ``None`` for all of them.
        """
        leased = sum(
            lease.occupied(now)
            for lease in self.leases.values()
            if self._is_foreign(lease.failure_domain, failure_domain)
        )
        held = sum(
            1
            for hold in self.holds
            if hold.expires_at > now
            and self._is_foreign(hold.failure_domain, failure_domain)
        )
        return leased + held

    def grantable(self, failure_domain, now):
        """Return the slots that may be leased to a VM of ``failure_domain``."""
        free = self.free(now)
        if failure_domain == self.target.failure_domain:
            return free
        if self.shift_window is not None:
            free = min(free, self.shift_window.headroom(self.foreign(now), now))
        link_limit = self.link_limits.get(failure_domain)
        if link_limit is not None:
            free = min(free, link_limit - self.foreign(now, failure_domain))
        return max(0, free)

    def _is_foreign(self, sender, failure_domain):
        if sender in (None, self.target.failure_domain):
            return False
        return failure_domain in (None, sender)

    def prune(self, now):
        """Remove expired holds and leases."""
        if self.holds:
            self.holds = [hold for hold in self.holds if hold.expires_at > now]
        expired = [id_ for id_, lease in self.leases.items() if not lease.occupied(now)]
        for id_ in expired:
            del self.leases[id_]

    def record_foreign(self, now):
        """Record the slots used by other failure domains in the shift window."""
        if self.shift_window is not None:
            self.shift_window.record(self.foreign(now), now)


class SlotLedger:
    """The slots of every target whose home is this VM, by target and by service."""

    def __init__(self, clock):
        self._clock = clock
        self._targets = {}
        self._by_service = {}
        self._next_id = randbits(INITIAL_ID_BITS)
        self._handed_over = {}

    @property
    def targets(self):
        """Return ``{target name: TargetSlots}`` of the homed targets."""
        return self._targets

    def of_service(self, service_name):
        """Return the homed :class:`TargetSlots` of a service."""
        return self._by_service.get(service_name, ())

    def adopt(self, target, holds, link_limits=None, levels=()):
        """Become the home of ``target`` and return its :class:`TargetSlots`.

        :param holds: a :class:`Hold` for each slot that may still be occupied.
        :param link_limits: ``{failure domain: slots}`` limits for other domains.
        :param levels: points of the :class:`ShiftWindow` from earlier homes.
        """
        entry = TargetSlots(
            target,
            holds=list(holds),
            link_limits=link_limits or {},
            shift_window=_shift_window(target),
        )
        if entry.shift_window is not None:
            entry.shift_window.resume(levels)
        self._targets[target.name] = entry
        self._build_index()
        return entry

    def update(self, target, link_limits):
        """Update a homed target from a new version of the configuration."""
        entry = self._targets[target.name]
        cap = target.shift_cap
        if entry.shift_window is None or cap is None:
            entry.shift_window = _shift_window(target)
            entry.record_foreign(self._clock.now())
        else:
            entry.shift_window.reconfigure(cap.slots, cap.window)
        entry.target = target
        entry.link_limits = link_limits
        self._build_index()

    def hand_over(self, name, receiver):
        """Stop being the home of a target.

        :param receiver: name of the new home, or ``None`` if there is none;
            :meth:`release` returns it for each request that ends after the handover.
        :return: a :class:`TargetHandover`, or ``None`` if this VM is not the home.
        """
        entry = self._targets.pop(name, None)
        if entry is None:
            return None
        self._build_index()
        now = self._clock.now()
        entry.is_closed = True
        entry.record_foreign(now)
        for use in entry.uses.values():
            self._handed_over[use.id] = receiver
        levels = entry.shift_window.points if entry.shift_window is not None else []
        return TargetHandover(list(_occupied_slots(entry, now)), levels)

    def drop_all(self):
        """Stop being the home of every target, after this VM was declared dead."""
        for entry in self._targets.values():
            entry.is_closed = True
        self._targets.clear()
        self._by_service.clear()

    def claim(self, entry, deadline):
        """Claim a free slot for a request of this VM.

        :return: the :class:`SlotUse`, or ``None`` if no slot is free.
        """
        if not entry.free(self._clock.now()):
            return None
        use = SlotUse(self._new_id(), entry.target.name, deadline)
        entry.uses[use.id] = use
        return use

    def grant(self, entry, holder, failure_domain, want, expires_at):
        """Lease up to ``want`` slots of a target.

        :param holder: name of the VM that gets the lease.
        :return: the :class:`Lease`, or ``None`` if no slot can be leased.
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
        entry.record_foreign(self._clock.now())
        return lease

    def renew(self, lease_id, expires_at):
        """Extend a lease.

        :return: the lease, or ``None`` if it has expired or its target is blocked.
        """
        lease = self.find_lease(lease_id)
        if lease is None or self._targets[lease.target].block_reason:
            return None
        lease.expires_at = expires_at
        return lease

    def find_lease(self, lease_id):
        """Return a lease, or ``None`` if it is unknown or has expired."""
        now = self._clock.now()
        for entry in self._targets.values():
            lease = entry.leases.get(lease_id)
            if lease is not None and now < lease.expires_at:
                return lease
        return None

    def claim_leased(self, lease_id, deadline):
        """Claim a slot of a lease for a request of its holder.

        :return: the :class:`SlotUse`, or ``None`` if the lease has expired or is full,
            or if the target is blocked.
        """
        lease = self.find_lease(lease_id)
        if lease is None or lease.uses >= lease.slots:
            return None
        if self._targets[lease.target].block_reason:
            return None
        lease.uses += 1
        use = SlotUse(self._new_id(), lease.target, deadline, lease)
        self._targets[lease.target].uses[use.id] = use
        return use

    def return_lease(self, lease_id, keep=0):
        """Reduce a lease to ``keep`` slots; 0 ends it.

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
        entry.record_foreign(now)

    def release(self, use, is_finished):
        """Release the slot of a request.

        :param is_finished: whether the target has certainly finished with the request;
            if not, the slot stays occupied for ``CANCEL_GRACE_SECONDS``.
        :return: the name of the new home if the target was handed over, or ``None``.
        """
        receiver = self._handed_over.pop(use.id, None)
        entry = self._targets.get(use.target)
        if entry is None or entry.uses.pop(use.id, None) is None:
            return receiver
        now = self._clock.now()
        if use.lease is not None:
            use.lease.uses -= 1
        if not is_finished:
            self._hold_slot(entry, use, now)
        entry.record_foreign(now)
        return receiver

    def release_hold(self, target, use_id):
        """Release the hold of a request that an earlier home reported as ended."""
        entry = self._targets.get(target)
        if entry is None:
            return
        entry.holds = [hold for hold in entry.holds if hold.use_id != use_id]
        entry.record_foreign(self._clock.now())

    def _hold_slot(self, entry, use, now):
        # Take the slot from the lease: its holder could otherwise use it again while
        # the target still processes the cancelled request.
        if use.lease is not None:
            use.lease.slots -= 1
        domain = use.lease.failure_domain if use.lease is not None else None
        entry.holds.append(Hold(now + CANCEL_GRACE_SECONDS, failure_domain=domain))

    def _new_id(self):
        self._next_id += 1
        return self._next_id

    def _build_index(self):
        self._by_service = {}
        for entry in self._targets.values():
            self._by_service.setdefault(entry.target.service, []).append(entry)


def _occupied_slots(entry, now):
    """Yield a :class:`Hold` for each slot of a target that may still be occupied."""
    for use in entry.uses.values():
        domain = use.lease.failure_domain if use.lease is not None else None
        yield Hold(use.deadline + CANCEL_GRACE_SECONDS, use.id, domain)
    for lease in entry.leases.values():
        for _ in range(lease.occupied(now) - lease.uses):
            yield Hold(lease.expires_at, None, lease.failure_domain)
    yield from entry.holds


def _shift_window(target):
    cap = target.shift_cap
    return ShiftWindow(cap.slots, cap.window) if cap else None
