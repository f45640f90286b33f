"""Clocks: monotonic instants within a process and epoch seconds between VMs."""

from time import CLOCK_BOOTTIME, clock_gettime, time
from typing import Protocol

#: An instant before every other one.
DISTANT_PAST = float("-inf")


class Clock(Protocol):
    """Interface of a clock; times are in seconds."""

    def now(self):
        """Return a monotonic instant, for deadlines within this process."""

    def wall(self):
        """Return epoch seconds, for deadlines that are sent to other VMs."""


class SystemClock:
    """The clocks of the operating system.

    ``CLOCK_BOOTTIME`` also runs while a VM is suspended, so leases expire meanwhile.
    """

    def now(self):
        """Return the seconds since boot, including suspended time."""
        return clock_gettime(CLOCK_BOOTTIME)

    def wall(self):
        """Return epoch seconds."""
        return time()


def to_wall(clock, instant):
    """Return the epoch seconds of an instant of ``clock.now()``."""
    return clock.wall() + (instant - clock.now())


def from_wall(clock, wall):
    """Return the instant of ``clock.now()`` for epoch seconds."""
    return clock.now() + (wall - clock.wall())
