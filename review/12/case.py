"""A machine freezes with a client's submission in its socket. The client leaves and cancels; then the machine wakes."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))
import standin  # noqa: E402

FREEZE_S = 4.0
CLIENT_STAYS_S = 0.3
STEPS = [{"count": 4, "cpu": 1900, "mem_mb": 2700, "est_runtime_ms": 2100, "work_s": 2.1}]


async def cancel(world, node, job):
    """Cancels as a sound client does: again until the cancel is acknowledged. Returns when that was."""
    while True:
        answer = await world.call(node, "DELETE", job)
        if answer and (200 <= answer[0] < 300 or answer[0] == 410):
            return time.monotonic()
        await asyncio.sleep(0.2)


async def case(world, trouble):
    await world.begin(["a"] * 9)
    await asyncio.sleep(4.0)
    starts = {}
    world.on_start = lambda worker, task, run, step: starts.setdefault(task.split(".")[0], []).append((time.monotonic(), task))
    cancelled = {}
    for number in range(4):
        job = standin.job_id(number)
        others = [node for node in world.nodes if node is not world.owner()]
        frozen, second = others[number % len(others)], others[(number + 1) % len(others)]
        body = world.define(job, STEPS)
        if trouble:
            world.note("freeze", node=frozen["name"])
            frozen["process"].send_signal(signal.SIGSTOP)
            frozen_at = time.monotonic()
        # The client leaves before its deadline, and cancels.
        await world.call(frozen, "POST", job, CLIENT_STAYS_S, body)
        cancelled[job] = await cancel(world, second, job)
        if trouble:
            await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
            world.note("wakes", node=frozen["name"])
            frozen["process"].send_signal(signal.SIGCONT)
        await asyncio.sleep(5.0)
        await world.state(job)
    late = []
    for job, acknowledged in cancelled.items():
        for at, task in starts.get(job, []):
            if at - acknowledged > standin.CANCEL_MS / 1000:
                late.append("UNASKED: %s started %.2f s after the cancelling of its job was acknowledged" % (task, at - acknowledged))
    return late


standin.main(FOLDER, case)
