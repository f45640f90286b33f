"""Requests that a client sends before the answers to earlier ones."""

import socket
import time
from fcntl import ioctl
from struct import unpack
from termios import TIOCOUTQ

import h11
import pytest
from curio import Event as Signal
from curio import Kernel, TaskError, run, sleep, spawn
from curio.io import Socket
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from heathercleat.errors import CallerDisconnectedError
from heathercleat.process.clock import SystemClock
from heathercleat.steering.connection.client import (
    MAX_PIPELINED_REQUESTS,
    ClientConnection,
)
from heathercleat.steering.connection.pipeline import PipelinedRequest
from heathercleat.steering.process.active_requests import ActiveRequests
from heathercleat.steering.process.body_memory import BodyMemory
from heathercleat.steering.process.capacity.run_times import RunTimes
from heathercleat.steering.process.retry_detector import RetryDetector
from heathercleat.steering.process.shutdown import KEEP_ALIVE_SECONDS, Shutdown
from heathercleat.steering.request.attempt_result import TargetResponse
from heathercleat.steering.version.routing import Limits, RoutingTable, Service
from tests.steering_parts import route

#: Seconds in which the system has to hand on what was sent on this machine.
DELIVER_SECONDS = 5.0
#: Seconds from the stop signal to the kill.
GRACE = 60.0
#: Turns of the loop in which all that can happen without the network has happened.
SETTLE_ROUNDS = 6


class Wait:
    """A wait that ends when the client leaves."""

    def __init__(self, signal):
        self._signal = signal

    async def interrupt(self):
        await self._signal.set()


class FakeNode:
    """Answers calls when the test says so; all else is real."""

    def __init__(self):
        self.clock = SystemClock()
        self.limits = Limits(16 << 10, 1 << 20, 3.0, 15.0)
        self.table = RoutingTable(1, [route()], {"s1": Service("s1", 1.0)}, self.limits)
        self.shutdown = Shutdown(RunTimes(self.clock), lambda: True)
        self.retry_detector = RetryDetector()
        self.active_requests = ActiveRequests()
        self.body_memory = BodyMemory(1 << 30)
        self.request_log = self
        self.is_started = True
        self.is_leaving = False
        self.pending = {}
        self.lost = []

    def stop(self):
        """Be told to stop so long ago that connections are not kept any more."""
        self.is_leaving = True
        self.shutdown.begin(self.clock.now() - KEEP_ALIVE_SECONDS, GRACE)

    def choose_service(self, route):
        return "s1"

    async def steer(self, call):
        signal = self.pending[call.id] = Signal()
        call.on_disconnect = Wait(signal)
        await signal.wait()
        del self.pending[call.id]
        if call.is_disconnected:
            raise CallerDisconnectedError
        return TargetResponse(
            200, [(b"request-id", call.id.encode())], call.id.encode()
        )

    def record_response(self, call, answer, now):
        pass

    def record_refusal(self, call, error, now):
        pass

    def record_disconnect(self, call, now):
        self.lost.append(call.id)


class Line:
    """A client and the connection that serves it, in one thread."""

    def __init__(self):
        self.kernel = Kernel()
        self.node = FakeNode()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.client = socket.create_connection(listener.getsockname())
            server, _ = listener.accept()
        self.client.settimeout(5.0)
        self.reader = h11.Connection(h11.CLIENT)
        self.server = Socket(server)
        self.sent = []
        self.got = []
        self.closed = False
        self.kernel.run(self._start)

    async def _start(self):
        self.connection = ClientConnection(self.server, self.node)
        self.task = await spawn(self._serve, daemon=True)

    async def _serve(self):
        try:
            await self.connection.serve()
        finally:
            await self.server.close()

    def send(self, method="GET"):
        """Send a request without waiting for the answers before it."""
        name = f"q{len(self.sent)}"
        self.sent.append((name, method))
        head = f"{method} /x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {name}\r\n"
        body = "Content-Length: 2\r\n\r\nhi" if method == "POST" else "\r\n"
        self.client.sendall((head + body).encode())
        wait_delivered(self.client)
        self.settle()

    def answer(self, name):
        """Let the request of a name have its answer."""
        self.kernel.run(self.node.pending[name].set)
        self.settle()

    def settle(self):
        async def wait():
            for _ in range(SETTLE_ROUNDS):
                await sleep(0.001)

        self.kernel.run(wait)
        if not self.task.terminated:
            wait_delivered(self.server)
        self.read()

    def look_for_leavers(self):
        async def look():
            task = await spawn(self.node.active_requests.run, daemon=True)
            await sleep(0.02)
            await task.cancel()

        self.kernel.run(look)

    def read(self):
        """Take the answers that have arrived."""
        self.client.setblocking(False)
        try:
            while data := self.client.recv(1 << 16):
                self._take(data)
            self.closed = True
        except BlockingIOError:
            pass
        finally:
            self.client.settimeout(5.0)

    def _take(self, data):
        if self.reader.our_state is h11.IDLE:
            self._expect()
        self.reader.receive_data(data)
        while (event := self.reader.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Data):
                self.got.append(bytes(event.data).decode())
            elif isinstance(event, h11.EndOfMessage):
                if self.reader.states[h11.SERVER] is not h11.DONE:
                    return
                self.reader.start_next_cycle()
                self._expect()

    def _expect(self):
        request = h11.Request(method="GET", target="/", headers=[("host", "a")])
        self.reader.send(request)
        self.reader.send(h11.EndOfMessage())

    def end(self):
        self.client.close()
        self.kernel.run(self.task.cancel)
        self.kernel.run(shutdown=True)


