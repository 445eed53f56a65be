"""More than 500 ends wait at a worker while the store is down: tasks whose ends are not among the 500 listed are run again."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
from stage import run_case  # noqa: E402

JOB = "00000000000000aa"
TASKS = 3300
DOWN_S = 4.5


async def scenario(stage, trouble):
    # Small tasks of 6 to 10.5 s, 0.014 cores each: 1,100 on each of the three workers, which have 16 cores.
    body = {"spec": "6000-10500", "steps": [{"count": TASKS, "cpu": 14, "mem_mb": 10, "est_runtime_ms": 8200}]}
    if not await stage.submit(0, JOB, body):
        return "the job was not accepted on a calm system"
    began = time.monotonic()
    while stage.starts < TASKS and time.monotonic() - began < 5:
        await asyncio.sleep(0.05)
    stage.note(f"{stage.starts} tasks were started within {time.monotonic() - began:.1f} s")
    await asyncio.sleep(max(0.0, began + 6.0 - time.monotonic()))
    if trouble:
        stage.store.busy = True
        stage.note("the store turns all calls away")
        await asyncio.sleep(DOWN_S)
        stage.note(f"ends that wait at the workers: {[len(worker.ended) for worker in stage.workers]}")
        stage.store.busy = False
        stage.note("the store answers again")
    deadline = time.monotonic() + 40
    while time.monotonic() < deadline:
        await asyncio.sleep(0.5)
        status, answer = await stage.client(1, "GET", JOB)
        if status == 200 and answer.get("state") in ("completed", "failed"):
            break
    await asyncio.sleep(2)
    for text in stage.repeated()[:20] + stage.overlaps[:20]:
        stage.note(text)
    stage.note(f"starts: {stage.starts} of {TASKS} tasks; repeated after their end: {len(stage.repeated())}; two at once: {len(stage.overlaps)}")
    if stage.repeated() or stage.overlaps:
        return f"{len(stage.repeated())} of {TASKS} tasks were started again after they had ended done, {len(stage.overlaps)} ran twice at once"
    return None


run_case(3, scenario)
