"""An entry of another writer, then a zone's upstream comes back cold."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab-2"))

from lab import Client, Lab, config, is_troubled, run_case  # noqa: E402

#: The bound of the rule: coldPerS x coldOver + coldSlack.
MOST_IN_A_SECOND = 12 * 1.5 + 5
STABLE_SECONDS = 3.0
COLD_SECONDS = 3.0
#: The entry of the upstream that ended has lapsed by then.
DOWN_SECONDS = 4.5
REQUESTS_PER_SECOND = 25
LOAD_SECONDS = 7.5
#: The name of the service ends in half of a surrogate pair, as a writer leaves it that
#: cuts a text in the middle of a character. JSON has it as an escape.
OTHER_ENTRY = (
    b'{"service":"caf\\ud83d","address":"%b:8080","zone":"bogota-a","version":"v1",'
    b'"slots":6,"state":"ready","coldRemaining":"0ms","sequence":4}'
)


async def play():
    """Play the case in a new lab; return whether the rule held."""
    zones = {"bogota-a": "andina", "medellin-b": "andina"}
    lab = Lab(HERE, zones, {"bogota-a": 3, "medellin-b": 1})
    try:
        return await play_in(lab)
    finally:
        lab.stop()


async def play_in(lab):
    """Play the case; return whether the rule held."""
    lab.add_upstream("kafi81c", "bogota-a")
    route = {
        "name": "r-1",
        "prefix": "/lepu270/",
        "kind": "safe",
        "service": "kafi81c",
    }
    await lab.start(config(["kafi81c"], [route]))
    if is_troubled():
        address = lab.upstreams[0].ip.rpartition(".")[0].encode() + b".99"
        lab.store.put("servers", "i-0c4e11d7", OTHER_ENTRY % address)
        lab.record.write("an entry of another writer: service caf\\ud83d")
    await asyncio.sleep(STABLE_SECONDS + 5.0)
    for vm in lab.vms:
        known = await lab.resolve(vm, "andina", "bogota-a")
        lab.record.write(f"{vm.name} at {vm.ip} names {known}")
    for upstream in lab.upstreams:
        await upstream.crash()
    load = asyncio.create_task(send_load(lab))
    await asyncio.sleep(DOWN_SECONDS)
    for upstream in lab.upstreams:
        await upstream.restart(COLD_SECONDS)
    answers = await load
    for each in lab.vms:
        lines = lab.log_lines(each, "task_failed|member_dead")
        lab.record.write(f"{len(lines)} such lines in the log of {each.name}")
        for line in lines[:3]:
            lab.record.write(f"log of {each.name}: {line[:300]}")
    sent_at = {each.request_id: each.sent_at for each in answers}
    most = {upstream.id: find_most(upstream, sent_at) for upstream in lab.upstreams}
    served = sum(each.status == 200 for each in answers)
    lab.record.write(f"{len(answers)} requests, {served} with status 200")
    lab.record.write(
        f"most requests in one second at each cold upstream: {most}; "
        f"at most {MOST_IN_A_SECOND:g} are allowed"
    )
    return max(most.values()) <= MOST_IN_A_SECOND


async def send_load(lab):
    """Send requests at a steady rate to each machine; return the answers."""
    asked = []
    ends_at = time.monotonic() + LOAD_SECONDS
    while time.monotonic() < ends_at:
        for vm in lab.vms:
            asked.append(asyncio.create_task(send_one(lab, vm)))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    return await asyncio.gather(*asked)


async def send_one(lab, vm):
    """Send one request on a new connection; return its answer."""
    client = Client(vm.ip, lab.record, f"a client at {vm.name}")
    await client.connect()
    try:
        return await client.request("GET", "/lepu270/", 2000)
    finally:
        client.close()


def find_most(upstream, sent_at):
    """Return the most requests that were sent and arrived inside one second."""
    pairs = [
        (sent_at[request_id], arrived_at)
        for request_id, arrived_at, incarnation in upstream.runs
        if incarnation == upstream.id
    ]
    cold = [each for each in pairs if each[1] < upstream.cold_until[upstream.id]]
    return max(
        (
            sum(begin <= sent and arrived <= begin + 1.0 for sent, arrived in cold)
            for begin, _ in cold
        ),
        default=0,
    )


run_case(play)
