"""Heartbeats between VMs over UDP: who lives, with what versions and what room."""

from random import sample
from typing import NamedTuple

import msgpack
from curio import sleep
from curio import socket as curio_socket
from msgpack.exceptions import UnpackException

from heathercleat.events import Event
from heathercleat.steering.process.membership.heartbeat import Heartbeat
from heathercleat.steering.process.membership.member import Stage
from heathercleat.steering.process.moving_average import update_moving_average
from heathercleat.steering.process.quarantine.suspect import SuspectUpdate

#: Seconds between two heartbeats: room reports are stale for half of it on average,
#: a third of a request of 0.25 s at a target; packing one takes 4 us, taking it 6 us.
INTERVAL = 0.15
#: Rounds after which VMs of other regions get a heartbeat: bytes between regions are
#: dear, and a far home is waited for rather than chosen by its free slots. On a quiet
#: day prices took 9.3% of what callers are owed in place of 10.7% (one run each).
FAR_ROUNDS = 2
#: Seconds between two heartbeats to or from a VM that carries no requests: it only has
#: to learn of changes, and to be known when it is needed.
IDLE_INTERVAL = 0.9
#: Heartbeats that a VM sends in a second, about, at most: 1% of a core.
MOST_PER_SECOND = 120
#: Seconds for which a VM that sends heartbeats here is answered.
ANSWER_SECONDS = 2.0
#: VMs that are not known to live which get a heartbeat with each round to all, and as
#: many that only others hear, in this region and outside of it: after a cut that has
#: ended, each of 100 VMs tries eight. Bytes between regions are dear, and one VM that
#: hears of another region tells its own.
NEAR_TRIED = 6
FAR_TRIED = 2
#: Seconds after the start in which a VM sends heartbeats to all at the usual rate:
#: without it, VMs that were started together found each other after 0.9 s.
START_SECONDS = 2.0
#: Seconds between two of these in a large fleet, where each tells much that is new: 195
#: VMs that start together agree as soon as with 0.15 s, after 4.5 s, with a fifth fewer
#: bytes between regions (simulated, one run each).
START_INTERVAL = 0.45
#: VMs that were not heard yet which a starting VM greets with one round.
MOST_GREETED = 300
#: Seconds after the stop signal in which a VM tells all at the usual rate that it
#: leaves: a lost datagram must not keep it in the look-ups of others.
LEAVE_SECONDS = 0.4
MAX_DATAGRAM = 8192
#: VMs of which is told again at once where partners believe otherwise, and looks (0.9 s
#: apart) that find so before that while news still comes.
MAX_REPAIRED_AT_ONCE = 24
LOOKS_BEFORE_REPAIR = 4
_TRIP_WEIGHT = 0.2
#: Round trip in seconds that is assumed before one is measured.
FIRST_TRIP = 0.01


class BeatKind(NamedTuple):
    """What VMs get the same heartbeat.

    :param full: whether it has reports.
    :param interval: seconds until the next one.
    :param is_partner: whether it is for partners.
    :param tells_suspects: whether it is for partners that know other suspects: what was
        lost on its way is told again until both know the same.
    """

    full: bool
    interval: float
    is_partner: bool
    tells_suspects: bool


_KIND_FOR_SEEDS = BeatKind(False, IDLE_INTERVAL, False, False)


