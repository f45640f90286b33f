"""Edits of the configuration: one conditional write decides between operators."""

from dataclasses import dataclass, replace
from difflib import unified_diff
from math import ceil

from heathercleat.codes import ResultCode
from heathercleat.errors import HeathercleatError, PlatformError
from heathercleat.process.configuration.platform import ABSENT, Condition, Write
from heathercleat.version.document import (
    HEAD_KEY,
    Document,
    VersionHead,
    object_key,
    unpack_document,
    unpack_head,
)
from heathercleat.version.drain_ramp import departed_share
from heathercleat.version.text import Drain, DrainScope

#: Tries to find out whether an edit took effect after a lost reply.
MAX_TRIES = 4


@dataclass(slots=True, frozen=True)
class Edit:
    """A new document meant to follow ``base_version``.

    ``id`` is chosen by the operator's client, the same for every repeat of the edit.
    """

    id: str
    author: str
    base_version: int
    document: Document


class ConflictError(HeathercleatError):
    """Another edit came first."""

    def __init__(self, version, difference):
        message = f"version {version} is in force by now; it changed:\n{difference}"
        super().__init__(ResultCode.EDIT_CONFLICT, message)


class Editor:
    """Writes new versions of the configuration.

    :param platform: the platform client.
    :param clock: source of the instants in the history.
    """

    def __init__(self, platform, clock):
        self._platform = platform
        self._clock = clock

    async def apply(self, edit):
        """Make an edit the next version and return its number.

        :raises FindingsError: when the text is not valid.
        :raises ConflictError: when another edit came first.
        :raises HeathercleatError: with ``EDIT_UNKNOWN`` when the platform does not
            tell whether the edit took effect.
        """
        edit.document.parse()
        data = edit.document.pack()
        tried = False
        for _ in range(MAX_TRIES):
            try:
                version = await self._find(edit.id)
                if version is not None:
                    return version
                await self._platform.put_object(object_key(data), data)
                row = await self._platform.read(HEAD_KEY)
                await self._check_base(edit, row)
                tried = True
                if await self._write(edit, data, row):
                    return edit.base_version + 1
            except PlatformError as error:
                last = error
            else:
                last = None
        if last is None or not tried:
            raise last or PlatformError("the head row changes all the time")
        message = f"the platform did not say whether edit {edit.id} took effect"
        raise HeathercleatError(ResultCode.EDIT_UNKNOWN, message)

    async def history(self):
        """Return every :class:`VersionHead`, the newest first."""
        rows = await self._platform.read_range("config/version/")
        heads = [unpack_head(row.value) for row in rows]
        return sorted(heads, key=lambda head: head.version, reverse=True)

    async def show(self, version):
        """Return the :class:`Document` of a version.

        :raises HeathercleatError: when there is no such version.
        """
        row = await self._platform.read(_version_key(version))
        if row is None:
            message = f"there is no version {version}"
            raise HeathercleatError(ResultCode.UNKNOWN_NAME, message)
        data = await self._platform.get_object(unpack_head(row.value).object_key)
        return unpack_document(data)

    async def _find(self, edit_id):
        """Return the version that an edit became, or ``None``."""
        row = await self._platform.read(_edit_key(edit_id))
        return None if row is None else unpack_head(row.value).version

    async def _check_base(self, edit, row):
        head = None if row is None else unpack_head(row.value)
        version = 0 if head is None else head.version
        if version == edit.base_version:
            return
        if head is not None and head.edit_id == edit.id:
            return
        raise ConflictError(version, await self._difference(edit, version))

    async def _difference(self, edit, version):
        theirs = await self.show(version) if version else Document("", {})
        known = Document("", {})
        if 0 < edit.base_version < version:
            known = await self.show(edit.base_version)
        lines = unified_diff(
            known.source.splitlines(),
            theirs.source.splitlines(),
            f"version {edit.base_version}",
            f"version {version}",
            lineterm="",
            n=0,
        )
        return "\n".join(lines) or "only drains changed"

    async def _write(self, edit, data, row):
        version = edit.base_version + 1
        at = self._clock.wall()
        head = VersionHead(version, object_key(data), edit.id, edit.author, at).pack()
        commit = await self._platform.transact(
            [
                Condition(HEAD_KEY, ABSENT if row is None else row.version),
                Condition(_edit_key(edit.id), ABSENT),
            ],
            [
                Write(HEAD_KEY, head),
                Write(_edit_key(edit.id), head),
                Write(_version_key(version), head),
            ],
        )
        return commit.done


