"""Heartbeats between VMs over UDP: who lives, with what versions and what room."""

from random import sample

import msgpack
from curio import sleep
from curio import socket as curio_socket
from msgpack.exceptions import UnpackException

from heathercleat.events import Event
from heathercleat.steering.process.membership.beat import Beat

#: Seconds between two heartbeats: room reports are stale for half of it on average,
#: a third of a request of 0.25 s at a target; packing one takes 4 us, taking it 6 us.
INTERVAL = 0.15
#: Seconds between two heartbeats to or from a VM that carries no requests: it only has
#: to learn of changes, and to be known when it is needed.
IDLE_INTERVAL = 0.9
#: Heartbeats that a VM sends in a second, about, at most: 1% of a core.
MOST_PER_SECOND = 120
#: Seconds for which a VM that sends heartbeats here is answered.
ANSWER_SECONDS = 2.0
#: VMs that are not known to live which get a heartbeat with each round to all, and as
#: many that only others hear: after a cut that has ended, each of 100 VMs tries eight.
TRIED_AT_ONCE = 8
MAX_DATAGRAM = 8192
#: VMs of which is told again at once where partners believe otherwise.
REPAIRED_AT_ONCE = 24
_TRIP_WEIGHT = 0.2
#: Round trip in seconds that is assumed before one is measured.
FIRST_TRIP = 0.01


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
        self._region_trips = {}
        self._echoes = {}
        self._answer_until = {}
        self._idle_at = 0.0
        self._bad = 0

    def trip(self, vm):
        """Return the round trip to a VM in seconds, or the usual one to its region."""
        trip = self._trips.get(vm)
        if trip is not None:
            return trip
        member = self._members.told_of(vm)
        region = member.region if member else None
        return self._region_trips.get(region, FIRST_TRIP)

    def partners(self):
        """Return the VMs that carry requests and send their reports here."""
        return self._regular(self._members.active())

    async def open(self):
        """Bind the socket."""
        self._sock = curio_socket.socket(curio_socket.AF_INET, curio_socket.SOCK_DGRAM)
        self._sock.bind((self._settings.ip, self._settings.gossip_port))

    async def listen(self):
        """Take heartbeats until cancelled."""
        while True:
            data, address = await self._sock.recvfrom(MAX_DATAGRAM)
            try:
                self.take(data)
            except (ValueError, TypeError, UnpackException) as error:
                self._log_bad(address, error)

    def take(self, data):
        """Take one datagram.

        :raises ValueError: when it does not decode, as do the other errors of msgpack.
        """
        unpacker = msgpack.Unpacker()
        unpacker.feed(data)
        beat = Beat.of(unpacker.unpack())
        sent_at, echoed, held, asks = unpacker.unpack()
        member = self._members.heard(beat)
        if member is None:
            return
        for news in beat.told():
            self._members.told(news)
        now = self._clock.now()
        if asks:
            self._answer_until[beat.own.vm] = now + ANSWER_SECONDS
        self._echoes[beat.own.vm] = (sent_at, now)
        if echoed is not None:
            self._observe_trip(member, now - echoed - held)
        if beat.has_reports:
            self._rooms.report(beat.own.vm, beat.rooms, beat.waits, beat.losses)

    async def beat(self):
        """Send heartbeats until cancelled."""
        while True:
            await sleep(await self.round())

    async def round(self):
        """Send the heartbeats that are due, and return the seconds to the next ones."""
        self._members.check()
        now = self._clock.now()
        to_all = now >= self._idle_at
        if to_all:
            self._idle_at = now + IDLE_INTERVAL
            self._repair()
        await self.send(to_all)
        return self._interval()

    async def send(self, to_all=True):
        """Send one heartbeat to the active VMs.

        :param to_all: send it to every known VM and seed.
        """
        active = self._members.active()
        own_active = self._members.own in active
        full = self._compose(self._interval()).pack() if own_active else None
        short = None
        if to_all or not own_active:
            short = self._compose(IDLE_INTERVAL).without_reports().pack()
        names = {member.vm for member in active} if own_active else ()
        for vm, ip in list(self._receivers(active, to_all)):
            echo = [self._clock.now(), *self._echo(vm), self._asks(vm)]
            body = full if vm in names else short
            try:
                await self._send_to(ip, body + msgpack.packb(echo))
            except OSError as error:
                self._journal.write(Event.PEER_REJECTED, peer=vm, reason=repr(error))

    async def _send_to(self, ip, data):
        await self._sock.sendto(data, (ip, self._settings.gossip_port))

    def _repair(self):
        """Tell of some VMs again while partners believe otherwise than this VM.

        News travels in datagrams, which may be lost.
        """
        members = self._members
        if members.topology.is_mesh:
            return
        digests = {
            each.digest for each in members.live_others() if self._is_partner(each)
        }
        if digests <= {members.digest}:
            return
        told = [each.vm for each in members.others() if each.stamp]
        for vm in sample(told, min(REPAIRED_AT_ONCE, len(told))):
            members.rumours.add(vm)

    def _interval(self):
        """Return the seconds between two heartbeats from here to active VMs."""
        active = self._members.active()
        if self._members.own not in active:
            return IDLE_INTERVAL
        return max(INTERVAL, len(self._regular(active)) / MOST_PER_SECOND)

    def _regular(self, active):
        """Return the active VMs that get each heartbeat."""
        topology = self._members.topology
        others = [each for each in active if each is not self._members.own]
        if topology.is_mesh:
            return others
        return [each for each in others if self._is_partner(each)]

    def _is_partner(self, member):
        """Return whether a VM was picked here, or picked this one."""
        if member.vm in self._members.topology.picks:
            return True
        return self._answer_until.get(member.vm, 0.0) > self._clock.now()

    def _asks(self, vm):
        """Return whether a VM that gets a heartbeat has to answer it."""
        members, topology = self._members, self._members.topology
        return topology.is_mesh or vm in topology.picks or members.live(vm) is None

    def _receivers(self, active, to_all):
        """Yield the name, if known, and IP number of each VM to send to."""
        receivers = self._regular(active)
        if to_all:
            receivers = [*receivers, *self._rare(receivers)]
        for member in receivers:
            yield member.vm, member.ip
        known = {each.ip for each in self._members.others()}
        for seed in self._settings.seeds if to_all else ():
            if seed != self._settings.ip and seed not in known:
                yield None, seed

    def _rare(self, regular):
        """Return the other VMs that get a heartbeat now and then."""
        members, own = self._members, self._members.own
        rest = [each for each in members.others() if each not in regular]
        if members.topology.is_mesh:
            carries = own in members.active()
            return [
                each
                for each in rest
                if carries
                or each.failure_domain == own.failure_domain
                or each.heard_at is None
            ]
        partners = [each for each in rest if self._is_partner(each)]
        silent = [each for each in rest if members.live(each.vm) is None]
        told_live = [each for each in silent if each.told_live]
        return [*partners, *_some(told_live), *_some(silent)]

    def _echo(self, vm):
        """Return the peer's last sending instant and how long ago it arrived."""
        sent_at, arrived_at = self._echoes.get(vm, (None, None))
        if sent_at is None:
            return None, None
        return sent_at, self._clock.now() - arrived_at

    def _observe_trip(self, member, seconds):
        seconds = max(0.0, seconds)
        _move_mean(self._trips, member.vm, seconds)
        _move_mean(self._region_trips, member.region, seconds)

    def _log_bad(self, address, error):
        self._bad += 1
        self._journal.write(
            Event.PEER_REJECTED, peer=address[0], reason=repr(error), count=self._bad
        )


def _some(members):
    """Return a few members, others each time."""
    return sample(members, min(TRIED_AT_ONCE, len(members)))


def _move_mean(means, key, value):
    mean = means.get(key, value)
    means[key] = mean + _TRIP_WEIGHT * (value - mean)
