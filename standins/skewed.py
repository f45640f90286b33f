"""Runs ``heathercleat`` with a time of day that is off by some seconds.

``HEATHERCLEAT_CLOCK_SKEW`` holds the seconds, which may be negative. A process that is
started again with another value sees the step that a clock makes on a real VM; clocks
that never go back are not touched.
"""

import os
import sys
import time

SKEW_VARIABLE = "HEATHERCLEAT_CLOCK_SKEW"


def skew_clock(seconds):
    """Shift the time of day that this process reads."""
    real, real_ns = time.time, time.time_ns
    time.time = lambda: real() + seconds
    time.time_ns = lambda: real_ns() + int(seconds * 1e9)


def main():
    """Shift the clock, then run the command line."""
    skew_clock(float(os.environ.get(SKEW_VARIABLE, 0.0)))
    # Imported late: modules take the functions of the clock by name.
    from heathercleat.cli import main as run

    sys.exit(run())


if __name__ == "__main__":
    main()
