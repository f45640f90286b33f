"""Server for the calls of other VMs: one task per connection, one call at a time."""

from secrets import token_bytes

from curio import TaskTimeout, timeout_after

from heathercleat.codes import ResultCode
from heathercleat.connection.messages import (
    Accepted,
    AcquireTargets,
    Announcement,
    Challenge,
    ClosedOut,
    CloseOut,
    Configuration,
    FetchConfiguration,
    FetchReadiness,
    Heartbeat,
    HeartbeatAck,
    Hello,
    LeaseRenewal,
    LeaseRequest,
    LeaseReturn,
    OccupancyNotice,
    Readiness,
    Refused,
    SlotReleased,
    ViewExchange,
    VmListRequest,
    VmListResponse,
)
from heathercleat.connection.peer import NONCE_BYTES, MessageStream, verify
from heathercleat.errors import PeerError, RequestError
from heathercleat.events import Event
from heathercleat.process.at_most_once.deduplication import EntryState

HELLO_TIMEOUT_SECONDS = 2.0


class PeerService:
    """Dispatches messages of other VMs to the components of this process.

    :param vm: the process.
    """

    def __init__(self, vm):
        self._vm = vm
        self._handlers = {
            Heartbeat: self._heartbeat,
            ViewExchange: self._view_exchange,
            AcquireTargets: self._acquire,
            SlotReleased: self._released,
            OccupancyNotice: self._occupancy_notice,
            LeaseRequest: self._lease_request,
            LeaseRenewal: self._lease_renewal,
            LeaseReturn: self._lease_return,
            CloseOut: self._close_out,
            FetchConfiguration: self._fetch_configuration,
            VmListRequest: self._fetch_vms,
            Announcement: self._announcement,
            FetchReadiness: self._fetch_readiness,
        }

    async def serve(self, sock, address):
        """Handle calls on one connection until the peer closes it.

        :param address: address of the peer, as returned by ``accept``.
        """
        stream, hello = MessageStream(sock), None
        try:
            hello = await timeout_after(
                HELLO_TIMEOUT_SECONDS, self._authenticate, stream
            )
            if hello is None:
                self._vm.journal.write(Event.PEER_REJECTED, address=address[0])
                await stream.send(Refused(ResultCode.BAD_REQUEST.number, "wrong key"))
                return
            await stream.send(Accepted())
            while (message := await stream.receive()) is not None:
                if self._vm.fence.contains(address[0]):
                    return
                await stream.send(await self._answer(message, hello))
        except (OSError, ValueError, TypeError, TaskTimeout) as error:
            if not isinstance(error, OSError):
                self._vm.journal.write(
                    Event.PEER_REJECTED, address=address[0], reason=repr(error)
                )
        finally:
            self._vm.count_peer_bytes(stream.bytes_sent + stream.bytes_received)
        if hello is not None:
            await self._vm.heartbeats.start_probing(hello.vm)

    async def _authenticate(self, stream):
        nonce = token_bytes(NONCE_BYTES)
        await stream.send(Challenge(nonce))
        hello = await stream.receive()
        if not isinstance(hello, Hello):
            return None
        parts = (
            nonce,
            hello.vm,
            hello.host,
            hello.failure_domain,
            hello.incarnation,
        )
        keys = self._vm.settings.keys
        return hello if verify(keys, hello.signature, *parts) else None

    async def _answer(self, message, hello):
        handler = self._handlers.get(type(message))
        if handler is None:
            return Refused(ResultCode.BAD_REQUEST.number, "not a call")
        try:
            return await handler(message, hello)
        except PeerError as error:
            return Refused(ResultCode.NOT_HOME.number, str(error))

    async def _heartbeat(self, message, hello):
        vm = self._vm
        accused = vm.membership.record_heartbeat(message)
        await vm.configuration.fetch_if_newer(
            hello.host, message.version, message.vm_serial
        )
        return HeartbeatAck(
            message.sequence, accused, vm.membership.digest, vm.version, vm.vm_serial
        )

    async def _view_exchange(self, message, hello):
        self._vm.membership.merge(message.members)
        return ViewExchange(self._vm.membership.records())

    async def _acquire(self, message, hello):
        return self._vm.homes.hand_over(message.vm, message.targets)

    async def _released(self, message, hello):
        self._vm.homes.record_released(message.target, message.use_id)
        return Accepted()

    async def _occupancy_notice(self, message, hello):
        self._vm.occupancy_records.record(
            message.vm, message.incarnation, message.covers
        )
        return Accepted()

    async def _lease_request(self, message, hello):
        return self._vm.lease_granter.grant(message, hello.vm, hello.failure_domain)

    async def _lease_renewal(self, message, hello):
        return self._vm.lease_granter.renew(message.lease_id)

    async def _lease_return(self, message, hello):
        self._vm.ledger.return_lease(message.lease_id, message.slots)
        return Accepted()

    async def _close_out(self, message, hello):
        if message.birth != self._vm.instance_id:
            return ClosedOut(EntryState.GONE.value, 0, [], b"")
        try:
            entry = self._vm.deduplication.close_out(
                message.ticket_id, message.key, message.expires_at
            )
        except RequestError:
            return ClosedOut(EntryState.UNKNOWN.value, 0, [], b"")
        outcome = entry.outcome
        if outcome is None:
            return ClosedOut(entry.state.value, 0, [], b"")
        headers = [list(pair) for pair in outcome.headers]
        return ClosedOut(entry.state.value, outcome.status, headers, outcome.body)

    async def _fetch_configuration(self, message, hello):
        manager = self._vm.configuration
        return Configuration(manager.version, manager.data)

    async def _fetch_vms(self, message, hello):
        directory = self._vm.vm_directory
        return VmListResponse(directory.serial, directory.to_fields())

    async def _fetch_readiness(self, message, hello):
        text = self._vm.text
        return Readiness({} if text is None else self._vm.readiness.usable_slots())

    async def _announcement(self, message, hello):
        vm = self._vm
        await vm.configuration.fetch_if_newer(
            hello.host, message.version, message.vm_serial
        )
        return Announcement(vm.version, vm.vm_serial)
