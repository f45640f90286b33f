"""Another writer's entry is written badly twice, and two upstreams leave."""

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab-2"))

from lab import Client, Lab, config, is_troubled, run_case  # noqa: E402

DRAIN_SECONDS = 2.0
STABLE_SECONDS = 3.0
#: For how long the upstream that left still serves; at times these are many seconds.
STAYS_SECONDS = 6.0
WORK_SECONDS = 0.4
UPSTREAMS = 16
#: An eighth of the upstreams; the site has ``scale_in`` for a share of 0.13 at once.
LEAVING = 2
REQUESTS_PER_SECOND = 20
OTHER_KEY = "i-0c4e11d7"


async def play():
    """Play the case in a new lab; return whether the rule held."""
    zones = {"bogota-a": "andina", "medellin-b": "andina"}
    lab = Lab(HERE, zones, {"bogota-a": 2, "medellin-b": 1})
    try:
        return await play_in(lab)
    finally:
        lab.stop()


async def play_in(lab):
    """Play the case; return whether the rule held."""
    for zone in ("bogota-a", "medellin-b") * (UPSTREAMS // 2):
        lab.add_upstream("kafi81c", zone, work_s=WORK_SECONDS)
    route = {
        "name": "r-1",
        "prefix": "/xapu221/",
        "kind": "unsafe",
        "service": "kafi81c",
    }
    await lab.start(config(["kafi81c"], [route]))
    other = {
        "service": "billing",
        "address": lab.upstreams[0].ip.rpartition(".")[0] + ".99:8080",
        "zone": "bogota-a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemaining": "0ms",
        "sequence": 4,
    }
    lab.store.put("servers", OTHER_KEY, json.dumps(other).encode())
    lab.record.write("an entry of another writer, for a service not named here")
    await asyncio.sleep(STABLE_SECONDS + 1.0)
    load = asyncio.create_task(send_load(lab))
    await asyncio.sleep(1.0)
    if is_troubled():
        del other["slots"]
        for _ in range(2):
            lab.store.put("servers", OTHER_KEY, json.dumps(other).encode())
            lab.record.write("the other writer writes its entry without slots")
            await asyncio.sleep(0.01)
    left = lab.upstreams[:LEAVING]
    for upstream in left:
        upstream.leave_registry()
    left_at = time.monotonic()
    await asyncio.sleep(STAYS_SECONDS)
    for upstream in left:
        await upstream.crash()
    answers = await load
    for each in lab.vms:
        for line in lab.log_lines(each, "task_failed|target_gone"):
            lab.record.write(f"log of {each.name}: {line[:300]}")
    sent_at = {each.request_id: each.sent_at for each in answers}
    run = {each: arrived_at for up in left for each, arrived_at, _ in up.runs}
    late = [
        arrived_at - left_at
        for request_id, arrived_at in run.items()
        if arrived_at > left_at + DRAIN_SECONDS and sent_at[request_id] > left_at
    ]
    served = sum(each.status == 200 for each in answers)
    cut = [each for each in answers if each.status != 200 and each.request_id in run]
    lab.record.write(
        f"{len(answers)} requests, {served} with status 200; {len(cut)} ran at an "
        f"upstream that ended, and got {[each.status for each in cut]}"
    )
    lab.record.write(
        f"{len(late)} requests reached an upstream later than {DRAIN_SECONDS} s after "
        f"its entry was removed, the last one after {max(late, default=0):.2f} s"
    )
    return not late


async def send_load(lab):
    """Send requests at a steady rate to each machine; return the answers."""
    asked = []
    ends_at = time.monotonic() + 1.0 + STAYS_SECONDS + 1.0
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
        return await client.request("POST", "/xapu221/", 2000, b"x" * 400)
    finally:
        client.close()


run_case(play)
