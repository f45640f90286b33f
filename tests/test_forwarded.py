"""Requests of other VMs, as the owner of a target takes them."""

import socket

import h11
import pytest
from curio import run, sleep, spawn
from curio.io import Socket

from heathercleat.steering.connection.forwarded import ForwardedConnection
from heathercleat.steering.process.active_requests import ActiveRequests
from heathercleat.steering.request.attempt_result import (
    Answer,
    AttemptOutcome,
    AttemptResult,
)
from heathercleat.steering.request.forward import ORDER_HEADER, ForwardOrder
from tests.fakes import ManualClock
from tests.steering_parts import call

#: Bytes of an answer that no buffer of a connection holds.
LARGE = 32 << 20
#: Turns of the loop in which all has happened that waits for nothing else.
ROUNDS = 20


class Owner:
    """A connection of another VM, and what it asks for."""

    def __init__(self, answer=b""):
        self.clock = ManualClock()
        self.active_requests = ActiveRequests()
        self.calls = []
        self._answer = answer
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.client = socket.create_connection(listener.getsockname())
            server, _ = listener.accept()
        self.connection = ForwardedConnection(
            Socket(server), self, self.active_requests, None, self.clock
        )

    async def run(self, call, preferred, avoid, until):
        """Answer a request as a target does."""
        self.calls.append(call)
        return AttemptResult(
            AttemptOutcome.ANSWERED, Answer(200, [], self._answer), "t1", 0.1
        )

    def send(self, **fields):
        """Send the head of a request with a body of two bytes."""
        made = call(self.clock)
        for name, value in fields.items():
            setattr(made, name, value)
        now = self.clock.now()
        order = ForwardOrder.of(made, (), (), now + 1.0, 0.0, now).pack()
        headers = [("host", "a"), (ORDER_HEADER, order), ("content-length", "2")]
        request = h11.Request(method="POST", target="/", headers=headers)
        self.client.sendall(h11.Connection(h11.CLIENT).send(request))


async def settle():
    for _ in range(ROUNDS):
        await sleep(0.005)


@pytest.mark.parametrize("name", ["deadline", "send_deadline"])
def test_slow_body_does_not_lengthen_the_time_of_a_request(name):
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


def test_vm_is_busy_until_its_answer_to_another_one_is_sent():
    owner = Owner(bytes(LARGE))

    async def main():
        task = await spawn(owner.connection.serve)
        owner.send()
        owner.client.sendall(b"hi")
        await settle()
        busy = owner.active_requests.count
        await task.cancel()
        return busy

    assert run(main) == 1
