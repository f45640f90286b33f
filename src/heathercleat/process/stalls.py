"""For how long this process did not run, because its VM was paused or overloaded.

What a stall adds to the time of a request says nothing about its target.
"""

from curio import sleep

TICK = 0.05
#: Seconds between two ticks of a process that runs, at most.
USUAL_GAP = 2 * TICK


class Stalls:
    """Adds up the stalls of this process.

    :param clock: source of instants.
    """

    def __init__(self, clock):
        self._clock = clock
        self._seconds = 0.0
        self._last_tick = clock.now()

    def seconds(self):
        """Return the seconds of all stalls, one that has just ended included."""
        return self._seconds + self._latest(self._clock.now())

    def running(self):
        """Return the instant on a clock that stands still while the process does."""
        return self._clock.now() - self.seconds()

    def tick(self):
        """Note that the process runs."""
        now = self._clock.now()
        self._seconds += self._latest(now)
        self._last_tick = now

    async def run(self):
        """Tick."""
        while True:
            self.tick()
            await sleep(TICK)

    def _latest(self, now):
        return max(0.0, now - self._last_tick - USUAL_GAP)
