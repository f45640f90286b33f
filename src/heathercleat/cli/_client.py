"""Client of the operators' API of an entry VM."""

import json
import os
from pathlib import Path
from urllib.parse import urlencode

from curio import run

from heathercleat.codes import ResultCode
from heathercleat.connection.http import (
    CONNECTION_ERRORS,
    Message,
    connect,
    exchange,
    with_deadline,
)
from heathercleat.connection.operator import operator_token
from heathercleat.errors import HeathercleatError
from heathercleat.process.clock import SystemClock
from heathercleat.process.settings import DEFAULT_PORTS, load_settings

KEY_VARIABLE = "HEATHERCLEAT_KEY"
CALL_TIMEOUT_SECONDS = 20.0
#: Timeout for calls to further VMs that a command makes.
FOLLOW_UP_TIMEOUT_SECONDS = 2.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class RemoteError(HeathercleatError):
    """An error response of an entry VM."""

    def __init__(self, response):
        super().__init__(
            ResultCode.from_number(response["code"]), "\n".join(response["messages"])
        )


class OperatorClient:
    """Calls one entry VM.

    :param host: the IP address of the VM.
    :param port: the operators' port.
    :param key: a shared key.
    :param timeout: timeout of a call, in seconds.
    """

    def __init__(self, host, port, key, timeout=CALL_TIMEOUT_SECONDS):
        self._host = host
        self._port = port
        self._key = key
        self._timeout = timeout
        self._clock = SystemClock()

    def get(self, path, **query):
        """Return the JSON response to a GET call; ``None`` values are left out."""
        parameters = {name: value for name, value in query.items() if value is not None}
        return self._call(
            "GET", f"{path}?{urlencode(parameters)}" if parameters else path
        )

    def post(self, path, body):
        """Return the JSON response to a POST call with a JSON body."""
        return self._call("POST", path, json.dumps(body).encode())

    def with_host(self, host):
        """Return a client of another VM, with the same key and port."""
        return OperatorClient(host, self._port, self._key, FOLLOW_UP_TIMEOUT_SECONDS)

    def _call(self, method, path, body=b""):
        token = operator_token(self._key, method, path, body, self._clock.wall())
        message = Message(
            method=method, path=path, headers={"authorization": token}, body=body
        )
        try:
            response = run(self._exchange, message)
        except (TimeoutError, *CONNECTION_ERRORS) as error:
            # Only a refused connection rules out that an edit took effect.
            code = ResultCode.EDIT_UNKNOWN if body else ResultCode.VM_UNREACHABLE
            if isinstance(error, ConnectionRefusedError):
                code = ResultCode.VM_UNREACHABLE
            reason = (
                f"{self._host}:{self._port} did not answer {method} {path}: {error}"
            )
            raise HeathercleatError(code, reason) from None
        result = json.loads(response.body)
        if response.status != ResultCode.OK.status:
            raise RemoteError(result)
        return result

    async def _exchange(self, message):
        deadline = self._clock.now() + self._timeout
        stream = await connect(self._host, self._port, deadline, self._clock)
        try:
            exchanging = exchange(stream, message, MAX_RESPONSE_BYTES)
            return await with_deadline(deadline, self._clock, exchanging)
        finally:
            await stream.close()


def add_client_options(parser):
    """Add the options that select the VM to call, and ``--json``."""
    group = parser.add_argument_group("which entry VM to call")
    group.add_argument("--settings", metavar="FILE", help="the VM's settings file")
    group.add_argument(
        "--vm", metavar="IP[:PORT]", help="override the VM of the settings"
    )
    group.add_argument(
        "--key-file",
        metavar="FILE",
        help=f"a file that holds a shared key (or set {KEY_VARIABLE})",
    )
    parser.add_argument("--json", action="store_true", help="print JSON for machines")


def make_client(args):
    """Return the :class:`OperatorClient` that the options select.

    :raises HeathercleatError: when the VM or the key is missing.
    """
    host, port, key = None, DEFAULT_PORTS["operator"], os.environ.get(KEY_VARIABLE)
    if args.settings:
        settings = load_settings(args.settings)
        host, port = settings.address, settings.ports.operator
        key = settings.keys[0]
    if args.vm:
        host, _, port_text = args.vm.partition(":")
        port = int(port_text) if port_text.isdecimal() else port
    if args.key_file:
        key = _read_key(args.key_file)
    if host is None or not key:
        message = "name a VM and its key: --settings FILE, or --vm and --key-file"
        raise HeathercleatError(ResultCode.SETTINGS_INVALID, message)
    return OperatorClient(host, port, key)


def _read_key(path):
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        message = f'cannot read the key file "{path}": {error.strerror}'
        raise HeathercleatError(ResultCode.SETTINGS_INVALID, message) from None
