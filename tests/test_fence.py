"""A VM must not connect to a platform whose address is fenced."""

import pytest
from curio import run, sleep, spawn, tcp_server

from heathercleat.errors import PlatformError
from heathercleat.process.clock import SystemClock
from heathercleat.process.configuration.platform import HttpPlatform
from heathercleat.process.fence import Fence

TIMEOUT_SECONDS = 0.2
#: Seconds until the fake platform listens.
STARTUP_SECONDS = 0.2


async def _call_fenced(host):
    clients = []

    async def serve(sock, address):
        clients.append(address)

    server = await spawn(tcp_server, host, 7441, serve, daemon=True)
    await sleep(STARTUP_SECONDS)
    fence = Fence([f"{host}/32"])
    platform = HttpPlatform(host, 7441, SystemClock(), TIMEOUT_SECONDS, lambda: fence)
    try:
        with pytest.raises(PlatformError):
            await platform.list_vms(0)
    finally:
        await server.cancel()
    return clients


def test_fenced_platform_is_not_reached():
    assert run(_call_fenced, "127.9.9.9") == []
