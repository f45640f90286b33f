"""Tests of the division of slots among workspaces while the slots are short."""

from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep

import msgpack
import pytest
from curio import run, spawn
from curio import sleep as settle

from heathercleat import ResultCode
from heathercleat.errors import RequestError
from heathercleat.platform.headers import workspace_name
from heathercleat.steering.process.capacity.capacity_reports import REPORT_TTL_SECONDS
from heathercleat.steering.process.capacity.share_reports import (
    ShareReports,
    compose_report,
)
from heathercleat.steering.process.capacity.share_usage import ShareUsage, water_level
from heathercleat.steering.process.membership.extensions import MAX_REPORT_BYTES
from heathercleat.steering.request.attempt_result import (
    OVER_SHARE_REASON,
    AttemptOutcome,
    AttemptResult,
)
from standins.share_simulation import Owner, Simulation, Stream, configuration
from standins.steering_fleet import SteeringFleet
from tests.fakes import ManualClock
from tests.platform_samples import config, workspace
from tests.steering_parts import call
from tests.test_steer import SteeringSetup

SMALL = ("w1", "w2", "w3", "w4", "w5")
NAMES = (*SMALL, "large")
SMALL_RATE, LARGE_RATE, CAPACITY = 24, 720, 240
SERVED_SHARE, TOTAL_SHARE, FLOOR_SHARE = 0.95, 0.9, 0.25
SECONDS = 6.0


def streams(large_homes=(1,), homes=(1,), is_retry=False, rate=SMALL_RATE):
    small = [Stream(name, rate, homes) for name in SMALL]
    return [*small, Stream("large", LARGE_RATE, large_homes, is_retry=is_retry)]


def owners(names=NAMES):
    return [Owner(1, 4, names), Owner(2, 4, names)]


def assert_small_are_served(simulation, small=SMALL):
    assert min(map(simulation.fraction, small)) >= SERVED_SHARE


@pytest.mark.parametrize("is_retry", [False, True])
def test_large_workspace_does_not_push_out_small_ones(is_retry):
    requests = streams(is_retry=is_retry)
    simulation = Simulation([Owner(1, 8, NAMES)], requests, SECONDS).run()
    assert_small_are_served(simulation)
    assert simulation.rate >= TOTAL_SHARE * CAPACITY


def test_large_workspace_with_uneven_load_at_two_owners_gets_one_share():
    requests = streams(large_homes=(9, 1), homes=(1, 1))
    simulation = Simulation(owners(), requests, SECONDS).run()
    assert_small_are_served(simulation)
    assert simulation.rate >= TOTAL_SHARE * CAPACITY


def test_owner_does_not_favour_a_workspace_that_holds_the_slots_of_another_owner():
    requests = [Stream("l1", 600, (1, 1)), Stream("l2", 300, (0, 1))]
    simulation = Simulation(owners(["l1", "l2"]), requests, SECONDS).run()
    served = simulation.served
    assert served["l2", "r1"] >= 0.75 * served["l1", "r1"]
    assert simulation.rate >= TOTAL_SHARE * CAPACITY


def test_small_workspaces_beside_large_ones_that_hold_all_slots_when_load_rises():
    names = [f"v{number}" for number in range(69)]
    large = ["l1", "l2", "l3"]
    requests = [Stream(each, 2, (1, 1)) for each in names]
    requests += [Stream(each, 150, (1, 1)) for each in large]
    simulation = Simulation(owners([*names, *large]), requests, SECONDS).run()
    served = sum(simulation.served[each, "r1"] for each in names)
    assert served >= SERVED_SHARE * sum(simulation.sent[each, "r1"] for each in names)


def test_no_route_or_workspace_is_shut_out_by_higher_ranks():
    requests = [Stream(each, SMALL_RATE) for each in SMALL]
    requests += [Stream(each, 60, name="low", rank=2) for each in ("w1", "w2")]
    requests.append(Stream("large", 400, rank=0))
    simulation = Simulation([Owner(1, 8, NAMES)], requests, SECONDS).run()
    floor = FLOOR_SHARE * simulation.served.total() / simulation.sent.total()
    for workspace_and_route in simulation.sent:
        assert simulation.fraction(*workspace_and_route) >= floor


