"""Stand-ins for the cases of the second review, with the standard library only.

One process holds the platform's store, the upstreams and the clients. The programs
under test are started as separate processes, with the command of the deploy file. Every
address is a loopback address.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT = 8381, 8388, 8382, 8383
STORE_PORT, TARGET_PORT = 8384, 8080
HOST = "jepu9.example"
HEARTBEAT_SECONDS = 1.5
#: The longest time for which a script runs.
MAX_SECONDS = 115.0


class Record:
    """Writes ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self._began_at = time.monotonic()
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        self._file = os.open(Path(folder) / "record.txt", flags, 0o644)

    def write(self, text):
        """Write a line with the seconds since the start."""
        line = f"{time.monotonic() - self._began_at:8.3f}  {text}\n"
        os.write(self._file, line.encode())


async def read_head(reader):
    """Return the start line and the headers of a message, ``None`` at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader, headers):
    """Return the body of a message."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


class Store:
    """The platform's table store."""

    def __init__(self):
        self._rows = {}
        self._changes = []
        self._version = 0
        self._changed = asyncio.Event()

    async def start(self, ip):
        """Listen at an address."""
        await asyncio.start_server(self._serve, ip, STORE_PORT, limit=1 << 22)

    def put(self, table, key, value):
        """Write a row with an empty part; ``None`` removes it.

        :param value: bytes.
        """
        self._version += 1
        row = {"table": table, "part": "", "key": key, "ver": self._version}
        if value is None:
            self._rows.pop((table, key), None)
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self._rows[table, key] = row
        self._changes.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                url = urlsplit(target)
                query = {key: each[0] for key, each in parse_qs(url.query).items()}
                status, document = await self._answer(method, url.path, query, body)
                await asyncio.sleep(0.004)
                payload = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(payload), payload)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, body):
        now = round(time.monotonic() * 1000)
        if path == "/v1/rows-get":
            rows = self._range(query)
            limit = min(500, int(query.get("limit", 500)))
            return 200, {
                "rows": rows[:limit],
                "truncated": len(rows) > limit,
                "ver": self._version,
                "now": now,
            }
        if path == "/v1/rows-feed":
            rows = await self._feed(query)
            return 200, {"rows": rows, "ver": self._version, "now": now}
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body), now)
        return 404, {}

    def _range(self, query):
        start, end = query.get("from", ""), query.get("target")
        part = query.get("part", "")
        return [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == query["table"]
            and row["part"] == part
            and key >= start
            and (end is None or key < end)
        ]

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        ends_at = time.monotonic() + min(30_000, int(query["waitMs"])) / 1000
        while True:
            rows = [
                row
                for row in self._changes
                if row["ver"] > after and row["table"] == table
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return rows
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, body, now):
        entries = [*body.get("writes", ()), *body.get("remove", ())]
        if any(each["table"] in ("op", "servers") for each in entries):
            return 403, {}
        stale = [
            each
            for each in body.get("expect", ())
            if self._row_version(each) != each["ver"]
        ]
        if stale:
            return 412, {"rows": [], "ver": self._version, "now": now}
        for each in body.get("writes", ()):
            self.put(each["table"], each["key"], base64.b64decode(each["value"]))
        for each in body.get("remove", ()):
            self.put(each["table"], each["key"], None)
        return 200, {"ver": self._version, "now": now}

    def _row_version(self, entry):
        row = self._rows.get((entry["table"], entry["key"]))
        return row["ver"] if row else 0


