"""Gossip between VMs: heartbeats over UDP with liveness, versions and capacity."""

from random import sample
from typing import NamedTuple

import msgpack
from curio import sleep
from curio import socket as curio_socket
from msgpack.exceptions import UnpackException

from heathercleat.events import Event
from heathercleat.steering.process.capacity.notice_update import NoticeUpdate
from heathercleat.steering.process.membership.heartbeat import Heartbeat
from heathercleat.steering.process.membership.member import Stage
from heathercleat.steering.process.moving_average import update_moving_average
from heathercleat.steering.process.quarantine.suspect import SuspectUpdate

#: Seconds between two heartbeats; bounds the age of the capacity reports, which is half
#: of it on average. To pack a heartbeat takes 4 us, to read it 6 us.
HEARTBEAT_INTERVAL_SECONDS = 0.15
#: Rounds between two heartbeats to a VM of another region; traffic between regions is
#: expensive, and requests wait for a remote affinity target rather than choose it by
#: its free slots.
ROUNDS_BETWEEN_REGIONS = 2
#: Seconds between two heartbeats to or from a VM that handles no requests.
IDLE_INTERVAL_SECONDS = 0.9
#: Approximate maximum rate of heartbeats that a VM sends, to bound its CPU use.
MAX_HEARTBEATS_PER_SECOND = 120
#: Seconds for which a VM gets heartbeats after it asked for them.
REPLY_SECONDS = 2.0
#: Maximum VMs that this VM does not consider live but probes in each full round, in its
#: region and in others; in addition, as many of those that other VMs report as live.
#: The number for other regions is low, since traffic between regions is expensive and
#: one contact suffices.
PROBED_IN_REGION = 6
PROBED_OUTSIDE_REGION = 2
#: Seconds after the start during which every round is a full one. Otherwise VMs that
#: start together discover each other only after 0.9 s.
START_SECONDS = 2.0
#: Seconds between rounds during the start in a large fleet, where each heartbeat has
#: many updates. 195 VMs agree as soon as with 0.15 s, with a fifth fewer bytes between
#: regions.
START_INTERVAL_SECONDS = 0.45
#: Maximum VMs that a starting VM contacts in one round without having received a
#: heartbeat from them.
MAX_CONTACTED = 300
#: Seconds after the stop signal during which every round is a full one, so that a lost
#: datagram does not keep this VM in the lookups of others.
LEAVE_SECONDS = 0.4
MAX_DATAGRAM_BYTES = 8192
#: Maximum bytes of a heartbeat without what follows it in the datagram. Reports that do
#: not fit are sent in pieces; see :class:`ReportPieces`.
MAX_HEARTBEAT_BYTES = 3500
#: Seconds after a heartbeat without its reports in which no further one is logged.
IN_PIECES_SECONDS = 10.0
#: Maximum VMs whose updates are sent again when the views of partners differ.
MAX_REPAIRED_AT_ONCE = 24
#: Full rounds with different views until updates are sent again, if the view of this VM
#: is still changing.
ROUNDS_BEFORE_REPAIR = 4
_ROUND_TRIP_WEIGHT = 0.2
#: Round trip in seconds that is assumed before the first measurement.
INITIAL_ROUND_TRIP_SECONDS = 0.01


class HeartbeatKind(NamedTuple):
    """The contents of a heartbeat; all receivers of one kind get the same datagram.

    :param includes_reports: whether the heartbeat has capacity reports.
    :param interval: seconds until the next heartbeat.
    :param is_partner: whether the receivers are gossip partners, which get updates.
    :param includes_suspects: whether the receivers are partners whose suspects differ;
        they get suspects until the digests match.
    """

    includes_reports: bool
    interval: float
    is_partner: bool
    includes_suspects: bool


_KIND_FOR_SEEDS = HeartbeatKind(False, IDLE_INTERVAL_SECONDS, False, False)


