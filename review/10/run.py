"""One worker of twelve fails all that it starts. A gang whose members are placed on it fails once, and its job is given up."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import CONFIGURATION, Client, Deployment, run_case  # noqa: E402

# srv_grey (errors): share 0.085, x 1.0, for 6.5 s.
WORKERS = 12
FAILING_S = 6.5
FINISH_S = 14
MEMBERS = 4
GANG = {"count": MEMBERS, "cpu": 2000, "mem_mb": 500, "est_runtime_ms": 1000, "gang": True}
ATTEMPTS = CONFIGURATION["routes"][0]["attempts"]


async def case(folder, repository, record, trouble):
    deployment = Deployment(folder, repository, record, worker_count=WORKERS)
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
    end = record.now() + FAILING_S
    if trouble:
        deployment.workers[0].fails_all = True
        record.write("worker w-0 fails all that it starts")
    jobs = []
    while record.now() < end:
        jobs.append(f"a{len(jobs) + 1:015x}")
        if not await client.submit(deployment.nodes, "/orders/" + jobs[-1], {"spec": f"gang:{MEMBERS}:1000", "steps": [GANG]}):
            return 2
        await asyncio.sleep(1.5)
    deployment.workers[0].fails_all = False
    record.write("worker w-0 works again")
    await asyncio.sleep(FINISH_S)
    broken = set(deployment.observations.violations)
    for name in jobs:
        status, content = await client.call(deployment.nodes[0], "GET", "/orders/" + name)
        members = [f"{name}.0.0.{index}" for index in range(MEMBERS)]
        most = max(deployment.observations.failed[member] for member in members)
        starts = max(deployment.observations.starts[member] for member in members)
        record.write("job", name, "had", starts, "runs of its gang, and none of its tasks had more than", most, "ends failed")
        if status == 200 and b"failed" in content and starts < ATTEMPTS:
            broken.add(f"LOST: the job {name} is shown as failed after {starts} runs of its gang, with {ATTEMPTS} attempts")
        if status == 410:
            broken.add(f"LOST: the job {name} is answered 410")
    for text in sorted(broken):
        record.write("RULE BROKEN:", text)
    return 1 if broken else 0


run_case(case)
