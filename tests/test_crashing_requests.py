"""A request that crashes targets must not be sent to more targets, from any VM.

Its fingerprint attributes the crashes of several targets and attempts to it.
"""

import itertools
import random
import signal
import threading
import time

import pytest
from curio import run, sleep, spawn

from heathercleat import ResultCode
from heathercleat.errors import RequestError
from heathercleat.steering.process.capacity.admission import Admission
from heathercleat.steering.process.capacity.response_times import ResponseTimes
from heathercleat.steering.process.capacity.run_times import RunTimes
from heathercleat.steering.process.quarantine.rows import QUARANTINE_TABLE
from heathercleat.steering.process.quarantine.suspects import Suspects
from heathercleat.steering.process.shutdown import Shutdown
from heathercleat.steering.request.attempt_result import (
    QUARANTINED_REASON,
    AttemptOutcome,
    AttemptResult,
)
from heathercleat.steering.request.destinations import Destination
from heathercleat.steering.request.fingerprint import fingerprint
from heathercleat.steering.request.local import LocalDispatcher
from standins.steering_fleet import SteeringFleet
from tests.platform_samples import config
from tests.steering_parts import Parts, ReachableTargets, call, entry, make_heartbeat
from tests.test_steer import SteeringSetup, answered

DOMAINS = {"north-a": "north", "north-b": "north", "south-a": "south"}
TARGETS = {
    f"i-{number}": ("s1", list(DOMAINS)[number % 3], 4) for number in range(1, 13)
}
#: Seconds for which a crashed target is down.
DOWN_SECONDS = 1.0
#: Seconds between two attempts of the caller.
ATTEMPT_INTERVAL_SECONDS = 0.25
ATTEMPTS = 40
#: Seconds until all running VMs have learned of the third crash.
STABLE_SECONDS = 3.0
#: Maximum number of crashes after that.
MAX_LATER_CRASHES = 3
#: Three crashes, three more while VMs exchange updates, and two of an attempt in
#: progress.
MAX_TOTAL_CRASHES = 8
#: Minimum share of the other callers' requests that succeed.
MIN_SERVED_SHARE = 0.98
#: Number of other callers.
OTHER_CALLERS = 3


def plain_config():
    """Return a configuration whose routes all lead to one service."""
    document = config()
    for path in document["hosts"][0]["paths"]:
        path.pop("trafficSplit", None)
        path["service"] = "s1"
    return document


@pytest.fixture
def fleet():
    with SteeringFleet(
        plain_config(), DOMAINS, dict.fromkeys(DOMAINS, 2), TARGETS, subnet=42
    ) as started:
        yield started


class OtherCallers:
    """Callers that send other requests of the same route without a pause.

    :param named: whether their requests have a cookie that identifies the sender.
    """

    def __init__(self, fleet, named=False):
        self._fleet = fleet
        self._named = named
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(OTHER_CALLERS)
        ]
        self.statuses = []

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        """Alternate between a request that all callers send and a new one."""
        rng = random.Random(number)
        vms = list(self._fleet.vms.values())
        headers = {"Cookie": f"Affinity-Key=o{number}"} if self._named else {}
        for count in itertools.count():
            if self._stopping.is_set():
                return
            path = f"/one/two/{number}-{count}" if count % 2 else "/one/two/x"
            vm = rng.choice(vms)
            response = self._fleet.send(vm, "GET", path, f"o{number}", **headers)
            self.statuses.append(response[0])


def send_repeatedly(fleet, method, path, attempts=ATTEMPTS):
    """Send the same request to each VM in turn; return the statuses."""
    vms = list(fleet.vms.values())
    statuses = []
    for number in range(attempts):
        vm = vms[number % len(vms)]
        response = fleet.send(vm, method, path, f"q{number}", Cookie="Affinity-Key=28")
        statuses.append(response[0])
        time.sleep(ATTEMPT_INTERVAL_SECONDS)
    return statuses


@pytest.mark.parametrize(
    ("method", "path"), [("GET", "/one/two/fatal"), ("POST", "/one/fatal")]
)
def test_request_that_crashed_three_targets_is_not_sent_to_others(fleet, method, path):
    fleet.set_fatal_paths([path], DOWN_SECONDS)
    with OtherCallers(fleet) as others:
        statuses = send_repeatedly(fleet, method, path)
    crash_instants = [instant for instant, _ in fleet.crashes()]
    later = [
        instant
        for instant in crash_instants
        if instant > crash_instants[2] + STABLE_SECONDS
    ]
    served = others.statuses.count(200) / len(others.statuses)
    assert len(later) <= MAX_LATER_CRASHES
    assert len(crash_instants) <= MAX_TOTAL_CRASHES
    assert statuses[-1] == 503
    assert served >= MIN_SERVED_SHARE


