"""Planned stops of the soak test, as overlapping sequences of signals.

Clients use persistent connections, some with pipelining. VMs get SIGTERM once or twice,
SIGHUP or SIGKILL during a shutdown, SIGTERM during a start, or all of them SIGTERM
within a second. Each VM restarts after its exit. A request that runs at a target must
get the target's response, except in the cases that :class:`Outcome` lists.
"""

import signal
import threading
import time

from standins.fleet import wait_for
from standins.stops.clients import Clients
from standins.stops.deployment import GRACE_SECONDS, Size, configuration
from standins.stops.plan import Stopper
from standins.stops.records import NOT_RUN_STATUSES
from standins.stops.tally import Outcome, Tally, collect_runs

#: Number of steps in each seed, besides those below.
STEPS = 3
#: Shares of seeds with a stop of the whole fleet, and with a kill during a shutdown.
FLEET_STOP_SHARE = 0.5
KILL_SHARE = 0.5
STEP_GAP_SECONDS = (1.0, 3.5)
#: Seconds between the first signal to a VM and another one.
SIGNAL_GAP_SECONDS = (0.05, 3.0)
#: Seconds from the start of a process to its SIGTERM.
START_GAP_SECONDS = (0.0, 0.6)
#: Seconds within which the whole fleet gets SIGTERM.
FLEET_STOP_SECONDS = 1.0
POLL_SECONDS = 0.01
#: Seconds of work for an object that a target has cached, and the factor for others.
WORK_SECONDS = 0.1
UNCACHED_FACTOR = 20.0
#: Seconds of load before the first signal.
LOAD_SECONDS = 2.0
LAST_RESPONSES_SECONDS = 20.0
#: Client errors are violations, since every request of the soak test is valid.
CLIENT_ERRORS = range(400, 500)


def long_routes():
    """Return routes with deadlines that let requests run into a shutdown."""
    return configuration()["hosts"][0]["paths"]


def persistent_clients(fleet, domains, seed, stopper):
    """Return clients, few enough for the targets' slots, most of them pipelining."""
    size = Size(
        domains, vms=0, targets=0, pipelining=6, persistent=2, single=1.0, objects=6
    )
    return Clients(fleet, size, seed, stopper)


class SignalSequence:
    """Sends a random sequence of signals to VMs.

    :param stopper: the :class:`Stopper`, which restarts VMs.
    """

    def __init__(self, fleet, stopper, rng):
        self._fleet = fleet
        self._stopper = stopper
        self._rng = rng
        self._threads = []
        self.kills = []
        self.log = []

    def run(self):
        """Send the signals and wait until every VM is ready again.

        :raises TimeoutError: when a VM does not become ready.
        """
        steps = list(self._choose_steps())
        for (step, vm), following in zip(steps, [*steps[1:], steps[0]], strict=True):
            self.log.append(f"{time.monotonic():.2f} {step.__name__} {vm.name}")
            step(vm)
            self._stopper.set_next(following[1])
            time.sleep(self._rng.uniform(*STEP_GAP_SECONDS))
        for thread in self._threads:
            thread.join()
        self._stopper.wait()

    def _choose_steps(self):
        """Yield pairs of a step and a VM."""
        kinds = (
            self._stop,
            self._stop_twice,
            self._reload_in_stop,
            self._stop_after_start,
        )
        vm = None
        for _ in range(STEPS):
            vm = self._choose_other(vm)
            yield self._rng.choice(kinds), vm
        if self._rng.random() < FLEET_STOP_SHARE:
            vm = self._choose_other(vm)
            yield self._stop_fleet, vm
        if self._rng.random() < KILL_SHARE:
            # Comes last, since requests lost near a kill do not count.
            yield self._kill_in_stop, self._choose_other(vm)

    def _choose_other(self, last):
        others = [vm for vm in self._fleet.vms.values() if vm is not last]
        return self._rng.choice(others)

    def _stop(self, vm):
        self._stopper.stop(vm)

    def _stop_twice(self, vm):
        self._stop(vm)
        self._send_later(vm.process, signal.SIGTERM)

    def _reload_in_stop(self, vm):
        self._stop(vm)
        self._send_later(vm.process, signal.SIGHUP)

    def _kill_in_stop(self, vm):
        self._stop(vm)
        self._send_later(vm.process, signal.SIGKILL)

    def _stop_after_start(self, vm):
        self._stop(vm)
        gap = self._rng.uniform(*START_GAP_SECONDS)
        process = vm.process

        def stop_again():
            process.wait()
            wait_for(lambda: vm.process is not process, interval=POLL_SECONDS)
            time.sleep(gap)
            self._stop(vm)

        self._start(stop_again)

    def _stop_fleet(self, vm):
        """Stop a VM, then all others within a second."""
        vms = [each for each in self._fleet.vms.values() if each is not vm]
        self._rng.shuffle(vms)
        for each in [vm, *vms]:
            self._stop(each)
            time.sleep(
                self._rng.uniform(0.0, FLEET_STOP_SECONDS / len(self._fleet.vms))
            )

    def _send_later(self, process, signum):
        gap = self._rng.uniform(*SIGNAL_GAP_SECONDS)

        def send():
            time.sleep(gap)
            if process.poll() is None:
                if signum is signal.SIGKILL:
                    self.kills.append(time.monotonic())
                process.send_signal(signum)

        self._start(send)

    def _start(self, action):
        thread = threading.Thread(target=action, daemon=True)
        self._threads.append(thread)
        thread.start()


