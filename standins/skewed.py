"""Runs ``heathercleat`` with a skewed wall clock, or partitioned from all targets.

``HEATHERCLEAT_CLOCK_SKEW`` is the skew in seconds and may be negative; monotonic clocks
are not affected.

With ``HEATHERCLEAT_SUSPENDS``, stopping and continuing the process has the effect on
its clocks that the suspension of a VM has: the monotonic clock does not count the time,
while the boot-time clock and the wall clock do.

While the file that ``HEATHERCLEAT_PARTITION`` names has a :class:`PartitionMode`, the
VM is partitioned from all targets; see :mod:`standins.partition`.
"""

import os
import sys
import time

from standins.partition import PARTITION_VARIABLE, install_partition

SKEW_VARIABLE = "HEATHERCLEAT_CLOCK_SKEW"
SUSPENDS_VARIABLE = "HEATHERCLEAT_SUSPENDS"
#: Seconds between two readings of the monotonic clock above which the process counts as
#: stopped; it reads the clock several times a second.
MAX_STEP_SECONDS = 0.4


def skew_clock(seconds):
    """Shift the wall clock of this process."""
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + seconds
    time.time_ns = lambda: real_ns() + int(seconds * 1e9)


class SuspendAwareClock:
    """A monotonic clock that excludes the time in which the process was stopped.

    :param real: returns the seconds of the real monotonic clock.
    """

    def __init__(self, real):
        self._real = real
        self._read_at = real()
        self._stopped_seconds = 0.0

    def monotonic(self):
        """Return the seconds, like :func:`time.monotonic`."""
        now = self._real()
        step, self._read_at = now - self._read_at, now
        if step > MAX_STEP_SECONDS:
            self._stopped_seconds += step
        return now - self._stopped_seconds


def main():
    """Shift the clocks, then run the command line."""
    skew_clock(float(os.environ.get(SKEW_VARIABLE, 0.0)))
    if os.environ.get(SUSPENDS_VARIABLE):
        time.monotonic = SuspendAwareClock(time.monotonic).monotonic
    if os.environ.get(PARTITION_VARIABLE):
        install_partition(os.environ[PARTITION_VARIABLE])
    # Imported late since modules import the clock functions by name.
    from heathercleat.cli import main as run

    sys.exit(run())


if __name__ == "__main__":
    main()
