"""Starts a store, targets and steering VMs as separate processes on loopback."""

import itertools
import json
import os
import signal
import sys
import threading
from http.client import HTTPException

from heathercleat.steering.process.store.tables import MEMBER_TABLE
from standins.fleet import (
    STOP_SECONDS,
    SUBNET_VARIABLE,
    Deployment,
    call,
    wait_for,
)
from standins.partition import PARTITION_VARIABLE
from standins.skewed import SKEW_VARIABLE, SUSPENDS_VARIABLE

STORE_PORT = 7000
TARGET_PORT = 9000
FRONT_PORT = 8381
READY_PORT = 8388
METRICS_PORT = 9464
INTERNAL_PORTS = [7200, 7215]
PROXY_PORT = 7900


class SteeringVm:
    """One VM of the fleet.

    :param number: unique within the fleet, from 1.
    """

    def __init__(self, name, host, domain, region, number):
        self.name = name
        self.host = host
        self.domain = domain
        self.region = region
        self.number = number
        self.settings = None
        self.process = None


def store_link(vm):
    """Return the name of the link between a VM and the store."""
    return f"store:{vm.name}"


def front_link(vm):
    """Return the name of the link between clients and a VM."""
    return f"front:{vm.name}"


def target_link(target_id):
    """Return the name of the link between all VMs and a target."""
    return f"target:{target_id}"


