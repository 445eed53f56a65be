"""All processes of the system are killed, and while they are away gangs end and one of nine workers crashes and starts again."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import Client, Deployment, run_case  # noqa: E402

GANG_MS = 3000
KILL_AFTER_S = 1.8
# herd_kill: all processes, for 3.5 s.
AWAY_S = 3.5
# srv_crash: one of nine workers, for 1.5 s.
CRASH_AFTER_S = 3.3
CRASH_S = 1.5
# finish_s
FINISH_S = 14
GANG = {"count": 2, "cpu": 2000, "mem_mb": 500, "est_runtime_ms": GANG_MS, "gang": True, "max_per_server": 1}
NEXT = {"count": 1, "cpu": 2000, "mem_mb": 500, "est_runtime_ms": 300, "after": [0]}
JOBS = [f"a{number:015x}" for number in range(1, 4)]


async def case(folder, repository, record, trouble):
    deployment = Deployment(folder, repository, record)
    try:
        return await play(deployment, record, trouble)
    finally:
        await deployment.stop()


async def play(deployment, record, trouble):
    client = Client(record)
    await deployment.start()
    if not await deployment.ready():
        record.write("the nodes were not ready in time")
        return 2
    await asyncio.sleep(2)
    begin = record.now()
    for name in JOBS:
        if not await client.submit(deployment.nodes, "/orders/" + name, {"spec": f"gang:2:{GANG_MS};ms:300", "steps": [GANG, NEXT]}):
            return 2
    await asyncio.sleep(begin + KILL_AFTER_S - record.now())
    if trouble:
        for node in deployment.nodes:
            await node.kill()
    await asyncio.sleep(begin + CRASH_AFTER_S - record.now())
    if trouble:
        await deployment.workers[0].crash()
    await asyncio.sleep(CRASH_S)
    if trouble:
        await deployment.workers[0].start()
    await asyncio.sleep(begin + KILL_AFTER_S + AWAY_S - record.now())
    if trouble:
        for node in deployment.nodes:
            await node.start()
    await asyncio.sleep(FINISH_S)
    broken = set(deployment.observations.violations)
    for name in JOBS:
        status, content = await client.call(deployment.nodes[0], "GET", "/orders/" + name)
        gang_is_done = any(task.startswith(name + ".0.0.") for task in deployment.observations.done)
        if gang_is_done and not deployment.observations.starts[name + ".0.1.0"]:
            broken.add(f"LOST: nothing of the job {name} has run for 3 s, the turn of {name}.0.1.0 has come, and the workers are idle")
        if status == 410:
            broken.add(f"LOST: the job {name} is answered 410")
    for text in sorted(broken):
        record.write("RULE BROKEN:", text)
    return 1 if broken else 0


run_case(case)
