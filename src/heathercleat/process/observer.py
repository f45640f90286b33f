"""How each request ends: its log line and its metrics."""

from contextlib import contextmanager

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError
from heathercleat.events import Event


class CallObserver:
    """Notes the end of every call of a process.

    :param vm: the process: clock, journal, metrics.
    """

    def __init__(self, vm):
        self._vm = vm

    @contextmanager
    def observing(self, call):
        """Log and count how a call ends.

        :return: a context manager; ``done()`` of its value tells that the whole answer
            was sent.
        """
        observed = _Observed()
        code, event = ResultCode.ANSWER_LOST, Event.REQUEST_CUT
        try:
            yield observed
        except RequestError as error:
            code, event = error.code, Event.REQUEST_REFUSED
            if not call.stream.can_respond:
                event = Event.REQUEST_CUT
            if code is ResultCode.CLAIM_FAILED:
                self._vm.configuration.record_claim_failure()
            raise
        finally:
            if observed.answered:
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
            forwarded=call.lease is not None,
        )
        if call.lease is None:
            result, run = code.name.lower(), code.run.value
            self._vm.metrics.count_request(call, result, run, seconds, late)


class _Observed:
    """Notes whether a call was answered."""

    def __init__(self):
        self._answered = False

    @property
    def answered(self):
        """Return whether the whole answer was sent."""
        return self._answered

    def done(self):
        """Note that the whole answer was sent."""
        self._answered = True
