"""Checks that what targets ask for in responses is kept, for the soak test.

Clients keep sending. The store is down meanwhile, and a VM is stopped and restarted.
"""

import random
import signal
import time

#: Requests per second that a limited target accepts.
RATE_LIMIT = 4.0
#: Seconds from the first response with a limit until the limit has to be kept.
ADOPTION_SECONDS = 3.0
WINDOW_SECONDS = 4.0
#: Requests that the limit allows in a window.
MAX_IN_WINDOW = 1.5 * RATE_LIMIT * WINDOW_SECONDS + 5
REST_SECONDS = 1.5
#: Seconds after a refusal in which requests that were on their way may arrive.
REACTION_SECONDS = 0.5
MAX_IN_REST = 2
#: Seconds in which a target refuses requests and asks for rest.
OVERLOAD_SECONDS = 4.0


class TargetNotices:
    """Targets that ask for less, one after another.

    :param seed: seed of the random choices.
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._rng = random.Random(f"{seed}-notices")

    def check(self):
        """Yield a line for each violation."""
        self._fleet.switch_store(down=self._rng.choice(["busy", "silent", "reset"]))
        targets = self._rng.sample(list(self._fleet.targets), 2)
        yield from self._check_limit(targets[0])
        yield from self._check_rest(targets[1])
        self._fleet.switch_store(down=None)

    def _check_limit(self, target):
        self._fleet.switch_target(target, limit=RATE_LIMIT)
        begin = time.monotonic()
        time.sleep(ADOPTION_SECONDS)
        vm = self._rng.choice(list(self._fleet.vms.values()))
        vm.process.send_signal(signal.SIGTERM)
        time.sleep(WINDOW_SECONDS)
        self._fleet.restart_vm(vm)
        time.sleep(WINDOW_SECONDS)
        self._fleet.switch_target(target, limit=None)
        instants = self._arrivals_since(target, begin + ADOPTION_SECONDS)
        most = max_in_window(instants, WINDOW_SECONDS)
        if most > MAX_IN_WINDOW:
            yield f"{target} got {most} requests in a window, limit {RATE_LIMIT}"

    def _check_rest(self, target):
        self._fleet.switch_target(target, shed=1.0, rest_s=REST_SECONDS)
        begin = time.monotonic()
        time.sleep(OVERLOAD_SECONDS)
        instants = self._arrivals_since(target, begin)
        self._fleet.switch_target(target, shed=0.0, rest_s=None)
        most = max_in_rest(instants, REST_SECONDS)
        if most > MAX_IN_REST:
            yield f"{target} got {most} requests in its rest"

    def _arrivals_since(self, target, instant):
        return [at for _, at, _ in self._fleet.arrivals(target) if at >= instant]


def max_in_window(instants, seconds):
    """Return the highest number of instants in any window of a length."""
    return max(
        (
            sum(first <= each < first + seconds for each in instants)
            for first in instants
        ),
        default=0,
    )


def max_in_rest(instants, seconds):
    """Return the most requests in a rest, if each request is refused and begins one."""
    return max(
        (
            sum(first + REACTION_SECONDS < each < first + seconds for each in instants)
            for first in instants
        ),
        default=0,
    )
