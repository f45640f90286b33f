"""The current configuration: fetched from the platform and from peers.

A configuration consists of the operators' text and the planned drains; its version
never decreases. A few readers in each failure domain poll the platform. Each VM also
learns of newer versions from heartbeats, announcements and gossip with other failure
domains, so a domain without access to the platform still gets updates while another VM
is reachable.
"""

from random import choice, uniform

from curio import sleep, spawn

from heathercleat.connection.messages import (
    Announcement,
    Configuration,
    FetchConfiguration,
    MemberRecord,
    VmListRequest,
    VmListResponse,
)
from heathercleat.errors import FindingsError, PeerError, PlatformError
from heathercleat.events import Event
from heathercleat.process.membership.directory import parse_vm_list
from heathercleat.process.membership.member import MemberState
from heathercleat.version.document import (
    HEAD_KEY,
    object_key,
    unpack_document,
    unpack_head,
)
from heathercleat.version.hashing import rank_by_weight

#: Number of VMs of a failure domain that poll the platform.
READER_COUNT = 2
POLL_INTERVAL_SECONDS = 0.5
#: Seconds between polls of a VM that is not a reader, in case the readers fail.
FALLBACK_POLL_INTERVAL_SECONDS = 30.0
#: Number of VMs of other failure domains that a reader contacts after each poll.
GOSSIP_FANOUT = 1
FETCH_TIMEOUT_SECONDS = 5.0


