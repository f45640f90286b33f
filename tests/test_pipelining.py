"""Tests of pipelined requests: order, concurrency and shutdown of a connection."""

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
from heathercleat.process.logs import Journal
from heathercleat.steering.connection.client import (
    MAX_PIPELINED_REQUESTS,
    ClientConnection,
)
from heathercleat.steering.connection.pipeline import PipelinedRequest
from heathercleat.steering.process.active_requests import ActiveRequests
from heathercleat.steering.process.body_memory import BodyMemory
from heathercleat.steering.process.capacity.run_times import RunTimes
from heathercleat.steering.process.memory.build import new_budget
from heathercleat.steering.process.retry_detector import RetryDetector
from heathercleat.steering.process.shutdown import KEEP_ALIVE_SECONDS, Shutdown
from heathercleat.steering.request.attempt_result import TargetResponse
from heathercleat.steering.version.routing import Limits, RoutingTable, Service
from tests.steering_parts import route

#: Seconds for the kernel to deliver data over the loopback interface.
DELIVERY_TIMEOUT_SECONDS = 5.0
#: Seconds from the stop signal to the kill.
GRACE_SECONDS = 60.0
#: Rounds of the event loop after which all tasks wait for input.
SETTLE_ROUNDS = 6


class FakeInterrupter:
    """Interrupts the wait of a request when the client disconnects."""

    def __init__(self, signal):
        self._signal = signal

    async def interrupt(self):
        await self._signal.set()


class FakeNode:
    """A node whose requests finish on demand; its other parts are real."""

    def __init__(self):
        self.clock = SystemClock()
        self.limits = Limits(16 << 10, 1 << 20, 3.0, 15.0)
        self.routing_table = RoutingTable(
            1, [route()], {"s1": Service("s1", 1.0)}, self.limits
        )
        self.shutdown = Shutdown(RunTimes(self.clock), lambda: True)
        self.retry_detector = RetryDetector()
        self.active_requests = ActiveRequests()
        self.body_memory = BodyMemory(1 << 30)
        self.request_log = self
        self.is_started = True
        self.is_stopping = False
        self.pending = {}
        self.disconnected = []

    def stop(self):
        """Begin a stop whose keep-alive period is already over."""
        self.is_stopping = True
        self.shutdown.begin(self.clock.now() - KEEP_ALIVE_SECONDS, GRACE_SECONDS)

    def authenticate(self, route, keys, arrived_at):
        return None

    def choose_service(self, route):
        return "s1"

    async def steer(self, call):
        signal = self.pending[call.id] = Signal()
        call.on_disconnect = FakeInterrupter(signal)
        await signal.wait()
        del self.pending[call.id]
        if call.is_disconnected:
            raise CallerDisconnectedError
        return TargetResponse(
            200, [(b"request-id", call.id.encode())], call.id.encode()
        )

    def record_response(self, call, response, now):
        pass

    def record_refusal(self, call, error, now, request_id=None, workspace=None):
        pass

    def record_disconnect(self, call, now):
        self.disconnected.append(call.id)


class PipelinedConnection:
    """A client and its server connection in one thread."""

    def __init__(self, has_budget=False):
        self.kernel = Kernel()
        self.node = FakeNode()
        if has_budget:
            journal = Journal("vm-1", "north-a")
            self.node.body_memory = new_budget(1 << 30, journal, self.node.clock)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.client = socket.create_connection(listener.getsockname())
            server, _ = listener.accept()
        self.client.settimeout(5.0)
        self.reader = h11.Connection(h11.CLIENT)
        self.server = Socket(server)
        self.sent = []
        self.received = []
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

    def send(self, method="GET", more_headers=""):
        """Send a request without waiting for earlier responses.

        :param more_headers: lines of its head.
        """
        name = f"q{len(self.sent)}"
        self.sent.append((name, method))
        head = f"{method} /x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {name}\r\n"
        head += more_headers
        body = "Content-Length: 2\r\n\r\nhi" if method == "POST" else "\r\n"
        self.client.sendall((head + body).encode())
        wait_delivered(self.client)
        self.settle()

    def respond(self, name):
        """Finish the request with the given name."""
        self.kernel.run(self.node.pending[name].set)
        self.settle()

    def settle(self):
        async def wait():
            for _ in range(SETTLE_ROUNDS):
                await sleep(0.001)

        self.kernel.run(wait)
        if not self.task.terminated:
            wait_delivered(self.server)
        self.read_responses()

    def detect_disconnects(self):
        async def detect():
            task = await spawn(self.node.active_requests.run, daemon=True)
            await sleep(0.02)
            await task.cancel()

        self.kernel.run(detect)

    def read_responses(self):
        """Read the responses that have arrived."""
        self.client.setblocking(False)
        try:
            while data := self.client.recv(1 << 16):
                self._receive(data)
            self.closed = True
        except BlockingIOError:
            pass
        finally:
            self.client.settimeout(5.0)

    def _receive(self, data):
        if self.reader.our_state is h11.IDLE:
            self._expect()
        self.reader.receive_data(data)
        while (event := self.reader.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Data):
                self.received.append(bytes(event.data).decode())
            elif isinstance(event, h11.EndOfMessage):
                if self.reader.states[h11.SERVER] is not h11.DONE:
                    return
                self.reader.start_next_cycle()
                self._expect()

    def _expect(self):
        request = h11.Request(method="GET", target="/", headers=[("host", "a")])
        self.reader.send(request)
        self.reader.send(h11.EndOfMessage())

    def tear_down(self):
        self.client.close()
        self.kernel.run(self.task.cancel)
        self.kernel.run(shutdown=True)