class Upstream:
    """An upstream with slots, a queue and a log of its runs.

    :param service: name of its service.
    :param work_s: seconds for which it works on a request.
    :param on_request: called with itself, the connection's writer and the request's id
        when a request arrives; for faults.
    """

    def __init__(
        self, ip, service, zone, store, record, slots=6, work_s=0.05, on_request=None
    ):
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.ip, self.service, self.zone = ip, service, zone
        #: The id of each request that ran, and the instant and incarnation of its run.
        self.runs = []
        self._store, self._record = store, record
        self._slots, self._work_s = slots, work_s
        self._free = asyncio.Semaphore(slots)
        self._running = self._waiting = 0
        self._sequence = 0
        self._on_request = on_request
        self._server = self._check_ins = None
        self._writers = set()
        self._cold_until = 0.0
        #: Until when each of its incarnations is cold.
        self.cold_until = {}
        self._checked_in_at = 0.0

    async def start(self, cold_s=0.0):
        """Listen, and register in the store at every check-in interval.

        :param cold_s: seconds for which it is cold.
        """
        self._cold_until = self.cold_until[self.id] = time.monotonic() + cold_s
        self._server = await asyncio.start_server(
            self._serve, self.ip, TARGET_PORT, limit=1 << 22
        )
        self._check_ins = asyncio.create_task(self._check_in())

    async def crash(self):
        """End without a notice; its connections are reset, new ones refused."""
        self._record.write(f"{self.id} crashes")
        self._check_ins.cancel()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def leave_registry(self):
        """Remove the entry, as an upstream does that leaves without ``draining``.

        It goes on serving; a sound one ends some time after the drain time.
        """
        self._check_ins.cancel()
        self._store.put("servers", self.id, None)
        self._record.write(f"the entry of {self.id} is removed")

    async def restart(self, cold_s):
        """Start as a new incarnation, which is cold."""
        ended, self.id = self.id, f"i-{random.randrange(1 << 32):08x}"
        self._sequence = 0
        asyncio.create_task(self._lapse(ended, self._checked_in_at))
        await self.start(cold_s)
        self._record.write(f"{self.id} starts in place of {ended}, cold")

    async def _lapse(self, ended, checked_in_at):
        """Let the entry of a crashed incarnation lapse after three intervals."""
        lapses_at = checked_in_at + 3 * HEARTBEAT_SECONDS
        await asyncio.sleep(max(0.0, lapses_at - time.monotonic()))
        self._store.put("servers", ended, None)

    async def _check_in(self):
        while True:
            self._sequence += 1
            cold_ms = max(0, round((self._cold_until - time.monotonic()) * 1000))
            entry = {
                "service": self.service,
                "address": f"{self.ip}:{TARGET_PORT}",
                "zone": self.zone,
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "coldRemaining": f"{cold_ms}ms",
                "sequence": self._sequence,
            }
            self._store.put("servers", self.id, json.dumps(entry).encode())
            self._checked_in_at = time.monotonic()
            # The first interval is a part of one: upstreams don't check in together.
            part = random.random() if self._sequence == 1 else 1.0
            await asyncio.sleep(part * HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await self._answer(writer, *head, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, writer, start, headers, body):
        method, path, _ = start.split(" ")
        request_id = headers.get("request-id")
        if headers.get("expected-instance", self.id) != self.id:
            send(writer, 421, {"Instance-Id": self.id})
            return
        if path == "/health":
            send(writer, 200, {"Instance-Id": self.id})
            return
        if self._waiting >= 3 * self._slots:
            send(writer, 503, {"Not-Executed": "1", "Request-Id": request_id})
            return
        if self._on_request is not None:
            self._on_request(self, writer, request_id)
        arrived_at = time.monotonic()
        self._waiting += 1
        await self._free.acquire()
        self._waiting -= 1
        self._running += 1
        self.runs.append((request_id, arrived_at, self.id))
        self._record.write(f"{self.id} runs {request_id} {method} {len(body)} bytes")
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
            self._free.release()
        answer = f"{request_id} at {self.id}\n".encode()
        send(writer, 200, self.answer_headers(request_id, answer), answer)
        await writer.drain()

    def answer_headers(self, request_id, answer):
        """Return the headers of a success."""
        return {
            "Request-Id": request_id,
            "Response-Signature": hashlib.sha256(answer).hexdigest(),
            "Server-Load": f"{self._running},{self._waiting},{self._slots}",
            "Keep-Alive": "timeout=10",
        }


def send(writer, status, headers, body=b""):
    """Write a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items() if value]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode() + body)


class Answer:
    """The outcome of one client attempt.

    :param status: the HTTP status, ``None`` if the connection ended without a complete
        answer.
    """

    def __init__(self, request_id, status, headers, body):
        self.request_id, self.status = request_id, status
        self.sent_at = time.monotonic()
        self.headers, self.body = headers, body


class Client:
    """One kept connection of a client to a node."""

    def __init__(self, ip, record, name):
        self._ip, self._record, self.name = ip, record, name
        self._reader = self._writer = None

    async def connect(self):
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            self._ip, FRONT_PORT, limit=1 << 22
        )

    async def request(
        self,
        method,
        path,
        deadline_ms,
        body=b"",
        is_chunked=False,
        more_headers=(),
        body_s=0.0,
    ):
        """Send a request and return its :class:`Answer`.

        :param body_s: seconds over which a body in chunks is sent.
        """
        request_id = f"{random.randrange(1 << 64):016x}"
        lines = [
            f"{method} {path}{request_id} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            *more_headers,
        ]
        if is_chunked:
            lines.append("Transfer-Encoding: chunked")
        elif method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode()
        self._record.write(
            f"{self.name} sends {request_id} {method} {len(body)} bytes"
            f"{' in chunks' if is_chunked else ''}"
        )
        answer = Answer(request_id, None, {}, b"")
        try:
            await asyncio.wait_for(
                self._exchange(answer, head, body, is_chunked, body_s),
                deadline_ms / 1000 + 1.0,
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            answer.status = None
            self._record.write(f"{self.name} ends without an answer: {error!r}")
            self.close()
        self._record.write(
            f"{self.name} gets {answer.status} for {request_id} {answer.body[:60]!r}"
        )
        return answer

    async def _exchange(self, answer, head, body, is_chunked, body_s):
        self._writer.write(head)
        began_at = time.monotonic()
        if is_chunked:
            step = 1 << 16
            for offset in range(0, len(body), step):
                piece = body[offset : offset + step]
                self._writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
                await self._writer.drain()
                due_at = began_at + body_s * offset / len(body)
                await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            self._writer.write(b"0\r\n\r\n")
        else:
            self._writer.write(body)
        await self._writer.drain()
        found = await read_head(self._reader)
        if found is None:
            raise ConnectionResetError("closed by the node")
        start, answer.headers = found
        answer.body = await read_body(self._reader, answer.headers)
        answer.status = int(start.split(" ")[1])

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


class Vm:
    """A machine that runs the program of the deploy file."""

    def __init__(self, name, ip, zone):
        self.name, self.ip, self.zone = name, ip, zone
        self.process = None
        self.settings_path = None
        self.log_path = None


class Lab:
    """A small deployment on loopback addresses.

    :param zones: the region of each zone.
    :param vms: the number of machines in each zone.
    :param case_folder: the folder of the case, for its record.
    """

    def __init__(self, case_folder, zones, vms, bounds=()):
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._zones, self._bounds = zones, bounds
        self._net = free_network()
        self.store = Store()
        self.upstreams = []
        self.vms = []
        for zone, count in vms.items():
            for number in range(1, count + 1):
                ip = f"{self._net}.{1 + list(zones).index(zone)}.{10 + number}"
                self.vms.append(Vm(f"front-{zone}-{number}", ip, zone))

    def add_upstream(self, service, zone, **options):
        """Add an upstream; it starts with the lab."""
        ip = f"{self._net}.{101 + list(self._zones).index(zone)}"
        ip += f".{10 + len(self.upstreams)}"
        upstream = Upstream(ip, service, zone, self.store, self.record, **options)
        self.upstreams.append(upstream)
        return upstream

    async def start(self, config):
        """Start everything; wait until all machines are ready and know each other."""
        await self.store.start(f"{self._net}.200.1")
        for upstream in self.upstreams:
            await upstream.start()
        self.store.put("op", "config", json.dumps(config).encode())
        for vm in self.vms:
            self.start_vm(vm, is_first_start=True)
        for vm in self.vms:
            await self.wait_ready(vm)
        for vm in self.vms:
            await wait_until(lambda vm=vm: self._knows_all(vm), 15.0)
        self.record.write("all machines are ready and know each other")

    def start_vm(self, vm, is_first_start=False):
        """Start the process of a machine with the command of the deploy file."""
        vm.settings_path = self.folder / f"{vm.name}.json"
        vm.settings_path.write_text(json.dumps(self._settings(vm, is_first_start)))
        vm.log_path = self.folder / f"{vm.name}.log"
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["LANG"] = "C.UTF-8"
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["HEATHERCLEAT_SETTINGS"] = str(vm.settings_path)
        with open(vm.log_path, "ab") as log:
            vm.process = subprocess.Popen(
                deploy_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"{vm.name} starts, process {vm.process.pid}")

    def signal_vm(self, vm, number):
        """Send a signal to the process of a machine."""
        self.record.write(f"{vm.name} gets {signal.Signals(number).name}")
        vm.process.send_signal(number)

    async def wait_ready(self, vm):
        """Wait until a machine says that it is ready."""
        await wait_until(lambda: self._is_ready(vm), 15.0)

    async def _is_ready(self, vm):
        status, _ = await get(vm.ip, READY_PORT, "/v1/ready")
        return status == 200

    async def _knows_all(self, vm):
        known = set()
        for zone, region in self._zones.items():
            known |= set(await self.resolve(vm, region, zone))
        return len(known) == len(self.vms)

    async def resolve(self, vm, region, zone):
        """Return the addresses in a machine's answer as directory."""
        path = f"/v1/resolve?name={HOST}&region={region}&zone={zone}"
        status, body = await get(vm.ip, DIRECTORY_PORT, path)
        return json.loads(body)["addresses"] if status == 200 else []

    def log_lines(self, vm, wanted):
        """Return the log lines of a machine with a pattern."""
        text = vm.log_path.read_text(errors="replace")
        return [line for line in text.splitlines() if re.search(wanted, line)]

    def stop(self):
        """End all processes and remove the temporary folder."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
            if vm.process is not None:
                vm.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, vm, is_first_start):
        return {
            "node": vm.name,
            "role": "steer",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": vm.ip,
            "zone": vm.zone,
            "region": self._zones[vm.zone],
            "zones": self._zones,
            "listen": {
                "front": f"{vm.ip}:{FRONT_PORT}",
                "ready": f"{vm.ip}:{READY_PORT}",
                "control": f"{vm.ip}:{CONTROL_PORT}",
                "directory": f"{vm.ip}:{DIRECTORY_PORT}",
            },
            "internalPorts": [7200, 7215],
            "seeds": [f"{each.ip}:{CONTROL_PORT}" for each in self.vms[:3]],
            "bootstrap": is_first_start,
            "inFaultBudget": False,
            "limits": {
                "cpuShare": 0.86,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat": "1500ms",
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "places",
                "platform",
            ],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 1},
            "bounds": [
                "seedLag=3s",
                "reuseAfter=2s",
                "stableWindow=3000ms",
                "ack=4000ms",
                "catchUp=4s",
                "drain=2000ms",
                "grace=6s",
                "lossSlack=200ms",
                "configApply=2000ms",
                "revertSlack=250ms",
                "maxExtension=5000ms",
                "retryBudgetRatio=0.2",
                "budgetWindow=10s",
                "budgetSlack=64",
                "coldOver=1.5",
                "coldSlack=5",
                "evacuation=5000ms",
                "recovery=15s",
                "ttl_max=5s",
                "shiftMost=0.15",
                *self._bounds,
            ],
            "platform": {
                "address": f"{self._net}.200.1:{STORE_PORT}",
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "tx": "8ms",
                "partWritesS": 150,
                "rowBytes": 65536,
                "across": False,
                "history": "20s",
                "blobBytes": 8388608,
                "blob": "25ms",
                "blobMbS": 80.0,
            },
        }


def config(services, routes, version="r7"):
    """Return a configuration document for one host.

    :param routes: the fields of each route.
    """
    defaults = {
        "timeout": "2000ms",
        "targetLatency": "300ms",
        "priority": 1,
        "maxAttempts": 2,
        "sessionAffinity": False,
        "allowedRegions": [],
    }
    return {
        "version": version,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 390,
                "protocol": "h1",
                "tls": False,
                "coldStart": "3s",
                "coldPerS": 12.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "hosts": [{"host": HOST, "paths": [{**defaults, **each} for each in routes]}],
    }


async def get(ip, port, path):
    """Return the status and the body of a GET request; status 0 without an answer."""
    try:
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode())
            start, headers = await asyncio.wait_for(read_head(reader), 1.0)
            return int(start.split(" ")[1]), await read_body(reader, headers)
        finally:
            writer.close()
    except (TimeoutError, OSError, TypeError, asyncio.IncompleteReadError):
        return 0, b""


async def wait_until(holds, seconds):
    """Wait until a coroutine function returns true.

    :raises TimeoutError: if it does not in time.
    """
    ends_at = time.monotonic() + seconds
    while not await holds():
        if time.monotonic() >= ends_at:
            raise TimeoutError("the deployment did not start")
        await asyncio.sleep(0.05)


def deploy_command():
    """Return the command of the role ``steer`` in the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    command = re.search(r'^run = "(.*)"$', text, re.MULTILINE).group(1).split(" ")
    return [sys.executable if command[0] == "python3" else command[0], *command[1:]]


def free_network():
    """Return the first two octets of loopback addresses that nobody uses."""
    for _ in range(50):
        net = f"127.{random.randrange(100, 250)}"
        with socket.socket() as sock:
            try:
                sock.bind((f"{net}.200.1", STORE_PORT))
                return net
            except OSError:
                continue
    raise OSError("no free loopback network")


def is_troubled():
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play):
    """Run a case and exit with its status.

    :param play: a coroutine function that returns whether the rule held.
    """

    async def limited():
        # Connections that are still open at the end are cancelled without a report.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(play(), MAX_SECONDS)

    # Ends the processes of the lab also if the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        is_kept = asyncio.run(limited())
    except Exception as error:  # the case itself could not run
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if is_kept else 1)
