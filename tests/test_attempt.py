"""Tests that a request that a target may have run is not reported as not run."""

import h11
import pytest
from curio import run

from heathercleat import Run
from heathercleat.request.attempt import Attempt, Upstream
from tests.fakes import ManualClock
from tests.test_admission import make_call, make_parts


class FakeStream:
    """A connection that has received the complete response when a request is sent."""

    def __init__(self):
        self.bytes_sent = 0
        self._events = [
            h11.Response(status_code=200, headers=[("content-length", "0")]),
            h11.EndOfMessage(),
        ]

    async def send(self, *events):
        self.bytes_sent += len(events)

    async def next_event(self):
        return self._events.pop(0)


class FakePool:
    async def checkout(self, host, port, limit, fresh):
        return FakeStream()

    async def checkin(self, host, port, stream):
        return None

    async def discard(self, host, port, stream):
        return None


@pytest.fixture
def attempt():
    vm, _, _, _ = make_parts()
    call = make_call(vm)
    call.body = b""
    call.headers = [(b"host", b"x")]
    upstream = Upstream("t", "127.0.0.1", 1, (), None, False)

    async def on_end():
        await new_attempt.finish(is_complete=True)

    new_attempt = Attempt(call, upstream, FakePool(), ManualClock(), on_end)
    return new_attempt


def test_timeout_before_a_connection_is_reported_as_not_run(attempt):
    assert attempt.timeout_error().code.run is Run.NOT_RUN


def test_timeout_after_the_response_is_never_reported_as_not_run(attempt):
    async def act():
        await attempt.send()
        await attempt.read_head()
        await attempt.next_event()

    run(act)
    assert attempt.timeout_error().code.run is Run.UNKNOWN


@pytest.mark.parametrize("is_complete", [True, False])
def test_timeout_after_a_request_was_sent_is_never_reported_as_not_run(
    attempt, is_complete
):
    async def act():
        await attempt.send()
        await attempt.finish(is_complete)

    run(act)
    assert attempt.timeout_error().code.run is Run.UNKNOWN