def wait_delivered(sock):
    """Wait until all that was sent has arrived at the other end.

    On a busy machine the system hands it on later, and the same steps would lead to
    another state.
    """
    patience = time.monotonic() + DELIVER_SECONDS
    while unpack("i", ioctl(sock.fileno(), TIOCOUTQ, bytes(4)))[0]:
        assert time.monotonic() < patience, "what was sent does not arrive"
        time.sleep(0.0005)


@pytest.fixture
def line():
    made = Line()
    yield made
    made.end()


def test_requests_sent_ahead_are_served_at_the_same_time(line):
    for _ in range(3):
        line.send()
    assert set(line.node.pending) == {"q0", "q1", "q2"}


def test_answers_come_in_the_order_of_the_requests(line):
    for _ in range(3):
        line.send()
    line.answer("q2")
    line.answer("q1")
    assert line.got == []
    line.answer("q0")
    assert line.got == ["q0", "q1", "q2"]


def test_request_that_changes_something_waits_for_those_before_it(line):
    line.send()
    line.send("POST")
    line.send()
    assert set(line.node.pending) == {"q0"}
    line.answer("q0")
    assert set(line.node.pending) == {"q1"}
    line.answer("q1")
    assert set(line.node.pending) == {"q2"}


def test_requests_beyond_the_bound_stay_unread(line):
    for _ in range(MAX_PIPELINED_REQUESTS + 3):
        line.send()
    assert len(line.node.pending) == MAX_PIPELINED_REQUESTS
    line.answer("q0")
    assert len(line.node.pending) == MAX_PIPELINED_REQUESTS


def test_client_that_leaves_frees_all_its_requests(line):
    for _ in range(3):
        line.send()
    line.client.close()
    line.look_for_leavers()
    assert sorted(line.node.lost) == ["q0", "q1", "q2"]
    assert not line.connection.is_busy


def test_stop_answers_all_that_were_read_and_then_closes(line):
    for _ in range(3):
        line.send()
    line.node.is_leaving = True
    line.connection.close_idle()
    for name in ("q1", "q2", "q0"):
        line.answer(name)
    assert line.got == ["q0", "q1", "q2"]
    assert line.closed


def test_request_behind_a_closing_answer_is_not_taken(line):
    line.send()
    line.node.is_leaving = True
    line.answer("q0")
    line.send()
    assert line.node.pending == {}
    assert line.got == ["q0"]


def test_client_that_always_sends_ahead_is_told_to_close_in_a_stop(line):
    line.send()
    line.send()
    line.node.stop()
    line.send()
    for name in ("q0", "q1"):
        line.answer(name)
    assert line.node.pending == {}
    assert line.got == ["q0", "q1"]
    assert line.closed


def test_request_that_waits_for_those_before_it_is_answered_in_a_stop(line):
    line.send()
    line.send("POST")
    line.node.is_leaving = True
    line.answer("q0")
    line.answer("q1")
    assert line.got == ["q0", "q1"]
    assert line.closed


