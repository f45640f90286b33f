"""Slots that workspaces hold and wait for, and their max-min fair shares.

A *user* is a pair of rank and workspace: the workspace is ``None`` for requests of
public routes and of workspaces that the configuration in force does not list.
"""

from math import inf


class ShareUsage:
    """The use of a set of slots by user.

    :param slots: number of slots; may be a fraction.
    """

    __slots__ = ("slots", "_held", "_waiting", "_levels")

    def __init__(self, slots):
        self.slots = slots
        self._held = {}
        self._waiting = {}
        self._levels = {}

    @property
    def users(self):
        """Return every user that holds or waits for a slot."""
        return self._held.keys() | self._waiting.keys()

    @property
    def waiting_count(self):
        """Return the number of requests that wait."""
        return sum(self._waiting.values())

    @property
    def equal_share(self):
        """Return the number of slots for each user if all got the same."""
        return self.slots / max(1, len(self.users))

    def add(self, user, held, waiting):
        """Add slots that a user holds, and requests of the user that wait."""
        if held:
            self._held[user] = self._held.get(user, 0) + held
        if waiting:
            self._waiting[user] = self._waiting.get(user, 0) + waiting

    def include(self, other):
        """Add the slots and the users of another :class:`ShareUsage`."""
        self.slots += other.slots
        for user in other.users:
            self.add(user, other.held(user), other.waiting(user))

    def held(self, user):
        """Return the number of slots that a user holds."""
        return self._held.get(user, 0)

    def waiting(self, user):
        """Return the number of requests of a user that wait."""
        return self._waiting.get(user, 0)

    def demand(self, user):
        """Return the number of slots that a user holds or waits for."""
        return self.held(user) + self.waiting(user)

    def share(self, user):
        """Return how many slots a user may hold while the slots are short."""
        return min(self._level(user[0]), self.slots)

    def is_short(self, user):
        """Return whether the slots are fewer than users of this rank ask for."""
        return self._level(user[0]) < inf

    def is_over_share(self, user):
        """Return whether a user already holds its share."""
        return self.remaining(user) <= 0

    def remaining(self, user):
        """Return how many more slots a user may hold; may be negative or infinite."""
        return self._level(user[0]) - self.held(user)

    def _level(self, rank):
        """Return the share of the users of a rank; infinity if all get what they ask.

        Called only after the last :meth:`add`.
        """
        level = self._levels.get(rank)
        if level is None:
            users = self.users
            before = sum(self.demand(each) for each in users if each[0] < rank)
            demands = [self.demand(each) for each in users if each[0] == rank]
            level = self._levels[rank] = water_level(demands, self.slots - before)
        return level


def water_level(demands, slots):
    """Return the highest share by which the granted demands fit into some slots.

    A demand below the share is granted as a whole, the others are cut to it (max-min
    fairness with equal weights). Infinity if all demands fit, 0 without slots.
    """
    if slots <= 0:
        return 0.0
    remaining = slots
    ascending = sorted(demands)
    for index, demand in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if demand > level:
            return level
        remaining -= demand
    return inf
