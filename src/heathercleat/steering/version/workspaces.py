"""Workspaces of the operators' configuration and the keys that identify them."""

from hashlib import blake2b

#: Bytes of the digest by which keys are stored and compared.
KEY_DIGEST_BYTES = 16


class Workspace:
    """One workspace of a configuration version.

    :param name: unique within the version; targets receive it.
    :param rate: requests per second over all VMs, or ``None`` without a limit.
    :param burst: requests allowed in addition to the rate.
    :param priority: rank of its requests, 0 is the most urgent; ``None`` for the rank
        of the route.
    :param regions: the only regions that may serve its requests; empty for all.
    """

    __slots__ = ("name", "rate", "burst", "priority", "regions")

    def __init__(self, name, rate=None, burst=0.0, priority=None, regions=frozenset()):
        self.name = name
        self.rate = rate
        self.burst = burst
        self.priority = priority
        self.regions = regions


class WorkspaceIndex:
    """The workspaces of one version, found by key.

    Only digests of the keys are kept.
    """

    __slots__ = ("_by_name", "_by_digest")

    def __init__(self):
        self._by_name = {}
        self._by_digest = {}

    @property
    def names(self):
        """Return the names of the workspaces, as a set."""
        return self._by_name.keys()

    def add(self, workspace, keys):
        """Add a :class:`Workspace` with its keys.

        :param keys: the keys as bytes.
        :raises ValueError: if the name or a key belongs to another workspace.
        """
        if workspace.name in self._by_name:
            raise ValueError(f'workspace "{workspace.name}" is defined twice')
        self._by_name[workspace.name] = workspace
        for key in keys:
            owner = self._by_digest.setdefault(_digest(key), workspace)
            if owner is not workspace:
                message = f'workspaces "{owner.name}" and "{workspace.name}"'
                raise ValueError(f"{message} share a key")

    def named(self, name):
        """Return the :class:`Workspace` with a name, or ``None``."""
        return self._by_name.get(name)

    def find(self, key):
        """Return the :class:`Workspace` that holds a key, or ``None``."""
        return self._by_digest.get(_digest(key))


def _digest(key):
    return blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()
