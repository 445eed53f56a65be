"""Two waves of upkeep at a time, for two of the three workers of a service: a task that lasts is stopped and not started again."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
from stage import run_case  # noqa: E402

JOB = "00000000000000aa"
TASKS = 5
DURATION_S = 26.0
# A task that lasts has to run again 6 s after its last run.
BACK_S = 6.0


async def scenario(stage, trouble):
    step = {"count": TASKS, "cpu": 1300, "mem_mb": 3400, "est_runtime_ms": 700, "long_running": True, "max_per_server": 2, "may_miss": 1}
    if not await stage.submit(0, JOB, {"spec": "lasts", "steps": [step]}):
        return "the job was not accepted on a calm system"
    await asyncio.sleep(3.0)
    by_load = sorted(stage.workers, key=lambda worker: -len(worker.running))
    stage.note(f"tasks by machine: {[(worker.machine, len(worker.running)) for worker in by_load]}")
    if trouble:
        # Each wave has one machine; the worker with the most tasks and the one with the fewest.
        stage.write_wave(1, [by_load[0].machine], DURATION_S, 1)
        stage.write_wave(2, [by_load[-1].machine], DURATION_S, 1)
    missing_since = {}
    longest = {}
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        await asyncio.sleep(0.1)
        running = {task for worker in stage.workers for task in worker.running}
        for index in range(TASKS):
            task = f"{JOB}.0.0.{index}"
            if task in running:
                missing_since.pop(task, None)
            else:
                since = missing_since.setdefault(task, time.monotonic())
                longest[task] = max(longest.get(task, 0.0), time.monotonic() - since)
    stage.note(f"longest absence by task, in s: { {task: round(absence, 1) for task, absence in longest.items()} }")
    stage.note(f"tasks by machine at the end: {[(worker.machine, len(worker.running)) for worker in stage.workers]}")
    late = {task: absence for task, absence in longest.items() if absence > BACK_S + 3.0}
    if late:
        task, absence = max(late.items(), key=lambda item: item[1])
        return f"{task} has not been running for {absence:.0f} s, though a sound worker has room for it"
    return None


run_case(3, scenario)
