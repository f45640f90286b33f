"""Measurement of stalls: times at which this process was not running.

A stall is caused by a paused or overloaded VM. It delays requests, but says nothing
about the speed of their targets.
"""

from curio import sleep

TICK_SECONDS = 0.05
#: Seconds between two ticks; if they are further apart, the excess counts as a stall.
MAX_TICK_GAP_SECONDS = 2 * TICK_SECONDS


class Stalls:
    """Measures the stalls of this process, in seconds."""

    def __init__(self, clock):
        self._clock = clock
        self._stalled_seconds = 0.0
        self._last_tick = clock.now()

    def total_seconds(self):
        """Return the total of all stalls in seconds, including one that just ended."""
        return self._stalled_seconds + self._current_stall(self._clock.now())

    def active_time(self):
        """Return the time of a clock that is stopped during stalls."""
        return self._clock.now() - self.total_seconds()

    def tick(self):
        """Record that the process is running."""
        now = self._clock.now()
        self._stalled_seconds += self._current_stall(now)
        self._last_tick = now

    async def run(self):
        """Tick periodically, forever."""
        while True:
            self.tick()
            await sleep(TICK_SECONDS)

    def _current_stall(self, now):
        return max(0.0, now - self._last_tick - MAX_TICK_GAP_SECONDS)
