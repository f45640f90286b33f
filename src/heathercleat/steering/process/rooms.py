"""What this VM believes of the free slots at targets that others own."""

#: Seconds after which a report of room is no longer believed.
REPORT_LIFE = 1.5


class Room:
    """The last report on one target, corrected by what this VM sent since."""

    __slots__ = ("owner", "free", "limit", "valid_until")

    def __init__(self, owner, free, limit, valid_until):
        self.owner = owner
        self.free = free
        self.limit = limit
        self.valid_until = valid_until


class RoomView:
    """Reports of owners on their targets and queues."""

    def __init__(self, clock):
        self._clock = clock
        self._rooms = {}
        self._waits = {}
        self._losses = {}

    def report(self, owner, rooms, waits, losses):
        """Take an owner's report.

        :param rooms: ``(target id, free slots, slots in use at most)`` of each target
            that it owns.
        :param waits: ``(service, seconds)`` that a new request would wait there.
        :param losses: ``(service, part)`` of their worth that its clients lose.
        """
        valid_until = self._clock.now() + REPORT_LIFE
        for target_id, free, limit in rooms:
            self._rooms[target_id] = Room(owner, free, limit, valid_until)
        self._waits[owner] = dict(waits)
        self._losses[owner] = dict(losses)

    def free(self, target_id, owner):
        """Return the free slots that ``owner`` is believed to have at a target."""
        room = self._rooms.get(target_id)
        if room is None or room.owner != owner:
            return 0
        return room.free if self._clock.now() < room.valid_until else 0

    def limit(self, target_id, owner):
        """Return how many requests a target takes at once, ``None`` if unknown."""
        room = self._rooms.get(target_id)
        return room.limit if room is not None and room.owner == owner else None

    def wait(self, owner, service):
        """Return the seconds a new request would wait at an owner, or ``None``."""
        return self._waits.get(owner, {}).get(service)

    def loss(self, owner, service):
        """Return the part of their worth that an owner's clients lose."""
        return self._losses.get(owner, {}).get(service, 0.0)

    def sent(self, target_id):
        """Note a request sent to a target through its owner."""
        room = self._rooms.get(target_id)
        if room is not None:
            room.free = max(0, room.free - 1)

    def done(self, target_id):
        """Note that a request sent through an owner has ended."""
        room = self._rooms.get(target_id)
        if room is not None:
            room.free = min(room.limit, room.free + 1)

    def full(self, target_id, owner, service, wait):
        """Note that an owner had no room for a request."""
        room = self._rooms.get(target_id)
        if room is not None and room.owner == owner:
            room.free = 0
        self._waits.setdefault(owner, {})[service] = wait
