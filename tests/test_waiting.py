"""Waiting for a slot under load, in a simulated queue.

A short wait refuses requests that could be served; a long one must not delay others.
"""

from heapq import heappop, heappush
from random import Random

import pytest

from heathercleat.steering.process.capacity.admission import WAIT_TOLERANCE_SECONDS
from heathercleat.steering.process.capacity.queue import ServiceQueue, Waiter
from tests.steering_parts import Parts, call, entry

SLOTS = 4
WORK_SECONDS = 0.1
LATENCY_OBJECTIVE_SECONDS = 0.3
DEADLINE_SECONDS = 2.0
LOAD_SECONDS = 40.0


class Outcomes:
    """Numbers of requests by their result."""

    def __init__(self):
        self.in_time = 0
        self.late = 0
        self.refused = []
        self.timed_out = 0

    @property
    def total(self):
        return self.in_time + self.late + len(self.refused) + self.timed_out

    @property
    def in_time_share(self):
        return self.in_time / self.total

    @property
    def served_share(self):
        return (self.in_time + self.late) / self.total


class QueueSimulation:
    """Simulates the queue of one target under an open-loop load."""

    def __init__(self, max_wait_seconds):
        self.parts = Parts([entry("t1", slots=SLOTS)])
        (self.target,) = self.parts.ledger.all()
        self.queue = ServiceQueue()
        self.max_wait_seconds = max_wait_seconds
        self.outcomes = Outcomes()
        self.running = []
        self.number = 0

    def simulate(self, arrivals):
        """Simulate requests that arrive at instants from the start; return outcomes."""
        clock = self.parts.clock
        start = clock.time
        for at in arrivals:
            self.run_until(start + at)
            clock.time = start + at
            self.arrive()
            self.admit_waiting()
        self.run_until(start + LOAD_SECONDS + DEADLINE_SECONDS)
        return self.outcomes

    def run_until(self, instant):
        while self.running and self.running[0][0] <= instant:
            now, _, use, request = heappop(self.running)
            self.parts.clock.time = now
            self.parts.ledger.release(use)
            self.queue.record_hold(now - use.started_at)
            self.drop_timed_out(now)
            self.queue.record_free_slot(self.target.entry, 1, now)
            in_time = now <= request.soft_deadline
            self.outcomes.in_time += in_time
            self.outcomes.late += not in_time
            self.admit_waiting()

    def arrive(self):
        request = call(self.parts.clock)
        request.soft_deadline = request.arrived_at + LATENCY_OBJECTIVE_SECONDS
        request.deadline = request.arrived_at + DEADLINE_SECONDS
        request.give_up_at = request.arrived_at + self.max_wait_seconds
        now = request.arrived_at
        if not self.target.free(now):
            waits = self.queue.wait_estimate(
                SLOTS, now, self.queue.count_late_before(request, now)
            )
            wait = waits.for_call(request, now, self.queue.mean_hold_seconds)
            if now + wait > request.give_up_at + WAIT_TOLERANCE_SECONDS:
                self.outcomes.refused.append(0.0)
                return
        self.queue.waiters.append(Waiter(request, (), (), str, 0.0))

    def drop_timed_out(self, now):
        for waiter in list(self.queue.waiters):
            if now > waiter.call.give_up_at:
                self.queue.waiters.remove(waiter)
                self.outcomes.timed_out += 1

    def admit_waiting(self):
        now = self.parts.clock.time
        while self.queue.waiters and self.target.free(now):
            chosen = self.queue.next_for(self.target.entry, 1, now)
            if chosen is None:
                return
            self.queue.waiters.remove(chosen)
            use = self.target.claim(now)
            self.number += 1
            heappush(self.running, (now + WORK_SECONDS, self.number, use, chosen.call))


def arrivals(rates, seed):
    """Yield arrival times in seconds; each rate, a share of capacity, lasts equally."""
    random, at = Random(seed), 0.0
    while at < LOAD_SECONDS:
        rate = rates[int(at / LOAD_SECONDS * len(rates))]
        at += random.expovariate(rate * SLOTS / WORK_SECONDS)
        yield at


#: Maximum waits in seconds: part of the latency objective, or most of the deadline.
SHORT_WAIT_SECONDS, LONG_WAIT_SECONDS = (
    0.2 * LATENCY_OBJECTIVE_SECONDS,
    DEADLINE_SECONDS - 1.25 * WORK_SECONDS,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_wait_serves_in_time_what_a_short_wait_refuses(seed):
    """The load is just below the capacity."""
    load = list(arrivals((0.9,), seed))
    assert QueueSimulation(SHORT_WAIT_SECONDS).simulate(load).in_time_share < 0.92
    assert QueueSimulation(LONG_WAIT_SECONDS).simulate(load).in_time_share > 0.96


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_wait_serves_the_requests_of_bursts(seed):
    """The load alternates above and below the capacity."""
    load = list(arrivals((1.3, 0.7) * 10, seed))
    assert QueueSimulation(SHORT_WAIT_SECONDS).simulate(load).served_share < 0.86
    assert QueueSimulation(LONG_WAIT_SECONDS).simulate(load).served_share > 0.9


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_sustained_overload_lets_few_requests_time_out(seed):
    """Requests beyond the capacity are refused on arrival."""
    outcomes = QueueSimulation(LONG_WAIT_SECONDS).simulate(list(arrivals((1.5,), seed)))
    assert outcomes.timed_out < 0.02 * outcomes.total
    assert outcomes.in_time_share > 0.64


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_wait_serves_more_in_time_under_overload(seed):
    """Requests that wait longer must not make others late."""
    load = list(arrivals((1.2,), seed))
    short_wait, long_wait = (
        QueueSimulation(SHORT_WAIT_SECONDS).simulate(load),
        QueueSimulation(LONG_WAIT_SECONDS).simulate(load),
    )
    assert long_wait.in_time > short_wait.in_time
