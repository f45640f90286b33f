"""Clocks: instants within a process, and instants that travel between VMs."""

from time import CLOCK_BOOTTIME, clock_gettime, time
from typing import Protocol

#: An instant before every other one.
DISTANT_PAST = float("-inf")


class Clock(Protocol):
    """Source of instants, in seconds."""

    def now(self):
        """Return an instant that never goes back, for deadlines in this process."""

    def wall(self):
        """Return epoch seconds, for deadlines that travel between VMs."""


class SystemClock:
    """The clocks of the operating system.

    ``CLOCK_BOOTTIME`` also runs while a VM is suspended, so that a lease lapses then.
    """

    def now(self):
        """Return seconds since the VM booted, suspended time included."""
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
