"""Decisions on the memory for bodies, without a network.

They guard against a VM that exceeds its memory, and against callers of large responses
that take the memory of all others.
"""

from random import Random

import pytest
from curio import run, sleep, spawn

from heathercleat.errors import RequestError
from heathercleat.events import Event
from heathercleat.steering.process.memory.budget import (
    LARGE_SHARE,
    PROGRAM_BYTES,
    SMALL_BYTES,
)
from heathercleat.steering.process.memory.build import new_budget
from heathercleat.steering.process.memory.outputs import (
    PROGRESS_SECONDS,
    ResponseOutput,
)
from heathercleat.steering.process.memory.response_sizes import (
    INITIAL_BYTES,
    ResponseSizes,
)
from heathercleat.steering.process.memory.target_bodies import (
    MAX_TARGET_BYTES,
    TargetBodies,
)
from heathercleat.steering.request.response_body import CHUNK_BYTES, ChunkedBody
from tests.fakes import ManualClock
from tests.steering_parts import call, route

MEGABYTE = 1 << 20
LIMIT = 100 * MEGABYTE
LARGE_BYTES = 8 * MEGABYTE


class FakeJournal:
    """Keeps the events."""

    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append(event)


class FakeBuffer:
    """A send buffer whose peer reads on demand."""

    def __init__(self):
        self.unread = 0
        self.was_reset = False

    def unacknowledged(self):
        return self.unread

    def is_disconnected(self):
        return False

    def reset(self):
        self.was_reset = True


class Memory:
    """The budget of a VM, and responses that are written to fake connections."""

    def __init__(self):
        self.clock = ManualClock()
        self.journal = FakeJournal()
        self.budget = new_budget(PROGRAM_BYTES + 2 * LIMIT, self.journal, self.clock)
        self.responses = self.budget.responses
        self.monitor = self.responses.monitor

    def call(self, name="r1"):
        served_route = route()
        served_route.name = name
        return call(self.clock, served_route)

    def reserve(self, name="r1"):
        """Return a reservation for a route, or ``None``, without a wait."""
        waiting = self.call(name)
        waiting.deadline = self.clock.now()
        return run(self.responses.reserve, waiting)

    def write(self, size, buffer_bytes=256 << 10):
        """Write a response of which the kernel accepts a buffer full."""
        buffer = FakeBuffer()
        output = ResponseOutput(buffer, self.budget, "peer", self.clock)
        assert run(self.budget.acquire_response, size, 0.0)
        output.begin(size, size)
        self.monitor.watch(output)
        count = buffer.unread = min(size, buffer_bytes)
        output.record_written(count)
        output.record_consumed(count)
        return output, buffer

    def advance(self, seconds):
        """Let time pass with checks."""
        for _ in range(round(seconds / 0.25)):
            self.clock.time += 0.25
            self.monitor.check()


def test_bursts_of_uploads_and_large_responses_leave_room_for_small_requests():
    memory, random = Memory(), Random(7)
    budget = memory.budget
    refused = {"small": 0, "upload": 0}
    uploads = []
    while run(budget.acquire_response, LARGE_BYTES, 0.0):
        pass
    assert budget.reserved <= LARGE_SHARE * LIMIT
    # 2.5 times the usual 81.7 uploads per second of 12 VMs for 8 s, each for 1.4 s.
    for _ in range(136):
        size = random.choice([60 << 10, 360 << 10])
        if budget.reserve(size):
            uploads.append(size)
        else:
            refused["upload"] += 1
        if len(uploads) > 24:
            budget.release(uploads.pop(0))
        refused["small"] += not budget.reserve(0)
        refused["small"] += not run(budget.acquire_response, 4096, 0.0)
        budget.release_response(4096)
    assert refused == {"small": 0, "upload": 0}
    while budget.reserve(360 << 10):
        pass
    assert run(budget.acquire_response, SMALL_BYTES, 0.0)
    assert budget.reserved <= budget.limit


def test_size_of_the_usual_large_response_is_learned_and_refused_before_it_runs():
    memory = Memory()
    for _ in range(10):
        memory.responses.sizes.record("large", b"/a", LARGE_BYTES)
        memory.responses.sizes.record("small", b"/b", 500)
    granted = 0
    while memory.reserve("large"):
        granted += 1
    assert granted == int(LARGE_SHARE * LIMIT / LARGE_BYTES)
    assert memory.reserve("small") is not None
    assert Event.REFUSED_FOR_MEMORY in memory.journal.events
    refused = memory.call("large")
    refused.deadline = memory.clock.now()
    with pytest.raises(RequestError) as info:
        run(memory.responses.reserve_or_refuse, refused)
    assert info.value.code.name == "NO_ROOM"
    assert info.value.retry_at > memory.clock.now()


def test_few_large_responses_do_not_make_small_ones_of_their_route_expensive():
    sizes = ResponseSizes(LIMIT)
    assert sizes.expected("r1", b"/x") == INITIAL_BYTES
    for number in range(64):
        sizes.record("r1", b"/a", LARGE_BYTES if number % 16 == 0 else 1000)
    assert sizes.expected("r1", b"/x") < SMALL_BYTES


def test_many_large_responses_do_not_make_small_ones_of_other_paths_expensive():
    sizes = ResponseSizes(LIMIT)
    for _ in range(64):
        sizes.record("r1", b"/large", LARGE_BYTES)
        sizes.record("r1", b"/small", 1000)
    assert sizes.expected("r1", b"/large") == LARGE_BYTES
    assert sizes.expected("r1", b"/small") < SMALL_BYTES
    for _ in range(64):
        sizes.record("r1", b"/large", 1000)
    assert sizes.expected("r1", b"/large") < SMALL_BYTES