class SteeringFleet(Deployment):
    """The processes of one deployment.

    :param config: the configuration document.
    :param domains: ``{failure domain: region}``.
    :param vms: ``{failure domain: number of VMs}``.
    :param targets: ``{id: (service, failure domain, slots)}``.
    :param subnet: the second octet of every IP address; differs between fleets.
    :param bounds: the ``bounds`` entries of the settings file.
    :param proxied: whether connections between clients, VMs, targets and the store go
        through :mod:`standins.fault_proxy`.
    :param suspends: whether a stopped and continued process behaves like a suspended
        VM; see :mod:`standins.skewed`.
    :param contracts: the ``contracts`` entries of the settings file.
    """

    def __init__(
        self,
        config,
        domains,
        vms,
        targets,
        subnet,
        bounds=("grace=6s", "budgetSlack=60"),
        proxied=False,
        suspends=False,
        contracts=(),
    ):
        super().__init__()
        self._subnet = subnet = subnet + int(os.environ.get(SUBNET_VARIABLE, 0))
        self._domains = domains
        self._bounds = list(bounds)
        self._proxied = proxied
        self._suspends = suspends
        self._contracts = list(contracts)
        self._start_lock = threading.Lock()
        self.config = config
        self.store = (f"127.{subnet}.200.1", STORE_PORT)
        self.targets = targets
        self.vms = {vm.name: vm for vm in self._create_vms(vms)}

    def start(self):
        """Start all processes and wait until each VM is ready."""
        self.start_store()
        self.start_targets()
        if self._proxied:
            self.start_proxy()
        self.put("op", "config", self.config)
        for target_id in self.targets:
            self.announce(target_id)
        for vm in self.vms.values():
            self.start_vm(vm)
        self.wait_ready()
        for vm in self.vms.values():
            self._write_settings(vm, is_first_start=False)

    def start_store(self):
        """Start an empty store.

        :raises RuntimeError: when a store, of another fleet, uses the address already.
        """
        if self._store_answers():
            raise RuntimeError(
                f"a store is running at {self.store[0]}; set FLEET_SUBNET_OFFSET"
            )
        self._spawn("store", "standins.table_store", *map(str, self.store))
        wait_for(self._store_answers)

    def start_targets(self):
        """Start every target."""
        specs = [
            f"{target_id}={self.target_host(target_id)}:{TARGET_PORT}:{slots}"
            for target_id, (_, _, slots) in self.targets.items()
        ]
        self._spawn("targets", "standins.slotted_target", *specs)
        for target_id in self.targets:
            wait_for(lambda each=target_id: self._answers(each))

    def start_proxy(self):
        """Start the proxy, without faults."""
        control = f"{self._proxy_host}:{PROXY_PORT}"
        self._spawn("proxy", "standins.fault_proxy", control, *self._links())
        wait_for(self._proxy_answers)

    def wait_ready(self):
        """Wait until every VM is ready and names all VMs in look-ups."""
        count = len(self.vms)
        for vm in self.vms.values():
            wait_for(lambda vm=vm: self.is_ready(vm))
            wait_for(lambda vm=vm: len(self.resolve(vm, "", "")) == count)

    def start_vm(self, vm, clock_skew=0.0):
        """Start the process of a VM.

        :param clock_skew: skew of its wall clock in seconds.
        """
        command = [sys.executable, "-m", "standins.skewed", "steer"]
        command += ["--metrics-port", str(METRICS_PORT)]
        variables = {
            "HEATHERCLEAT_SETTINGS": vm.settings,
            SKEW_VARIABLE: str(clock_skew),
            SUSPENDS_VARIABLE: "1" if self._suspends else "",
            PARTITION_VARIABLE: str(self._partition_path(vm)),
        }
        vm.process = self._processes.start(vm.name, command, **variables)

    def start_if_ended(self, vm, clock_skew=0.0):
        """Start the process of a VM, unless it runs; from any thread.

        :param clock_skew: as in :meth:`start_vm`.
        """
        with self._start_lock:
            if vm.process.poll() is not None:
                self.start_vm(vm, clock_skew)

    def partition_vm(self, vm, mode):
        """Partition a VM from all targets, unless they are proxied.

        :param mode: a :class:`PartitionMode`, or ``None`` to end the partition.
        """
        self._partition_path(vm).write_text("" if mode is None else mode.value)

    def _partition_path(self, vm):
        return self.folder / f"{vm.name}.partition"

    def restart_vm(self, vm):
        """Wait for the process of a stopped VM to exit, then start the VM."""
        vm.process.wait(STOP_SECONDS)
        self.start_vm(vm)

    def stop_vm(self, vm, signum=signal.SIGTERM):
        """Send a signal to the process of a VM."""
        vm.process.send_signal(signum)

    def log(self, vm):
        """Return the JSON log lines of a VM, parsed."""
        return self._processes.log(vm.name)

    def put(self, table, key, document):
        """Write a row of an operator or target; a ``document`` of ``None`` removes it.

        The store refuses writes to these tables by VMs.
        """
        body = json.dumps([table, key, document])
        assert call(*self.store, "POST", "/put", body)[0] == 200

    def announce(self, target_id, **changes):
        """Write the entry of a target, with some fields changed."""
        self.put("servers", target_id, {**self._entry(target_id), **changes})

    def switch_store(self, **switches):
        """Set faults of the store; see :mod:`standins.table_store`."""
        call(*self.store, "POST", "/switch", json.dumps(switches))

    def back_up_store(self):
        """Make a backup of the store; see :mod:`standins.table_store`."""
        assert call(*self.store, "POST", "/backup")[0] == 200

    def restore_store(self, rewrite_s=None):
        """Restore the store from its backup; its versions go back.

        :param rewrite_s: seconds after which operators and targets write again what the
            backup lacks; ``None`` if they do not.
        """
        body = None if rewrite_s is None else json.dumps({"rewrite_s": rewrite_s})
        assert call(*self.store, "POST", "/restore", body)[0] == 200

    def registered_vms(self):
        """Return the names of the VMs with a row in the store."""
        path = f"/v1/rows-get?table={MEMBER_TABLE}&part="
        rows = json.loads(call(*self.store, "GET", path)[2])["rows"]
        return [row["key"] for row in rows]

    def switch_link(self, link, **faults):
        """Set faults of a link; see :mod:`standins.fault_proxy`.

        :param link: a name from e.g. :func:`store_link`.
        """
        body = json.dumps({link: faults})
        call(self._proxy_host, PROXY_PORT, "POST", "/switch", body)

    def store_counts(self):
        """Return the number of requests to the store by path."""
        return json.loads(call(*self.store, "GET", "/counts")[2])

    def switch_target(self, target_id, **switches):
        """Set faults of a target; see :mod:`standins.slotted_target`."""
        host = self.target_host(target_id)
        call(host, TARGET_PORT, "POST", "/switch", json.dumps(switches))

    def set_fatal_paths(self, paths, down_s):
        """Make requests for some paths crash any target.

        :param down_s: seconds until a crashed target restarts.
        """
        for each in self.targets:
            self.switch_target(
                each,
                fatal=list(paths),
                down_s=down_s,
                store=list(self.store),
                entry=self._entry(each),
            )

    def crash_target(self, target_id):
        """Crash a target without a request; it restarts as after a fatal request."""
        try:
            self.switch_target(target_id, end=True)
        except (OSError, HTTPException):
            # The target is already down.
            return

    def crashes(self):
        """Return ``[instant, path]`` of each request that crashed a target.

        Waits for crashed targets to restart; instants are of ``time.monotonic()``.
        """
        for each in self.targets:
            wait_for(lambda each=each: self._answers(each))
        crashes = (
            crash for each in self.targets for crash in self.record(each)["ends"]
        )
        return sorted(crashes)

    def record(self, target_id):
        """Return the run record of a target."""
        host = self.target_host(target_id)
        return json.loads(call(host, TARGET_PORT, "GET", "/record")[2])

    def runs(self):
        """Return ``[request id, path, deadline in ms, body digest]`` of every run."""
        return [run for each in self.targets for run in self.record(each)["runs"]]

    def spans(self):
        """Return ``[request id, start, planned end]`` of every run."""
        return [span for each in self.targets for span in self.record(each)["spans"]]

    def arrivals(self, target_id):
        """Return ``[request id, instant, sender]`` of every request at a target."""
        return self.record(target_id)["arrivals"]

    def identities(self):
        """Return ``[request id, workspace names, keys]`` as every run received them."""
        return [run for each in self.targets for run in self.record(each)["identities"]]

    def target_host(self, target_id):
        """Return the IP address of a target."""
        number = list(self.targets).index(target_id)
        return f"127.{self._subnet}.100.{1 + number}"

    def is_ready(self, vm):
        """Return whether the readiness check of a VM succeeds."""
        return self._get_status(vm, "/v1/ready") == 200

    def resolve(self, vm, region, domain):
        """Return the addresses that a VM returns for a client's look-up."""
        path = f"/v1/resolve?name=a.example&region={region}&zone={domain}"
        try:
            status, _, body = call(vm.host, READY_PORT, "GET", path)
        except (OSError, HTTPException):
            return []
        return json.loads(body)["addresses"] if status == 200 else []

    def metrics(self, vm):
        """Return a VM's metrics in the text format."""
        return call(vm.host, METRICS_PORT, "GET", "/metrics")[2].decode()

    def send(self, vm, method, path, request_id, body=None, wait_ms=1000, **headers):
        """Send a request through a VM and return ``(status, headers, body)``.

        :param wait_ms: the deadline, in milliseconds from now.
        :param headers: further headers, with ``_`` for ``-``.
        """
        sent_headers = {
            "Host": "a.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(wait_ms),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        return call(self._front_host(vm), FRONT_PORT, method, path, body, sent_headers)

    @property
    def _proxy_host(self):
        return f"127.{self._subnet}.201.1"

    def store_host(self, vm):
        """Return the IP address at which a VM reaches the store.

        With the proxy, it is also the source address of the VM's connections there.
        """
        return f"127.{self._subnet}.202.{vm.number}" if self._proxied else self.store[0]

    def _announced_host(self, target_id):
        host = self.target_host(target_id)
        return host.replace(".100.", ".203.") if self._proxied else host

    def _front_host(self, vm):
        return f"127.{self._subnet}.204.{vm.number}" if self._proxied else vm.host

    def _entry(self, target_id):
        service, domain, slots = self.targets[target_id]
        return {
            "service": service,
            "address": f"{self._announced_host(target_id)}:{TARGET_PORT}",
            "zone": domain,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "coldRemaining": "0ms",
            "sequence": 1,
        }

    def _links(self):
        """Yield the links as command line arguments of the proxy."""
        store_host, store_port = self.store
        for vm in self.vms.values():
            listen = f"{self.store_host(vm)}:{STORE_PORT}"
            yield f"{store_link(vm)}={listen}>{store_host}:{store_port}"
            listen = f"{self._front_host(vm)}:{FRONT_PORT}"
            yield f"{front_link(vm)}={listen}>{vm.host}:{FRONT_PORT}"
        for target_id in self.targets:
            listen = f"{self._announced_host(target_id)}:{TARGET_PORT}"
            server = f"{self.target_host(target_id)}:{TARGET_PORT}"
            yield f"{target_link(target_id)}={listen}>{server}"

    def _proxy_answers(self):
        try:
            return call(self._proxy_host, PROXY_PORT, "GET", "/counts")[0] == 200
        except (OSError, HTTPException):
            return False

    def _get_status(self, vm, path):
        try:
            return call(vm.host, READY_PORT, "GET", path)[0]
        except (OSError, HTTPException):
            return None

    def _answers(self, target_id):
        try:
            return self.record(target_id)
        except (OSError, HTTPException):
            return None

    def _store_answers(self):
        try:
            return call(*self.store, "GET", "/counts")[0] == 200
        except (OSError, HTTPException):
            return False

    def _create_vms(self, counts):
        numbers = itertools.count(1)
        for index, (domain, count) in enumerate(counts.items(), start=1):
            for number in range(1, count + 1):
                name = f"{domain}-{number}"
                host = f"127.{self._subnet}.{index}.{number}"
                region = self._domains[domain]
                vm = SteeringVm(name, host, domain, region, next(numbers))
                vm.settings = self._write_settings(vm)
                yield vm

    def _write_settings(self, vm, is_first_start=True):
        host = vm.host
        settings = {
            "node": vm.name,
            "ip": host,
            "zone": vm.domain,
            "region": vm.region,
            "zones": self._domains,
            "listen": {
                "front": f"{host}:{FRONT_PORT}",
                "ready": f"{host}:{READY_PORT}",
                "directory": f"{host}:{READY_PORT}",
            },
            "internalPorts": INTERNAL_PORTS,
            "seeds": [],
            "bootstrap": is_first_start,
            "limits": {"cpuShare": 1.0, "memoryMb": 300, "linkMbps": 1000.0},
            "heartbeat": "1500ms",
            "bounds": self._bounds,
            "contracts": self._contracts,
            "platform": {"address": f"{self.store_host(vm)}:{self.store[1]}"},
        }
        path = self.folder / f"{vm.name}.yaml"
        # JSON is valid YAML.
        path.write_text(json.dumps(settings, indent=1))
        return str(path)

    def _spawn(self, name, module, *args):
        self._processes.start(name, [sys.executable, "-m", module, *args])
