"""Tests that claims and leases never exceed the slots or shift cap of a target."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from heathercleat.process.capacity.shift_window import ShiftWindow
from heathercleat.process.capacity.slots import CANCEL_GRACE_SECONDS, Hold, SlotLedger
from heathercleat.version.text import ShiftCap, Target
from tests.fakes import ManualClock

LIMIT = 4
CAP = 2
WINDOW_SECONDS = 10.0
HOME = "north-a"
DOMAINS = (HOME, "north-b", "south-a")


def make_target(slots=LIMIT, cap=CAP):
    return Target(
        name="t",
        service="s",
        host="127.0.0.1",
        port=1,
        failure_domain=HOME,
        slots=slots,
        connections=400,
        region_share=slots,
        shift_cap=ShiftCap(cap, WINDOW_SECONDS) if cap is not None else None,
    )


class SlotsMachine(RuleBasedStateMachine):
    """Applies claims, leases, handovers and the passage of time to a ledger.

    ``lingering`` has the instants until which cancelled requests, or those admitted
    before the ledger adopted the target, may still occupy a slot.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.ledger = SlotLedger(self.clock)
        self.entry = self.ledger.adopt(make_target(), [Hold(self.clock.time + 5.0)])
        self.uses = []
        self.leases = []
        self.lingering = [self.clock.time + 5.0]
        self.foreign_levels = [(self.clock.time, 0)]

    @rule()
    def claim_slot(self):
        use = self.ledger.claim(self.entry, self.clock.time + 30)
        if use is not None:
            self.uses.append(use)

    @rule(
        domain=st.sampled_from(DOMAINS),
        want=st.integers(1, LIMIT),
        ttl_seconds=st.floats(0.1, 3),
    )
    def grant_lease(self, domain, want, ttl_seconds):
        expires_at = self.clock.time + ttl_seconds
        lease = self.ledger.grant(self.entry, "vm", domain, want, expires_at)
        if lease is not None:
            self.leases.append(lease)
        self.record_foreign_slots()

    @precondition(lambda self: self.leases)
    @rule(data=st.data())
    def claim_leased_slot(self, data):
        lease = data.draw(st.sampled_from(self.leases))
        use = self.ledger.claim_leased(lease.id, self.clock.time + 30)
        if use is not None:
            self.uses.append(use)

    @precondition(lambda self: self.leases)
    @rule(data=st.data(), ttl_seconds=st.floats(0.1, 3))
    def renew_lease(self, data, ttl_seconds):
        lease = data.draw(st.sampled_from(self.leases))
        self.ledger.renew(lease.id, self.clock.time + ttl_seconds)
        self.record_foreign_slots()

    @precondition(lambda self: self.leases)
    @rule(data=st.data())
    def return_lease(self, data):
        lease = data.draw(st.sampled_from(self.leases))
        self.leases.remove(lease)
        self.ledger.return_lease(lease.id)
        self.record_foreign_slots()

    @precondition(lambda self: self.uses)
    @rule(data=st.data(), certain=st.booleans())
    def release_slot(self, data, certain):
        use = data.draw(st.sampled_from(self.uses))
        self.uses.remove(use)
        self.ledger.release(use, certain)
        self.record_foreign_slots()
        if not certain:
            self.lingering.append(self.clock.time + CANCEL_GRACE_SECONDS)

    @rule(seconds=st.floats(0.01, 4))
    def wait(self, seconds):
        self.clock.time += seconds
        self.record_foreign_slots()

    @rule()
    def hand_over_and_adopt(self):
        """Move the target to a new home, which has only the data of the handover."""
        handover = self.ledger.hand_over("t", "other")
        self.entry = self.ledger.adopt(
            make_target(), handover.holds, levels=handover.levels
        )
        self.leases = []
        self.record_foreign_slots()

    @rule(cap=st.integers(0, CAP))
    def adopt_new_version(self, cap):
        self.ledger.update(make_target(cap=cap), {})

    def record_foreign_slots(self):
        """Record the slots leased to other domains, now or by an earlier home."""
        now = self.clock.time
        leases = self.entry.leases
        leased = sum(
            lease.occupied(now)
            for lease in leases.values()
            if lease.failure_domain != HOME
        )
        earlier = sum(
            1
            for use in self.uses
            if use.lease is not None
            and use.lease.failure_domain != HOME
            and use.lease.id not in leases
        )
        self.foreign_levels.append((now, leased + earlier))

    @invariant()
    def target_never_exceeds_its_slots(self):
        self.lingering = [at for at in self.lingering if at > self.clock.time]
        assert len(self.uses) + len(self.lingering) <= LIMIT

    @invariant()
    def spill_never_rises_by_more_than_the_cap_within_a_window(self):
        now, level = self.foreign_levels[-1]
        recent = [
            each for at, each in self.foreign_levels if at >= now - WINDOW_SECONDS
        ]
        assert level - min(recent) <= CAP


TestSlots = SlotsMachine.TestCase
TestSlots.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def test_shift_window_lets_the_level_rise_again_after_the_window():
    window = ShiftWindow(cap=2, window=10.0)
    assert window.headroom(0, now=0.0) == 2
    window.record(2, now=0.0)
    assert window.headroom(2, now=9.9) == 0
    assert window.headroom(2, now=10.1) == 2


def test_spill_level_survives_a_handover():
    clock = ManualClock()
    ledger = SlotLedger(clock)
    entry = ledger.adopt(make_target(), [])
    for _ in range(2):
        ledger.grant(entry, "vm", "south-a", CAP, clock.time + 3 * WINDOW_SECONDS)
        clock.time += WINDOW_SECONDS
    handover = ledger.hand_over("t", "other")
    entry = ledger.adopt(make_target(), handover.holds, levels=handover.levels)
    assert entry.foreign(clock.time) == 2 * CAP
    clock.time += WINDOW_SECONDS + 1
    assert entry.foreign(clock.time) == CAP
    assert entry.grantable("south-a", clock.time) == CAP


def test_new_cap_includes_the_spill_so_far():
    clock = ManualClock()
    ledger = SlotLedger(clock)
    entry = ledger.adopt(make_target(), [])
    ledger.grant(entry, "vm", "south-a", 1, clock.time + 1)
    ledger.update(make_target(cap=CAP + 1), {})
    assert entry.grantable("south-a", clock.time) == CAP


def test_link_limit_holds_for_its_failure_domain_only():
    ledger = SlotLedger(ManualClock())
    entry = ledger.adopt(make_target(cap=None), [], {"south-a": 1})
    assert entry.grantable("south-a", 100.0) == 1
    assert entry.grantable("north-b", 100.0) == LIMIT


def test_warm_up_raises_the_limit_from_one_slot():
    clock = ManualClock()
    entry = SlotLedger(clock).adopt(make_target(), [])
    entry.start_warm_up(clock.time, 4.0)
    limits = [entry.limit(clock.time + seconds) for seconds in (0, 1, 2, 3, 4)]
    assert limits == [1, 1, 2, 3, 4]


def test_blocked_target_rejects_leases():
    clock = ManualClock()
    ledger = SlotLedger(clock)
    entry = ledger.adopt(make_target(), [])
    lease = ledger.grant(entry, "vm", HOME, 2, clock.time + 1)
    entry.block_reason = "drain d1"
    assert ledger.claim_leased(lease.id, clock.time + 1) is None
    assert ledger.renew(lease.id, clock.time + 9) is None
