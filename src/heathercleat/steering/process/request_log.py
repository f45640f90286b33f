"""Log lines and metrics of finished requests."""

from heathercleat.events import Event

#: Maximum log lines for single requests per second; further lines are only counted. 40
#: lines cost 1.1 ms of processor time.
MAX_LINES_PER_SECOND = 40
_FIRST_SERVER_ERROR_STATUS = 500


class RequestLog:
    """Logs and counts finished requests, at a limited rate.

    :param metrics: the :class:`SteeringMetrics`.
    """

    def __init__(self, metrics, journal, clock):
        self._metrics = metrics
        self._journal = journal
        self._clock = clock
        self._window_ends_at = 0.0
        self._line_count = 0
        self._omitted_count = 0
        self._counts = {}

    def record_response(self, call, response, now):
        """Record a request that got a response from a target."""
        seconds = now - call.arrived_at
        result = "late" if now > call.soft_deadline else "in_time"
        if response.status >= _FIRST_SERVER_ERROR_STATUS:
            result = "failed_at_target"
        self._count(call.route.name, result, seconds)
        if call.workspace is not None:
            self._metrics.count_workspace(call.workspace, result)
        if result != "in_time":
            self._write(
                Event.REQUEST_LATE,
                request=call.id,
                route=call.route.name,
                service=call.service,
                workspace=call.workspace,
                result=result,
                status=response.status,
                seconds=round(seconds, 4),
                returned=call.is_client_retry,
                client_wait=call.client_wait,
                object=call.affinity,
                fingerprint=call.fingerprint,
                tries=call.attempt_log,
            )

    def record_refusal(self, call, error, now, request_id=None, workspace=None):
        """Record a request that was refused or could not be completed.

        :param call: ``None`` when the request was refused before it was matched or
            could not be parsed.
        :param request_id: its id, for a request without a call.
        :param workspace: the name of its workspace, or ``None``.
        """
        route = call.route.name if call else "none"
        seconds = now - call.arrived_at if call else 0.0
        self._count(route, error.code.name.lower(), seconds)
        if workspace is not None:
            self._metrics.count_workspace(workspace, error.code.name.lower())
        retry_in = None if error.retry_at is None else round(error.retry_at - now, 3)
        self._write(
            Event.REQUEST_REFUSED,
            request=call.id if call else request_id,
            workspace=workspace,
            route=route,
            service=call.service if call else None,
            code=error.code.number,
            run=error.code.run.value,
            reason=str(error),
            seconds=round(seconds, 4),
            returned=call.is_client_retry if call else None,
            client_wait=call.client_wait if call else None,
            object=call.affinity if call else None,
            fingerprint=call.fingerprint if call else None,
            tries=call.attempt_log if call else [],
            retry_in=retry_in,
            **_stop_fields(call and call.stop_estimate),
        )

    def record_disconnect(self, call, now):
        """Record a client that disconnected before its response."""
        if call is None:
            return
        seconds = now - call.arrived_at
        self._count(call.route.name, "client_left", seconds)
        self._write(
            Event.CALLER_LEFT,
            request=call.id,
            route=call.route.name,
            seconds=round(seconds, 4),
            tries=call.attempt_log,
        )

    def record_abandoned(self, call, now):
        """Record a request that gets no response because this process exits."""
        seconds = now - call.arrived_at
        self._count(call.route.name, "abandoned", seconds)
        destination = call.destination
        # Without a rate limit, since this happens only when the process exits.
        self._journal.write(
            Event.REQUEST_ABANDONED,
            request=call.id,
            route=call.route.name,
            service=call.service,
            seconds=round(seconds, 4),
            deadline_in=round(call.deadline - now, 3),
            forwarded=call.client_wait is None,
            trying=f"{destination.vm} {destination.target}" if destination else None,
            trying_seconds=round(now - call.attempt_started_at, 4)
            if destination
            else None,
            tries=call.attempt_log,
            **_stop_fields(call.stop_estimate),
        )

    def flush(self, **gauges):
        """Log and reset the request counts since the last call.

        :param gauges: further fields of the log line.
        """
        counts, self._counts = self._counts, {}
        self._journal.write(Event.REQUESTS_SUMMED, requests=counts, **gauges)

    def _count(self, route, result, seconds):
        self._metrics.count(route, result, seconds)
        key = f"{route} {result}"
        self._counts[key] = self._counts.get(key, 0) + 1

    def _write(self, event, **fields):
        """Write a log line, or count it as omitted if the rate limit is reached."""
        now = self._clock.now()
        if now >= self._window_ends_at:
            if self._omitted_count:
                self._journal.write(Event.LINES_LEFT_OUT, lines=self._omitted_count)
            self._window_ends_at = now + 1.0
            self._line_count = self._omitted_count = 0
        if self._line_count >= MAX_LINES_PER_SECOND:
            self._omitted_count += 1
            return
        self._line_count += 1
        self._journal.write(event, **fields)


def _stop_fields(estimate):
    """Return the log fields of a :class:`CompletionEstimate`, or of ``None``."""
    if estimate is None:
        return {}
    return {
        "taken_after": round(estimate.seconds_since_stop, 3),
        "taken_needing": round(estimate.needed, 3),
        "taken_knowing": estimate.sample_count,
    }
