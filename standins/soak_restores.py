"""Faults of the soak test that overlap with its others.

The store is restored from backups of itself, at times while all VMs are started again,
and VMs are partitioned from all targets.
"""

import threading
import time

from standins.partition import PartitionMode

GAP_SECONDS = (0.5, 2.0)
DURATION_SECONDS = (0.3, 2.5)
#: Maximum seconds until operators and targets write again what a backup lacks.
MAX_REWRITE_SECONDS = 1.5


class RestoresAndPartitions:
    """Injects these faults in a thread, one after another.

    :param disturbed_at: by VM, the last instant at which it was ended or started.
    :param rng: source of all random choices.
    """

    def __init__(self, fleet, disturbed_at, rng):
        self._fleet = fleet
        self._disturbed_at = disturbed_at
        self._rng = rng
        self._thread = None
        self.log = []

    def start(self, seconds):
        """Start to inject faults for some seconds."""
        ends_at = time.monotonic() + seconds
        self._thread = threading.Thread(target=self._run, args=(ends_at,))
        self._thread.start()

    def join(self):
        """Wait until the last fault is undone."""
        self._thread.join()

    def _run(self, ends_at):
        while time.monotonic() < ends_at:
            inject = self._rng.choice(
                (self._restore_store, self._restart_all, self._partition_vms)
            )
            undo = inject()
            self.log.append(f"{time.monotonic():.2f} {inject.__name__}")
            time.sleep(self._rng.uniform(*DURATION_SECONDS))
            undo()
            time.sleep(self._rng.uniform(*GAP_SECONDS))

    def _restore_store(self):
        self._fleet.back_up_store()
        rewrite_s = self._rng.uniform(0.0, MAX_REWRITE_SECONDS)
        return lambda: self._fleet.restore_store(rewrite_s)

    def _restart_all(self):
        """End all VMs; they start under a store that was restored meanwhile."""
        restore = self._restore_store()
        vms = list(self._fleet.vms.values())

        def restart():
            for vm in vms:
                self._disturbed_at[vm.name] = time.monotonic()
                vm.process.kill()
                vm.process.wait()
            restore()
            for vm in vms:
                self._disturbed_at[vm.name] = time.monotonic()
                self._fleet.start_if_ended(vm)

        return restart

    def _partition_vms(self):
        """Partition one VM or more, except one."""
        vms = list(self._fleet.vms.values())
        partitioned = self._rng.sample(vms, self._rng.randrange(1, len(vms)))
        mode = self._rng.choice(list(PartitionMode))
        for vm in partitioned:
            self._fleet.partition_vm(vm, mode)

        def heal():
            for vm in partitioned:
                self._fleet.partition_vm(vm, None)

        return heal
