"""Failing targets are ejected, but never so many that their service stops."""

import pytest

from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.ejection_limit import EjectionLimit
from heathercleat.steering.process.capacity.view import TargetView
from tests.steering_parts import Parts, entry

TARGETS = 6


class EjectionSetup:
    """The targets of one service, all owned by this VM."""

    def __init__(self, targets=TARGETS):
        self.parts = parts = Parts([entry(f"t{each}") for each in range(targets)])
        reports = CapacityReports(parts.clock)
        view = TargetView(
            parts.members, parts.registry, parts.owners, parts.ledger, reports
        )
        self.limit = EjectionLimit(view, parts.clock)

    def record_results(self, share):
        """Record ten requests per target, of which a share from 0 to 1 fails."""
        now = self.parts.clock.now()
        for number in range(10):
            for target in self.parts.ledger.all():
                if number % 10 < 10 * share:
                    may_eject = self.limit.may_eject("s1")
                    target.health.record_failure(now, now, may_eject)
                else:
                    target.health.record_success(0.1)

    def usable_count(self):
        now = self.parts.clock.now()
        return sum(each.limit(now) > 0 for each in self.parts.ledger.all())


def test_service_keeps_targets_when_all_fail_alike():
    """Without the limit, all targets would be ejected."""
    setup = EjectionSetup()
    setup.record_results(0.6)
    assert setup.usable_count() == TARGETS - TARGETS // 3


@pytest.mark.parametrize("targets", [1, 2, 3])
def test_one_target_of_a_small_service_can_be_ejected(targets):
    setup = EjectionSetup(targets)
    assert setup.limit.may_eject("s1")
    setup.record_results(1.0)
    assert setup.usable_count() == targets - 1


def test_half_open_target_that_cannot_be_ejected_regains_its_slots():
    setup = EjectionSetup()
    target = next(iter(setup.parts.ledger.all()))
    now = setup.parts.clock.now()
    target.health.eject(now)
    setup.parts.clock.time = now = target.health.ejected_until + 0.1
    assert target.limit(now) == 1
    assert not target.health.record_failure(now, now, may_eject=False)
    assert target.limit(now) == target.entry.slots
