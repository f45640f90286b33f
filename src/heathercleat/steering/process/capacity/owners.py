"""Assignment of targets to owning VMs.

Only the owner sends requests to a target, so that a single process counts its slots;
other VMs forward requests to the owner. Each VM computes the owners by rendezvous
hashing from the targets and VMs that it knows.
"""

from heathercleat.version.hashing import assign_evenly


class Assignment:
    """The owners of a service's targets in a failure domain.

    :param targets: ids of the targets.
    :param candidates: names of the VMs that may own them.
    """

    __slots__ = ("targets", "candidates", "owners")

    def __init__(self, targets, candidates):
        self.targets = targets
        self.candidates = candidates
        self.owners = assign_evenly(targets, candidates)


class Owners:
    """The owner of each usable target.

    :param registry: the :class:`TargetRegistry`.
    :param members: the VMs that may own targets.
    """

    def __init__(self, registry, members):
        self._registry = registry
        self._members = members
        self._owners_by_target = {}
        self._previous_owners = {}
        self._assignments = {}
        self._is_stale = True
        registry.on_change(self._mark_stale)
        members.on_change(self._mark_stale)
        self._on_change = []

    def on_change(self, callback):
        """Call ``callback()`` whenever owners may have changed."""
        self._on_change.append(callback)

    def owner_of(self, target_id):
        """Return the name of the VM that owns a target, or ``None``."""
        if self._is_stale:
            self._rebuild()
        return self._owners_by_target.get(target_id)

    def previous_owner_of(self, target_id):
        """Return the owner of a target before the last change, or ``None``."""
        return self._previous_owners.get(target_id)

    def owned(self):
        """Return the ids of the targets that this VM owns."""
        if self._is_stale:
            self._rebuild()
        own = self._members.own.vm
        return [target for target, vm in self._owners_by_target.items() if vm == own]

    def _mark_stale(self):
        self._is_stale = True
        for callback in self._on_change:
            callback()

    def _rebuild(self):
        self._is_stale = False
        owner_candidates = self._members.owner_candidates()
        previous, self._assignments = self._assignments, {}
        self._previous_owners, self._owners_by_target = self._owners_by_target, {}
        for failure_domain, services in self._group_targets().items():
            candidates = self._candidates(failure_domain, owner_candidates)
            for service, targets in services.items():
                key = failure_domain, service
                assignment = _reuse_or_assign(
                    previous.get(key), sorted(targets), sorted(candidates)
                )
                self._assignments[key] = assignment
                self._owners_by_target.update(assignment.owners)

    def _group_targets(self):
        """Return the target ids by failure domain and service."""
        groups = {}
        for entry in self._registry.usable():
            services = groups.setdefault(entry.failure_domain, {})
            services.setdefault(entry.service, []).append(entry.id)
        return groups

    def _candidates(self, failure_domain, owner_candidates):
        """Return the names of the VMs that may own targets of a failure domain.

        These are the candidates in the failure domain or, if there are none, those in
        its region or, if there are none either, all candidates.
        """
        nearby = [
            each.vm
            for each in owner_candidates
            if each.failure_domain == failure_domain
        ]
        if nearby:
            return nearby
        region = self._members.region_of(failure_domain)
        nearby = [each.vm for each in owner_candidates if each.region == region]
        return nearby or [each.vm for each in owner_candidates]


def _reuse_or_assign(previous, targets, candidates):
    """Return the previous :class:`Assignment` if the inputs are the same, or a new one.

    Computing one is slow for many targets and VMs, and most changes affect a single
    service of one failure domain.
    """
    if previous and previous.targets == targets and previous.candidates == candidates:
        return previous
    return Assignment(targets, candidates)
