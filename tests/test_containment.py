"""A sender whose requests all differ must not crash an unlimited number of targets.

Each request has a new fingerprint, so the quarantine of single requests does not apply.
"""

import random
import time

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from heathercleat import ResultCode
from heathercleat.process.logs import Journal
from heathercleat.steering.process.quarantine.policies import (
    SENDER_POLICY,
    UNKNOWN_SENDERS_POLICY,
)
from heathercleat.steering.process.quarantine.responses import (
    EXEMPTION_SECONDS,
    MAX_CREDITS,
)
from heathercleat.steering.process.quarantine.suspect import (
    CLEARED_RETENTION_SECONDS,
    MAX_CRASHES,
)
from heathercleat.steering.process.quarantine.suspects import (
    MAX_SUSPECTS,
    MIN_REMAINING_SECONDS,
    Suspects,
)
from heathercleat.steering.request.attempt_result import (
    AttemptOutcome,
    AttemptResult,
    TargetResponse,
)
from heathercleat.steering.request.crash_limits import (
    MAX_SENDERS,
    MAX_TRIALS,
    CrashLimits,
)
from heathercleat.steering.request.fingerprint import fingerprint, sender_digest
from tests.fakes import ManualClock
from tests.steering_parts import call, entry
from tests.test_crashing_requests import (
    ATTEMPT_INTERVAL_SECONDS,
    ATTEMPTS,
    DOWN_SECONDS,
    OtherCallers,
    fleet,  # noqa: F401
)
from tests.test_steer import SteeringSetup
from tests.test_suspects import gossip

HEARTBEATS_TO_CONVERGE = 12
ANSWERED = AttemptResult(AttemptOutcome.ANSWERED, TargetResponse(200, [], b""))
INCARNATIONS = [f"i-{number}" for number in range(MAX_CRASHES + 4)]


class View:
    """The crash limits of one VM, and requests that arrive there."""

    def __init__(self, clock):
        self.clock = clock
        self.suspects = Suspects(Journal("vm-1", "north-a"), clock)
        self.crash_limits = CrashLimits(self.suspects, clock)
        self._requests = iter(range(1_000_000))

    def call(self, cookie=None, path=None):
        """Return a request, by default with a new path each time.

        :param cookie: identifies the sender; ``None`` for a request without a sender.
        """
        request = call(self.clock)
        path = path or b"/%d-%d" % (id(self), next(self._requests))
        request.headers = [(b"host", b"a")]
        if cookie is not None:
            request.headers.append((b"cookie", cookie))
        request.fingerprint = fingerprint(b"GET", path, request.headers, b"")
        return request

    def refusal(self, request):
        """Return the error of a refused request, or ``None`` if it is admitted."""
        return self.crash_limits.check_or_start_trial(request)

    def is_refused(self, cookie=None):
        return self.refusal(self.call(cookie)) is not None

    def record_crash(self, incarnation, request=None, cookie=None):
        """Admit a request and record that it crashed a target."""
        request = request or self.call(cookie)
        assert self.refusal(request) is None
        result = AttemptResult(AttemptOutcome.UNKNOWN, target=incarnation)
        result.crashed_incarnation = incarnation
        self.crash_limits.record_result(request, result, False)

    def record_response(self, request=None, cookie=None):
        """Admit a request, record its response, and return the request."""
        request = request or self.call(cookie)
        assert self.refusal(request) is None
        self.crash_limits.record_result(
            request,
            AttemptResult(AttemptOutcome.ANSWERED, TargetResponse(200, [], b"")),
            False,
        )
        return request


@pytest.fixture
def view():
    return View(ManualClock())


def limit_sender(view, cookie=b"k=1"):
    view.record_response(cookie=cookie)
    view.clock.time += EXEMPTION_SECONDS + 0.1
    for incarnation in INCARNATIONS[: SENDER_POLICY.refusal_threshold]:
        view.record_crash(incarnation, cookie=cookie)


def limit_unknown_senders(view):
    for incarnation in INCARNATIONS[: UNKNOWN_SENDERS_POLICY.refusal_threshold]:
        view.record_crash(incarnation)


def test_sender_of_different_fatal_requests_is_refused(view):
    limit_sender(view)
    refusal = view.refusal(view.call(b"k=1"))
    assert refusal.code is ResultCode.GROUP_LIMITED
    assert refusal.retry_at == view.clock.now() + SENDER_POLICY.initial_refusal_seconds


def test_other_senders_are_admitted_beside_a_limited_one(view):
    view.record_response(cookie=b"k=2")
    limit_sender(view)
    assert not view.is_refused(b"k=2")
    assert not view.is_refused(b"k=3")


