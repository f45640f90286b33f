"""Runs a scenario: starts processes, sends load and injects faults."""

import signal
import threading
import time

from standins.lab.load import Load, mark_abandoned
from standins.lab.persistent_load import PersistentLoad
from standins.steering_fleet import SteeringFleet
from standins.stops.deployment import configuration
from standins.stops.plan import Stopper, start_rolling_restart

SUBNET = 39
SERVICE = "s1"
#: The route of clients without persistent connections.
ROUTE = {
    "name": "two",
    "prefix": "/one/two/",
    "kind": "safe",
    "priority": 1,
    "service": SERVICE,
    "maxAttempts": 2,
    "sessionAffinity": True,
    "allowedRegions": [],
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1 << 20,
    "headerTimeout": "3000ms",
    "idleTimeout": "15000ms",
}


def run_scenario(scenario):
    """Run a :class:`Scenario` and return its list of :class:`Result`."""
    targets = {
        name: (SERVICE, domain, slots)
        for name, (domain, slots) in scenario.targets.items()
    }
    with SteeringFleet(
        _configuration(scenario),
        scenario.failure_domains,
        scenario.vms,
        targets,
        subnet=SUBNET,
        proxied=True,
    ) as fleet:
        for name in targets:
            fleet.switch_target(
                name,
                work_s=scenario.work,
                learning_x=scenario.uncached_factor,
                remembers=scenario.cached_objects,
            )
        stopper, restarts = Stopper(fleet), []
        persistent_load = PersistentLoad(fleet, scenario, stopper)
        load = Load(fleet, scenario)
        thread = threading.Thread(target=load.run)
        thread.start()
        persistent_load.start()
        _inject(fleet, scenario, stopper, restarts)
        thread.join()
        for restart in restarts:
            restart.join()
        persistent_load.stop()
        results = [*load.results, *persistent_load.results()]
        mark_abandoned(results, fleet.runs())
        return results


def _configuration(scenario):
    route = {
        **ROUTE,
        "timeout": f"{scenario.deadline}s",
        "targetLatency": f"{scenario.latency_objective}s",
    }
    return {
        "version": "r1",
        "services": [{"name": SERVICE, "maxConnections": 400}],
        "limits": LIMITS,
        "hosts": [
            {"host": "a.example", "paths": [route, *_persistent_routes(scenario)]}
        ],
    }


def _persistent_routes(scenario):
    """Return the routes of clients with persistent connections, if there are any."""
    if not scenario.pipelining and not scenario.persistent:
        return []
    return configuration()["hosts"][0]["paths"]


def _inject(fleet, scenario, stopper, restarts):
    """Inject and undo the faults at their times."""
    began_at = time.monotonic()
    steps = []
    for fault in scenario.faults:
        begin, end = _actions(fleet, scenario, stopper, restarts, fault)
        steps.append((fault.at, begin))
        if fault.until is not None:
            steps.append((fault.until, end))
    for at, act in sorted(steps, key=lambda step: step[0]):
        time.sleep(max(0.0, began_at + at - time.monotonic()))
        act()


def _actions(fleet, scenario, stopper, restarts, fault):
    """Return the functions that inject and undo a fault."""
    vm = fleet.vms.get(fault.name)
    name, seconds = fault.name, fault.seconds
    return {
        "kill_vm": (lambda: vm.process.kill(), lambda: fleet.restart_vm(vm)),
        "stop_vm": (lambda: fleet.stop_vm(vm), lambda: fleet.restart_vm(vm)),
        "rolling_restart": (
            lambda: restarts.append(
                start_rolling_restart(list(fleet.vms.values()), stopper)
            ),
            None,
        ),
        "pause_vm": (
            lambda: fleet.stop_vm(vm, signal.SIGSTOP),
            lambda: fleet.stop_vm(vm, signal.SIGCONT),
        ),
        "store_down": (
            lambda: fleet.switch_store(down="silent"),
            lambda: fleet.switch_store(down=None),
        ),
        "slow_target": (
            lambda: fleet.switch_target(name, work_s=seconds),
            lambda: fleet.switch_target(name, work_s=scenario.work),
        ),
        "cut_link": (
            lambda: fleet.switch_link(name, cut="both"),
            lambda: fleet.switch_link(name, cut=None),
        ),
        "delay_link": (
            lambda: fleet.switch_link(name, delay_s=seconds),
            lambda: fleet.switch_link(name, delay_s=0.0),
        ),
    }[fault.kind]