class PlannedStops:
    """The planned stops of a seed, and the clients with persistent connections.

    :param domains: ``{failure domain: region}``.
    :param rng: source of the random signals.
    """

    def __init__(self, fleet, domains, seed, rng):
        self._fleet = fleet
        self._stopper = Stopper(fleet)
        self._signals = SignalSequence(fleet, self._stopper, rng)
        self._clients = persistent_clients(fleet, domains, seed, self._stopper)
        self._thread = threading.Thread(target=self._clients.run, daemon=True)
        self._started_at = 0.0

    @property
    def log(self):
        """Return one line per signal."""
        return self._signals.log

    def start_clients(self):
        """Start sending."""
        self._thread.start()

    def run(self):
        """Send the signals; yield a line if a VM does not become ready again."""
        for target in self._fleet.targets:
            self._fleet.switch_target(
                target, work_s=WORK_SECONDS, learning_x=UNCACHED_FACTOR
            )
        time.sleep(LOAD_SECONDS)
        self._started_at = time.monotonic()
        try:
            self._signals.run()
        except TimeoutError as error:
            yield str(error)

    def stop_clients(self):
        """Stop sending and wait for the last responses."""
        self._clients.stop()
        self._thread.join(LAST_RESPONSES_SECONDS)

    def check(self, spans):
        """Yield a line for each violation.

        :param spans: ``[attempt id, start, planned end]`` of every run.
        """
        ended = self._ended_attempts()
        if missing := len(self._clients.attempts) - len(ended):
            yield f"{missing} requests in flight long after their deadline"
        yield from check_attempts(ended, collect_runs(spans))
        tally = self._tally(spans)
        if tally is None:
            return
        for attempt in tally.with_outcome(Outcome.ABANDONED):
            stop = tally.stop_of(attempt)
            after = (
                "-" if stop is None else f"{attempt.sent_at - stop.signalled_at:.2f} s"
            )
            yield (
                f"{attempt.id} at {attempt.vm}, sent {after} after SIGTERM: ran, and "
                f"ended with {attempt.status or 'no answer'} after "
                f"{attempt.ended_at - attempt.sent_at:.2f} s"
            )

    def outcome_counts(self, spans):
        """Return the number of requests near the planned stops by outcome."""
        tally = self._tally(spans)
        counts = tally.counts() if tally else {}
        return {f"stops: {each.value}": count for each, count in counts.items()}

    def _tally(self, spans):
        """Return the :class:`Tally` of completed stops; ``None`` if there are none."""
        stops = [each for each in self._stopper.stops if each.ready_at is not None]
        if not stops:
            return None
        planned = [
            each for each in self._ended_attempts() if each.sent_at >= self._started_at
        ]
        runs, kills = collect_runs(spans), self._signals.kills
        return Tally(planned, runs, stops, kills, GRACE_SECONDS)

    def _ended_attempts(self):
        return [each for each in self._clients.attempts if each.ended_at is not None]


def check_attempts(attempts, runs):
    """Yield a line for each violation of rules that do not depend on stops.

    :param attempts: every ended :class:`Attempt`.
    :param runs: ``{attempt id: Run}``.
    """
    for attempt in attempts:
        count = runs[attempt.id].count if attempt.id in runs else 0
        if attempt.kind.once and count > 1:
            yield f"{attempt.id}: ran {count} times"
        if attempt.signed and attempt.response_id != attempt.id:
            yield f"{attempt.id}: response to another request"
        if attempt.signed or attempt.status is None:
            continue
        if attempt.status in NOT_RUN_STATUSES and count:
            yield f"{attempt.id}: refused, but ran"
        if attempt.status not in NOT_RUN_STATUSES and attempt.status in CLIENT_ERRORS:
            yield f"{attempt.id} at {attempt.vm}: client error {attempt.status}"
