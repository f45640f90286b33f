"""Reads client requests and matches them with routes."""

from secrets import token_hex

import h11
from curio import sleep

from heathercleat.codes import ResultCode
from heathercleat.connection.http import read_body, with_deadline
from heathercleat.errors import RequestError
from heathercleat.platform.headers import parse_client_head, replace_identity
from heathercleat.request.headers import check_framing, end_to_end, find
from heathercleat.steering.process.memory.responses import STEP_BYTES
from heathercleat.steering.request.call import Call
from heathercleat.steering.request.fingerprint import fingerprint
from heathercleat.steering.request.response_body import body_chunks

REQUEST_ID_BYTES = 8
#: Seconds after which a refused client may retry, if there is no better estimate.
DEFAULT_RETRY_SECONDS = 0.3
#: Seconds for which a request waits for the configuration and targets after a start; a
#: process knows them 0.2 to 0.25 s after its start.
MAX_START_WAIT_SECONDS = 0.25
START_POLL_SECONDS = 0.01
#: Seconds for which a request waits until other VMs have acknowledged earlier requests
#: of its workspace; a few rounds of heartbeats.
MAX_QUOTA_WAIT_SECONDS = 0.6
QUOTA_POLL_SECONDS = 0.02


class CallReader:
    """Builds a :class:`Call` from a request whose head was read.

    :param node: the :class:`SteeringNode`.
    """

    def __init__(self, node):
        self._node = node
        self._clock = node.clock

    async def read(self, request):
        """Read the body of a request and return its :class:`Call`.

        :param request: the :class:`PipelinedRequest`, whose body and memory are set.
        :raises RequestError: if the request cannot be served.
        """
        head, arrived_at = request.head, request.arrived_at
        headers = list(head.headers)
        check_framing(headers, ResultCode.BAD_REQUEST)
        await self._wait_for_start(arrived_at + MAX_START_WAIT_SECONDS)
        client = parse_client_head(headers)
        request.id = client.request_id or token_hex(REQUEST_ID_BYTES)
        route = self._match(head, headers, arrived_at)
        workspace = self._node.authenticate(route, client.keys, arrived_at)
        if workspace is not None:
            request.workspace = workspace.name
            route = _restrict(route, workspace)
            request.charge = await self._charge(workspace, arrived_at)
        end_to_end_headers = [
            each
            for each in replace_identity(end_to_end(headers), workspace)
            if each[0] != b"content-length"
        ]
        call = Call(
            request.id,
            head.method,
            head.target,
            end_to_end_headers,
            b"",
            route,
            self._node.choose_service(route),
            request.stream,
        )
        call.arrived_at = arrived_at
        call.deadline = arrived_at + min(client.timeout, route.timeout)
        now = self._clock.now()
        call.stop_estimate = self._node.shutdown.estimate(call, now)
        self._node.shutdown.check(call, now)
        if request.body is None:
            request.body = await self._read_body(request, headers, call.deadline)
        call.body = request.body
        # The latency objective counts from the client's first attempt, so that requests
        # that are already late do not take slots from those that can be in time.
        elapsed = self._node.retry_detector.record_wait(route.name, client.timeout)
        call.soft_deadline = arrived_at + route.latency_objective - elapsed
        call.is_client_retry = elapsed > 0.0
        call.affinity = client.affinity
        call.client_wait = client.timeout
        call.workspace = request.workspace
        call.charge = request.charge
        call.fingerprint = fingerprint(
            head.method, head.target, end_to_end_headers, request.body
        )
        return call

    async def _wait_for_start(self, deadline):
        """Wait for the configuration and the targets, until ``deadline``."""
        while not self._node.is_started and self._clock.now() < deadline:
            await sleep(START_POLL_SECONDS)

    def _match(self, head, headers, arrived_at):
        routing_table = self._node.routing_table
        if routing_table is None:
            now = self._clock.now()
            raise RequestError(
                ResultCode.NO_CONFIGURATION,
                "no configuration is known yet",
                retry_at=now + DEFAULT_RETRY_SECONDS,
            )
        host = next((value for name, value in headers if name == b"host"), b"")
        path = head.target.split(b"?", 1)[0].decode("latin-1")
        route = routing_table.match(host.decode("latin-1").lower(), path)
        if route is None:
            message = f'no route for "{host.decode("latin-1")}" and "{path}"'
            raise self._node.refusals.of(ResultCode.NO_ROUTE, message, arrived_at)
        return route

    async def _charge(self, workspace, arrived_at):
        """Return the :class:`Charge` of a request.

        :raises RequestError: if the workspace is over its limit.
        """
        quota = self._node.quota
        waits_until = arrived_at + MAX_QUOTA_WAIT_SECONDS
        while (charge := quota.admit(workspace)) is None:
            if quota.is_used_up(workspace) or self._clock.now() >= waits_until:
                use = quota.describe(workspace)
                message = f'workspace "{workspace.name}" is over its limit: {use}'
                retry_at = quota.retry_at(workspace)
                raise RequestError(ResultCode.QUOTA_EXCEEDED, message, retry_at)
            await sleep(QUOTA_POLL_SECONDS)
        return charge

    async def _read_body(self, request, headers, deadline):
        limit = self._node.limits.body_bytes
        self._reserve(request, int(find(headers, "content-length") or 0))
        try:
            reading = self._read_whole(request, limit)
            body = await with_deadline(deadline, self._clock, reading)
            # The length of a chunked body is only known now.
            self._reserve(request, len(body) - request.reserved_bytes)
            return body
        except ValueError as error:
            raise RequestError(ResultCode.BODY_TOO_LARGE, str(error)) from None
        except TimeoutError:
            message = "the request body took too long"
            raise RequestError(ResultCode.SLOW_SENDER, message) from None
        except h11.RemoteProtocolError as error:
            raise RequestError(ResultCode.BAD_REQUEST, str(error)) from None

    async def _read_whole(self, request, limit):
        if self._node.body_memory.responses is None:
            return await read_body(request.stream, limit)
        body = bytearray()
        async for data in body_chunks(request.stream, limit):
            # Only a chunked body exceeds what is reserved.
            if len(body) + len(data) > request.reserved_bytes:
                self._reserve(request, max(len(data), STEP_BYTES))
            body += data
        return bytes(body)

    def _reserve(self, request, size):
        """Reserve memory for a body.

        :raises RequestError: if too little memory is left.
        """
        if size <= 0:
            return
        if not self._node.body_memory.reserve(size):
            if self._node.body_memory.responses is not None:
                raise self._node.body_memory.responses.refuse_body(size)
            message = f"not enough memory left for a body of {size} bytes"
            retry_at = self._clock.now() + DEFAULT_RETRY_SECONDS
            raise RequestError(ResultCode.NO_ROOM, message, retry_at)
        request.reserved_bytes += size


def _restrict(route, workspace):
    """Return the route with the priority and the regions of a workspace.

    :raises RequestError: if no region may serve both.
    """
    restricted = route.restricted_to(workspace)
    if restricted is None:
        message = f'no region for route "{route.name}" and "{workspace.name}"'
        raise RequestError(ResultCode.NO_REGION, message)
    return restricted
