"""Reading a client's request: its route, its body, and what it asks for."""

from secrets import token_hex

import h11
from curio import sleep

from heathercleat.codes import ResultCode
from heathercleat.connection.http import before, read_body
from heathercleat.errors import RequestError
from heathercleat.platform.headers import parse_client_head
from heathercleat.request.headers import check_framing, end_to_end, find
from heathercleat.steering.request.call import Call
from heathercleat.steering.request.fingerprint import fingerprint

ID_BYTES = 8
#: Seconds after which a refused client is welcome, where nothing else is known.
UNKNOWN_RETURN = 0.3
#: Seconds for which a request waits at a process that has just started: it knows its
#: configuration and its targets 0.2 to 0.25 s after its start.
START_PATIENCE = 0.25
START_POLL = 0.01


class CallReader:
    """Reads requests whose heads have been read.

    :param node: the process: routing table, departure, repeats and bodies.
    """

    def __init__(self, node):
        self._node = node
        self._clock = node.clock

    async def read(self, turn):
        """Read the rest of a request and return its :class:`Call`.

        :param turn: its :class:`PipelinedRequest`, which takes the body and the memory
            held.
        :raises RequestError: with the final answer, when it cannot be served.
        """
        head, arrived_at = turn.head, turn.arrived_at
        headers = list(head.headers)
        check_framing(headers, ResultCode.BAD_REQUEST)
        await self._wait_for_start(arrived_at + START_PATIENCE)
        client = parse_client_head(headers)
        route = self._match(head, headers)
        passed = [each for each in end_to_end(headers) if each[0] != b"content-length"]
        call = Call(
            client.request_id or token_hex(ID_BYTES),
            head.method,
            head.target,
            passed,
            b"",
            route,
            self._node.choose_service(route),
            turn.stream,
        )
        call.arrived_at = arrived_at
        call.deadline = arrived_at + min(client.wait, route.timeout)
        now = self._clock.now()
        call.stop_estimate = self._node.shutdown.estimate(call, now)
        self._node.shutdown.check(call, now)
        if turn.body is None:
            turn.body = await self._read_body(turn, headers, call.deadline)
        call.body = turn.body
        # The aim counts from the first attempt: what is late already leaves the slots
        # to those that are not.
        elapsed = self._node.retry_detector.elapsed(route.name, client.wait)
        call.soft_deadline = arrived_at + route.latency_objective - elapsed
        call.returned = elapsed > 0.0
        call.affinity = client.affinity
        call.client_wait = client.wait
        call.fingerprint = fingerprint(head.method, head.target, passed, turn.body)
        return call

    async def _wait_for_start(self, until):
        """Wait for the configuration and the targets, an instant at most."""
        while not self._node.is_started and self._clock.now() < until:
            await sleep(START_POLL)

    def _match(self, head, headers):
        table = self._node.table
        if table is None:
            now = self._clock.now()
            raise RequestError(
                ResultCode.NO_CONFIGURATION,
                "no configuration is known yet",
                retry_at=now + UNKNOWN_RETURN,
            )
        host = next((value for name, value in headers if name == b"host"), b"")
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        route = table.match(host.decode("latin-1").lower(), path)
        if route is None:
            message = f'no route for "{host.decode("latin-1")}" and "{path}"'
            raise RequestError(ResultCode.NO_ROUTE, message)
        return route

    async def _read_body(self, turn, headers, deadline):
        limit = self._node.limits.body_bytes
        self._hold(turn, int(find(headers, "content-length") or 0))
        try:
            reading = read_body(turn.stream, limit)
            body = await before(deadline, self._clock, reading)
            # A body in chunks tells its length only now.
            self._hold(turn, len(body) - turn.held)
            return body
        except ValueError as error:
            raise RequestError(ResultCode.BODY_TOO_LARGE, str(error)) from None
        except TimeoutError:
            message = "the request body took too long"
            raise RequestError(ResultCode.SLOW_SENDER, message) from None
        except h11.RemoteProtocolError as error:
            raise RequestError(ResultCode.BAD_REQUEST, str(error)) from None

    def _hold(self, turn, size):
        """Hold memory for a body.

        :raises RequestError: when other bodies have taken it.
        """
        if size <= 0:
            return
        if not self._node.body_memory.reserve(size):
            message = f"no memory for a body of {size} bytes beside the others"
            retry_at = self._clock.now() + UNKNOWN_RETURN
            raise RequestError(ResultCode.NO_ROOM, message, retry_at)
        turn.held += size
