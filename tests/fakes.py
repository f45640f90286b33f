"""Fakes of the clock, the platform, the peers and the VM."""

from heathercleat.errors import PeerError, PlatformError
from heathercleat.process.configuration.platform import ABSENT, Commit, Row
from heathercleat.process.settings import parse_settings

SETTINGS = """{
  "vm": "north-a-1", "address": "127.0.0.1", "failure_domain": "north-a",
  "platform": {"address": "127.0.0.9", "port": 7000},
  "keys": ["a-shared-key-for-tests"],
}"""


class ManualClock:
    """A clock that advances only when a test changes ``time``, in seconds."""

    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time

    def wall(self):
        return self.time


class FakePlatform:
    """A table in memory.

    The next ``fail_before`` transactions fail without an effect. The next
    ``fail_after`` ones take effect, but their replies are lost.
    """

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.fail_before = 0
        self.fail_after = 0
        self.down = False
        self.transactions = 0

    async def transact(self, conditions, writes):
        self.transactions += 1
        if self.down or self._consume("fail_before"):
            raise PlatformError("no effect")
        conflicts = tuple(
            each.key for each in conditions if self._version(each.key) != each.version
        )
        if not conflicts:
            for write in writes:
                if write.value is None:
                    self.rows.pop(write.key, None)
                    continue
                version = self._version(write.key) + 1
                self.rows[write.key] = Row(write.key, write.value, version)
        if self._consume("fail_after"):
            raise PlatformError("the reply was lost")
        return Commit(conflicts)

    async def read(self, key):
        if self.down:
            raise PlatformError("down")
        return self.rows.get(key)

    async def read_range(self, prefix, limit=None):
        if self.down:
            raise PlatformError("down")
        rows = [row for key, row in sorted(self.rows.items()) if key.startswith(prefix)]
        return rows[:limit]

    async def put_object(self, key, data):
        if self.down:
            raise PlatformError("down")
        self.objects[key] = data

    async def get_object(self, key):
        return self.objects.get(key)

    async def list_vms(self, since):
        return None

    def _version(self, key):
        return self.rows[key].version if key in self.rows else ABSENT

    def _consume(self, name):
        remaining = getattr(self, name)
        if remaining:
            setattr(self, name, remaining - 1)
        return remaining > 0


class FakeLink:
    is_refused = False
    is_reachable = True


class FakeLinks:
    """Calls to peers, handled by a function; a result of ``None`` makes a call fail."""

    def __init__(self, respond=None):
        self._respond = respond
        self.calls = []

    def link_to(self, host):
        return FakeLink()

    async def call(self, host, item, timeout=None):
        self.calls.append((host, item))
        response = self._respond(host, item) if self._respond else None
        if response is None:
            raise PeerError(f"{host} does not answer")
        return response


class FakeJournal:
    """Records the logged events."""

    def __init__(self):
        self.events = []

    def write(self, event, **event_fields):
        self.events.append((event, event_fields))


class FakeVm:
    """The identity of a VM, for components that are tested in isolation."""

    def __init__(self):
        self.settings = parse_settings(SETTINGS)
        self.name = self.settings.vm
        self.incarnation = 1
        self.version = 0
        self.vm_serial = 0
        self.text = None
        self.journal = FakeJournal()
        self.changes = []

    def renew_incarnation(self):
        self.incarnation += 1

    def apply_configuration(self, text):
        self.changes.append(text)

    async def fetch_if_newer(self, host, version, vm_serial):
        return None