def wait_delivered(sock):
    """Wait until the peer's kernel has received all sent data.

    A late delivery on a busy machine would make the steps of a test nondeterministic.
    """
    deadline = time.monotonic() + DELIVERY_TIMEOUT_SECONDS
    while unpack("i", ioctl(sock.fileno(), TIOCOUTQ, bytes(4)))[0]:
        assert time.monotonic() < deadline, "sent data was not delivered"
        time.sleep(0.0005)


@pytest.fixture
def pipelined():
    connection = PipelinedConnection()
    yield connection
    connection.tear_down()


def test_pipelined_requests_are_served_concurrently(pipelined):
    for _ in range(3):
        pipelined.send()
    assert set(pipelined.node.pending) == {"q0", "q1", "q2"}


def test_responses_are_sent_in_request_order(pipelined):
    for _ in range(3):
        pipelined.send()
    pipelined.respond("q2")
    pipelined.respond("q1")
    assert pipelined.received == []
    pipelined.respond("q0")
    assert pipelined.received == ["q0", "q1", "q2"]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("protocol", ["h2c", "websocket"])
def test_request_that_offers_another_protocol_is_answered(pipelined, method, protocol):
    offer = f"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: {protocol}\r\n"
    pipelined.send()
    pipelined.send(method, offer)
    pipelined.respond("q0")
    pipelined.respond("q1")
    pipelined.send()
    pipelined.respond("q2")
    assert pipelined.received == ["q0", "q1", "q2"]
    assert not pipelined.closed


def test_exclusive_request_waits_for_earlier_ones(pipelined):
    pipelined.send()
    pipelined.send("POST")
    pipelined.send()
    assert set(pipelined.node.pending) == {"q0"}
    pipelined.respond("q0")
    assert set(pipelined.node.pending) == {"q1"}
    pipelined.respond("q1")
    assert set(pipelined.node.pending) == {"q2"}


def test_requests_beyond_the_limit_are_not_read(pipelined):
    for _ in range(MAX_PIPELINED_REQUESTS + 3):
        pipelined.send()
    assert len(pipelined.node.pending) == MAX_PIPELINED_REQUESTS
    pipelined.respond("q0")
    assert len(pipelined.node.pending) == MAX_PIPELINED_REQUESTS


def test_disconnect_cancels_all_requests_of_the_client(pipelined):
    for _ in range(3):
        pipelined.send()
    pipelined.client.close()
    pipelined.detect_disconnects()
    assert sorted(pipelined.node.disconnected) == ["q0", "q1", "q2"]
    assert not pipelined.connection.is_busy


def test_stop_responds_to_all_requests_read_so_far_and_closes(pipelined):
    for _ in range(3):
        pipelined.send()
    pipelined.node.is_stopping = True
    pipelined.connection.close_if_idle()
    for name in ("q1", "q2", "q0"):
        pipelined.respond(name)
    assert pipelined.received == ["q0", "q1", "q2"]
    assert pipelined.closed


def test_request_after_a_closing_response_is_not_read(pipelined):
    pipelined.send()
    pipelined.node.is_stopping = True
    pipelined.respond("q0")
    pipelined.send()
    assert pipelined.node.pending == {}
    assert pipelined.received == ["q0"]


def test_connection_of_a_client_that_always_pipelines_is_closed_in_a_stop(pipelined):
    pipelined.send()
    pipelined.send()
    pipelined.node.stop()
    pipelined.send()
    for name in ("q0", "q1"):
        pipelined.respond(name)
    assert pipelined.node.pending == {}
    assert pipelined.received == ["q0", "q1"]
    assert pipelined.closed


def test_request_that_waits_for_earlier_ones_is_served_in_a_stop(pipelined):
    pipelined.send()
    pipelined.send("POST")
    pipelined.node.is_stopping = True
    pipelined.respond("q0")
    pipelined.respond("q1")
    assert pipelined.received == ["q0", "q1"]
    assert pipelined.closed


def test_malformed_head_after_an_exclusive_request_closes_in_a_stop(pipelined):
    pipelined.send("POST")
    pipelined.respond("q0")
    pipelined.node.is_stopping = True
    pipelined.client.sendall(b"\x00 bad\r\n\r\n")
    pipelined.settle()
    assert pipelined.connection._is_closed
    assert pipelined.closed


