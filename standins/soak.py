"""Randomized soak test with fault injection, on separate processes.

Each seed starts a store, targets and VMs, sends requests and injects overlapping
faults: VMs killed, paused or suspended, restarted, or started with a skewed wall clock;
a store that is unavailable, slow, refuses a VM, or loses replies or its change history;
targets that lose, truncate, refuse or delay responses; evacuations and new
configurations; network faults of :mod:`standins.fault_proxy`; the restores of the
store and partitions from all targets of :mod:`standins.soak_restores`; and the
configurations of :mod:`standins.soak_configurations`. With even
seeds, callers compete and some do not read, and machines of targets become slow; see
:mod:`standins.soak_pressure`. It checks, from what clients and targets observe:

- a request that is not idempotent runs at most once;
- a request refused with 503 has not run and does not run later;
- a successful response is signed, complete and belongs to its request;
- no route of all configurations is ever denied, and none that was added for long;
- a configuration written after the last fault is in force at every VM, which denies
  a route that never existed;
- a target removed after the last fault gets no requests once its drain is over, and
  gets requests again when it restarts under the same id;
- after the last fault, requests are served again;
- a target gets no more requests than it asks for in its responses; see
  :mod:`standins.soak_notices`;
- no VM exceeds its memory limit while callers do not read;
- a planned stop aborts no request that is running at a target; see
  :mod:`standins.soak_stops`.
"""

import random
import signal
import sys
import threading
import time
from argparse import ArgumentParser
from collections import Counter
from hashlib import sha256
from http.client import HTTPException

from heathercleat.platform.wire_names import CONTENTION_CONTRACT
from standins.fleet import STOP_SECONDS, wait_for
from standins.soak_configurations import ConfigurationChanges, Configurations
from standins.soak_notices import TargetNotices
from standins.soak_pressure import Pressure
from standins.soak_restores import RestoresAndPartitions
from standins.soak_stops import PlannedStops, long_routes
from standins.steering_fleet import (
    SteeringFleet,
    front_link,
    store_link,
    target_link,
)

DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
TARGETS = {
    "i-1": ("s1", "north-a", 3),
    "i-2": ("s1", "north-b", 3),
    "i-3": ("s1", "south-a", 3),
    "i-4": ("s2", "north-a", 3),
}
SUBNET = 33
CLIENTS = 6
WAIT_MS = 1200
FAULT_GAP_SECONDS = (0.1, 0.6)
FAULT_DURATION_SECONDS = (0.2, 1.5)
#: Seconds of wall clock skew that a restarted VM may have.
CLOCK_SKEW_SECONDS = (-3600.0, -2.0, 2.0, 3600.0)
#: Shortest and longest delay in seconds on a link; the latter exceeds the deadline.
LINK_DELAY_SECONDS = (0.005, 1.5)
RECOVERY_SECONDS = 12.0
#: Seconds after the last fault until every VM applies the drain of a target, the length
#: of that drain, and the delay until a run is recorded.
PROPAGATION_SECONDS = 3.0
DRAIN_SECONDS = 2.0
RUN_RECORD_SECONDS = 0.3
#: Seconds after which an abandoned request can no longer start to run.
ABANDONED_SECONDS = 1.0


class SentRequest:
    """A request and its response; ``status`` is ``None`` when there was none."""

    __slots__ = ("id", "safe", "body", "status", "headers", "response_body")

    def __init__(self, id, safe, body):
        self.id = id
        self.safe = safe
        self.body = body
        self.status = None
        self.headers = {}
        self.response_body = b""


class Clients:
    """Threads that send requests until they are stopped."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._seed = seed
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(CLIENTS)
        ]
        self.sent = []

    def start(self):
        """Start sending."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop sending and wait for the last responses."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        rng = random.Random(f"{self._seed}-{number}")
        vms = list(self._fleet.vms.values())
        count = 0
        while not self._stopping.is_set():
            count += 1
            safe = rng.random() < 0.5
            body = b"" if safe else rng.randbytes(rng.randrange(1, 20_000))
            request = SentRequest(f"{self._seed}-{number}-{count}", safe, body)
            self.sent.append(request)
            self._send(rng.choice(vms), request)
            time.sleep(rng.uniform(0.0, 0.03))

    def _send(self, vm, request):
        method, path = ("GET", "/one/two/x") if request.safe else ("POST", "/one/x")
        try:
            response = self._fleet.send(
                vm, method, path, request.id, request.body or None, WAIT_MS
            )
        except (OSError, HTTPException):
            return
        request.status, request.headers, request.response_body = response


