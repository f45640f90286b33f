"""Starts a platform, targets and entry VMs as separate processes on loopback.

Each entry VM has its own IP address (``127.S.D.V`` for VM ``V`` of failure domain ``D``
in the fleet with subnet ``S``); the ports are the same for all.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import msgpack

from heathercleat.connection.operator import operator_token

KEY = "a-shared-key-for-tests"
PORTS = {"caller": 8080, "forward": 8081, "peer": 8082, "operator": 8083}
PLATFORM = ("127.10.200.1", 7000)
TARGET_PORT = 9000
#: Timeouts of the start of a process, its exit and a reload of its settings.
START_SECONDS = 20.0
STOP_SECONDS = 20.0
RELOAD_SECONDS = 3.0
#: Environment variable with an offset of all subnets, for parallel runs.
SUBNET_VARIABLE = "FLEET_SUBNET_OFFSET"
ROOT = Path(__file__).parent.parent
MSGPACK = {"content-type": "application/msgpack"}


class Processes:
    """Child processes, each with a log file; :meth:`stop` kills all of them."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory(prefix="heathercleat-")
        self._processes = []

    @property
    def folder(self):
        """Return the temporary directory of settings and logs."""
        return Path(self._folder.name)

    def start(self, name, command, **variables):
        """Start a process that writes its output to ``NAME.log``.

        :param variables: environment variables to add.
        """
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**_env(), **variables},
            )
        self._processes.append(process)
        return process

    def log(self, name):
        """Return the complete JSON log lines of a process, parsed."""
        text = (self.folder / f"{name}.log").read_text()
        # The process may be writing the last line.
        lines = text[: text.rfind("\n") + 1].splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def stop(self):
        """Kill all processes, wait for them and remove the directory."""
        for process in self._processes:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait(STOP_SECONDS)
        self._folder.cleanup()


class Deployment:
    """Context manager that starts processes and kills them on exit.

    Subclasses define ``start()``.
    """

    def __init__(self):
        self._processes = Processes()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info):
        self.stop()

    @property
    def folder(self):
        """Return the temporary directory of settings and logs."""
        return self._processes.folder

    def stop(self):
        """Kill all processes and wait for them."""
        self._processes.stop()


class Vm:
    """An entry VM; ``settings`` is the path of its settings file."""

    def __init__(self, name, host, domain, settings):
        self.name = name
        self.host = host
        self.domain = domain
        self.settings = settings
        self.process = None


