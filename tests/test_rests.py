"""Targets that fail rest, but not so many that nobody serves their service."""

import pytest

from heathercleat.steering.process.capacity.capacity_reports import CapacityReports
from heathercleat.steering.process.capacity.ejection_limit import EjectionLimit
from heathercleat.steering.process.capacity.view import TargetView
from tests.steering_parts import Parts, entry

TARGETS = 6


class Scene:
    """The targets of one service, all owned here."""

    def __init__(self, targets=TARGETS):
        self.parts = parts = Parts([entry(f"t{each}") for each in range(targets)])
        rooms = CapacityReports(parts.clock)
        view = TargetView(
            parts.members, parts.registry, parts.owners, parts.ledger, rooms
        )
        self.limit = EjectionLimit(view, parts.clock)

    def fail(self, share):
        """Have requests of all targets fail with a share, ten of each target."""
        now = self.parts.clock.now()
        for number in range(10):
            for target in self.parts.ledger.all():
                if number % 10 < 10 * share:
                    may_eject = self.limit.may_eject("s1")
                    target.health.record_failure(now, now, may_eject)
                else:
                    target.health.succeeded(0.1)

    def at_work(self):
        now = self.parts.clock.now()
        return sum(each.limit(now) > 0 for each in self.parts.ledger.all())


def test_service_whose_targets_all_fail_alike_goes_on():
    """Without the limit every target rested and nothing was served."""
    scene = Scene()
    scene.fail(0.6)
    assert scene.at_work() == TARGETS - TARGETS // 3


@pytest.mark.parametrize("targets", [1, 2, 3])
def test_one_target_of_a_small_service_may_rest(targets):
    scene = Scene(targets)
    assert scene.limit.may_eject("s1")
    scene.fail(1.0)
    assert scene.at_work() == targets - 1


def test_target_on_trial_that_may_not_rest_takes_its_slots_again():
    scene = Scene()
    target = next(iter(scene.parts.ledger.all()))
    now = scene.parts.clock.now()
    target.health.eject(now)
    scene.parts.clock.time = now = target.health.ejected_until + 0.1
    assert target.limit(now) == 1
    assert not target.health.record_failure(now, now, may_eject=False)
    assert target.limit(now) == target.entry.slots