class FaultInjector:
    """Injects random faults and undoes each one later; they may overlap.

    :param rng: source of all random choices.
    :param configurations: the :class:`Configurations`.
    """

    def __init__(self, fleet, rng, configurations):
        self._fleet = fleet
        self._rng = rng
        self._configurations = configurations
        self._undo = []
        # By VM: when it was last ended, started, paused or resumed.
        self.disturbed_at = {}
        self.log = []

    def run(self, seconds):
        """Inject faults for ``seconds``, then undo all of them."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            kind = self._rng.choice(self._kinds())
            undo = kind()
            self.log.append(f"{time.monotonic():.2f} {kind.__name__}")
            if undo is not None:
                until = time.monotonic() + self._rng.uniform(*FAULT_DURATION_SECONDS)
                self._undo.append((until, undo))
            time.sleep(self._rng.uniform(*FAULT_GAP_SECONDS))
            self._undo_due(time.monotonic())
        self._undo_due(float("inf"))

    def start_all(self):
        """Start the VMs that were ended by other faults."""
        for vm in self._fleet.vms.values():
            self._fleet.start_if_ended(vm)

    def _kinds(self):
        return (
            self._kill,
            self._pause,
            self._stop,
            self._store_down,
            self._store_refuses,
            self._store_loses,
            self._store_forgets,
            self._store_slow,
            self._target_fault,
            self._evacuate,
            self._configure,
            self._delay_link,
            self._cut_link,
            self._refuse_link,
            self._reset_link,
            self._silence_link,
        )

    def _undo_due(self, now):
        due = [undo for until, undo in self._undo if until <= now]
        self._undo = [each for each in self._undo if each[0] > now]
        for undo in due:
            undo()

    def _random_vm(self):
        return self._rng.choice(list(self._fleet.vms.values()))

    def _disturbed_vm(self):
        """Return a random VM that is going to be ended or paused."""
        vm = self._random_vm()
        self.disturbed_at[vm.name] = time.monotonic()
        return vm

    def _kill(self):
        vm = self._disturbed_vm()
        vm.process.kill()
        vm.process.wait()
        return lambda: self._start(vm)

    def _stop(self):
        vm = self._disturbed_vm()
        # Another fault may have started a new process by the time of the restart.
        stopped = vm.process
        stopped.send_signal(signal.SIGTERM)

        def restart():
            # Another fault may have paused it.
            stopped.send_signal(signal.SIGCONT)
            stopped.wait(STOP_SECONDS)
            self._start(vm)

        return restart

    def _start(self, vm):
        self.disturbed_at[vm.name] = time.monotonic()
        skew = self._rng.choice((0.0, 0.0, *CLOCK_SKEW_SECONDS))
        self._fleet.start_if_ended(vm, clock_skew=skew)

    def _pause(self):
        vm = self._disturbed_vm()
        paused = vm.process
        paused.send_signal(signal.SIGSTOP)

        def resume():
            self.disturbed_at[vm.name] = time.monotonic()
            paused.send_signal(signal.SIGCONT)

        return resume

    def _store_down(self):
        down = self._rng.choice(["busy", "silent", "reset"])
        self._fleet.switch_store(down=down)
        return lambda: self._fleet.switch_store(down=None)

    def _store_refuses(self):
        self._fleet.switch_store(refused=[self._fleet.store_host(self._random_vm())])
        return lambda: self._fleet.switch_store(refused=[])

    def _store_loses(self):
        self._fleet.switch_store(lose_replies=3)

    def _store_forgets(self):
        self._fleet.switch_store(history=1)
        return lambda: self._fleet.switch_store(history=1000)

    def _store_slow(self):
        self._fleet.switch_store(slow_s=0.4)
        return lambda: self._fleet.switch_store(slow_s=0.0)

    def _target_fault(self):
        target = self._rng.choice(list(TARGETS))
        name, value, normal = self._rng.choice(
            [
                ("lose", True, False),
                ("cut", True, False),
                ("stray", True, False),
                ("shed", 0.5, 0.0),
                ("status", 500, 200),
                ("work_s", 0.6, 0.02),
            ]
        )
        self._fleet.switch_target(target, **{name: value})
        return lambda: self._fleet.switch_target(target, **{name: normal})

    def _random_link(self):
        names = [target_link(each) for each in TARGETS]
        for vm in self._fleet.vms.values():
            names += [store_link(vm), front_link(vm)]
        return self._rng.choice(names)

    def _delay_link(self):
        link = self._random_link()
        self._fleet.switch_link(link, delay_s=self._rng.uniform(*LINK_DELAY_SECONDS))
        return lambda: self._fleet.switch_link(link, delay_s=0.0)

    def _cut_link(self):
        link = self._random_link()
        self._fleet.switch_link(link, cut=self._rng.choice(("up", "down", "both")))
        return lambda: self._fleet.switch_link(link, cut=None)

    def _refuse_link(self):
        link = self._random_link()
        self._fleet.switch_link(link, refuse=True, reset=True)
        return lambda: self._fleet.switch_link(link, refuse=False)

    def _reset_link(self):
        self._fleet.switch_link(self._random_link(), reset=True)

    def _silence_link(self):
        self._fleet.switch_link(self._random_link(), silence=True)

    def _evacuate(self):
        domain = self._rng.choice(list(DOMAINS))
        self._fleet.put("op", f"evacuate/{domain}", {})
        return lambda: self._fleet.put("op", f"evacuate/{domain}", None)

    def _configure(self):
        self._configurations.write()


def check_target_removal(fleet, seed):
    """Yield a line if a removed target gets requests, or gets none after a restart.

    Clients keep sending. The target either announces its drain or its entry is removed.
    """
    rng = random.Random(f"{seed}-leaving")
    target = rng.choice(list(TARGETS))
    removal_delay = rng.uniform(0.0, PROPAGATION_SECONDS)
    time.sleep(removal_delay)
    if rng.random() < 0.5:
        fleet.announce(target, state="draining", sequence=9)
    else:
        fleet.put("servers", target, None)
    time.sleep(PROPAGATION_SECONDS - removal_delay + DRAIN_SECONDS + RUN_RECORD_SECONDS)
    count = len(fleet.record(target)["runs"])
    time.sleep(DRAIN_SECONDS)
    late_ids = [run[0] for run in fleet.record(target)["runs"][count:]]
    if late_ids:
        yield f"{target} got requests after its drain: {late_ids}"
    fleet.announce(target, sequence=1, born=1)
    try:
        wait_for(lambda: len(fleet.record(target)["runs"]) > count, RECOVERY_SECONDS)
    except TimeoutError as error:
        yield f"{target} gets no requests after its restart: {error!r}"


def check(sent, runs):
    """Yield a line for each violation.

    :param sent: every :class:`SentRequest`.
    :param runs: ``[request id, path, deadline in ms, body digest]`` of every run.
    """
    counts = Counter(run[0] for run in runs)
    for request in sent:
        if not request.safe and counts[request.id] > 1:
            yield f"{request.id}: ran {counts[request.id]} times"
        if request.status == 503 and counts[request.id]:
            yield f"{request.id}: refused, but ran"
        if request.status == 404:
            yield f"{request.id}: denied, though all configurations have its route"
        if request.status == 200:
            yield from _check_success(request)


def _check_success(request):
    if request.headers.get("response-signature") != "signed":
        yield f"{request.id}: successful response without the target's signature"
    if request.headers.get("request-id") != request.id:
        yield f"{request.id}: response to another request"
    if request.response_body != sha256(request.body).hexdigest().encode():
        yield f"{request.id}: incomplete response"


def run_seed(
    seed,
    seconds,
    config,
    vms_per_domain=1,
    with_stops=True,
    with_notices=True,
    with_restores=True,
):
    """Run one seed; return report lines and the number of requests by outcome.

    The lines are the violations, followed by the injected faults; without a violation
    there are none.

    :param vms_per_domain: number of VMs in each failure domain.
    :param with_stops: whether planned stops follow the faults.
    :param with_notices: whether targets ask for less after the faults.
    :param with_restores: whether the store is restored, VMs are partitioned from all
        targets and configurations change beside the other faults.
    """
    rng = random.Random(seed)
    vms = dict.fromkeys(DOMAINS, vms_per_domain)
    config["hosts"][0]["paths"].extend(long_routes())
    # With odd seeds, a paused process behaves like a suspended VM.
    suspends = seed % 2 == 1
    is_contended = not suspends
    with SteeringFleet(
        config,
        DOMAINS,
        vms,
        TARGETS,
        subnet=SUBNET,
        proxied=True,
        suspends=suspends,
        contracts=[CONTENTION_CONTRACT] if is_contended else [],
    ) as fleet:
        configurations = Configurations(fleet, config)
        faults = FaultInjector(fleet, rng, configurations)
        clients = Clients(fleet, seed)
        # A separate generator keeps the random choices of the faults independent.
        stops = PlannedStops(fleet, DOMAINS, seed, random.Random(f"{seed}-stops"))
        restores = RestoresAndPartitions(
            fleet, faults.disturbed_at, random.Random(f"{seed}-restores")
        )
        changes = ConfigurationChanges(
            fleet,
            configurations,
            faults.disturbed_at,
            seed,
            random.Random(f"{seed}-configurations"),
        )
        pressure = Pressure(fleet, TARGETS, random.Random(f"{seed}-pressure"))
        clients.start()
        stops.start_clients()
        try:
            if is_contended:
                pressure.start(seconds)
            if with_restores:
                restores.start(seconds)
                changes.start(seconds)
            faults.run(seconds)
            if with_restores:
                restores.join()
                changes.join()
            faults.start_all()
            violations = list(changes.check())
            if is_contended:
                pressure.join()
                violations.extend(pressure.check())
            violations.extend(check_target_removal(fleet, seed))
            if with_notices:
                violations.extend(TargetNotices(fleet, seed).check())
        finally:
            clients.stop()
        if with_stops:
            violations.extend(stops.run())
        violations.extend(_check_recovery(fleet, seed))
        stops.stop_clients()
        time.sleep(ABANDONED_SECONDS)
        violations.extend(check(clients.sent, fleet.runs()))
        spans = fleet.spans()
        violations.extend(stops.check(spans))
        outcomes = Counter(request.status for request in clients.sent)
        outcomes.update(stops.outcome_counts(spans))
    if violations:
        violations.extend(
            f"fault: {line}" for line in _merge_logs(faults, restores, changes, stops)
        )
    return violations, outcomes


def _merge_logs(*injectors):
    """Return the lines of all logs in the order of their times."""
    lines = [line for each in injectors for line in each.log]
    return sorted(lines, key=lambda line: float(line.split()[0]))


def _check_recovery(fleet, seed):
    """Yield a line for each VM that does not recover."""
    for vm in fleet.vms.values():
        if vm.process.poll() is not None:
            fleet.start_vm(vm)
    for vm in fleet.vms.values():
        try:
            wait_for(
                lambda vm=vm: (
                    fleet.is_ready(vm)
                    and fleet.send(vm, "GET", "/one/two/x", f"{seed}-after")[0] == 200
                ),
                RECOVERY_SECONDS,
            )
        except (TimeoutError, OSError, HTTPException) as error:
            yield f"{vm.name} does not recover: {error!r}"


def main():
    """Run seeds and report each violation."""
    from tests.platform_samples import config

    parser = ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--vms", type=int, default=1, help="VMs in a failure domain")
    parser.add_argument("--seconds", type=float, default=8.0, help="seconds per seed")
    args = parser.parse_args()
    failed = []
    for seed in range(args.first, args.first + args.seeds):
        violations, outcomes = run_seed(seed, args.seconds, config(), args.vms)
        print(f"seed {seed}: {dict(outcomes)}, {len(violations)} lines on violations")
        for line in violations:
            print(f"  {line}")
        if violations:
            failed.append(seed)
    print(f"{args.seeds} seeds, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