class Fleet(Deployment):
    """The processes of one deployment.

    :param text: the configuration document, or ``None``; addresses are added to its
        targets.
    :param vms: ``{failure domain: number of entry VMs}``.
    :param program: command that runs ``heathercleat``.
    :param subnet: the second octet of every IP address; differs between fleets.
    :param settings: entries that override those of each VM's settings file.
    """

    def __init__(self, text, vms, program=None, subnet=10, settings=None):
        super().__init__()
        self._program = program or [sys.executable, "-m", "heathercleat"]
        self._subnet = subnet = subnet + int(os.environ.get(SUBNET_VARIABLE, 0))
        self._settings = settings or {}
        self.platform = (f"127.{subnet}.200.1", PLATFORM[1])
        self.text = text
        self.targets = self._assign_target_addresses(text)
        self.vms = self._create_vms(vms)

    def start(self):
        """Start all processes and wait until a version is in force on each VM."""
        self._spawn("platform", ["standins.platform", *map(str, self.platform)])
        specs = [
            f"{name}={host}:{port}:{slots}"
            for name, (host, port, slots) in self.targets.items()
        ]
        if specs:
            self._spawn("targets", ["standins.target", *specs])
        wait_for(lambda: self.platform_call("POST", "/switch", {}) is not None)
        for vm in self.vms.values():
            self.update_vm_list(vm)
        for vm in self.vms.values():
            self.start_vm(vm)
        for vm in self.vms.values():
            wait_for(lambda vm=vm: self.status(vm))
        if self.text is not None:
            self.apply(self.text, 0)
            wait_for(lambda: all(self.version(vm) == 1 for vm in self.vms.values()))

    def wait_ready(self):
        """Wait until all slots are free in every failure domain with entry VMs."""
        domains = {vm.domain for vm in self.vms.values()}
        expected = sum(
            target["slots"]
            for service in self.text["services"].values()
            for target in service["targets"].values()
            if target["failure_domain"] in domains
        )
        wait_for(lambda: self.free_slots() == expected)

    def free_slots(self):
        """Return the total of free slots over all VMs that respond."""
        all_metrics = (self.metrics(vm) or {} for vm in self.vms.values())
        return sum(
            value
            for metrics in all_metrics
            for name, value in metrics.items()
            if name.startswith("heathercleat_free_slots")
        )

    def vms_by_target_count(self):
        """Return the VMs sorted by the number of targets they own, largest first."""

        def target_count(vm):
            status = self.status(vm)
            return len(status["targets"]) if status else 0

        return sorted(self.vms.values(), key=target_count, reverse=True)

    def start_vm(self, vm):
        """Start the process of an entry VM."""
        command = [*self._program, "serve", "--settings", vm.settings]
        vm.process = self._processes.start(vm.name, command)

    def partition_off(self, domain, others):
        """Simulate a network partition between a failure domain and others.

        :param others: failure domains; ``platform`` stands for the platform.
        """
        for vm in self.vms.values():
            if vm.domain == domain:
                self._fence(vm, others)
            elif vm.domain in others:
                self._fence(vm, [domain])

    def heal(self):
        """End all network partitions."""
        for vm in self.vms.values():
            self._fence(vm, [])

    def _fence(self, vm, peers):
        hosts = [other.host for other in self.vms.values() if other.domain in peers]
        if "platform" in peers:
            hosts.append(self.platform[0])
        path = Path(vm.settings)
        settings = json.loads(path.read_text())
        settings["fenced"] = [f"{host}/32" for host in hosts]
        path.write_text(json.dumps(settings, indent=1))
        reloads = self._reloads(vm)
        vm.process.send_signal(signal.SIGHUP)
        # Wait until the partition is in effect. A paused or dead VM never reloads.
        with suppress(TimeoutError):
            wait_for(lambda: self._reloads(vm) > reloads, RELOAD_SECONDS)

    def _reloads(self, vm):
        """Return how many times a VM has reloaded its settings."""
        lines = self.log(vm)
        return sum(line.get("name") == "settings_reloaded" for line in lines)

    def update_vm_list(self, vm, leaving=False):
        """Add or replace a VM in the platform's VM list.

        :param leaving: whether the VM is listed as leaving; ``None`` removes it.
        """
        self.platform_call("POST", "/vm", [vm.name, vm.host, vm.domain, leaving])

    def switch_platform(self, **switches):
        """Set faults of the platform; see :mod:`standins.platform`."""
        self.platform_call("POST", "/switch", switches)

    def switch_target(self, name, **switches):
        """Set faults of a target; see :mod:`standins.target`."""
        host, port, _ = self.targets[name]
        call(host, port, "POST", "/switch", msgpack.packb(switches), MSGPACK)

    def record(self, name):
        """Return the run record of a target."""
        host, port, _ = self.targets[name]
        return msgpack.unpackb(call(host, port, "GET", "/record")[2])

    def runs(self):
        """Return ``[method, path, idempotency key, digest]`` of each run."""
        return [run for name in self.targets for run in self.record(name)["runs"]]

    def platform_call(self, method, path, body):
        """Return the HTTP status of a platform call; ``None`` if it failed."""
        try:
            packed = msgpack.packb(body)
            return call(*self.platform, method, path, packed, MSGPACK)[0]
        except (OSError, HTTPException):
            return None

    def status(self, vm):
        """Return the status document of a VM; ``None`` if it does not respond."""
        path = "/v1/status"
        token = operator_token(KEY, "GET", path, b"", time.time())
        headers = {"authorization": token}
        try:
            _, _, body = call(vm.host, PORTS["operator"], "GET", path, None, headers)
        except (OSError, HTTPException):
            return None
        return json.loads(body)

    def version(self, vm):
        """Return the version in force on a VM; ``None`` if it does not respond."""
        metrics = self.metrics(vm)
        return None if metrics is None else int(metrics["heathercleat_version"])

    def metrics(self, vm):
        """Return a VM's metrics by sample name; ``None`` if it does not respond."""
        try:
            _, _, body = call(vm.host, PORTS["operator"], "GET", "/metrics")
        except (OSError, HTTPException):
            return None
        lines = (line for line in body.decode().splitlines() if line[0] != "#")
        pairs = (line.rpartition(" ") for line in lines)
        return {name: float(value) for name, _, value in pairs}

    def apply(self, text, base, vm=None):
        """Apply a configuration through a VM and return its version."""
        path = self.folder / "text.jsonc"
        path.write_text(json.dumps(text, indent=1))
        result = self.run("apply", path, "--base", base, "--json", vm=vm)
        return json.loads(result.stdout)["version"]

    def run(self, *args, vm=None, check=True):
        """Run a ``heathercleat`` command against a VM, by default the first.

        :raises RuntimeError: when ``check`` is set and the command fails.
        """
        vm = vm or next(iter(self.vms.values()))
        command = [*self._program, *map(str, args), "--settings", vm.settings]
        result = subprocess.run(command, capture_output=True, text=True, env=_env())
        if check and result.returncode:
            raise RuntimeError(f"{args} failed: {result.stderr}{result.stdout}")
        return result

    def log(self, vm):
        """Return the JSON log lines of a VM, parsed."""
        return self._processes.log(vm.name)

    def _assign_target_addresses(self, text):
        targets = {}
        services = text["services"].values() if text else ()
        for service in services:
            for name, target in service["targets"].items():
                number = len(targets)
                host = f"127.{self._subnet}.{100 + number // 200}.{1 + number % 200}"
                target["address"] = f"{host}:{TARGET_PORT}"
                targets[name] = (host, TARGET_PORT, target["slots"])
        return targets

    def _create_vms(self, counts):
        vms = {}
        for index, (domain, count) in enumerate(counts.items(), start=1):
            for number in range(1, count + 1):
                name = f"{domain}-{number}"
                host = f"127.{self._subnet}.{index}.{number}"
                vms[name] = Vm(
                    name, host, domain, self._write_settings(name, host, domain)
                )
        return vms

    def _write_settings(self, name, host, domain):
        settings = {
            "vm": name,
            "address": host,
            "failure_domain": domain,
            "platform": {"address": self.platform[0], "port": self.platform[1]},
            "keys": [KEY],
            "ports": PORTS,
            **self._settings,
        }
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings, indent=1))
        return str(path)

    def _spawn(self, name, module_args):
        self._processes.start(name, [sys.executable, "-m", *module_args])


def call(host, port, method, path, body=None, headers=None, timeout=10.0, source=None):
    """Make one HTTP request and return ``(status, headers, body)``.

    :param source: local IP address to connect from.
    """
    address = (source, 0) if source else None
    connection = HTTPConnection(host, port, timeout=timeout, source_address=address)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_for(condition, seconds=START_SECONDS, interval=0.05):
    """Poll ``condition()`` until it is true and return its value.

    :raises TimeoutError: after ``seconds``.
    """
    deadline = time.monotonic() + seconds
    while not (value := condition()):
        if time.monotonic() > deadline:
            raise TimeoutError(f"condition not met within {seconds} s")
        time.sleep(interval)
    return value


def _env():
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    return {**os.environ, "PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1"}