def test_released_memory_goes_to_a_request_that_waits():
    memory = Memory()
    while memory.reserve():
        pass

    async def main():
        task = await spawn(memory.responses.reserve, memory.call())
        await sleep(0)
        memory.budget.release_response(INITIAL_BYTES)
        await memory.budget.grant_waiting()
        return await task.join()

    assert run(main) is not None


def test_cancelled_wait_holds_no_memory():
    memory = Memory()
    while memory.reserve():
        pass
    before = memory.budget.reserved

    async def main():
        task = await spawn(memory.responses.reserve, memory.call())
        await sleep(0)
        await task.cancel()
        memory.budget.release_response(INITIAL_BYTES)
        await memory.budget.grant_waiting()

    run(main)
    assert memory.budget.reserved == before - INITIAL_BYTES
    assert not memory.budget.has_waiters


def test_caller_that_does_not_read_loses_its_response_and_its_memory_is_released():
    memory = Memory()
    _, buffer = memory.write(LARGE_BYTES)
    memory.advance(PROGRESS_SECONDS - 0.5)
    assert not buffer.was_reset
    memory.advance(1.0)
    assert buffer.was_reset
    assert memory.budget.reserved == 0
    assert memory.monitor.dropped_count == 1
    assert Event.RESPONSE_DROPPED in memory.journal.events


def test_response_that_follows_a_dropped_one_is_not_written_and_holds_no_memory():
    memory = Memory()
    output, _ = memory.write(1000)
    output.finish()
    memory.advance(PROGRESS_SECONDS + 0.5)
    assert run(memory.budget.acquire_response, 1000, 0.0)
    with pytest.raises(EOFError):
        output.begin(1000, 1000)
    assert memory.budget.reserved == 0


def test_response_in_the_send_buffer_is_counted_until_it_is_taken():
    memory = Memory()
    output, buffer = memory.write(100_000)
    output.finish()
    assert memory.budget.reserved == 100_000
    buffer.unread = 40_000
    memory.advance(0.25)
    assert memory.budget.reserved == 40_000
    memory.advance(PROGRESS_SECONDS)
    assert buffer.was_reset


def test_caller_that_reads_slowly_is_served_to_the_end():
    memory = Memory()
    output, buffer = memory.write(MEGABYTE)
    left = MEGABYTE - buffer.unread
    while output.is_pending:
        memory.advance(PROGRESS_SECONDS - 1.0)
        buffer.unread -= min(60_000, buffer.unread)
        written = min(60_000, left)
        left -= written
        buffer.unread += written
        output.record_written(written)
        output.record_consumed(written)
    assert not buffer.was_reset
    assert memory.budget.reserved == 0


def test_reader_is_not_cut_off_for_a_pause_of_the_vm():
    memory = Memory()
    _, buffer = memory.write(LARGE_BYTES)
    memory.advance(1.0)
    memory.clock.time += 60.0
    memory.advance(PROGRESS_SECONDS - 2.0)
    assert not buffer.was_reset
    memory.advance(2.0)
    assert buffer.was_reset


def test_response_that_grows_waits_for_memory_and_fails_at_its_deadline():
    memory = Memory()
    reservation = memory.reserve()
    while run(memory.budget.acquire_response, LARGE_BYTES, 0.0):
        pass
    while memory.budget.reserve(360 << 10):
        pass
    with pytest.raises(TimeoutError):
        run(reservation.hold, 20 * MEGABYTE, memory.clock.now())
    assert Event.RESPONSE_NOT_HELD in memory.journal.events
    with pytest.raises(ValueError, match="cannot be held"):
        run(reservation.hold, LIMIT, memory.clock.now() + 1.0)


def test_bodies_that_a_target_holds_are_limited():
    bodies = TargetBodies()
    assert bodies.reserve("t1", MAX_TARGET_BYTES)
    assert not bodies.reserve("t1", 1)
    assert bodies.reserve("t1", 0)
    assert bodies.reserve("t2", 2 * MAX_TARGET_BYTES)
    bodies.release("t1", MAX_TARGET_BYTES)
    assert bodies.reserve("t1", 2 * MAX_TARGET_BYTES)


def test_chunked_body_keeps_all_bytes_in_order():
    random = Random(3)
    expected, body = b"", ChunkedBody()
    for _ in range(20):
        data = random.randbytes(random.randrange(1, 3 * CHUNK_BYTES))
        expected += data
        body.append(bytearray(data))
    assert len(body) == len(expected)
    assert b"".join(body.consume()) == expected


def test_arriving_response_gets_memory_before_requests_that_have_not_run():
    """New small requests once took all memory that became free until its deadline."""
    memory = Memory()
    budget = memory.budget
    while run(budget.acquire_response, SMALL_BYTES, 0.0):
        pass

    async def main():
        deadline = memory.clock.now() + 5.0
        arriving = await spawn(budget.extend_response, 4 * SMALL_BYTES, deadline)
        await sleep(0.01)
        for _ in range(4):
            budget.release_response(SMALL_BYTES)
            assert not await budget.acquire_response(SMALL_BYTES, memory.clock.now())
        await budget.grant_waiting()
        return await arriving.join()

    assert run(main)
