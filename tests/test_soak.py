"""Tests that the soak test detects violations, and that a short run has none."""

import pytest

from standins.soak import SentRequest, check, run_seed
from standins.soak_notices import max_in_rest, max_in_window
from standins.soak_stops import check_attempts
from standins.stops.records import ONCE, SAFE, Attempt
from standins.stops.tally import collect_runs
from tests.platform_samples import config

SECONDS = 4.0


def make_request(status, safe=False, **fields):
    request = SentRequest("q1", safe, b"")
    request.status = status
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def make_run(id="q1"):
    return [id, "/one/x", 1000, ""]


@pytest.mark.parametrize(
    ("request_", "runs", "is_violation"),
    [
        (make_request(502), [make_run()], False),
        (make_request(502), [make_run(), make_run()], True),
        (make_request(502, safe=True), [make_run(), make_run()], False),
        (make_request(503), [], False),
        (make_request(503), [make_run()], True),
        (make_request(200, headers={}), [make_run()], True),
    ],
)
def test_violations_are_found(request_, runs, is_violation):
    assert bool(list(check([request_], runs))) is is_violation


@pytest.mark.parametrize(
    ("kind", "status", "answer_to", "runs", "is_violation"),
    [
        (SAFE, 200, "q1", 2, False),
        (ONCE, 200, "q1", 1, False),
        (ONCE, 200, "q1", 2, True),
        (ONCE, None, None, 2, True),
        (SAFE, 200, "q2", 1, True),
        (SAFE, 503, None, 0, False),
        (SAFE, 503, None, 1, True),
        (SAFE, 404, None, 0, True),
        (SAFE, 404, "q1", 1, False),
        (SAFE, 502, None, 0, False),
    ],
)
def test_violations_on_persistent_connections_are_found(
    kind, status, answer_to, runs, is_violation
):
    attempt = Attempt("q1", "vm-1", kind, 8.0, 4.0, 0.0)
    attempt.status, attempt.response_id = status, answer_to
    attempt.signed = answer_to is not None
    spans = [["q1", 0.0, 1.0]] * runs
    assert bool(list(check_attempts([attempt], collect_runs(spans)))) is is_violation


def test_windows_and_rests_with_too_many_requests_are_found():
    assert max_in_window([0.0, 3.9, 4.0], 4.0) == 2
    assert max_in_rest([0.0, 0.4, 0.6, 1.0, 1.4, 1.6], 1.5) == 3
    assert max_in_window([], 4.0) == max_in_rest([], 1.5) == 0


#: Regression seeds: they stop a VM twice and restart it in between.
REGRESSION_SEEDS = [12, 14]


#: With even seeds, callers compete and some do not read.
@pytest.mark.parametrize("seed", [1, 2, *REGRESSION_SEEDS])
def test_guarantees_hold_under_faults(seed):
    # The regression seeds need only faults, without what follows them.
    is_whole = seed not in REGRESSION_SEEDS
    violations, status_counts = run_seed(
        seed,
        SECONDS,
        config(),
        with_stops=is_whole,
        with_notices=is_whole,
        with_restores=is_whole,
    )
    assert violations == []
    assert status_counts[200] > 0