def test_sender_that_repeats_one_request_is_a_known_sender(view):
    view.record_response(view.call(b"k=1", b"/popular"))
    view.record_response(view.call(b"k=1", b"/popular"))
    limit_unknown_senders(view)
    assert not view.is_refused(b"k=1")


def test_limit_applies_to_one_route_and_service(view):
    limit_sender(view)
    elsewhere = view.call(b"k=1")
    elsewhere.service = "s2"
    assert view.refusal(elsewhere) is None


def test_request_that_had_a_response_is_admitted_whatever_its_sender_sends(view):
    popular = view.record_response(view.call(b"k=1", b"/popular"))
    limit_sender(view)
    again = view.call(b"k=1", b"/popular")
    assert again.fingerprint == popular.fingerprint
    assert view.refusal(again) is None


def test_response_to_a_popular_request_does_not_clear_its_sender(view):
    view.record_response(view.call(b"k=1", b"/popular"))
    limit_sender(view)
    view.record_response(view.call(b"k=1", b"/popular"))
    assert view.is_refused(b"k=1")


def test_unknown_senders_are_refused_together_and_known_senders_are_not(view):
    view.record_response(cookie=b"known")
    view.clock.time += EXEMPTION_SECONDS + 0.1
    for number, incarnation in enumerate(
        INCARNATIONS[: UNKNOWN_SENDERS_POLICY.refusal_threshold]
    ):
        view.record_crash(incarnation, cookie=b"new-%d" % number)
    assert view.is_refused(b"another new one")
    assert view.is_refused()
    assert not view.is_refused(b"known")


def test_response_to_an_unknown_sender_offsets_one_crash(view):
    for incarnation in INCARNATIONS[: UNKNOWN_SENDERS_POLICY.refusal_threshold - 1]:
        view.record_crash(incarnation)
    view.record_response()
    view.record_crash(INCARNATIONS[-1])
    assert not view.is_refused()
    view.record_crash(INCARNATIONS[-2])
    assert view.is_refused()


def test_responses_to_unknown_senders_offset_as_many_crashes_at_once_after_them(view):
    """This keeps a service available if many of its targets crash at once."""
    for _ in range(UNKNOWN_SENDERS_POLICY.refusal_threshold):
        view.record_response()
    limit_unknown_senders(view)
    assert not view.is_refused()
    for incarnation in INCARNATIONS[UNKNOWN_SENDERS_POLICY.refusal_threshold :][
        : UNKNOWN_SENDERS_POLICY.refusal_threshold
    ]:
        view.record_crash(incarnation)
    assert view.is_refused()


@pytest.mark.parametrize("crashes_per_second", [1, 10])
def test_crashes_among_many_responses_to_unknown_senders_limit_nobody(
    view, crashes_per_second
):
    rng = random.Random(crashes_per_second)
    for number in range(600):
        view.clock.time += 0.02
        if rng.random() < 0.02 * crashes_per_second:
            view.record_crash(f"i-{number}")
        else:
            view.record_response()
        assert not view.is_refused()


def test_one_trial_at_a_time_after_the_refusal_period(view):
    limit_sender(view)
    view.clock.time += SENDER_POLICY.initial_refusal_seconds + 0.1
    trial = view.call(b"k=1")
    assert view.refusal(trial) is None
    assert view.refusal(trial) is None
    other = view.call(b"k=1")
    other.id = trial.id
    assert view.refusal(other).retry_at == trial.deadline


def test_trial_that_crashes_its_target_doubles_the_refusal_period(view):
    limit_sender(view)
    view.clock.time += SENDER_POLICY.initial_refusal_seconds + 0.1
    view.record_crash(INCARNATIONS[-1], cookie=b"k=1")
    refusal = view.refusal(view.call(b"k=1"))
    assert (
        refusal.retry_at == view.clock.now() + 2 * SENDER_POLICY.initial_refusal_seconds
    )


def test_trial_with_a_response_releases_its_sender(view):
    limit_sender(view)
    view.clock.time += SENDER_POLICY.initial_refusal_seconds + 0.1
    view.record_response(cookie=b"k=1")
    assert not view.is_refused(b"k=1")


def test_expired_trial_allows_another(view):
    limit_sender(view)
    view.clock.time += SENDER_POLICY.initial_refusal_seconds + 0.1
    trial = view.call(b"k=1")
    view.refusal(trial)
    view.clock.time = trial.deadline + 0.1
    assert not view.is_refused(b"k=1")


def test_limit_of_one_vm_applies_at_another():
    clock = ManualClock()
    here, there = View(clock), View(clock)
    limit_sender(here)
    gossip(here.suspects, there.suspects)
    assert there.is_refused(b"k=1")


