"""Logging and metrics of finished requests."""

from contextlib import contextmanager

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError
from heathercleat.events import Event


class CallObserver:
    """Records the result of each call of a process.

    :param vm: the :class:`EntryVM` of this process.
    """

    def __init__(self, vm):
        self._vm = vm

    @contextmanager
    def track(self, call):
        """Log and count the result of a call.

        :return: a context manager; call ``set_succeeded()`` of its value when the
            complete response has been sent.
        """
        record = _CallRecord()
        code, event = ResultCode.ANSWER_LOST, Event.REQUEST_CUT
        try:
            yield record
        except RequestError as error:
            code, event = error.code, Event.REQUEST_REFUSED
            if not call.stream.can_respond:
                event = Event.REQUEST_CUT
            if code is ResultCode.CLAIM_FAILED:
                self._vm.configuration.record_claim_failure()
            raise
        finally:
            if record.has_succeeded:
                code, event = ResultCode.OK, Event.REQUEST_DONE
            self._finish(call, code, event)

    def _finish(self, call, code, event):
        now = self._vm.clock.now()
        seconds = now - call.received_at
        late = now > call.deadline
        self._vm.journal.write(
            event,
            request=call.id,
            service=call.service.name,
            kind=call.kind.name,
            code=code.number,
            run=code.run.value,
            seconds=round(seconds, 6),
            late=late,
            caller=call.caller,
            forwarded=call.lease_id is not None,
        )
        if call.lease_id is None:
            result, run = code.name.lower(), code.run.value
            self._vm.metrics.count_request(call, result, run, seconds, late)


class _CallRecord:
    """Whether the complete response of a call has been sent."""

    def __init__(self):
        self._has_succeeded = False

    @property
    def has_succeeded(self):
        """Return whether the complete response has been sent."""
        return self._has_succeeded

    def set_succeeded(self):
        """Record that the complete response has been sent."""
        self._has_succeeded = True
