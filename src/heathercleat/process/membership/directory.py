"""The VM list: the entry VMs of all failure domains.

The list comes from the platform or a peer and may be out of date: a listed VM need not
be reachable.
"""

from heathercleat.process.configuration.platform import VmEntry, VmList


class Directory:
    """The latest VM list, indexed by name and failure domain."""

    def __init__(self):
        self._list = None
        self._by_domain = {}
        self._by_name = {}

    @property
    def is_loaded(self):
        """Return whether a list has been received."""
        return self._list is not None

    @property
    def serial(self):
        """Return the serial number of the list, or -1 if there is none."""
        return -1 if self._list is None else self._list.serial

    @property
    def entries(self):
        """Return the :class:`VmEntry` of each VM in the list."""
        return () if self._list is None else self._list.entries

    def adopt(self, vm_list):
        """Replace the list by a newer one and return whether it was newer."""
        if vm_list is None or vm_list.serial <= self.serial:
            return False
        self._list = vm_list
        self._by_name = {entry.name: entry for entry in vm_list.entries}
        self._by_domain = {}
        for entry in vm_list.entries:
            self._by_domain.setdefault(entry.failure_domain, []).append(entry)
        return True

    def find(self, name):
        """Return the :class:`VmEntry` of a VM, or ``None``."""
        return self._by_name.get(name)

    def vms_in(self, failure_domain):
        """Return the entries of one failure domain."""
        return self._by_domain.get(failure_domain, [])

    def available_in(self, failure_domain, drained=frozenset()):
        """Return the entries of one failure domain that are not leaving.

        :param drained: names of VMs to leave out.
        """
        return [
            entry
            for entry in self.vms_in(failure_domain)
            if not entry.leaving and entry.name not in drained
        ]

    def assigned_homes(self, failure_domain, placement, service, drained=frozenset()):
        """Return the distinct VMs to which a placement assigns a service's targets.

        :param placement: the :class:`Placement` of the current configuration.
        :param drained: names of the drained VMs, which are no homes.
        """
        names = [entry.name for entry in self.available_in(failure_domain, drained)]
        homes = placement.homes_of(service, failure_domain, names)
        return [self._by_name[name] for name in homes]

    def to_fields(self):
        """Return the list as fields of a :class:`VmListResponse` message."""
        return [
            [entry.name, entry.host, entry.failure_domain, entry.leaving]
            for entry in self.entries
        ]


def parse_vm_list(serial, fields):
    """Return a :class:`VmList` from the fields of a :class:`VmListResponse` message."""
    return VmList(serial, tuple(VmEntry(*entry) for entry in fields))
