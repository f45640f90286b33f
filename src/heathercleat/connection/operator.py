"""HTTP API for operators: metrics, status, configuration, drains and explanations.

All calls except ``/metrics`` need a token signed with a key of the settings.
"""

from json import dumps, loads
from urllib.parse import parse_qs, urlsplit

import h11

from heathercleat.codes import ResultCode
from heathercleat.connection.http import HttpStream, Message, serve_requests
from heathercleat.connection.peer import sign, verify
from heathercleat.errors import FindingsError, HeathercleatError
from heathercleat.process.configuration.editing import (
    ConflictError,
    Edit,
    cancel_drain,
    headroom_after,
    parse_drain,
    plan_drain,
    schedule_drain,
)
from heathercleat.process.explain import explain
from heathercleat.process.status import status_of
from heathercleat.version.document import Document

MAX_TEXT_BYTES = 16 * 1024 * 1024
TOKEN_LIFETIME_SECONDS = 60
JSON_HEADERS = {"content-type": "application/json"}


def operator_token(key, method, path, body, wall_time):
    """Return the value of the Authorization header of an operator's call.

    :param wall_time: the current time, in epoch seconds.
    """
    expires_at = int(wall_time + TOKEN_LIFETIME_SECONDS)
    signature = sign(key, b"operator", method, path, body, expires_at).hex()
    return f"Heathercleat {expires_at}:{signature}"


class OperatorService:
    """Serves the operators' API of a VM."""

    def __init__(self, vm):
        self._vm = vm
        self._routes = {
            ("GET", "/v1/status"): self._status,
            ("GET", "/v1/text"): self._text,
            ("GET", "/v1/history"): self._history,
            ("GET", "/v1/version"): self._version,
            ("GET", "/v1/explain"): self._explain,
            ("GET", "/v1/drains"): self._drains,
            ("POST", "/v1/apply"): self._apply,
            ("POST", "/v1/drain/plan"): self._plan,
            ("POST", "/v1/drain/cancel"): self._cancel,
        }

    async def serve(self, sock, address):
        """Serve calls on one connection."""
        stream = HttpStream(sock, h11.SERVER)
        await serve_requests(stream, self.handle, MAX_TEXT_BYTES)

    async def handle(self, message):
        """Return the response to one call.

        :param message: the call, a :class:`Message`.
        """
        url = urlsplit(message.path)
        if url.path == "/metrics":
            return Message(body=self._vm.metrics.render())
        try:
            self._authenticate(message)
            handler = self._routes.get((message.method, url.path))
            if handler is None:
                reason = f"no such call: {message.method} {url.path}"
                raise HeathercleatError(ResultCode.BAD_REQUEST, reason)
            query = {name: each[0] for name, each in parse_qs(url.query).items()}
            result = await handler(query, message.body)
        except FindingsError as group:
            return _error_response(
                group.code, [each.render() for each in group.exceptions]
            )
        except HeathercleatError as error:
            return _error_response(error.code, [str(error)])
        except (ValueError, KeyError, TypeError) as error:
            return _error_response(ResultCode.BAD_REQUEST, [f"bad call: {error!r}"])
        return Message(headers=JSON_HEADERS, body=dumps(result).encode())

    def _authenticate(self, message):
        scheme, _, token = message.headers.get("authorization", "").partition(" ")
        expires_at, _, signature = token.partition(":")
        try:
            signature_bytes = bytes.fromhex(signature)
            is_fresh = int(expires_at) > self._vm.clock.wall()
        except ValueError:
            signature_bytes, is_fresh = b"", False
        parts = (b"operator", message.method, message.path, message.body, expires_at)
        is_valid = verify(self._vm.settings.keys, signature_bytes, *parts)
        if scheme != "Heathercleat" or not is_fresh or not is_valid:
            reason = (
                "the call has no valid token; sign it with a key of the VM's settings"
            )
            raise HeathercleatError(ResultCode.BAD_REQUEST, reason)

    async def _status(self, query, body):
        return status_of(self._vm)

    async def _text(self, query, body):
        document = self._document()
        return {"version": self._vm.version, "text": document.source}

    async def _history(self, query, body):
        return [
            {
                "version": head.version,
                "edit_id": head.edit_id,
                "author": head.author,
                "at": head.at,
            }
            for head in await self._vm.editor.history()
        ]

    async def _version(self, query, body):
        version = int(query["version"])
        document = await self._vm.editor.show(version)
        drains = document.drains
        return {"version": version, "text": document.source, "drains": drains}

    async def _explain(self, query, body):
        return explain(self._vm, query["service"], query.get("client"))

    async def _drains(self, query, body):
        now = self._vm.clock.wall()
        return [
            {
                "id": drain.id,
                "scope": drain.scope.value,
                "name": drain.drained_name,
                "at": drain.starts_at,
                "until": drain.cancelled_at,
                "in_force": drain.in_force(now),
            }
            for drain in (self._vm.text.drains.values() if self._vm.text else ())
        ]

    async def _apply(self, query, body):
        call = loads(body)
        base = self._base_version(call)
        drains = (await self._document_at(base)).drains if base else {}
        return await self._edit(call, base, Document(call["text"], drains))

    async def _plan(self, query, body):
        call = loads(body)
        drain = parse_drain(call["id"], call["scope"], call["name"], call["at"])
        base = self._base_version(call)
        current = await self._document_at(base)
        now = self._vm.clock.wall()
        text = current.parse()
        drain = schedule_drain(text, drain, now)
        headroom = [
            {
                "service": entry.service,
                "slots": entry.slots,
                "left": entry.remaining,
                "least": entry.minimum,
                "enough": entry.is_enough,
            }
            for entry in headroom_after(text, drain, now)
        ]
        if call.get("dry_run"):
            return {"headroom": headroom, "at": drain.starts_at}
        document = plan_drain(current, drain, now)
        result = await self._edit(call, base, document)
        return {"headroom": headroom, "at": drain.starts_at, **result}

    async def _cancel(self, query, body):
        call = loads(body)
        base = self._base_version(call)
        now = self._vm.clock.wall()
        document = cancel_drain(await self._document_at(base), call["id"], now)
        return await self._edit(call, base, document)

    def _base_version(self, call):
        return int(call.get("base_version", self._vm.version))

    async def _document_at(self, version):
        """Return the :class:`Document` that an edit is based on.

        The version in force at this VM may be older than ``version``.
        """
        if version == self._vm.version:
            return self._document()
        return await self._vm.editor.show(version)

    async def _edit(self, call, base, document):
        edit = Edit(call["edit_id"], call["author"], base, document)
        try:
            version = await self._vm.editor.apply(edit)
        except ConflictError:
            await self._adopt_and_announce()
            raise
        await self._adopt_and_announce()
        return {"version": version}

    async def _adopt_and_announce(self):
        """Adopt the newest version and announce it to the failure domain."""
        await self._vm.configuration.read_platform()
        await self._vm.configuration.announce()

    def _document(self):
        document = self._vm.configuration.document
        if document is None:
            code = ResultCode.NO_CONFIGURATION
            raise HeathercleatError(code, "this VM has no configuration yet")
        return document


def _error_response(code, messages):
    body = {
        "code": code.number,
        "name": code.name.lower(),
        "messages": messages,
        "next": code.advice,
    }
    return Message(status=code.status, headers=JSON_HEADERS, body=dumps(body).encode())
