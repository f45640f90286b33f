"""How long requests wait under load, and what their callers get: a simulated queue."""

from heapq import heappop, heappush
from random import Random

import pytest

from heathercleat.steering.process.capacity.admission import WAIT_TOLERANCE_SECONDS
from heathercleat.steering.process.capacity.queue import ServiceQueue, Waiter
from tests.steering_parts import Parts, call, entry

SLOTS = 4
WORK = 0.1
AIM = 0.3
#: Seconds that a caller waits, and the part of them that is left after its work.
DEADLINE = 2.0
LENGTH = 40.0


class Outcomes:
    """What callers got."""

    def __init__(self):
        self.in_time = 0
        self.late = 0
        self.refused = []
        self.in_vain = 0

    @property
    def asked(self):
        return self.in_time + self.late + len(self.refused) + self.in_vain

    @property
    def in_time_share(self):
        return self.in_time / self.asked

    @property
    def served(self):
        return (self.in_time + self.late) / self.asked


class Line:
    """A target's queue under a load of single requests; ``patient`` as in admission."""

    def __init__(self, patience):
        self.parts = Parts([entry("t1", slots=SLOTS)])
        (self.target,) = self.parts.ledger.all()
        self.queue = ServiceQueue()
        self.patience = patience
        self.outcomes = Outcomes()
        self.ends = []
        self.number = 0

    def play(self, arrivals):
        """Play requests that arrive at given instants."""
        clock = self.parts.clock
        start = clock.time
        for at in arrivals:
            self.run_until(start + at)
            clock.time = start + at
            self.arrive()
            self.fill()
        self.run_until(start + LENGTH + DEADLINE)
        return self.outcomes

    def run_until(self, instant):
        while self.ends and self.ends[0][0] <= instant:
            now, _, use, made = heappop(self.ends)
            self.parts.clock.time = now
            self.parts.ledger.release(use)
            self.queue.record_hold(now - use.started_at)
            self.give_up(now)
            self.queue.record_free_slot(self.target.entry, 1, now)
            in_time = now <= made.soft_deadline
            self.outcomes.in_time += in_time
            self.outcomes.late += not in_time
            self.fill()

    def arrive(self):
        made = call(self.parts.clock)
        made.soft_deadline = made.arrived_at + AIM
        made.deadline = made.arrived_at + DEADLINE
        made.give_up_at = made.arrived_at + self.patience
        now = made.arrived_at
        if not self.target.free(now):
            waits = self.queue.estimate_wait(
                SLOTS, now, self.queue.count_late_before(made, now)
            )
            wait = waits.for_call(made, now, self.queue.mean_hold_seconds)
            if now + wait > made.give_up_at + WAIT_TOLERANCE_SECONDS:
                self.outcomes.refused.append(0.0)
                return
        self.queue.waiters.append(Waiter(made, (), (), str))

    def give_up(self, now):
        for waiter in list(self.queue.waiters):
            if now > waiter.call.give_up_at:
                self.queue.waiters.remove(waiter)
                self.outcomes.in_vain += 1

    def fill(self):
        now = self.parts.clock.time
        while self.queue.waiters and self.target.free(now):
            chosen = self.queue.next_for(self.target.entry, 1, now)
            if chosen is None:
                return
            self.queue.waiters.remove(chosen)
            use = self.target.claim(now)
            self.number += 1
            heappush(self.ends, (now + WORK, self.number, use, chosen.call))


def arrivals(rates, seed):
    """Yield instants of a load that has each of some rates for an equal time."""
    random, at = Random(seed), 0.0
    while at < LENGTH:
        rate = rates[int(at / LENGTH * len(rates))]
        at += random.expovariate(rate * SLOTS / WORK)
        yield at


#: A wait of a fifth of the aim, as first requests had, and the whole one.
SHORT, WHOLE = 0.2 * AIM, DEADLINE - 1.25 * WORK


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_busy_service_serves_in_time_whom_a_short_wait_refuses(seed):
    """Load of 0.9 times the slots: 0.89 in time, and 0.98 with the whole wait."""
    load = list(arrivals((0.9,), seed))
    assert Line(SHORT).play(load).in_time_share < 0.92
    assert Line(WHOLE).play(load).in_time_share > 0.96


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_bursts_are_served_between_them(seed):
    """Load of 1.3 and 0.7 times the slots in turn, 2 s each.

    0.82 served with a short wait; 0.93 with the whole one, 0.04 of them late.
    """
    load = list(arrivals((1.3, 0.7) * 10, seed))
    assert Line(SHORT).play(load).served < 0.86
    assert Line(WHOLE).play(load).served > 0.9


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lasting_overload_keeps_nobody_waiting_in_vain(seed):
    """Load of 1.5 times the slots: 0.67 are in time, and the others told at once."""
    outcomes = Line(WHOLE).play(list(arrivals((1.5,), seed)))
    assert outcomes.in_vain < 0.02 * outcomes.asked
    assert outcomes.in_time_share > 0.64


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_late_requests_push_out_none_in_time(seed):
    """Load of 1.2 times the slots: 0.77 in time, and 0.83 with the whole wait."""
    load = list(arrivals((1.2,), seed))
    short, whole = Line(SHORT).play(load), Line(WHOLE).play(load)
    assert whole.in_time > short.in_time