class Gossip:
    """Sends and receives heartbeats.

    :param settings: the :class:`NodeSettings`.
    :param members: the :class:`Members`.
    :param capacity_reports: the :class:`CapacityReports` for received capacity reports.
    :param held_slots: the :class:`HeldSlots` for received reports of slots in use.
    :param new_owners: returns the names of the VMs that own former targets of this VM
        on which its requests still run.
    :param pop_new_owners: returns the names of the VMs that became owners of former
        targets of this VM since the last call.
    :param suspects: the :class:`Suspects`.
    :param workspace_reports: the :class:`WorkspaceReports`.
    :param notices: the :class:`Notices`.
    :param extensions: the :class:`Extensions`, with the report pieces.
    :param report_pieces: the :class:`ReportPieces`.
    :param failures: the :class:`RejectedItemLog` for what cannot be sent.
    :param compose: returns a new :class:`Heartbeat` for an interval.
    :param on_heartbeat: a coroutine function that is called after each heartbeat.
    """

    def __init__(
        self,
        settings,
        members,
        capacity_reports,
        held_slots,
        new_owners,
        pop_new_owners,
        suspects,
        workspace_reports,
        notices,
        extensions,
        report_pieces,
        failures,
        compose,
        on_heartbeat,
        journal,
        clock,
    ):
        self._settings = settings
        self._members = members
        self._capacity_reports = capacity_reports
        self._held_slots = held_slots
        self._new_owners = new_owners
        self._pop_new_owners = pop_new_owners
        self._suspects = suspects
        self._workspace_reports = workspace_reports
        self._notices = notices
        self._extensions = extensions
        self._report_pieces = report_pieces
        self._failures = failures
        # Instant until which this VM counts as one that sends its reports in pieces.
        self._in_pieces_until = clock.now()
        self._heartbeat_bytes = 0
        self._compose = compose
        self._on_heartbeat = on_heartbeat
        self._journal = journal
        self._clock = clock
        self._sock = None
        self._round_trips = {}
        self._region_round_trips = {}
        self._echoes = {}
        self._reply_until = {}
        self._next_full_round_at = 0.0
        self._round = 0
        self._starting_until = clock.now() + START_SECONDS
        self._leaving_until = clock.now()
        self._malformed_count = 0
        self._last_digest = None
        self._rounds_differing = 0
        self._notified_stage = members.own.stage

    def round_trip(self, vm):
        """Return the average round trip to a VM in seconds.

        Falls back to the average of its region, then to
        :data:`INITIAL_ROUND_TRIP_SECONDS`.
        """
        round_trip = self._round_trips.get(vm)
        if round_trip is not None:
            return round_trip
        member = self._members.find(vm)
        region = member.region if member else None
        return self._region_round_trips.get(region, INITIAL_ROUND_TRIP_SECONDS)

    def gauges(self):
        """Return the gauges on what this VM sends, by name."""
        return {
            "heartbeat_bytes": self._heartbeat_bytes,
            "reports_in_pieces": int(self._clock.now() < self._in_pieces_until),
            "reports_not_sent": self._failures.count,
        }

    def reporting_members(self):
        """Return the strong serving VMs that send their reports to this VM.

        An empty list if this VM is not one of them.
        """
        serving = self._members.strong_serving()
        return self._select_regular(serving) if self._members.own in serving else []

    async def open(self):
        """Bind the UDP socket."""
        self._sock = curio_socket.socket(curio_socket.AF_INET, curio_socket.SOCK_DGRAM)
        self._sock.bind((self._settings.ip, self._settings.gossip_port))

    async def listen(self):
        """Receive heartbeats until cancelled."""
        while True:
            data, address = await self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            try:
                newcomer = self.receive(data)
            except (ValueError, TypeError, UnpackException) as error:
                self._log_malformed(address, error)
                continue
            if newcomer is not None:
                await self.welcome(newcomer)
            await self._on_heartbeat()

    def receive(self, data):
        """Process one datagram; return the :class:`Member` if its process is new.

        A restarted VM counts as new even if its previous process is still considered
        live.

        :raises ValueError: when the datagram is malformed. :mod:`msgpack` may raise
            further errors.
        """
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"more than {MAX_DATAGRAM_BYTES} bytes")
        unpacker = msgpack.Unpacker()
        unpacker.feed(data)
        heartbeat = Heartbeat.from_fields(unpacker.unpack())
        sent_at, echoed_sent_at, echo_delay, asks_for_replies = unpacker.unpack()
        workspace_fields = _unpack_next(unpacker)
        notices = _unpack_next(unpacker) or ()
        extension_reports = _unpack_next(unpacker) or {}
        before = self._members.find_live(heartbeat.own.vm)
        is_new = before is None or before.incarnation != heartbeat.own.incarnation
        member = self._members.record_heartbeat(heartbeat)
        if member is None:
            return None
        for update in heartbeat.decode_updates(self._members.is_newer):
            self._members.merge_update(update)
        now = self._clock.now()
        if asks_for_replies:
            self._reply_until[heartbeat.own.vm] = now + REPLY_SECONDS
        self._echoes[heartbeat.own.vm] = (sent_at, now)
        if echoed_sent_at is not None:
            self._record_round_trip(member, now - echoed_sent_at - echo_delay)
        if heartbeat.has_reports:
            self._capacity_reports.record_report(
                heartbeat.own.vm, heartbeat.rooms, heartbeat.waits, heartbeat.losses
            )
            self._held_slots.record_report(heartbeat.own.vm, heartbeat.held)
        for fields in heartbeat.suspects:
            self._suspects.merge(SuspectUpdate.of(fields))
        if workspace_fields is not None:
            self._workspace_reports.merge(
                heartbeat.own, workspace_fields, echoed_sent_at, echo_delay
            )
        for fields in notices:
            self._notices.merge(NoticeUpdate.from_fields(fields))
        self._extensions.merge(heartbeat.own.vm, extension_reports)
        return member if is_new else None

    async def welcome(self, newcomer):
        """Send a heartbeat and all notices of targets to a new process."""
        await self._send_all([newcomer], are_newcomers=True)

    async def run(self):
        """Send heartbeats until cancelled."""
        while True:
            await sleep(await self.round())

    async def round(self):
        """Send the heartbeats that are due; return the seconds until the next round."""
        self._members.update_live()
        now = self._clock.now()
        to_all = (
            now >= self._next_full_round_at or self._is_starting() or self._is_leaving()
        )
        self._round += 1
        if to_all:
            self._next_full_round_at = now + IDLE_INTERVAL_SECONDS
            self._repair()
        await self.send(to_all)
        return self._interval()

    async def leave(self):
        """Announce the shutdown to all VMs, now and in the next rounds."""
        self._leaving_until = self._clock.now() + LEAVE_SECONDS
        await self.send()

    async def send(self, to_all=True):
        """Send one heartbeat to the VMs that handle requests.

        :param to_all: whether to send it also to other known VMs and to seeds that
            belong to no known VM, as in a full round.
        """
        await self._send_all(self._receivers(to_all))
        for seed in self._unknown_seeds() if to_all else ():
            await self._send_to(seed, self._pack(_KIND_FOR_SEEDS), None)

    async def notify(self):
        """Send heartbeats that cannot wait for the next round.

        After a change of its stage, this VM notifies the VMs of its failure domain, so
        that all recompute the target owners at the same time. New owners of its former
        targets need the number of slots that are still in use.
        """
        live = self._members.live_others()
        notified = self._pop_new_owners()
        own = self._members.own
        if own.stage != self._notified_stage:
            self._notified_stage = own.stage
            in_domain = (
                each for each in live if each.failure_domain == own.failure_domain
            )
            notified.update(each.vm for each in in_domain)
        await self._send_all(each for each in live if each.vm in notified)

    async def _send_all(self, members, are_newcomers=False):
        """Send a heartbeat to some members, encoded once per :class:`HeartbeatKind`.

        :param are_newcomers: whether they are new processes, which know no notices yet.

        It has reports if this VM handles requests and the receiver does too or is
        starting. Only partners get updates, to limit the traffic of weaker VMs;
        partners pass the updates on.
        """
        request_handling_vms, usual_interval = (
            self._members.request_handling_vms(),
            self._interval(),
        )
        packed, extension_reports = {}, None
        for member in members:
            kind = self._kind(member, request_handling_vms, usual_interval)
            if kind not in packed:
                packed[kind] = self._pack(kind)
            if kind.includes_reports and extension_reports is None:
                extension_reports = self._extensions.pack()
            await self._send_to(
                member.ip,
                packed[kind],
                member.vm,
                are_newcomers,
                extension_reports if kind.includes_reports else b"",
            )

    def _kind(self, member, request_handling_vms, usual_interval):
        """Return the :class:`HeartbeatKind` of the heartbeat to a VM.

        :param usual_interval: seconds between heartbeats to VMs that handle requests.
        """
        handles_requests = (
            member in request_handling_vms or member.stage == Stage.STARTING
        )
        includes_reports = (
            self._members.own in request_handling_vms and handles_requests
        )
        is_partner = self._is_partner(member)
        differs = member.suspects_digest != self._suspects.digest
        interval = (
            usual_interval
            if includes_reports or self._is_non_serving_partner(member)
            else IDLE_INTERVAL_SECONDS
        )
        if includes_reports and self._gets_fewer_heartbeats(member):
            interval = ROUNDS_BETWEEN_REGIONS * usual_interval
        return HeartbeatKind(
            includes_reports, interval, is_partner, is_partner and differs
        )

    def _pack(self, kind):
        """Return an encoded heartbeat of a :class:`HeartbeatKind`."""
        heartbeat = self._compose(kind.interval)
        if not kind.includes_reports:
            heartbeat = heartbeat.without_reports()
        if not kind.is_partner:
            heartbeat = heartbeat.without_updates()
        if kind.includes_suspects:
            heartbeat.suspects = [each.fields() for each in self._suspects.updates()]
        return self._pack_bounded(heartbeat)

    def _pack_bounded(self, heartbeat):
        """Return an encoded heartbeat of at most :data:`MAX_HEARTBEAT_BYTES`.

        What comes from outside is left out if it does not fit or cannot be encoded, so
        that it cannot keep other VMs from learning that this one is live. Reports are
        sent in pieces then. Updates and suspects are sent again while partners differ.
        """
        has_reports = heartbeat.has_reports
        packed = self._try_pack(heartbeat)
        if has_reports:
            self._record_size(packed)
        if packed is None and has_reports:
            self._report_pieces.offer(heartbeat)
            packed = self._try_pack(heartbeat.without_reports())
        if packed is None:
            packed = self._try_pack(heartbeat.without_suspects())
        if packed is None:
            packed = heartbeat.without_updates().pack()
        return packed

    def _try_pack(self, heartbeat):
        """Return an encoded heartbeat; ``None`` if it is unusable."""
        try:
            packed = heartbeat.pack()
        except (ValueError, TypeError, OverflowError) as error:
            self._failures.log("heartbeat", error)
            return None
        return packed if len(packed) <= MAX_HEARTBEAT_BYTES else None

    def _record_size(self, packed):
        """Record the size of a heartbeat with reports.

        :param packed: the encoded heartbeat, or ``None`` if it is unusable.
        """
        if packed is not None:
            self._heartbeat_bytes = len(packed)
            return
        now = self._clock.now()
        if now >= self._in_pieces_until:
            self._journal.write(Event.REPORTS_IN_PIECES, limit=MAX_HEARTBEAT_BYTES)
        self._in_pieces_until = now + IN_PIECES_SECONDS

    def _gets_fewer_heartbeats(self, member):
        """Return whether a VM gets fewer heartbeats because it is in another region.

        ``False`` in a large fleet, where few heartbeats cross regions and the loss of a
        region would be detected too late.
        """
        if not self._members.topology.is_mesh:
            return False
        return member.region != self._settings.region

    async def _send_to(self, ip, body, vm, is_newcomer=False, extension_reports=b""):
        # One instant for all times in the message, since the process may be paused.
        now = self._clock.now()
        trailer = [now, *self._echo(vm, now), self._asks_for_replies(vm)]
        member = self._members.find_live(vm)
        end = msgpack.packb(trailer) + self._workspace_reports.pack(member, now)
        if member is not None:
            notices = self._notices.pack(member.region, not is_newcomer)
            if extension_reports and not notices:
                # Messages are told apart by their position.
                notices = msgpack.packb([])
            end += notices + extension_reports
        if len(body) + len(end) > MAX_DATAGRAM_BYTES:
            self._failures.log("datagram", f"{len(body)} and {len(end)} bytes")
            end = msgpack.packb(trailer)
        address = ip, self._settings.gossip_port
        try:
            await self._sock.sendto(body + end, address)
        except OSError as error:
            self._journal.write(Event.PEER_REJECTED, peer=vm, reason=repr(error))

    def _repair(self):
        """Send updates of some VMs again if the views of partners differ.

        Updates may be missing because datagrams were lost. While updates are still
        spreading, views differ anyway, so the repair is delayed for a few rounds.
        """
        members = self._members
        if members.topology.is_mesh:
            return
        digests = {
            each.digest for each in members.live_others() if self._is_partner(each)
        }
        is_settled = members.digest == self._last_digest
        self._last_digest = members.digest
        if digests <= {members.digest}:
            self._rounds_differing = 0
            return
        self._rounds_differing += 1
        if not is_settled and self._rounds_differing < ROUNDS_BEFORE_REPAIR:
            return
        self._rounds_differing = 0
        candidates = [each.vm for each in members.others() if each.stamp]
        for vm in sample(candidates, min(MAX_REPAIRED_AT_ONCE, len(candidates))):
            members.pending_updates.add(vm)

    def _interval(self):
        """Return the seconds between two heartbeats to VMs that handle requests."""
        request_handling_vms = self._members.request_handling_vms()
        if self._is_starting():
            unseen = sum(
                each.last_heartbeat_at is None for each in self._members.others()
            )
            min_interval = (
                HEARTBEAT_INTERVAL_SECONDS
                if self._members.topology.is_mesh
                else START_INTERVAL_SECONDS
            )
            # After a longer interval, other VMs would consider this VM dead.
            return max(
                min_interval,
                min(unseen / MAX_HEARTBEATS_PER_SECOND, IDLE_INTERVAL_SECONDS),
            )
        if self._members.own not in request_handling_vms and not self._is_leaving():
            return IDLE_INTERVAL_SECONDS
        return max(
            HEARTBEAT_INTERVAL_SECONDS,
            len(self._select_regular(request_handling_vms)) / MAX_HEARTBEATS_PER_SECOND,
        )

    def _is_starting(self):
        return self._clock.now() < self._starting_until

    def _is_leaving(self):
        return self._clock.now() < self._leaving_until

    def _select_regular(self, members):
        """Return those of ``members`` that get a heartbeat in each round."""
        topology = self._members.topology
        others = [each for each in members if each is not self._members.own]
        if topology.is_mesh:
            return others
        return [each for each in others if self._is_partner(each)]

    def _is_partner(self, member):
        """Return whether a VM is a gossip partner.

        A partner is monitored by this VM, or recently asked it for heartbeats.
        """
        if member.vm in self._members.topology.monitored:
            return True
        return self._reply_until.get(member.vm, 0.0) > self._clock.now()

    def _is_non_serving_partner(self, member):
        """Return whether a VM is a starting or leaving partner in a large fleet.

        Such a VM gets every heartbeat: it answers lookups too, and has to learn of VMs
        that leave at the same time. In a small fleet those VMs notify it directly.
        """
        if member.is_serving or self._members.topology.is_mesh:
            return False
        return self._is_partner(member)

    def _asks_for_replies(self, vm):
        """Return whether a heartbeat asks its receiver to send heartbeats back."""
        members, topology = self._members, self._members.topology
        return (
            topology.is_mesh
            or vm in topology.monitored
            or members.find_live(vm) is None
        )

    def _receivers(self, to_all):
        """Return the receivers of a round, without duplicates."""
        receivers = self._select_regular(self._members.request_handling_vms())
        if to_all:
            receivers = [*receivers, *self._select_occasional(receivers)]
        elif self._round % ROUNDS_BETWEEN_REGIONS:
            receivers = [
                each for each in receivers if not self._gets_fewer_heartbeats(each)
            ]
        more = [*self._non_serving_partners(), *self._live_new_owners()]
        more += self._workspace_reports.receivers()
        return list(dict.fromkeys([*receivers, *more]))

    def _non_serving_partners(self):
        """Return the starting and leaving partners, which get every heartbeat."""
        return [
            each
            for each in self._members.live_others()
            if self._is_non_serving_partner(each)
        ]

    def _live_new_owners(self):
        """Return the live owners of former targets on which requests still run."""
        live = map(self._members.find_live, self._new_owners())
        return [each for each in live if each is not None]

    def _unknown_seeds(self):
        """Return the seeds in the settings that belong to no known VM."""
        known = {each.ip for each in self._members.others()}
        known.add(self._settings.ip)
        return [seed for seed in self._settings.seeds if seed not in known]

    def _select_occasional(self, regular):
        """Return further VMs that get a heartbeat in a full round."""
        members, own = self._members, self._members.own
        rest = [each for each in members.others() if each not in regular]
        if members.topology.is_mesh:
            has_requests = own in members.request_handling_vms() or self._is_leaving()
            seen = [
                each
                for each in rest
                if each.last_heartbeat_at is not None
                and (has_requests or each.failure_domain == own.failure_domain)
            ]
            return [*seen, *_sample_unseen(rest)]
        partners = [each for each in rest if self._is_partner(each)]
        silent = [each for each in rest if members.find_live(each.vm) is None]
        if self._is_starting():
            # This VM may learn that the fleet is large before it sends its first
            # heartbeat. It still has to contact VMs that sent it none.
            return [*partners, *_sample_unseen(silent)]
        reported_alive = [each for each in silent if each.reported_alive]
        return [
            *partners,
            *self._sample(reported_alive),
            *self._sample(silent),
        ]

    def _sample(self, members):
        """Yield a small random sample of members, fewer from other regions."""
        in_region = [each for each in members if each.region == self._settings.region]
        outside = [each for each in members if each.region != self._settings.region]
        yield from sample(in_region, min(PROBED_IN_REGION, len(in_region)))
        yield from sample(outside, min(PROBED_OUTSIDE_REGION, len(outside)))

    def _echo(self, vm, now):
        """Return the send time of a VM's last heartbeat and the seconds since arrival.

        The VM derives the round trip from both. Both are ``None`` for an unknown VM.
        """
        sent_at, arrived_at = self._echoes.get(vm, (None, None))
        if sent_at is None:
            return None, None
        return sent_at, now - arrived_at

    def _record_round_trip(self, member, seconds):
        seconds = max(0.0, seconds)
        update_moving_average(self._round_trips, member.vm, seconds, _ROUND_TRIP_WEIGHT)
        update_moving_average(
            self._region_round_trips, member.region, seconds, _ROUND_TRIP_WEIGHT
        )

    def _log_malformed(self, address, error):
        self._malformed_count += 1
        self._journal.write(
            Event.PEER_REJECTED,
            peer=address[0],
            reason=repr(error),
            count=self._malformed_count,
        )


def _sample_unseen(members):
    """Return a sample of the members that sent no heartbeat yet."""
    unseen = [each for each in members if each.last_heartbeat_at is None]
    return sample(unseen, min(MAX_CONTACTED, len(unseen)))


def _unpack_next(unpacker):
    """Return the next message of a datagram; ``None`` if there is no further one."""
    try:
        return unpacker.unpack()
    except msgpack.OutOfData:
        return None
