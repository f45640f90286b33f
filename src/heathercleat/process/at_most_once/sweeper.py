"""Sweeping the claim rows of old tickets from the platform's table.

Claims are written for every at-most-once request, so the table would grow without end.
The rows of a ticket are of no use once nothing is said about its keys any more. One VM
of the whole list sweeps; if the lists of two VMs differ for a while both may, which
does no harm.
"""

from curio import sleep

from heathercleat.errors import PlatformError
from heathercleat.events import Event
from heathercleat.process.at_most_once.claims import CLAIM_PREFIX, bucket_end
from heathercleat.process.at_most_once.deduplication import RETENTION
from heathercleat.process.configuration.platform import Condition, Write
from heathercleat.version.hashing import rank_by_weight

#: Seconds between two looks for old rows, and between two full batches.
SWEEP_INTERVAL = 60.0
BATCH_INTERVAL = 0.1
#: Rows removed in one transaction, so at most 640 a second.
BATCH_ROWS = 64


class ClaimSweeper:
    """Removes claim rows that no answer needs any more.

    :param vm: the process: name, VM list, journal.
    :param platform: the platform client.
    :param clock: source of instants.
    """

    def __init__(self, vm, platform, clock):
        self._vm = vm
        self._platform = platform
        self._clock = clock

    async def run(self):
        """Sweep now and then, while this VM is the one to do it."""
        while True:
            await sleep(SWEEP_INTERVAL)
            if not self._is_sweeper():
                continue
            try:
                await self.sweep()
            except PlatformError as error:
                self._vm.journal.write(Event.PLATFORM_FAILED, reason=str(error))

    async def sweep(self):
        """Remove every old row, a batch at a time, and return how many there were.

        :raises PlatformError: when the platform does not answer; the rest is removed
            the next time.
        """
        removed = 0
        while True:
            count = await self._sweep_batch()
            removed += count
            if count < BATCH_ROWS:
                break
            await sleep(BATCH_INTERVAL)
        if removed:
            self._vm.journal.write(Event.CLAIMS_SWEPT, rows=removed)
        return removed

    def _is_sweeper(self):
        names = [entry.name for entry in self._vm.directory.entries]
        return rank_by_weight("sweeper", names)[:1] == [self._vm.name]

    async def _sweep_batch(self):
        """Remove the oldest rows; keys are in the order of their buckets."""
        rows = await self._platform.read_range(CLAIM_PREFIX, BATCH_ROWS)
        now = self._clock.wall()
        old = [row for row in rows if bucket_end(row.key) + RETENTION <= now]
        if not old:
            return 0
        # A row that changes meanwhile stays for the next time.
        commit = await self._platform.transact(
            [Condition(row.key, row.version) for row in old],
            [Write(row.key, None) for row in old],
        )
        return len(old) if commit.done else 0