def test_each_crash_of_a_target_is_logged_with_the_request(fleet):
    fleet.set_fatal_paths(["/one/fatal"], DOWN_SECONDS)
    send_repeatedly(fleet, "POST", "/one/fatal", attempts=2)
    lines = [line for vm in fleet.vms.values() for line in fleet.log(vm)]
    crashes = [line for line in lines if line["name"] == "target_ended"]
    # Sorted because the logs of all VMs are read one after another.
    assert sorted(line["request"] for line in crashes) == ["q0", "q1"]
    assert len({line["target"] for line in crashes}) == 2
    assert len({line["fingerprint"] for line in crashes}) == 1


def test_quarantine_outlives_all_vms(fleet):
    """Its row is kept in the store while all VMs are killed and restarted."""
    fleet.set_fatal_paths(["/one/fatal"], DOWN_SECONDS)
    send_repeatedly(fleet, "POST", "/one/fatal", attempts=12)
    before = len(fleet.crashes())
    for vm in fleet.vms.values():
        fleet.stop_vm(vm, signal.SIGKILL)
    for vm in fleet.vms.values():
        fleet.restart_vm(vm)
    fleet.wait_ready()
    time.sleep(STABLE_SECONDS)
    statuses = send_repeatedly(fleet, "POST", "/one/fatal", attempts=12)
    assert set(statuses) == {503}
    assert len(fleet.crashes()) == before


@pytest.mark.parametrize(
    ("at_once", "waves", "gap"),
    [(1, 10, 0.6), (4, 4, 1.5)],
    ids=["one after the other", "a third of the service at once"],
)
def test_crashes_not_caused_by_requests_quarantine_nothing(fleet, at_once, waves, gap):
    fleet.set_fatal_paths([], DOWN_SECONDS)
    for target in TARGETS:
        fleet.switch_target(target, work_s=0.2)
    rng = random.Random(at_once)
    with OtherCallers(fleet) as others:
        for _ in range(waves):
            for target in rng.sample(list(TARGETS), at_once):
                fleet.crash_target(target)
            time.sleep(gap)
    lines = [line for vm in fleet.vms.values() for line in fleet.log(vm)]
    names = {line["name"] for line in lines}
    assert "target_ended" in names
    assert "request_quarantined" not in names
    assert others.statuses.count(200) > 0


def test_lost_responses_of_targets_that_keep_running_quarantine_nothing(fleet):
    for target in TARGETS:
        fleet.switch_target(target, lose=True)
    statuses = send_repeatedly(fleet, "POST", "/one/x", attempts=12)
    assert set(statuses) == {502}
    lines = [line for vm in fleet.vms.values() for line in fleet.log(vm)]
    assert "target_ended" not in {line["name"] for line in lines}


def test_operators_lift_a_quarantine_by_removing_its_row(fleet):
    fleet.set_fatal_paths(["/one/fatal"], DOWN_SECONDS)
    send_repeatedly(fleet, "POST", "/one/fatal", attempts=8)
    time.sleep(2.0)
    fleet.set_fatal_paths([], DOWN_SECONDS)
    lines = [line for vm in fleet.vms.values() for line in fleet.log(vm)]
    quarantine_line = next(
        line for line in lines if line["name"] == "request_quarantined"
    )
    fleet.put(QUARANTINE_TABLE, quarantine_line["fingerprint"], None)
    time.sleep(STABLE_SECONDS)
    statuses = send_repeatedly(fleet, "POST", "/one/fatal", attempts=6)
    assert set(statuses) == {200}


