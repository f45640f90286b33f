"""Callers that do not read and targets on shared machines, for the soak test.

Both overlap with the other faults. A VM must not exceed its memory limit.
"""

import socket
import threading
import time
from pathlib import Path

from standins.steering_fleet import FRONT_PORT

#: Memory limit of each VM, as in the settings of the fleet.
MEMORY_BYTES = 300 << 20
#: Seconds between two callers or changes of a machine's speed.
GAP_SECONDS = (0.02, 0.2)
#: Size of the responses that callers ask for and do not read, in bytes.
RESPONSE_BYTES = (100_000, 8_000_000)
#: Callers at a time; the oldest one disconnects for a new one.
MAX_CALLERS = 40
#: Receive buffer of a caller in bytes; small, so that the VM holds the response.
RECEIVE_BUFFER_BYTES = 8 << 10
#: Share of the steps that change the speed of a machine, and the reported speeds.
SPEED_STEP_SHARE = 0.3
SLOWDOWN_PERCENTS = (100, 100, 100, 250, 400)


class Pressure:
    """Opens callers that do not read, and changes the speed of machines, in a thread.

    :param targets: ids of the targets.
    :param rng: source of all random choices.
    """

    def __init__(self, fleet, targets, rng):
        self._fleet = fleet
        self._targets = list(targets)
        self._rng = rng
        self._callers = []
        self._thread = None

    def start(self, seconds):
        """Start for some seconds."""
        ends_at = time.monotonic() + seconds
        self._thread = threading.Thread(target=self._run, args=(ends_at,))
        self._thread.start()

    def join(self):
        """Wait for the end; machines are as fast as usual then."""
        self._thread.join()

    def check(self):
        """Yield a line for each VM whose memory exceeded the limit."""
        for vm in self._fleet.vms.values():
            try:
                peak = peak_bytes(vm)
            except ProcessLookupError:
                # It was killed, and is restarted later.
                continue
            if peak > MEMORY_BYTES:
                yield f"{vm.name}: {peak >> 20} MB of memory"

    def _run(self, ends_at):
        number = 0
        while time.monotonic() < ends_at:
            if self._rng.random() < SPEED_STEP_SHARE:
                percent = self._rng.choice(SLOWDOWN_PERCENTS)
                target = self._rng.choice(self._targets)
                self._fleet.switch_target(target, slowdown=percent)
            else:
                number += 1
                self._open(number)
            time.sleep(self._rng.uniform(*GAP_SECONDS))
        for caller in self._callers:
            caller.close()
        for target in self._targets:
            self._fleet.switch_target(target, slowdown=100)

    def _open(self, number):
        """Ask a VM for a large response; do not read it."""
        vm = self._rng.choice(list(self._fleet.vms.values()))
        size = self._rng.randrange(*RESPONSE_BYTES)
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        caller.settimeout(0.5)
        request = (
            f"GET /one/two/x?bytes={size} HTTP/1.1\r\nHost: a.example\r\n"
            f"Request-Id: unread-{number}\r\nDeadline-Ms: 3000\r\n\r\n"
        )
        try:
            caller.connect((vm.host, FRONT_PORT))
            caller.sendall(request.encode())
        except OSError:
            caller.close()
            return
        self._callers.append(caller)
        if len(self._callers) > MAX_CALLERS:
            self._callers.pop(0).close()


def peak_bytes(vm):
    """Return the peak resident memory of a VM.

    :raises ProcessLookupError: if its process has ended.
    """
    try:
        status = Path(f"/proc/{vm.process.pid}/status").read_text()
    except FileNotFoundError:
        raise ProcessLookupError(vm.process.pid) from None
    for line in status.splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) << 10
    raise ProcessLookupError(vm.process.pid)