@dataclass(slots=True, frozen=True)
class ServiceHeadroom:
    """Slots of a service before and after a drain, and the fewest it may keep."""

    service: str
    slots: int
    left: int
    least: int

    @property
    def enough(self):
        """Return whether the drain leaves enough."""
        return self.left >= self.least


def headroom_after(text, drain, now):
    """Yield a :class:`ServiceHeadroom` for each service, with ``drain`` in force.

    Drains that are planned earlier or at the same time count as in force.
    """
    at = max(drain.at, now)
    drains = [*text.drains.values(), drain]
    for service in text.services.values():
        targets = service.targets.values()
        left = sum(
            target.limit
            for target in targets
            if not any(each.covers(target, at) for each in drains)
        )
        slots = sum(target.limit for target in targets)
        least = service.min_slots
        if least is None:
            least = ceil(slots / 2)
        yield ServiceHeadroom(service.name, slots, left, least)


def schedule_drain(text, drain, now):
    """Return a drain that begins late enough for its callers to move within the caps.

    :param now: epoch seconds.
    """
    if drain.scope is not DrainScope.FAILURE_DOMAIN:
        return drain
    return replace(drain, at=max(drain.at, now + text.ramps.ramp_seconds(drain.name)))


def plan_drain(document, drain, now):
    """Return a :class:`Document` with one more drain, as scheduled.

    :raises HeathercleatError: when the name is unknown, the id is taken, or too few
        slots would be left.
    """
    text = document.parse()
    if drain.id in text.drains:
        message = f'there is a drain "{drain.id}" already; cancel it or use another id'
        raise HeathercleatError(ResultCode.UNKNOWN_NAME, message)
    _check_name(text, drain)
    short = [room for room in headroom_after(text, drain, now) if not room.enough]
    if short:
        figures = "; ".join(
            f"{room.service} would keep {room.left} of {room.slots} slots, "
            f"fewer than {room.least}"
            for room in short
        )
        raise HeathercleatError(ResultCode.HEADROOM_REFUSED, figures)
    drains = dict(_drains_kept(document, text, now))
    drains[drain.id] = [drain.scope.value, drain.name, drain.at]
    return Document(document.source, drains)


def cancel_drain(document, drain_id, now):
    """Return a :class:`Document` in which a drain ends now.

    The drain of a failure domain is kept for as long as its callers need to return.

    :param now: epoch seconds.
    :raises HeathercleatError: when no planned drain has this id.
    """
    if drain_id not in document.drains:
        message = f'no drain "{drain_id}" was planned; "drain list" shows them all'
        raise HeathercleatError(ResultCode.UNKNOWN_NAME, message)
    text = document.parse()
    drains = dict(_drains_kept(document, text, now))
    ended = drains.pop(drain_id, None)
    drain = text.drains[drain_id]
    ramp_seconds = _lead_of(text, drain)
    if (
        ended is not None
        and ramp_seconds
        and departed_share(drain, ramp_seconds, now) > 0
    ):
        drains[drain_id] = [*ended[:3], drain.until or now]
    return Document(document.source, drains)


def _drains_kept(document, text, now):
    """Yield the planned drains, without those whose callers have returned."""
    for id_, fields in document.drains.items():
        drain = text.drains[id_]
        if drain.until is None or departed_share(drain, _lead_of(text, drain), now) > 0:
            yield id_, fields


def _lead_of(text, drain):
    if drain.scope is not DrainScope.FAILURE_DOMAIN:
        return 0.0
    return text.ramps.ramp_seconds(drain.name)


def to_drain(id_, scope, name, at):
    """Return a :class:`Drain` from an operator's words.

    :raises HeathercleatError: for an unknown scope.
    """
    try:
        return Drain(id_, DrainScope(scope), name, float(at))
    except ValueError:
        scopes = ", ".join(each.value for each in DrainScope)
        message = f'"{scope}" cannot be drained; use one of {scopes}'
        raise HeathercleatError(ResultCode.UNKNOWN_NAME, message) from None


def _check_name(text, drain):
    names = {
        DrainScope.TARGET: {
            name for service in text.services.values() for name in service.targets
        },
        DrainScope.FAILURE_DOMAIN: set(text.failure_domains),
    }.get(drain.scope)
    if names is not None and drain.name not in names:
        message = f'the text has no {drain.scope.value} "{drain.name}"'
        raise HeathercleatError(ResultCode.UNKNOWN_NAME, message)


def _edit_key(edit_id):
    return f"config/edit/{edit_id}"


def _version_key(version):
    return f"config/version/{version:012d}"