def test_head_that_cannot_be_read_after_a_request_alone_closes_in_a_stop(line):
    line.send("POST")
    line.answer("q0")
    line.node.is_leaving = True
    line.client.sendall(b"\x00 bad\r\n\r\n")
    line.settle()
    assert line.connection._is_closed
    assert line.closed


def test_end_of_the_process_sends_no_answer_in_the_place_of_another(line):
    """Seen once in eight plays of a day: the answer that was ready went first."""
    line.send()
    line.send()
    line.answer("q1")
    line.kernel.run(line.task.cancel)
    line.settle()
    assert line.got == []
    assert line.closed


def test_ready_answers_are_sent_before_the_process_ends(line):
    """The request before them is given up; without it they were lost as well."""
    for _ in range(4):
        line.send()
    line.answer("q1")
    line.answer("q2")
    line.kernel.run(line.connection.cancel_blocking_requests)
    line.settle()
    assert line.got == ["3002 answer_lost\n", "q1", "q2"]
    assert set(line.node.pending) == {"q0", "q3"}


def test_unexpected_error_of_a_request_ends_the_connection(line):
    async def fail(call):
        raise RuntimeError("broken")

    line.node.steer = fail
    line.send()
    assert line.closed
    with pytest.raises(TaskError) as caught:
        line.kernel.run(line.task.join)
    assert isinstance(caught.value.__cause__, RuntimeError)


@pytest.mark.parametrize("sent", [True, False])
def test_turn_comes_only_after_the_answer_before_it(sent):
    before, turn = PipelinedRequest(None, None, 0.0), PipelinedRequest(None, None, 0.0)
    before.is_sent, turn.previous = sent, before

    async def come():
        await before.finished.set()
        await turn.wait_for_turn()
        return True

    if sent:
        assert run(come)
        return
    with pytest.raises(EOFError):
        run(come)


class PipeliningMachine(RuleBasedStateMachine):
    """Any order of requests and answers on one connection."""

    @initialize()
    def connect(self):
        self.line = Line()
        self.taken = None
        self.answered = 0

    @precondition(lambda self: self.taken is None)
    @rule()
    def stop(self):
        self.line.node.stop()
        self.taken = set(self.line.node.pending) | set(self._waiting())

    def _waiting(self):
        """Return the name of a request that was read and waits to be served alone."""
        pending = self.line.node.pending
        served = self.answered + len(pending)
        following = self.line.sent[served : served + 1]
        methods = dict(self.line.sent)
        if any(methods[name] == "POST" for name in pending):
            return []
        return [name for name, method in following if method == "POST"]

    @precondition(lambda self: self.line.closed)
    @rule()
    def connect_again(self):
        self.line.end()
        self.connect()

    @precondition(lambda self: not self.line.closed)
    @rule(method=st.sampled_from(["GET", "GET", "HEAD", "POST"]))
    def send(self, method):
        self.line.send("GET" if method == "HEAD" else method)

    @precondition(lambda self: self.line.node.pending)
    @rule(data=st.data())
    def answer(self, data):
        self.answered += 1
        self.line.answer(data.draw(st.sampled_from(sorted(self.line.node.pending))))

    @invariant()
    def answers_are_in_order(self):
        names = [name for name, _ in self.line.sent]
        assert self.line.got == names[: len(self.line.got)]

    @invariant()
    def no_more_than_the_bound_are_served(self):
        assert len(self.line.node.pending) <= MAX_PIPELINED_REQUESTS

    @invariant()
    def requests_that_change_something_are_served_alone(self):
        methods = dict(self.line.sent)
        pending = [methods[name] for name in self.line.node.pending]
        assert "POST" not in pending or len(pending) == 1

    @invariant()
    def something_is_served_while_answers_are_due(self):
        due = len(self.line.got) < len(self.line.sent)
        closed = self.taken is not None and self.line.closed
        assert not due or self.line.node.pending or closed

    @invariant()
    def nothing_runs_whose_answer_cannot_be_sent(self):
        assert not (self.line.closed and self.line.node.pending)

    @invariant()
    def stop_takes_no_request_behind_others(self):
        if self.taken:
            assert self.taken.issuperset(self.line.node.pending)

    def teardown(self):
        if hasattr(self, "line"):
            self.line.end()


PipeliningMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=20, deadline=None
)
TestPipeliningMachine = PipeliningMachine.TestCase
