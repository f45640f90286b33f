"""Demo of the request path with separate processes; exits with 1 if a step fails."""

import os
import sys
import threading
import time
from argparse import ArgumentParser
from collections import Counter
from hashlib import sha256

from standins.caller import Caller
from standins.fleet import Fleet, wait_for

UPLOAD_BYTES = 8 * 1024 * 1024
#: Timeout until a new version is in force on every entry VM.
IN_FORCE_SECONDS = 5.0
#: Seconds of load from the start of a drain.
DRAIN_SECONDS = 5.0
LOG_FLUSH_SECONDS = 0.3
DOMAINS = ("north-a", "north-b", "south-a", "south-b")


def demo_text():
    """Return a small configuration text with one service per kind of request."""
    return {
        "regions": {
            "north": {"failure_domains": ["north-a", "north-b"]},
            "south": {"failure_domains": ["south-a", "south-b"]},
        },
        "services": {
            "style-lookup": _service("style", 4, [_kind("lookup", "GET", "/", 1000)]),
            "rule-editing": _service("rule", 3, [_kind("edit", "POST", "/", 1000)]),
            "intake": _service(
                "intake",
                3,
                [
                    _kind("upload", "PUT", "/uploads", 5000),
                    _kind("correction", "POST", "/corrections", 1000),
                ],
            ),
            "incident-registry": _service(
                "registry", 6, [_kind("declaration", "POST", "/", 1000)]
            ),
            "carrier-intake": _service(
                "carrier", 3, [_kind("enrolment", "POST", "/", 1000)]
            ),
        },
    }


def _kind(name, method, path, timeout_ms):
    semantics = {"GET": "idempotent", "POST": "at-most-once", "PUT": "upload"}
    return {
        "kind": name,
        "method": method,
        "path": path,
        "run": semantics[method],
        "timeout_ms": timeout_ms,
        "body_limit": 64 * 1024 * 1024,
    }


def _service(prefix, slots, kinds):
    targets = {
        f"{prefix}-{domain}": {"failure_domain": domain, "slots": slots}
        for domain in DOMAINS
    }
    return {"requests": kinds, "targets": targets}


