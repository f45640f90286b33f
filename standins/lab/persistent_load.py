"""Clients of an experiment that keep their connections, whatever look-ups return."""

from threading import Thread

from standins.lab.load import Result
from standins.stops.clients import Clients
from standins.stops.deployment import Size
from standins.stops.records import NOT_RUN_STATUSES
from standins.stops.tally import timed_out


class PersistentLoad:
    """Sends requests on persistent connections until the VM closes them.

    :param fleet: the :class:`SteeringFleet`.
    :param stopper: the :class:`Stopper`, which records the stopped VMs.
    """

    def __init__(self, fleet, scenario, stopper):
        size = Size(
            scenario.failure_domains,
            vms=0,
            targets=0,
            pipelining=scenario.pipelining,
            persistent=scenario.persistent,
            single=0.0,
            objects=scenario.objects,
        )
        self._clients = Clients(fleet, size, scenario.seed, stopper)
        self._thread = Thread(target=self._clients.run, daemon=True)
        self._began_at = 0.0

    def start(self):
        """Start sending."""
        self._began_at = self._clients.clock.now()
        self._thread.start()

    def stop(self):
        """Stop sending and wait for the last responses."""
        self._clients.stop()
        self._thread.join()

    def results(self):
        """Yield the :class:`Result` of each request."""
        for request in self._clients.requests:
            if request.attempts:
                yield self._result(request)

    def _result(self, request):
        last = request.attempts[-1]
        return Result(
            request.first_at - self._began_at,
            request.client,
            last.ended_at - request.first_at,
            last.status,
            len(request.attempts),
            [each.id for each in request.attempts if _failed(each)],
        )


def _failed(attempt):
    """Return whether an attempt failed before its deadline without a refusal."""
    answered = attempt.signed or attempt.status in NOT_RUN_STATUSES
    return not answered and not timed_out(attempt)
