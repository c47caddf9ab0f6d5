"""A report of another writer arrives beside each runner; later a final fault."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet2 import BOUNDS, TROUBLE, http, new_id, play


async def foreign_report(fleet, server):
    document = server.document()
    server._seq -= 1
    del document["address"]
    document.update(born=int(time.time() * 1000), seq_no=1)
    path = "/papayaward/instances/x-%08x" % random.getrandbits(32)
    status, _ = await http(server.machine.control, "PUT", path, document)
    fleet.record(
        f"report of another writer to {server.machine.name}, no address: {status}"
    )


async def served(fleet, seconds):
    sent = done = 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for entry in fleet.entries:
            sent += 1
            status, _ = await fleet.submit(entry, new_id(), 50, wait_s=3.0)
            done += status == 200
        await asyncio.sleep(0.2)
    fleet.record(f"served {done} of {sent}")
    return done / sent


async def case(fleet):
    await asyncio.sleep(3.5)
    before = await served(fleet, 3.0)
    if TROUBLE:
        for server in fleet.servers:
            await foreign_report(fleet, server)
    await asyncio.sleep(4.0)
    await served(fleet, 3.0)
    fleet.configure(9)
    for machine in fleet.machines:
        await machine.kill()
    await asyncio.sleep(1.0)
    for machine in fleet.machines:
        await machine.start()
    await asyncio.sleep(BOUNDS["recovery_s"])
    after = await served(fleet, 3.0)
    if before >= 0.25 and after < 0.25:
        return [
            f"RECOVER: {after:.0%} served after the final fault, {before:.0%} before it"
        ]
    return []


if __name__ == "__main__":
    play(Path(__file__).parent, case)