def test_responses_at_one_vm_clear_unknown_senders_at_another():
    clock = ManualClock()
    here, there = View(clock), View(clock)
    for _ in range(UNKNOWN_SENDERS_POLICY.refusal_threshold):
        there.record_response()
    limit_unknown_senders(here)
    gossip(here.suspects, there.suspects)
    gossip(there.suspects, here.suspects)
    assert not here.is_refused()
    assert here.suspects.digest == there.suspects.digest


def test_cleared_crashes_leave_room_for_others(view):
    """Cleared crashes must not use up the limited number of stored crashes."""
    for incarnation in INCARNATIONS[:MAX_CRASHES]:
        view.record_crash(incarnation, cookie=b"k=1")
        view.record_response(cookie=b"k=1")
        view.clock.time += EXEMPTION_SECONDS + 0.1
    view.clock.time += CLEARED_RETENTION_SECONDS
    limit_sender(view)
    assert view.is_refused(b"k=1")


def test_every_limit_expires(view):
    for incarnation in INCARNATIONS:
        request = view.call(b"k=1")
        request.groups = None
        result = AttemptResult(AttemptOutcome.UNKNOWN, target=incarnation)
        result.crashed_incarnation = incarnation
        view.refusal(request)
        view.crash_limits.record_result(request, result, False)
    assert view.is_refused(b"k=1")
    view.clock.time += SENDER_POLICY.retention_seconds + 0.1
    assert not view.is_refused(b"k=1")


def test_memory_is_bounded_for_an_attacker_with_100_000_requests(view):
    for number in range(100_000):
        request = view.call(b"k=%d" % number)
        view.refusal(request)
        result = AttemptResult(AttemptOutcome.UNKNOWN, target="t")
        result.crashed_incarnation = f"i-{number}"
        view.crash_limits.record_result(request, result, False)
        view.crash_limits.record_result(
            request,
            AttemptResult(AttemptOutcome.ANSWERED, TargetResponse(200, [], b"")),
            False,
        )
    crash_limits = view.crash_limits
    assert view.suspects.count <= MAX_SUSPECTS
    assert len(crash_limits._known_senders) <= MAX_SENDERS
    assert len(crash_limits._trials) <= MAX_TRIALS


def test_request_without_credentials_has_no_sender():
    assert sender_digest([(b"host", b"a")]) is None
    named = [(b"host", b"a"), (b"cookie", b"k=1")]
    assert sender_digest(named) == sender_digest([*named, (b"request-id", b"2")])
    assert sender_digest(named) != sender_digest(
        [(b"host", b"a"), (b"authorization", b"k=1")]
    )


def test_suspected_request_is_isolated_at_one_of_few_targets():
    setup = SteeringSetup(
        [], entries=[entry(f"t{number}", slots=2) for number in range(8)]
    )
    few = setup.view.regions("s1")["north"].isolation_candidates
    few = [each.entry.id for each in few]
    others = {f"t{number}" for number in range(8)} - set(few)
    assert len(few) == 2
    request = setup.call()
    for first in few:
        request.needs_isolation = True
        assert setup.destinations.select_free(request, (), ()).target == first
        setup.parts.ledger.get(first).claim(setup.parts.clock.now())
    assert setup.destinations.select_free(request, (), ()).target in others


def test_suspected_request_is_not_isolated_at_the_only_target_with_free_slots():
    setup = SteeringSetup([], entries=[entry("t1", slots=2)])
    request = setup.call()
    request.needs_isolation = True
    assert (
        setup.destinations._find_isolated(setup.destinations._eligible_targets(request))
        is None
    )
    assert setup.destinations.select_free(request, (), ()).target == "t1"


def test_request_whose_target_crashed_is_isolated_when_retried(view):
    request = view.call()
    view.record_crash("i-1", request)
    assert request.needs_isolation