class ConfigurationManager:
    """Tracks the latest configuration and VM list that this VM has received.

    :param vm: the process, which is notified of each new version.
    :param platform: the platform client.
    :param links: the :class:`PeerLinks` to other VMs.
    """

    def __init__(self, vm, platform, links, membership, directory, clock):
        self._vm = vm
        self._platform = platform
        self._links = links
        self._membership = membership
        self._directory = directory
        self._clock = clock
        self._version = 0
        self._data = b""
        self._text = None
        self._fetching = set()
        self._platform_failures = 0
        self._polled_at = 0.0

    @property
    def version(self):
        """Return the version of the current configuration, or 0 if there is none."""
        return self._version

    @property
    def text(self):
        """Return the current configuration as a :class:`Text`, or ``None``."""
        return self._text

    @property
    def data(self):
        """Return the encoded current document; empty if there is none."""
        return self._data

    @property
    def document(self):
        """Return the current :class:`Document`, or ``None``."""
        return unpack_document(self._data) if self._data else None

    @property
    def is_platform_available(self):
        """Return whether the last call to the platform succeeded."""
        return self._platform_failures == 0

    def adopt(self, version, data, source):
        """Switch to a configuration if it is newer than the current one.

        :param data: the encoded document.
        :param source: where it came from, for the log.
        :return: whether the configuration has changed.
        """
        if version <= self._version:
            if version < self._version:
                self._vm.journal.write(
                    Event.CONFIGURATION_IGNORED,
                    version=version,
                    in_force=self._version,
                    source=source,
                )
            return False
        try:
            text = unpack_document(data).parse()
        except (FindingsError, ValueError, TypeError) as error:
            self._vm.journal.write(
                Event.CONFIGURATION_REJECTED, version=version, reason=str(error)
            )
            return False
        self._version, self._data, self._text = version, data, text
        self._vm.journal.write(
            Event.CONFIGURATION_ADOPTED, version=version, source=source
        )
        self._vm.apply_configuration(text)
        return True

    async def fetch_if_newer(self, host, version, vm_serial):
        """Start to fetch the configuration and VM list of a peer if one is newer."""
        is_newer = version > self._version or vm_serial > self._directory.serial
        if is_newer and host not in self._fetching:
            self._fetching.add(host)
            await spawn(self._fetch, host, daemon=True)

    async def read_platform(self):
        """Read the head row and the VM list from the platform.

        :return: whether the platform responded.
        """
        try:
            await self._read_head()
            vms = await self._platform.list_vms(self._directory.serial)
        except PlatformError as error:
            self._platform_failures += 1
            if self._platform_failures == 1:
                self._vm.journal.write(Event.PLATFORM_FAILED, reason=str(error))
            return False
        if self._platform_failures:
            self._vm.journal.write(
                Event.PLATFORM_RETURNED, failures=self._platform_failures
            )
        self._platform_failures = 0
        self.adopt_vms(vms)
        return True

    def record_claim_failure(self):
        """Record that a claim failed, so that new tickets require none."""
        self._platform_failures += 1

    def adopt_vms(self, vms):
        """Switch to a :class:`VmList` if it is newer than the current one."""
        if not self._directory.adopt(vms):
            return
        self._vm.journal.write(
            Event.VM_LIST_READ, serial=vms.serial, vms=len(vms.entries)
        )
        domain = self._vm.settings.failure_domain
        for entry in self._directory.vms_in(domain):
            self._record_listed(entry, domain)

    async def announce(self):
        """Announce the current versions to every VM of the failure domain."""
        for member in self._membership.other_running_members():
            await spawn(self._exchange, member.host, daemon=True)

    async def run(self):
        """Poll the platform and gossip with other failure domains, forever."""
        await self._start()
        while True:
            if self._is_reader() or self._is_fallback_due():
                before = self._version, self._directory.serial
                self._polled_at = self._clock.now()
                await self.read_platform()
                if before != (self._version, self._directory.serial):
                    await self.announce()
                await self._gossip()
            await sleep(uniform(0.8, 1.2) * POLL_INTERVAL_SECONDS)

    async def _start(self):
        """Fetch the latest configuration and VM list, then join the membership."""
        for seed in self._vm.settings.seeds:
            if seed != self._vm.settings.address:
                await self._membership.exchange_views(seed)
                await self._fetch(seed)
        await self.read_platform()
        await self._membership.announce()
        await self.announce()

    def _is_reader(self):
        live = self._membership.live_names()
        return (
            self._vm.name in rank_by_weight("readers", live)[:READER_COUNT]
            or len(live) <= 1
        )

    def _is_fallback_due(self):
        interval = (
            FALLBACK_POLL_INTERVAL_SECONDS
            if self._text is not None
            else POLL_INTERVAL_SECONDS
        )
        return self._clock.now() - self._polled_at > interval

    async def _read_head(self):
        row = await self._platform.read(HEAD_KEY)
        if row is None:
            return
        head = unpack_head(row.value)
        if head.version <= self._version:
            return
        data = await self._platform.get_object(head.object_key)
        if data is None or object_key(data) != head.object_key:
            raise PlatformError(f"the object {head.object_key} is missing or damaged")
        self.adopt(head.version, data, "platform")

    async def _gossip(self):
        domain = self._vm.settings.failure_domain
        others = [
            entry for entry in self._directory.entries if entry.failure_domain != domain
        ]
        for _ in range(min(GOSSIP_FANOUT, len(others))):
            await spawn(self._exchange, choice(others).host, daemon=True)

    async def _exchange(self, host):
        """Exchange version numbers with a peer and fetch what is newer there."""
        local = Announcement(self._version, self._directory.serial)
        try:
            remote = await self._links.call(host, local)
        except PeerError:
            return
        await self.fetch_if_newer(host, remote.version, remote.vm_serial)

    async def _fetch(self, host):
        try:
            response = await self._links.call(
                host, FetchConfiguration(), FETCH_TIMEOUT_SECONDS
            )
            if isinstance(response, Configuration) and response.version:
                self.adopt(response.version, response.document, host)
            vms = await self._links.call(host, VmListRequest(), FETCH_TIMEOUT_SECONDS)
            if isinstance(vms, VmListResponse) and vms.serial >= 0:
                self.adopt_vms(parse_vm_list(vms.serial, vms.entries))
        except PeerError:
            return
        finally:
            self._fetching.discard(host)

    def _record_listed(self, entry, domain):
        """Record a listed VM as a member, with its last known incarnation.

        Begins a graceful shutdown if the list marks this VM as leaving.
        """
        member = self._membership.members.get(entry.name)
        incarnation = member.incarnation if member is not None else 0
        state = MemberState.LEAVING if entry.leaving else MemberState.LIVE
        if entry.name == self._vm.name:
            if entry.leaving:
                self._vm.request_shutdown()
            return
        self._membership.apply_record(
            MemberRecord(entry.name, entry.host, domain, incarnation, state.value)
        )
