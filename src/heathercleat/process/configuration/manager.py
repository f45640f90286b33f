"""The configuration in force: read from the platform and from peers, never older.

A configuration is the operators' text and the drains planned beside it. A few readers
in each failure domain ask the platform; every VM also learns of newer versions from
heartbeats, announcements and peers of other failure domains, so a domain that is cut
off from the platform still follows as long as any VM can be reached.
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
from heathercleat.process.membership.directory import vm_list
from heathercleat.process.membership.member import MemberState
from heathercleat.version.document import (
    HEAD_KEY,
    object_key,
    unpack_document,
    unpack_head,
)
from heathercleat.version.hashing import rank_by_weight

#: VMs of a failure domain that ask the platform.
READERS = 2
READ_INTERVAL = 0.5
#: Seconds between the calls of a VM that is not a reader, lest all readers be wrong.
FALLBACK_INTERVAL = 30.0
#: Other failure domains asked by a reader at each interval.
GOSSIP_FANOUT = 1
FETCH_TIMEOUT = 5.0


class ConfigurationManager:
    """Keeps the newest configuration and VM list that this VM has seen.

    :param vm: the process, told of each new version.
    :param platform: the platform client.
    :param links: calls to peers.
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
        self._read_at = 0.0

    @property
    def version(self):
        """Return the version in force here, or 0 when none is known."""
        return self._version

    @property
    def text(self):
        """Return the :class:`Text` in force, or ``None``."""
        return self._text

    @property
    def data(self):
        """Return the bytes of the document in force, or none."""
        return self._data

    @property
    def document(self):
        """Return the :class:`Document` in force, or ``None``."""
        return unpack_document(self._data) if self._data else None

    @property
    def platform_answers(self):
        """Return whether the platform answered when it was last asked."""
        return self._platform_failures == 0

    def adopt(self, version, data, source):
        """Take a configuration if it is newer than the one in force.

        :param source: where it came from, for the log.
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
        self._vm.configuration_changed(text)
        return True

    async def fetch_if_newer(self, host, version, vm_serial):
        """Fetch what a peer has that is newer than what is known here."""
        newer = version > self._version or vm_serial > self._directory.serial
        if newer and host not in self._fetching:
            self._fetching.add(host)
            await spawn(self._fetch, host, daemon=True)

    async def read_platform(self):
        """Read the head and the VM list; return whether the platform answered."""
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
        """Note that the platform failed a claim, so that tickets do without."""
        self._platform_failures += 1

    def adopt_vms(self, vms):
        """Take a :class:`VmList` if it is newer."""
        if not self._directory.adopt(vms):
            return
        self._vm.journal.write(
            Event.VM_LIST_READ, serial=vms.serial, vms=len(vms.entries)
        )
        domain = self._vm.settings.failure_domain
        for entry in self._directory.vms_in(domain):
            self._record_listed(entry, domain)

    async def announce(self):
        """Tell every VM of the failure domain what is in force here."""
        for member in self._membership.running():
            await spawn(self._exchange, member.host, daemon=True)

    async def run(self):
        """Follow the platform and the other failure domains."""
        await self._start()
        while True:
            if self._is_reader() or self._fallback_due():
                before = self._version, self._directory.serial
                self._read_at = self._clock.now()
                await self.read_platform()
                if before != (self._version, self._directory.serial):
                    await self.announce()
                await self._gossip()
            await sleep(uniform(0.8, 1.2) * READ_INTERVAL)

    async def _start(self):
        """Learn the newest version that any peer or the platform has."""
        for seed in self._vm.settings.seeds:
            if seed != self._vm.settings.address:
                await self._membership.exchange_views(seed)
                await self._fetch(seed)
        await self.read_platform()
        await self._membership.announce()
        await self.announce()

    def _is_reader(self):
        live = self._membership.live()
        return (
            self._vm.name in rank_by_weight("readers", live)[:READERS] or len(live) <= 1
        )

    def _fallback_due(self):
        interval = FALLBACK_INTERVAL if self._text is not None else READ_INTERVAL
        return self._clock.now() - self._read_at > interval

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
        """Tell a peer what is in force here and learn what is in force there."""
        mine = Announcement(self._version, self._directory.serial)
        try:
            theirs = await self._links.call(host, mine)
        except PeerError:
            return
        await self.fetch_if_newer(host, theirs.version, theirs.vm_serial)

    async def _fetch(self, host):
        try:
            answer = await self._links.call(host, FetchConfiguration(), FETCH_TIMEOUT)
            if isinstance(answer, Configuration) and answer.version:
                self.adopt(answer.version, answer.document, host)
            vms = await self._links.call(host, VmListRequest(), FETCH_TIMEOUT)
            if isinstance(vms, VmListResponse) and vms.serial >= 0:
                self.adopt_vms(vm_list(vms.serial, vms.entries))
        except PeerError:
            return
        finally:
            self._fetching.discard(host)

    def _record_listed(self, entry, domain):
        """Take a listed VM as a member until its silence or its own record decides."""
        known = self._membership.members.get(entry.name)
        incarnation = known.incarnation if known is not None else 0
        state = MemberState.LEAVING if entry.leaving else MemberState.LIVE
        if entry.name == self._vm.name:
            if entry.leaving:
                self._vm.request_leave()
            return
        self._membership.record(
            MemberRecord(entry.name, entry.host, domain, incarnation, state.value)
        )
