"""Runs ``heathercleat`` with a time of day that is off by some seconds.

``HEATHERCLEAT_CLOCK_SKEW`` holds the seconds, which may be negative. A process that is
started again with another value sees the step that a clock makes on a real VM; clocks
that never go back are not touched.

With ``HEATHERCLEAT_SUSPENDS`` a process that is stopped and continued sees what a VM
sees that was suspended: the steady clock does not count that time, as the clock since
the boot and the time of day do.
"""

import os
import sys
import time

SKEW_VARIABLE = "HEATHERCLEAT_CLOCK_SKEW"
SUSPENDS_VARIABLE = "HEATHERCLEAT_SUSPENDS"
#: Seconds between two readings of the steady clock from which the process did not run:
#: it looks after a quarter of a second at the latest.
LONGEST_STEP = 0.4


def skew_clock(seconds):
    """Shift the time of day that this process reads."""
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + seconds
    time.time_ns = lambda: real_ns() + int(seconds * 1e9)


class HeldClock:
    """A steady clock that does not count the time in which the process was stopped.

    :param real: returns the seconds of the clock in whose place it stands.
    """

    def __init__(self, real):
        self._real = real
        self._read_at = real()
        self._held = 0.0

    def monotonic(self):
        """Return the seconds of the steady clock."""
        now = self._real()
        step, self._read_at = now - self._read_at, now
        if step > LONGEST_STEP:
            self._held += step
        return now - self._held


def main():
    """Shift the clocks, then run the command line."""
    skew_clock(float(os.environ.get(SKEW_VARIABLE, 0.0)))
    if os.environ.get(SUSPENDS_VARIABLE):
        time.monotonic = HeldClock(time.monotonic).monotonic
    # Imported late: modules take the functions of the clock by name.
    from heathercleat.cli import main as run

    sys.exit(run())


if __name__ == "__main__":
    main()