class LimitMachine(RuleBasedStateMachine):
    """Several VMs with malicious and harmless senders that exchange suspects."""

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.views = [View(self.clock) for _ in range(3)]
        self.incarnations = iter(range(1_000_000))
        self.seen = set()

    def attempt(self, view, name, is_fatal):
        request = view.call(name)
        if view.refusal(request) is not None:
            return
        if is_fatal:
            incarnation = f"i-{next(self.incarnations)}"
            self.seen.add(incarnation)
            view.record_crash(incarnation, request)
        else:
            view.record_response(request)

    @rule(vm=st.integers(0, 2), name=st.sampled_from([b"k=1", b"k=2", None]))
    def crash(self, vm, name):
        self.attempt(self.views[vm], name, is_fatal=True)

    @rule(vm=st.integers(0, 2), name=st.sampled_from([b"k=1", b"sound", None]))
    def answer(self, vm, name):
        self.attempt(self.views[vm], name, is_fatal=False)

    @rule(vm=st.integers(0, 2))
    def popular(self, vm):
        """A request that had a response is never refused."""
        view = self.views[vm]
        request = view.call(b"sound", b"/popular")
        if not view.suspects.has_response(request.fingerprint):
            return self.attempt(view, b"sound", is_fatal=False)
        assert view.refusal(request) is None

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def tell(self, sender, receiver):
        gossip(self.views[sender].suspects, self.views[receiver].suspects)

    @rule(vm=st.integers(0, 2))
    def restart(self, vm):
        self.views[vm] = View(self.clock)

    @rule(seconds=st.floats(0.1, 20.0))
    def wait(self, seconds):
        self.clock.time += seconds

    @invariant()
    def no_crash_is_invented_or_counted_twice(self):
        for view in self.views:
            for suspect in view.suspects.all():
                assert len(suspect.ends) == len(set(suspect.ends)) <= MAX_CRASHES
                assert set(suspect.cleared) <= set(suspect.ends) <= self.seen

    @invariant()
    def every_refusal_expires(self):
        for view in self.views:
            for suspect in view.suspects.all():
                assert suspect.refused_until <= suspect.until

    def teardown(self):
        """All VMs converge after an exchange, and all limits expire."""
        if not hasattr(self, "views"):
            return
        # A heartbeat carries a limited number of suspects.
        for _ in range(HEARTBEATS_TO_CONVERGE):
            for sender_view in self.views:
                for receiver in self.views:
                    gossip(sender_view.suspects, receiver.suspects)
        crashes_by_key = [_crashes_by_key(view) for view in self.views]
        announced = set().union(*map(_announced_keys, self.views))
        for key in announced.difference(*map(_expiring_keys, self.views)):
            assert len({each.get(key) for each in crashes_by_key}) == 1
        self.clock.time += SENDER_POLICY.retention_seconds + 1.0
        for view in self.views:
            assert not view.is_refused(b"k=1")
            assert not view.is_refused()


def _crashes_by_key(view):
    return {
        each.fingerprint: (frozenset(each.ends), frozenset(each.cleared))
        for each in view.suspects.all()
    }


def _announced_keys(view):
    """Return the keys that a VM still announces for some seconds."""
    min_expiry = view.clock.now() + MIN_REMAINING_SECONDS + 3.0
    return {each.fingerprint for each in view.suspects.all() if each.until > min_expiry}


def _expiring_keys(view):
    """Return the keys that a VM knows but no longer announces, or soon will not."""
    min_expiry = view.clock.now() + MIN_REMAINING_SECONDS + 1.0
    return {
        each.fingerprint for each in view.suspects.all() if each.until <= min_expiry
    }


LimitMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestLimitMachine = LimitMachine.TestCase


def test_credits_of_responses_are_bounded(view):
    for _ in range(3 * MAX_CREDITS):
        view.record_response()
    for number in range(MAX_CREDITS + UNKNOWN_SENDERS_POLICY.refusal_threshold):
        view.record_crash(f"i-{number}")
    assert view.is_refused()


#: The refusal threshold of unknown senders, as many again while VMs exchange updates,
#: and two of a trial at each of the six VMs.
MAX_TOTAL_CRASHES = 2 * UNKNOWN_SENDERS_POLICY.refusal_threshold + 2 * 6
MIN_SERVED_SHARE = 0.95
#: Seconds in which all VMs record the other callers as known senders.
WARM_UP_SECONDS = 3.0


@pytest.mark.parametrize("is_known", [True, False], ids=["sender", "unknown senders"])
def test_different_fatal_requests_crash_a_bounded_number_of_targets(
    fleet,  # noqa: F811
    is_known,
):
    paths = [f"/one/two/fatal-{number}" for number in range(ATTEMPTS)]
    fleet.set_fatal_paths(paths, DOWN_SECONDS)
    vms = list(fleet.vms.values())
    with OtherCallers(fleet, named=True) as others:
        time.sleep(WARM_UP_SECONDS)
        for number, path in enumerate(paths):
            name = "same" if is_known else f"new-{number}"
            vm, cookie = vms[number % len(vms)], f"Affinity-Key={name}"
            fleet.send(vm, "GET", path, f"q{number}", Cookie=cookie)
            time.sleep(ATTEMPT_INTERVAL_SECONDS)
    assert len(fleet.crashes()) <= MAX_TOTAL_CRASHES
    assert others.statuses.count(200) / len(others.statuses) >= MIN_SERVED_SHARE
