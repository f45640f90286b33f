"""Heartbeats between VMs over UDP: who lives, with what versions and what room."""

import msgpack
from curio import sleep
from curio import socket as curio_socket
from msgpack.exceptions import UnpackException

from heathercleat.events import Event

#: Seconds between two heartbeats: room reports are stale for half of it on average,
#: a third of a request of 0.25 s at a target; packing one takes 4 us, taking it 6 us.
INTERVAL = 0.15
#: Seconds between two heartbeats to or from a VM that carries no requests: it only has
#: to learn of changes, and to be known when it is needed.
IDLE_INTERVAL = 0.9
#: Heartbeats that a VM sends in a second at most, to bound the cost in large fleets.
MOST_PER_SECOND = 120
MAX_DATAGRAM = 8192
_TRIP_WEIGHT = 0.2
#: Round trip in seconds that is assumed before one is measured.
FIRST_TRIP = 0.01


class Beat:
    """A heartbeat.

    :param interval: seconds until the next one.
    :param operator_version: version of the last change to the operators' table.
    :param target_version: version of the last change to the targets that mattered.
    :param store_lost: whether the store does not answer the VM.
    :param strength: see :attr:`NodeSettings.strength`.
    :param rooms: see :meth:`RoomView.report`.
    :param waits: see :meth:`RoomView.report`.
    :param losses: see :meth:`RoomView.report`.
    """

    __slots__ = (
        "vm",
        "ip",
        "failure_domain",
        "region",
        "incarnation",
        "serving",
        "interval",
        "operator_version",
        "target_version",
        "store_lost",
        "strength",
        "rooms",
        "waits",
        "losses",
    )

    def __init__(self, *fields):
        for name, value in zip(self.__slots__, fields, strict=True):
            setattr(self, name, value)

    def without_reports(self):
        """Drop the reports, which only VMs that carry requests use; return the beat."""
        self.rooms = self.waits = self.losses = ()
        return self

    def pack(self):
        """Return the bytes on the wire."""
        return msgpack.packb([getattr(self, name) for name in self.__slots__])


class Gossip:
    """Sends and takes heartbeats.

    :param settings: the :class:`NodeSettings`.
    :param compose: returns a new :class:`Beat` to send, for an interval.
    :param rooms: the :class:`RoomView` that takes reports.
    """

    def __init__(self, settings, members, rooms, compose, journal, clock):
        self._settings = settings
        self._members = members
        self._rooms = rooms
        self._compose = compose
        self._journal = journal
        self._clock = clock
        self._sock = None
        self._trips = {}
        self._echoes = {}
        self._bad = 0

    def trip(self, vm):
        """Return the round trip to a VM in seconds."""
        return self._trips.get(vm, FIRST_TRIP)

    async def open(self):
        """Bind the socket."""
        self._sock = curio_socket.socket(curio_socket.AF_INET, curio_socket.SOCK_DGRAM)
        self._sock.bind((self._settings.ip, self._settings.gossip_port))

    async def listen(self):
        """Take heartbeats until cancelled."""
        while True:
            data, address = await self._sock.recvfrom(MAX_DATAGRAM)
            try:
                self._take(data)
            except (ValueError, TypeError, UnpackException) as error:
                self._log_bad(address, error)

    async def beat(self):
        """Send heartbeats until cancelled."""
        idle_at = 0.0
        while True:
            self._members.check()
            now = self._clock.now()
            to_all = now >= idle_at
            if to_all:
                idle_at = now + IDLE_INTERVAL
            await self.send(to_all)
            await sleep(self._interval())

    async def send(self, to_all=True):
        """Send one heartbeat to the active VMs.

        :param to_all: send it to every known VM and seed.
        """
        active = {member.vm for member in self._members.active()}
        own_active = self._members.own.vm in active
        full = self._compose(self._interval()).pack() if own_active else None
        short = None
        if to_all or not own_active:
            short = self._compose(IDLE_INTERVAL).without_reports().pack()
        for vm, ip in list(self._receivers(active, to_all)):
            echo = msgpack.packb([self._clock.now(), *self._echo(vm)])
            body = full if own_active and vm in active else short
            try:
                await self._sock.sendto(body + echo, (ip, self._settings.gossip_port))
            except OSError as error:
                self._journal.write(Event.PEER_REJECTED, peer=vm, reason=repr(error))

    def _interval(self):
        """Return the seconds between two heartbeats from here to active VMs."""
        active = self._members.active()
        if self._members.own not in active:
            return IDLE_INTERVAL
        return max(INTERVAL, len(active) / MOST_PER_SECOND)

    def _receivers(self, active, to_all):
        """Yield the name, if known, and IP number of each VM to send to."""
        own = self._members.own
        known = set()
        for member in self._members.others():
            known.add(member.ip)
            near = own.vm in active or member.failure_domain == own.failure_domain
            unheard = member.heard_at is None
            if member.vm in active or (to_all and (near or unheard)):
                yield member.vm, member.ip
        for seed in self._settings.seeds if to_all else ():
            if seed != self._settings.ip and seed not in known:
                yield None, seed

    def _echo(self, vm):
        """Return the peer's last sending instant and how long ago it arrived."""
        sent_at, arrived_at = self._echoes.get(vm, (None, None))
        if sent_at is None:
            return None, None
        return sent_at, self._clock.now() - arrived_at

    def _take(self, data):
        unpacker = msgpack.Unpacker()
        unpacker.feed(data)
        beat = Beat(*unpacker.unpack())
        sent_at, echoed, held = unpacker.unpack()
        member = self._members.heard(beat)
        if member is None:
            return
        now = self._clock.now()
        self._echoes[beat.vm] = (sent_at, now)
        if echoed is not None:
            self._observe_trip(beat.vm, now - echoed - held)
        self._rooms.report(beat.vm, beat.rooms, beat.waits, beat.losses)

    def _observe_trip(self, vm, seconds):
        mean = self._trips.get(vm, seconds)
        self._trips[vm] = mean + _TRIP_WEIGHT * (max(0.0, seconds) - mean)

    def _log_bad(self, address, error):
        self._bad += 1
        self._journal.write(
            Event.PEER_REJECTED, peer=address[0], reason=repr(error), count=self._bad
        )