def test_request_whose_targets_crashed_while_it_waited_is_not_sent():
    parts = Parts([entry("t1", slots=1)])
    suspects = Suspects(parts.journal, parts.clock)
    local = LocalDispatcher(
        Admission(parts.ledger, parts.members.region_of, parts.clock),
        parts.ledger,
        parts.registry,
        None,
        ResponseTimes(),
        Shutdown(RunTimes(parts.clock), lambda: True),
        None,
        suspects,
        ReachableTargets(),
        parts.journal,
        parts.clock,
    )
    (target,) = parts.ledger.all()
    request = call(parts.clock)
    request.fingerprint = "f"
    request.give_up_at = parts.clock.now() + 5.0

    async def main():
        use = target.claim(parts.clock.now())
        until = parts.clock.now() + 5.0
        task = await spawn(local.run, request, (), (), until)
        await sleep(0)
        for incarnation in ("t2", "t3", "t4"):
            suspects.record_crash("f", incarnation)
        await local._admission.release(use, False)
        return await task.join()

    result = run(main)
    assert (result.outcome, result.reason) == (
        AttemptOutcome.NOT_SENT,
        QUARANTINED_REASON,
    )


def test_refusal_of_the_owner_is_final():
    """The owner may know of a crash before this VM is notified."""
    refused = AttemptResult(AttemptOutcome.NOT_SENT, reason=QUARANTINED_REASON)
    setup = SteeringSetup([refused, answered()])
    with pytest.raises(RequestError) as caught:
        setup.run(setup.call())
    assert caught.value.code is ResultCode.QUARANTINED
    assert caught.value.retry_at > setup.parts.clock.now()
    assert len(setup.local.tried) == 1


def test_quarantine_after_an_attempt_reports_an_unknown_outcome():
    """A refusal would state that the request has not run."""
    unknown = AttemptResult(AttemptOutcome.UNKNOWN, target="t1", reason="why")
    refused = AttemptResult(AttemptOutcome.NOT_SENT, reason=QUARANTINED_REASON)
    setup = SteeringSetup([unknown, refused, answered()])
    with pytest.raises(RequestError) as caught:
        setup.run(setup.call())
    assert caught.value.code is ResultCode.ANSWER_LOST
    assert len(setup.local.tried) == 2


def test_request_that_begins_to_crash_targets_is_quarantined(fleet):
    path = "/one/two/fatal"
    assert send_repeatedly(fleet, "GET", path, attempts=4) == [200] * 4
    fleet.set_fatal_paths([path], DOWN_SECONDS)
    statuses = send_repeatedly(fleet, "GET", path, attempts=32)
    assert statuses[-8:] == [503] * 8
    crash_instants = [instant for instant, _ in fleet.crashes()]
    later = [
        instant
        for instant in crash_instants
        if instant > crash_instants[2] + STABLE_SECONDS
    ]
    assert len(later) <= MAX_LATER_CRASHES


def test_crash_reported_by_another_vm_counts_at_once():
    crashed = AttemptResult(AttemptOutcome.UNKNOWN, target="t1", reason="why")
    crashed.crashed_incarnation = "t1"
    remote = [entry("t1", domain="south-a")]
    setup = SteeringSetup([], entries=remote, forwarded=[crashed])
    setup.suspects.record_crash("", "t2")
    setup.suspects.record_crash("", "t3")
    dispatcher = setup.steering._dispatcher
    destination = Destination("vm-2", None, (), is_remote=False)
    setup.parts.members.record_heartbeat(make_heartbeat("vm-2"))
    run(dispatcher.run, setup.call(), destination, (), setup.parts.clock.now() + 1.0)
    assert setup.suspects.refused_until("") is not None


@pytest.mark.parametrize(
    "change",
    [
        {"method": b"POST"},
        {"path": b"/one/y"},
        {"body": b"x"},
        {"headers": [(b"host", b"a"), (b"cookie", b"k=2")]},
        {"headers": [(b"host", b"b"), (b"cookie", b"k=1")]},
        {"headers": [(b"host", b"a"), (b"authorization", b"k=1")]},
        {"headers": [(b"host", b"a")]},
    ],
)
def test_different_requests_have_different_fingerprints(change):
    sent = {
        "method": b"GET",
        "path": b"/one/x",
        "headers": [(b"host", b"a"), (b"cookie", b"k=1")],
        "body": b"",
    }
    assert fingerprint(**sent) != fingerprint(**{**sent, **change})


def test_attempts_of_one_request_have_one_fingerprint():
    headers = [(b"host", b"a"), (b"cookie", b"k=1")]
    first = fingerprint(b"GET", b"/x", [*headers, (b"request-id", b"1")], b"")
    again = fingerprint(b"GET", b"/x", [*headers, (b"request-id", b"2")], b"")
    assert first == again