class Demo:
    """Runs the demo steps against a fleet and records the result of each."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._caller = Caller([vm.host for vm in fleet.vms.values()])
        self._rows = []

    @property
    def rows(self):
        """Return ``(step, passed, detail)`` for each step."""
        return self._rows

    def run(self):
        """Run every step."""
        self.show_each_kind()
        self.show_upload()
        self.show_new_text()
        self.show_drain()
        self.show_log_lines()
        self.show_killed_vm()

    def show_each_kind(self):
        """Serve one request of each kind; at-most-once requests are sent twice."""
        status, _, body = self._caller.send("style-lookup", "GET", "/style/whom")
        self._record_step("style look-up", status == 200, body.split()[0].decode())
        for service, path, step in (
            ("rule-editing", "/rules/7", "rule edit"),
            ("intake", "/corrections", "correction"),
            ("incident-registry", "/incidents", "incident declaration"),
            ("carrier-intake", "/enrolments", "enrolment"),
        ):
            self._show_at_most_once(service, path, step)

    def _show_at_most_once(self, service, path, step):
        key = f"demo {step}"
        responses = [
            self._caller.send_at_most_once(service, "POST", path, b"{}", key)
            for _ in range(2)
        ]
        runs = sum(1 for run in self._fleet.runs() if run[2] == key)
        same = responses[0][2] == responses[1][2]
        passed = (
            runs == 1 and same and all(response[0] == 200 for response in responses)
        )
        self._record_step(step, passed, f"sent twice, ran {runs} time(s)")

    def show_upload(self):
        """Upload several megabytes and compare the digest with the target's."""
        data = os.urandom(UPLOAD_BYTES)
        status, _, body = self._caller.send("intake", "PUT", "/uploads/photo", data)
        digest = body.decode().split()[-1]
        passed = status == 200 and digest == sha256(data).hexdigest()
        self._record_step("upload", passed, f"{UPLOAD_BYTES} bytes, digest as sent")

    def show_new_text(self):
        """Apply a new configuration and wait until it is in force on every entry VM."""
        text = self._fleet.text
        text["services"]["style-lookup"]["queue"] = {"limit": 16, "wait_ms": 300}
        started = time.monotonic()
        version = self._fleet.apply(text, 1)
        vms = self._fleet.vms.values()
        wait_for(
            lambda: all(self._fleet.version(vm) == version for vm in vms),
            IN_FORCE_SECONDS,
        )
        elapsed = time.monotonic() - started
        self._record_step(
            "new text in force", True, f"on {len(vms)} VMs after {elapsed:.2f} s"
        )

    def show_drain(self):
        """Drain a target under load; no request fails and the target gets no more."""
        target = "style-north-a"
        results, stop = [], threading.Event()
        threads = [
            threading.Thread(target=self._load, args=(results, stop)) for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self._fleet.run("drain", "plan", "demo", "target", target)
        time.sleep(2.0)
        before = len(self._fleet.record(target)["runs"])
        time.sleep(DRAIN_SECONDS - 2.0)
        stop.set()
        for thread in threads:
            thread.join()
        record = self._fleet.record(target)
        late_runs = len(record["runs"]) - before
        failures = [status for status in results if status != 200]
        passed = not failures and not late_runs and not record["in_flight"]
        detail = (
            f"{len(results)} served, {len(failures)} failed, {late_runs} runs after 2 s"
        )
        if failures:
            detail += f" ({dict(Counter(failures))}, pauses of VMs: {self._pauses()})"
        self._record_step("target drained", passed, detail)
        self._fleet.run("drain", "cancel", "demo")

    def _pauses(self):
        """Return the number of ``VM_PAUSED`` events by VM name."""
        return {
            vm.name: sum(1 for line in self._fleet.log(vm) if line.get("event") == 103)
            for vm in self._fleet.vms.values()
        }

    def _load(self, results, stop):
        caller = Caller([vm.host for vm in self._fleet.vms.values()])
        while not stop.is_set():
            try:
                results.append(caller.send("style-lookup", "GET", "/load")[0])
            except OSError:
                results.append(None)

    def show_killed_vm(self):
        """Kill the entry VM that the caller uses; another one serves the caller."""
        first = self._caller.look_up("style-lookup")["vms"][0]["vm"]
        self._fleet.vms[first].process.kill()
        started = time.monotonic()
        status, headers, _ = self._caller.send("style-lookup", "GET", "/after")
        elapsed = time.monotonic() - started
        passed = status == 200
        target = headers.get("heathercleat-target")
        self._record_step(
            "entry VM killed", passed, f"served by {target} after {elapsed:.3f} s"
        )

    def show_log_lines(self):
        """Check that each completed request has a routing decision in a VM's log."""
        # Log lines are written in batches.
        time.sleep(LOG_FLUSH_SECONDS)
        logs = [line for vm in self._fleet.vms.values() for line in self._fleet.log(vm)]
        # Events ROUTE_LOCAL, ROUTE_LEASED, REQUEST_DONE and TICKET_REPEATED; a repeated
        # request is not routed again.
        decided = {line["request"] for line in logs if line.get("event") in (210, 211)}
        done = {line["request"] for line in logs if line.get("event") == 220}
        missing = len(done - decided)
        repeats = sum(1 for line in logs if line.get("event") == 601)
        passed = missing <= repeats
        self._record_step("decisions logged", passed, f"{len(decided)} routing lines")

    def _record_step(self, step, passed, detail):
        self._rows.append((step, passed, detail))
        print(f"{'ok  ' if passed else 'FAIL'}  {step:22}  {detail}", flush=True)


def main():
    """Run the demo."""
    parser = ArgumentParser(description=main.__doc__)
    parser.add_argument("--binary", help="the program to run instead of the package")
    args = parser.parse_args()
    started = time.monotonic()
    program = [args.binary] if args.binary else None
    vms = {"north-a": 2, "north-b": 1, "south-a": 1, "south-b": 1}
    with Fleet(demo_text(), vms, program, subnet=10) as fleet:
        fleet.wait_ready()
        demo = Demo(fleet)
        demo.run()
    failed = [step for step, passed, _ in demo.rows if not passed]
    print(f"{len(demo.rows) - len(failed)} of {len(demo.rows)} steps passed")
    print(f"{time.monotonic() - started:.1f} s, all processes stopped")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
