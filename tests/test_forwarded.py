"""Requests that other VMs forward to the owner of a target."""

import socket

import h11
import pytest
from curio import run, sleep, spawn
from curio.io import Socket

from heathercleat.steering.connection.forwarded import ForwardedConnection
from heathercleat.steering.process.active_requests import ActiveRequests
from heathercleat.steering.request.attempt_result import (
    AttemptOutcome,
    AttemptResult,
    TargetResponse,
)
from heathercleat.steering.request.forward import ORDER_HEADER, ForwardOrder
from tests.fakes import ManualClock
from tests.steering_parts import call

#: Size of a response that exceeds all buffers of a connection.
LARGE_BODY_BYTES = 32 << 20
#: Rounds of the event loop after which all tasks that can run have run.
SETTLE_ROUNDS = 20


class Owner:
    """The owner of a target, with a connection from another VM."""

    def __init__(self, body=b""):
        self.clock = ManualClock()
        self.active_requests = ActiveRequests()
        self.calls = []
        self._body = body
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.client = socket.create_connection(listener.getsockname())
            server, _ = listener.accept()
        self.connection = ForwardedConnection(
            Socket(server), self, self.active_requests, None, self.clock
        )

    async def run(self, call, preferred, avoid, until):
        """Return a result with a response, in place of a dispatcher."""
        self.calls.append(call)
        return AttemptResult(
            AttemptOutcome.ANSWERED, TargetResponse(200, [], self._body), "t1", 0.1
        )

    def send(self, **fields):
        """Send the head of a forwarded request whose body has two bytes.

        :param fields: attributes to set on the :class:`Call`.
        """
        forwarded_call = call(self.clock)
        for name, value in fields.items():
            setattr(forwarded_call, name, value)
        now = self.clock.now()
        order = ForwardOrder.from_call(
            forwarded_call, (), (), now + 1.0, 0.0, now
        ).pack()
        headers = [("host", "a"), (ORDER_HEADER, order), ("content-length", "2")]
        request = h11.Request(method="POST", target="/", headers=headers)
        self.client.sendall(h11.Connection(h11.CLIENT).send(request))


async def settle():
    for _ in range(SETTLE_ROUNDS):
        await sleep(0.005)


@pytest.mark.parametrize("name", ["deadline", "send_deadline"])
def test_slow_body_does_not_extend_the_deadlines_of_a_request(name):
    owner = Owner()
    until = owner.clock.now() + 4.0

    async def main():
        task = await spawn(owner.connection.serve)
        owner.send(**{name: until})
        await settle()
        owner.clock.time += 1.0
        owner.client.sendall(b"hi")
        await settle()
        await task.cancel()

    run(main)
    assert getattr(owner.calls[0], name) == pytest.approx(until)


def test_forwarded_request_is_active_until_its_response_is_sent():
    owner = Owner(bytes(LARGE_BODY_BYTES))

    async def main():
        task = await spawn(owner.connection.serve)
        owner.send()
        owner.client.sendall(b"hi")
        await settle()
        active_count = owner.active_requests.count
        await task.cancel()
        return active_count

    assert run(main) == 1
