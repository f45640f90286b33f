"""Requests that are connecting as their target asks for no more requests."""

import pytest
from curio import run

from heathercleat.steering.request.attempt_result import CLOSED_REASON, AttemptOutcome
from tests.steering_parts import Parts, call, entry
from tests.test_notices import make_head
from tests.test_suspended_vm import make_dispatcher


class OpeningPool:
    """A pool with one connection, which a response overtakes.

    :param on_checkout: called before the connection is returned.
    """

    def __init__(self, on_checkout):
        self._on_checkout = on_checkout
        self.returned = []

    async def checkout(self, host, port, max_age=None):
        self._on_checkout()
        return "stream"

    async def checkin(self, host, port, stream):
        self.returned.append(stream)


@pytest.mark.parametrize("head", [make_head(leaving=True)])
def test_request_that_connects_while_its_target_closes_is_not_sent(head):
    parts = Parts([entry("t1")])
    (target,) = parts.ledger.all()

    def close():
        target.record_response(head, parts.clock.now())

    pool = OpeningPool(close)
    request = call(parts.clock)
    attempt = make_dispatcher(parts, pool).run(request, (), (), request.deadline)
    result = run(lambda: attempt)
    assert (result.outcome, result.reason) == (AttemptOutcome.NOT_SENT, CLOSED_REASON)
    assert result.target == "t1", "the request must take another target"
    assert pool.returned == ["stream"]
    assert not target.uses
