"""Shared parts of the benchmarks: configurations, loads and statistics."""

from standins.load import Load


def lookup_text(targets=16, slots=4, domains=6, timeout_ms=2000, cap=None):
    """Return a configuration document with one service and its targets.

    :param slots: slots of each target.
    :param cap: the ``shift_cap`` of the service, or ``None``.
    """
    names = [f"fd-{number}" for number in range(domains)]
    kind = {
        "kind": "lookup",
        "method": "GET",
        "path": "/",
        "run": "idempotent",
        "timeout_ms": timeout_ms,
    }
    service = {
        "requests": [kind],
        "queue": {"limit": 32, "wait_ms": 400},
        "targets": {
            f"t-{number:02}": {
                "failure_domain": names[number % domains],
                "slots": slots,
            }
            for number in range(targets)
        },
    }
    if cap:
        service["shift_cap"] = cap
    return {
        "regions": {
            f"region-{index}": {"failure_domains": names[2 * index : 2 * index + 2]}
            for index in range(domains // 2)
        },
        "services": {"lookup": service},
    }


def configure_targets(fleet, seconds):
    """Set the service time of every target, in seconds."""
    for name in fleet.targets:
        fleet.switch_target(name, service_s=seconds, cancel_s=seconds)


def measure_overshoot(fleet):
    """Return the total of slot-seconds over the limit at all targets."""
    return sum(fleet.record(name)["over"] for name in fleet.targets)


class MultiDomainLoad:
    """Load from callers in several failure domains.

    :param rates: requests per second by failure domain.
    """

    def __init__(self, fleet, rates, timeout=3.0):
        self._loads = {}
        for seed, (domain, rate) in enumerate(rates.items(), start=1):
            hosts = [vm.host for vm in fleet.vms.values() if vm.domain == domain]
            load = Load(hosts, "lookup", rate, seed=seed, timeout=timeout)
            self._loads[domain] = load

    def __enter__(self):
        for load in self._loads.values():
            load.__enter__()
        return self

    def __exit__(self, *exc_info):
        for load in self._loads.values():
            load.stop()

    def results_of(self, domain):
        """Return the results of the callers of one failure domain."""
        return self._loads[domain].results

    @property
    def results(self):
        """Return the results of all loads."""
        return [each for load in self._loads.values() for each in load.results]


def quantile(results, share):
    """Return a quantile of the latency of successful requests, in seconds."""
    served = sorted(each.seconds for each in results if each.status == 200)
    return served[int(share * (len(served) - 1))] if served else float("nan")