def test_slots_are_not_divided_without_workspaces_in_the_configuration():
    plain, divided = Owner(1, 8, None), Owner(1, 8, NAMES)
    divided.table.workspaces = None
    runs = [Simulation([each], streams(), 2.0).run() for each in (plain, divided)]
    assert runs[0].served == runs[1].served
    assert divided.shares.report() is None


def test_workspace_alone_uses_all_slots_and_is_not_refused_for_its_share():
    requests = [Stream("large", LARGE_RATE)]
    simulation = Simulation([Owner(1, 8, NAMES)], requests, 2.0).run()
    assert simulation.rate >= TOTAL_SHARE * CAPACITY
    assert not simulation.waits


def test_slots_that_others_leave_are_used_while_requests_wait_for_affinity_targets():
    # 8% more requests than the slots can serve.
    requests = [*streams()[:-1], Stream("large", 140)]
    with_shares, without = (
        Simulation([Owner(1, 8, names)], requests, SECONDS, has_affinity=True).run()
        for names in (NAMES, None)
    )
    assert_small_are_served(with_shares)
    assert with_shares.rate >= 0.95 * without.rate


def test_slots_that_become_free_together_are_divided():
    owner = Owner(1, 1, NAMES)
    (target,) = owner.parts.ledger.all()
    now = owner.parts.clock.now()
    uses = [target.claim(now) for _ in range(6)]
    served = []

    async def wait(name):
        request = call(owner.parts.clock)
        request.workspace, request.give_up_at = name, now + 1.0
        await owner.admission.acquire(request, (), (), now + 1.0)
        served.append(name)

    async def main():
        tasks = [await spawn(wait, name) for name in ["large"] * 6 + ["w1"] * 3]
        await settle(0.02)
        for use in uses:
            owner.parts.ledger.release(use)
        await owner.admission.admit_queued("s1")
        for task in tasks:
            await task.join()

    run(main)
    assert sorted(served[:6]) == ["large"] * 3 + ["w1"] * 3


def cut(simulation):
    first, second = simulation.owners
    first.members.dead.add(second.name)
    second.members.dead.add(first.name)


def heal(simulation):
    for owner in simulation.owners:
        owner.members.dead.clear()


def end_second_owner(simulation):
    simulation.owners.pop()
    for stream in simulation.streams:
        stream.homes = (1,)


def replace_workspace(simulation):
    for owner in simulation.owners:
        owner.table = configuration([*SMALL[:4], "w6", "large"], version=2)


@pytest.mark.parametrize(
    ("events", "small"),
    [
        # Reports are lost for longer than they count.
        ([(1.0, cut), (4.0, heal)], SMALL),
        # An owner dies while it divides its slots, and no VM has noticed yet.
        ([(3.0, end_second_owner)], SMALL),
        # A workspace is dropped, another one is added.
        ([(2.0, replace_workspace)], SMALL[:4]),
    ],
    ids=["lost-reports", "dead-owner", "new-configuration"],
)
def test_small_workspaces_are_served_after_a_failure(events, small):
    # Half of the slots must be more than the small ones need.
    requests = streams(large_homes=(3, 1), homes=(1, 1), rate=15)
    simulation = Simulation(owners(), requests, SECONDS, events=events).run()
    assert_small_are_served(simulation, small)


def test_dropped_workspace_leaves_no_state():
    owner = Owner(1, 8, NAMES)
    Simulation([owner], streams(), 2.0).run()
    owner.table = configuration(["w1"], version=2)
    owner.shares.expire()
    assert {name for _, name in owner.shares.refusal_counts} <= {"w1", None}
    assert {name for name, *_ in owner.shares.usages()} <= {"w1", None}


def test_suspended_vm_counts_neither_old_reports_nor_ended_requests():
    owner = Owner(1, 2, NAMES)
    clock = owner.parts.clock
    owner.shares.merge("vm-2", [["s1", 24, 0, [["large", 1, 24, 50]]]])
    request = call(clock)
    request.workspace = "large"
    run(owner.admission.acquire, request, (), (), clock.now())
    user = 1, "large"
    claims = owner.shares.of_service("s1").claims()
    assert (claims.region.slots, claims.region.held(user)) == (36, 25)
    clock.time += REPORT_TTL_SECONDS
    claims = owner.shares.of_service("s1").claims()
    assert (claims.region.slots, claims.region.held(user)) == (6, 0)


