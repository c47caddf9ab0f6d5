"""A sick server is drained; a start from before is sent to it again and again."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet2 import BOUNDS, TROUBLE, new_id, play

MUTE_S = 0.3
SICK_S = 3.3
WORK_MS = 900
# Time from the ack of `draining` until the server leaves: over `drain_ms`.
LEAVES_AFTER_S = 3.0


async def case(fleet):
    sick = fleet.servers[0]
    # The machines have to be in touch: they ran undisturbed for `stable_window_ms`.
    await asyncio.sleep(3.5)
    until = {"mute": 0.0, "sick": 0.0}

    def answer(body):
        now = time.monotonic()
        if now < until["mute"]:
            return "lost"
        return "busy" if now < until["sick"] else "ok"

    if TROUBLE:
        now = time.monotonic()
        until.update(mute=now + MUTE_S, sick=now + SICK_S)
        sick.answer_start = answer
        fleet.record(f"{sick.instance}: turns sick for {SICK_S} s")
    jobs = [
        asyncio.create_task(
            fleet.submit(fleet.entries[i % 2], new_id(), WORK_MS, 2, wait_s=6.0)
        )
        for i in range(6)
    ]
    await asyncio.sleep(0.6)
    await sick.drain()
    await asyncio.sleep(LEAVES_AFTER_S)
    await sick.leave()
    await asyncio.gather(*jobs)
    await asyncio.sleep(1.0)
    bound = sick.acked_draining_at + BOUNDS["drain_ms"] / 1000
    return [
        f"DRAIN: task {run.task} run {run.run} was started on {sick.instance} "
        f"{run.began - sick.acked_draining_at:.2f} s after the ack of its draining"
        for run in sick.runs
        if run.began > bound
    ]


if __name__ == "__main__":
    play(Path(__file__).parent, case)
