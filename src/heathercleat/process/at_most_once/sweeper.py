"""Removal of the claim rows of expired tickets from the platform's table.

Each at-most-once request may write a row, so the table would grow without bound. Rows
are removed once their tickets are too old for their outcomes to be reported. One VM of
the VM list does this; if the lists of two VMs differ, both may do it safely.
"""

from curio import sleep

from heathercleat.errors import PlatformError
from heathercleat.events import Event
from heathercleat.process.at_most_once.claims import CLAIM_PREFIX, bucket_end
from heathercleat.process.at_most_once.deduplication import RETENTION_SECONDS
from heathercleat.process.configuration.platform import Condition, Write
from heathercleat.version.hashing import rank_by_weight

#: Seconds between two sweeps.
SWEEP_INTERVAL_SECONDS = 60.0
#: Seconds between two batches; with the batch size, this limits the load on the table.
BATCH_INTERVAL_SECONDS = 0.1
#: Maximum number of rows removed in one transaction.
BATCH_ROWS = 64


class ClaimSweeper:
    """Removes claim rows that are no longer needed.

    :param vm: the :class:`EntryVM` of this process.
    :param platform: the platform client.
    """

    def __init__(self, vm, platform, clock):
        self._vm = vm
        self._platform = platform
        self._clock = clock

    async def run(self):
        """Sweep periodically while this VM is the sweeper, forever."""
        while True:
            await sleep(SWEEP_INTERVAL_SECONDS)
            if not self._is_sweeper():
                continue
            try:
                await self.sweep()
            except PlatformError as error:
                self._vm.journal.write(Event.PLATFORM_FAILED, reason=str(error))

    async def sweep(self):
        """Remove all old rows in batches and return their number.

        :raises PlatformError: if the platform is unavailable; the remaining rows are
            left for the next sweep.
        """
        removed = 0
        while True:
            count = await self._sweep_batch()
            removed += count
            if count < BATCH_ROWS:
                break
            await sleep(BATCH_INTERVAL_SECONDS)
        if removed:
            self._vm.journal.write(Event.CLAIMS_SWEPT, rows=removed)
        return removed

    def _is_sweeper(self):
        names = [entry.name for entry in self._vm.vm_directory.entries]
        return rank_by_weight("sweeper", names)[:1] == [self._vm.name]

    async def _sweep_batch(self):
        """Remove a batch of the oldest rows and return their number.

        Keys sort by bucket, so the oldest rows come first.
        """
        rows = await self._platform.read_range(CLAIM_PREFIX, BATCH_ROWS)
        now = self._clock.wall()
        old = [row for row in rows if bucket_end(row.key) + RETENTION_SECONDS <= now]
        if not old:
            return 0
        # If a row changes meanwhile, nothing is removed until the next sweep.
        commit = await self._platform.transact(
            [Condition(row.key, row.version) for row in old],
            [Write(row.key, None) for row in old],
        )
        return len(old) if commit.done else 0
