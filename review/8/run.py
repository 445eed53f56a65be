"""A worker crashes twice and is then lost for good. It was the only one of its kind, and a job that needs the kind waits for another."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import Client, Deployment, run_case  # noqa: E402

WORKERS = 15
# srv_crash: one worker of fifteen, twice for 0.6 s and then for good (gone).
CRASHES = 2
CRASH_S = 0.6
UP_S = 0.6
# Calm time in which the small jobs go on, before the job that lasts is handed in.
BEFORE_S = 8
# A task that lasts has to run 6 s after its last run, with 3 s and the 4 s before them calm.
AFTER_S = 14
NEEDS_KIND = {"count": 1, "cpu": 2000, "mem_mb": 500, "est_runtime_ms": 3000, "required_label": "b"}
LASTING_TASKS = 8
LASTS = {"count": LASTING_TASKS, "cpu": 1300, "mem_mb": 3400, "est_runtime_ms": 700, "long_running": True, "max_per_server": 1, "may_miss": 1}
SMALL = {"count": 2, "cpu": 900, "mem_mb": 1300, "est_runtime_ms": 640}


async def case(folder, repository, record, trouble):
    deployment = Deployment(folder, repository, record, worker_count=WORKERS, other_kind=(WORKERS - 1,))
    try:
        return await play(deployment, record, trouble)
    finally:
        await deployment.stop()


async def keep_submitting(deployment, client, ended):
    number = 0
    while not ended.is_set():
        number += 1
        await client.submit(deployment.nodes, f"/orders/d{number:015x}", {"spec": "ms:640", "steps": [SMALL]})
        await asyncio.sleep(0.3)


async def play(deployment, record, trouble):
    client, ended = Client(record), asyncio.Event()
    await deployment.start()
    if not await deployment.ready():
        record.write("the nodes were not ready in time")
        return 2
    await asyncio.sleep(2)
    submitting = asyncio.ensure_future(keep_submitting(deployment, client, ended))
    if not await client.submit(deployment.nodes, "/orders/a000000000000001", {"spec": "ms:3000", "steps": [NEEDS_KIND]}):
        return 2
    await asyncio.sleep(0.5)
    worker = deployment.workers[-1]
    for _ in range(CRASHES):
        if trouble:
            await worker.crash()
        await asyncio.sleep(CRASH_S)
        if trouble:
            await worker.start()
        await asyncio.sleep(UP_S)
    if trouble:
        await worker.crash()
        record.write("worker", worker.id, "is lost for good")
    # Three heartbeats of silence.
    await asyncio.sleep(4.5)
    if trouble:
        worker.remove_entry()
    await asyncio.sleep(BEFORE_S)
    if not await client.submit(deployment.nodes, "/orders/b000000000000002", {"spec": "lasts", "steps": [LASTS]}):
        return 2
    await asyncio.sleep(AFTER_S)
    broken = set(deployment.observations.violations)
    tasks = [f"b000000000000002.0.0.{index}" for index in range(LASTING_TASKS)]
    for task in tasks:
        if not deployment.observations.starts[task]:
            idle = sum(1 for other in deployment.workers if other.up and not other.hosts("b000000000000002"))
            broken.add(f"LOST: the lasting task {task} has no run after {AFTER_S} s, and {idle} sound workers have none of its step")
    ended.set()
    await submitting
    for text in sorted(broken):
        record.write("RULE BROKEN:", text)
    deployment.record_use()
    return 1 if broken else 0


run_case(case)