def test_report_of_many_workspaces_fits_and_counts_all_demand():
    usages = {}
    for service in ("s1", "s2", "s3"):
        usage = usages[service] = ShareUsage(50)
        for number in range(72):
            usage.add((1, f"a-workspace-{number:02}"), number, 1)
    report = compose_report(usages)
    assert len(msgpack.packb(report)) <= MAX_REPORT_BYTES
    reported = sum(
        rest + sum(u[2] + u[3] for u in users) for _, _, rest, users in report
    )
    assert reported == 3 * sum(range(73))
    assert report[0][3][0][0] == "a-workspace-71"


@pytest.mark.parametrize(
    "report",
    [
        [["s1", -1, 0, []]],
        [["s1", float("inf"), 0, []]],
        [["s1", 6, 0, [["w1", "high", 1, 1]]]],
        [["s1", 6]],
        7,
    ],
)
def test_malformed_report_is_rejected_and_the_last_one_counts(report):
    reports = ShareReports(lambda vm: True, ManualClock())
    reports.record("vm-2", [["s1", 6, 1, [["w1", 1, 2, 3]]]])
    with pytest.raises((ValueError, TypeError)):
        reports.record("vm-2", report)
    (usage,) = reports.of_service("s1")
    assert (usage.slots, usage.demand((1, "w1"))) == (5, 5)


@pytest.mark.parametrize(
    ("demands", "slots", "level"),
    [([1, 2, 50], 12, 9), ([8, 8], 4, 2), ([1, 2], 3, float("inf")), ([1], 0, 0)],
)
def test_water_level(demands, slots, level):
    assert water_level(demands, slots) == level


def test_refused_client_is_told_when_its_share_allows_one_more_request():
    refusal = AttemptResult(AttemptOutcome.NOT_SENT, wait=0.8, reason=OVER_SHARE_REASON)
    setup = SteeringSetup([refusal])
    request = setup.call()
    with pytest.raises(RequestError) as caught:
        setup.run(request)
    assert caught.value.code is ResultCode.NO_ROOM
    assert len(setup.local.tried) == 1
    assert caught.value.retry_at >= setup.parts.clock.now() + 0.79


def test_owner_learns_the_workspace_from_the_header():
    assert workspace_name([(b"host", b"a"), (b"tenant-id", b"w1")]) == "w1"
    assert workspace_name([(b"host", b"a")]) is None


def test_fleet_serves_a_small_workspace_beside_a_large_one():
    domains = {"north-a": "north", "north-b": "north"}
    targets = {"i-1": ("s1", "north-a", 4), "i-2": ("s1", "north-b", 4)}
    document = {
        **config(),
        "tenants": [workspace("small", "k1"), workspace("large", "k2")],
    }
    counts = dict.fromkeys(domains, 1)
    with SteeringFleet(
        document, domains, counts, targets, subnet=47, contracts=("pressure",)
    ) as fleet:
        for each in targets:
            fleet.switch_target(each, work_s=0.15)
        vms = list(fleet.vms.values())
        ends_at = monotonic() + 4.0

        def send(key, number, pause):
            statuses = []
            while monotonic() < ends_at:
                request_id = f"{key}-{number}-{len(statuses)}"
                status = fleet.send(
                    vms[number % 2], "GET", "/one/two/x", request_id, X_Api_Key=key
                )[0]
                statuses.append(status)
                sleep(pause)
            return statuses

        with ThreadPoolExecutor(42) as pool:
            large = [pool.submit(send, "k2", each, 0.02) for each in range(40)]
            small = [pool.submit(send, "k1", each, 0.2) for each in range(2)]
        large, small = (
            [s for each in futures for s in each.result()] for futures in (large, small)
        )
        assert small.count(200) >= SERVED_SHARE * len(small)
        assert set(large) == {200, 503}
        events = [line for vm in vms for line in fleet.log(vm)]
        assert any(line["name"] == "workspace_over_share" for line in events)
        counter = 'share_refusals_total{service="s1",workspace="large"}'
        assert counter in "".join(map(fleet.metrics, vms))