def test_cancelled_connection_sends_no_response_out_of_order(pipelined):
    """A ready response must not be sent in place of an earlier one."""
    pipelined.send()
    pipelined.send()
    pipelined.respond("q1")
    pipelined.kernel.run(pipelined.task.cancel)
    pipelined.settle()
    assert pipelined.received == []
    assert pipelined.closed


def test_ready_responses_are_sent_before_the_process_ends(pipelined):
    """Only the request that blocks the ready responses is given up."""
    for _ in range(4):
        pipelined.send()
    pipelined.respond("q1")
    pipelined.respond("q2")
    pipelined.kernel.run(pipelined.connection.cancel_requests_before_ready_responses)
    pipelined.settle()
    assert pipelined.received == ["3002 answer_lost\n", "q1", "q2"]
    assert set(pipelined.node.pending) == {"q0", "q3"}


def test_unexpected_error_of_a_request_closes_the_connection(pipelined):
    async def fail(call):
        raise RuntimeError("broken")

    pipelined.node.steer = fail
    pipelined.send()
    assert pipelined.closed
    with pytest.raises(TaskError) as caught:
        pipelined.kernel.run(pipelined.task.join)
    assert isinstance(caught.value.__cause__, RuntimeError)


@pytest.mark.parametrize("sent", [True, False])
def test_response_waits_for_the_previous_one(sent):
    first, second = PipelinedRequest(None, None, 0.0), PipelinedRequest(None, None, 0.0)
    first.is_sent, second.previous = sent, first

    async def wait_second():
        await first.finished.set()
        await second.wait_for_turn()
        return True

    if sent:
        assert run(wait_second)
        return
    with pytest.raises(EOFError):
        run(wait_second)


class PipeliningMachine(RuleBasedStateMachine):
    """Requests and responses in any order on one connection."""

    @initialize(has_budget=st.booleans())
    def connect(self, has_budget):
        self.has_budget = has_budget
        self.pipelined = PipelinedConnection(has_budget)
        self.accepted_at_stop = None
        self.responded = 0

    @precondition(lambda self: self.accepted_at_stop is None)
    @rule()
    def stop(self):
        self.pipelined.node.stop()
        self.accepted_at_stop = set(self.pipelined.node.pending) | set(self._waiting())

    def _waiting(self):
        """Return a list with the name of the exclusive request that waits, if any."""
        pending = self.pipelined.node.pending
        served = self.responded + len(pending)
        following = self.pipelined.sent[served : served + 1]
        methods = dict(self.pipelined.sent)
        if any(methods[name] == "POST" for name in pending):
            return []
        return [name for name, method in following if method == "POST"]

    @precondition(lambda self: self.pipelined.closed)
    @rule()
    def connect_again(self):
        self.pipelined.tear_down()
        self.connect(self.has_budget)

    @precondition(lambda self: not self.pipelined.closed)
    @rule(method=st.sampled_from(["GET", "GET", "HEAD", "POST"]))
    def send(self, method):
        self.pipelined.send("GET" if method == "HEAD" else method)

    @precondition(lambda self: self.pipelined.node.pending)
    @rule(data=st.data())
    def respond(self, data):
        self.responded += 1
        self.pipelined.respond(
            data.draw(st.sampled_from(sorted(self.pipelined.node.pending)))
        )

    @invariant()
    def responses_are_in_order(self):
        names = [name for name, _ in self.pipelined.sent]
        assert self.pipelined.received == names[: len(self.pipelined.received)]

    @invariant()
    def number_of_served_requests_is_limited(self):
        assert len(self.pipelined.node.pending) <= MAX_PIPELINED_REQUESTS

    @invariant()
    def exclusive_requests_are_served_alone(self):
        methods = dict(self.pipelined.sent)
        pending = [methods[name] for name in self.pipelined.node.pending]
        assert "POST" not in pending or len(pending) == 1

    @invariant()
    def a_request_is_served_while_responses_are_due(self):
        due = len(self.pipelined.received) < len(self.pipelined.sent)
        closed = self.accepted_at_stop is not None and self.pipelined.closed
        assert not due or self.pipelined.node.pending or closed

    @invariant()
    def no_request_runs_on_a_closed_connection(self):
        assert not (self.pipelined.closed and self.pipelined.node.pending)

    @invariant()
    def stop_accepts_no_pipelined_request(self):
        if self.accepted_at_stop:
            assert self.accepted_at_stop.issuperset(self.pipelined.node.pending)

    def teardown(self):
        if hasattr(self, "pipelined"):
            self.pipelined.tear_down()
            memory = self.pipelined.node.body_memory
            assert memory.reserved == 0


PipeliningMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=20, deadline=None
)
TestPipeliningMachine = PipeliningMachine.TestCase