class Gossip:
    """Sends and takes heartbeats.

    :param settings: the :class:`NodeSettings`.
    :param compose: returns a new :class:`Heartbeat` to send, for an interval.
    :param rooms: the :class:`CapacityReports` that takes reports.
    :param held: the :class:`HeldSlots` that take them.
    :param heirs: returns the names of the VMs that own targets with requests from here.
    :param successors: returns the names of the VMs that took targets over from this one
        since its last call.
    :param suspects: the :class:`Suspects`.
    :param on_beat: a coroutine function that is called after each heartbeat.
    """

    def __init__(
        self,
        settings,
        members,
        rooms,
        held,
        new_owners,
        successors,
        suspects,
        compose,
        on_beat,
        journal,
        clock,
    ):
        self._settings = settings
        self._members = members
        self._rooms = rooms
        self._held = held
        self._heirs = new_owners
        self._successors = successors
        self._suspects = suspects
        self._compose = compose
        self._on_beat = on_beat
        self._journal = journal
        self._clock = clock
        self._sock = None
        self._trips = {}
        self._region_trips = {}
        self._echoes = {}
        self._answer_until = {}
        self._idle_at = 0.0
        self._round = 0
        self._starting_until = clock.now() + START_SECONDS
        self._leaving_until = clock.now()
        self._bad = 0
        self._last_digest = None
        self._differs_for = 0
        self._notified_stage = members.own.stage

    def trip(self, vm):
        """Return the round trip to a VM in seconds, or the usual one to its region."""
        trip = self._trips.get(vm)
        if trip is not None:
            return trip
        member = self._members.find(vm)
        region = member.region if member else None
        return self._region_trips.get(region, FIRST_TRIP)

    def partners(self):
        """Return the VMs that carry requests and send their reports here.

        None where this VM carries none itself.
        """
        active = self._members.active()
        return self._regular(active) if self._members.own in active else []

    async def open(self):
        """Bind the socket."""
        self._sock = curio_socket.socket(curio_socket.AF_INET, curio_socket.SOCK_DGRAM)
        self._sock.bind((self._settings.ip, self._settings.gossip_port))

    async def listen(self):
        """Take heartbeats until cancelled."""
        while True:
            data, address = await self._sock.recvfrom(MAX_DATAGRAM)
            try:
                newcomer = self.take(data)
            except (ValueError, TypeError, UnpackException) as error:
                self._log_bad(address, error)
                continue
            if newcomer is not None:
                await self._send_all([newcomer])
            await self._on_beat()

    def take(self, data):
        """Take one datagram; return the :class:`Member` if its process was not live.

        The one before it may still be taken for live: a VM that is stopped and started
        again knows nobody all the same.

        :raises ValueError: when it does not decode, as do the other errors of msgpack.
        """
        unpacker = msgpack.Unpacker()
        unpacker.feed(data)
        beat = Heartbeat.of(unpacker.unpack())
        sent_at, echoed, held, asks = unpacker.unpack()
        before = self._members.live(beat.own.vm)
        is_new = before is None or before.incarnation != beat.own.incarnation
        member = self._members.record_heartbeat(beat)
        if member is None:
            return None
        for news in beat.told(self._members.is_news):
            self._members.told(news)
        now = self._clock.now()
        if asks:
            self._answer_until[beat.own.vm] = now + ANSWER_SECONDS
        self._echoes[beat.own.vm] = (sent_at, now)
        if echoed is not None:
            self._observe_trip(member, now - echoed - held)
        if beat.has_reports:
            self._rooms.record_report(beat.own.vm, beat.rooms, beat.waits, beat.losses)
            self._held.record_report(beat.own.vm, beat.held)
        for fields in beat.suspects:
            self._suspects.merge(SuspectUpdate.of(fields))
        return member if is_new else None

    async def beat(self):
        """Send heartbeats until cancelled."""
        while True:
            await sleep(await self.round())

    async def round(self):
        """Send the heartbeats that are due, and return the seconds to the next ones."""
        self._members.check()
        now = self._clock.now()
        to_all = now >= self._idle_at or self._is_starting() or self._is_leaving()
        self._round += 1
        if to_all:
            self._idle_at = now + IDLE_INTERVAL
            self._repair()
        await self.send(to_all)
        return self._interval()

    async def leave(self):
        """Tell all that this VM leaves, at once and with the next rounds."""
        self._leaving_until = self._clock.now() + LEAVE_SECONDS
        await self.send()

    async def send(self, to_all=True):
        """Send one heartbeat to the VMs that carry requests.

        :param to_all: send it to every known VM and seed.
        """
        await self._send_all(self._receivers(to_all))
        for seed in self._unknown_seeds() if to_all else ():
            await self._send_to(seed, self._pack(_KIND_FOR_SEEDS), None)

    async def notify(self):
        """Send what some VMs need sooner than with the next heartbeat.

        All of the failure domain work its owners out anew when this VM's stage changes,
        and should do so together; a new owner has to know which slots are taken.
        """
        live = self._members.live_others()
        notified = self._successors()
        own = self._members.own
        if own.stage != self._notified_stage:
            self._notified_stage = own.stage
            near = (each for each in live if each.failure_domain == own.failure_domain)
            notified.update(each.vm for each in near)
        await self._send_all(each for each in live if each.vm in notified)

    async def _send_all(self, members):
        """Send a heartbeat to some members, composed once for all that get the same.

        It has reports where both VMs carry requests, or the other one is about to. Only
        partners are told news: it passes from VM to VM, and told to all it would fill
        the links of the weaker ones.
        """
        traffic, usual = self._members.traffic(), self._interval()
        packed = {}
        for member in members:
            kind = self._kind(member, traffic, usual)
            if kind not in packed:
                packed[kind] = self._pack(kind)
            await self._send_to(member.ip, packed[kind], member.vm)

    def _kind(self, member, traffic, usual):
        """Return the :class:`BeatKind` of the heartbeat to a VM.

        :param usual: seconds between two heartbeats to VMs that carry requests.
        """
        takes_part = member in traffic or member.stage == Stage.STARTING
        full = self._members.own in traffic and takes_part
        is_partner = self._is_partner(member)
        differs = member.suspects_digest != self._suspects.digest
        interval = usual if full or self._is_passing(member) else IDLE_INTERVAL
        if full and self._is_far(member):
            interval = FAR_ROUNDS * usual
        return BeatKind(full, interval, is_partner, is_partner and differs)

    def _pack(self, kind):
        """Return the bytes of a heartbeat of a :class:`BeatKind`."""
        beat = self._compose(kind.interval)
        if not kind.full:
            beat = beat.without_reports()
        if not kind.is_partner:
            beat = beat.without_news()
        if kind.tells_suspects:
            beat.suspects = [each.fields() for each in self._suspects.updates()]
        return beat.pack()

    def _is_far(self, member):
        """Return whether a VM of another region gets fewer heartbeats.

        In a large fleet few cross regions, and what they tell is for many: with half as
        many, the loss of a region was known 0.5 s later (60 VMs, simulated).
        """
        if not self._members.topology.is_mesh:
            return False
        return member.region != self._settings.region

    async def _send_to(self, ip, body, vm):
        echo = [self._clock.now(), *self._echo(vm), self._asks(vm)]
        address = ip, self._settings.gossip_port
        try:
            await self._sock.sendto(body + msgpack.packb(echo), address)
        except OSError as error:
            self._journal.write(Event.PEER_REJECTED, peer=vm, reason=repr(error))

    def _repair(self):
        """Tell of some VMs again while partners believe otherwise than this VM.

        News travels in datagrams, which may be lost. While it is on its way views
        differ in any case: that is waited for, but not for ever.
        """
        members = self._members
        if members.topology.is_mesh:
            return
        digests = {
            each.digest for each in members.live_others() if self._is_partner(each)
        }
        settled = members.digest == self._last_digest
        self._last_digest = members.digest
        if digests <= {members.digest}:
            self._differs_for = 0
            return
        self._differs_for += 1
        if not settled and self._differs_for < LOOKS_BEFORE_REPAIR:
            return
        self._differs_for = 0
        told = [each.vm for each in members.others() if each.stamp]
        for vm in sample(told, min(MAX_REPAIRED_AT_ONCE, len(told))):
            members.pending_updates.add(vm)

    def _interval(self):
        """Return the seconds between two heartbeats to VMs that carry requests."""
        traffic = self._members.traffic()
        if self._is_starting():
            unheard = sum(
                each.last_heartbeat_at is None for each in self._members.others()
            )
            least = INTERVAL if self._members.topology.is_mesh else START_INTERVAL
            # Others take a VM that is silent for longer for dead.
            return max(least, min(unheard / MOST_PER_SECOND, IDLE_INTERVAL))
        if self._members.own not in traffic and not self._is_leaving():
            return IDLE_INTERVAL
        return max(INTERVAL, len(self._regular(traffic)) / MOST_PER_SECOND)

    def _is_starting(self):
        return self._clock.now() < self._starting_until

    def _is_leaving(self):
        return self._clock.now() < self._leaving_until

    def _regular(self, members):
        """Return those of some VMs that get each heartbeat."""
        topology = self._members.topology
        others = [each for each in members if each is not self._members.own]
        if topology.is_mesh:
            return others
        return [each for each in others if self._is_partner(each)]

    def _is_partner(self, member):
        """Return whether a VM was picked here, or picked this one."""
        if member.vm in self._members.topology.monitored:
            return True
        return self._answer_until.get(member.vm, 0.0) > self._clock.now()

    def _is_passing(self, member):
        """Return whether a VM that starts or leaves gets each heartbeat.

        It answers look-ups as well: it has to hear of others that leave with it. In a
        small fleet those tell it themselves.
        """
        if member.serving or self._members.topology.is_mesh:
            return False
        return self._is_partner(member)

    def _asks(self, vm):
        """Return whether a VM that gets a heartbeat has to answer it."""
        members, topology = self._members, self._members.topology
        return topology.is_mesh or vm in topology.monitored or members.live(vm) is None

    def _receivers(self, to_all):
        """Return the VMs to send to."""
        receivers = self._regular(self._members.traffic())
        if to_all:
            receivers = [*receivers, *self._rare(receivers)]
        elif self._round % FAR_ROUNDS:
            receivers = [each for each in receivers if not self._is_far(each)]
        more = [*self._passing(), *self._live_heirs()]
        return list(dict.fromkeys([*receivers, *more]))

    def _passing(self):
        """Return the VMs that start or leave and get each heartbeat."""
        return [each for each in self._members.live_others() if self._is_passing(each)]

    def _live_heirs(self):
        """Return the VMs that have to know how many slots are taken from here."""
        live = map(self._members.live, self._heirs())
        return [each for each in live if each is not None]

    def _unknown_seeds(self):
        """Return the IP numbers in the settings that belong to no known VM."""
        known = {each.ip for each in self._members.others()}
        known.add(self._settings.ip)
        return [seed for seed in self._settings.seeds if seed not in known]

    def _rare(self, regular):
        """Return the other VMs that get a heartbeat now and then."""
        members, own = self._members, self._members.own
        rest = [each for each in members.others() if each not in regular]
        if members.topology.is_mesh:
            tells = own in members.traffic() or self._is_leaving()
            record_heartbeat = [
                each
                for each in rest
                if each.last_heartbeat_at is not None
                and (tells or each.failure_domain == own.failure_domain)
            ]
            return [*record_heartbeat, *_some_unheard(rest)]
        partners = [each for each in rest if self._is_partner(each)]
        silent = [each for each in rest if members.live(each.vm) is None]
        if self._is_starting():
            # It may have heard many before it could greet the first.
            return [*partners, *_some_unheard(silent)]
        reported_alive = [each for each in silent if each.reported_alive]
        return [*partners, *self._some(reported_alive), *self._some(silent)]

    def _some(self, members):
        """Return a few members, others each time."""
        near = [each for each in members if each.region == self._settings.region]
        far = [each for each in members if each.region != self._settings.region]
        yield from sample(near, min(NEAR_TRIED, len(near)))
        yield from sample(far, min(FAR_TRIED, len(far)))

    def _echo(self, vm):
        """Return the peer's last sending instant and how long ago it arrived."""
        sent_at, arrived_at = self._echoes.get(vm, (None, None))
        if sent_at is None:
            return None, None
        return sent_at, self._clock.now() - arrived_at

    def _observe_trip(self, member, seconds):
        seconds = max(0.0, seconds)
        update_moving_average(self._trips, member.vm, seconds, _TRIP_WEIGHT)
        update_moving_average(self._region_trips, member.region, seconds, _TRIP_WEIGHT)

    def _log_bad(self, address, error):
        self._bad += 1
        self._journal.write(
            Event.PEER_REJECTED, peer=address[0], reason=repr(error), count=self._bad
        )


def _some_unheard(members):
    """Return those of some members to greet that were not heard yet."""
    unheard = [each for each in members if each.last_heartbeat_at is None]
    return sample(unheard, min(MOST_GREETED, len(unheard)))
