"""A rolling outage of the store's partitions, a quarter at a time, then the owner's process is killed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import Client, Deployment, run_case  # noqa: E402

OUTAGE_S = 3.0
# More than stable_window_ms.
CALM_S = 3.4
QUARTERS = (range(0, 8), range(8, 16), range(16, 24), range(24, 32))
MAX_SMALL_JOBS_READ = 5


def job(spec, count, **step):
    return {"spec": spec, "steps": [{"count": count, "cpu": 2000, "mem_mb": 500, "est_runtime_ms": 3000, **step}]}


LASTING = {"long_running": True, "max_per_server": 1, "may_miss": 1, "est_runtime_ms": 700}
BODIES = {"a000000000000001": job("ms:4000", 3), "b000000000000002": job("lasts", 3, **LASTING), "c000000000000003": job("ms:40000", 2),
          "e000000000000004": job("lasts", 2, **LASTING)}


async def case(folder, repository, record, trouble):
    deployment = Deployment(folder, repository, record)
    try:
        return await play(deployment, record, trouble)
    finally:
        await deployment.stop()


async def outage(deployment, record, parts, trouble):
    """The store answers 503 for a quarter of the partitions of the jobs' topic, and serves all else."""
    if trouble:
        record.write("store: partitions", parts.start, "to", parts.stop - 1, "of keyed.jobs answer 503")
        deployment.store.is_down = lambda topic, part: topic == "keyed.jobs" and part in parts
    await asyncio.sleep(OUTAGE_S)
    deployment.store.is_down = lambda topic, part: False
    if trouble:
        record.write("store: all partitions answer again")
    await asyncio.sleep(CALM_S)


async def keep_submitting(deployment, client, accepted, ended):
    """Small jobs, one after the other."""
    number = 0
    while not ended.is_set():
        number += 1
        name = f"d{number:015x}"
        if await client.submit(deployment.nodes, "/orders/" + name, job("ms:200", 1)):
            accepted.append(name)
        await asyncio.sleep(0.3)


async def play(deployment, record, trouble):
    client = Client(record)
    await deployment.start()
    if not await deployment.ready():
        record.write("the nodes were not ready in time")
        return 2
    await asyncio.sleep(1)
    ended, accepted, small_jobs, submitting = asyncio.Event(), [], [], None
    for name, parts in zip(BODIES, QUARTERS):
        if await client.submit(deployment.nodes, "/orders/" + name, BODIES[name]):
            accepted.append(name)
        submitting = submitting or asyncio.ensure_future(keep_submitting(deployment, client, small_jobs, ended))
        await outage(deployment, record, parts, trouble)
    ended.set()
    await submitting
    if len(accepted) < len(BODIES):
        record.write("not all jobs were accepted")
        return 2
    accepted += small_jobs[:MAX_SMALL_JOBS_READ]
    for name in accepted:
        await client.call(deployment.nodes[0], "GET", "/orders/" + name)
    if trouble:
        owner = deployment.owner()
        record.write("the owner is", owner.name)
        await owner.kill()
        await asyncio.sleep(0.5)
        await owner.start()
    # visible_ms and stable_window_ms are 3,000 each.
    await asyncio.sleep(8)
    broken = set()
    for name in accepted:
        for node in deployment.nodes:
            status, _ = await client.call(node, "GET", "/orders/" + name)
            if status == 410:
                broken.add(f"LOST: the accepted job {name} is answered 410 by {node.name}")
    broken |= set(deployment.observations.violations)
    for text in sorted(broken):
        record.write("RULE BROKEN:", text)
    deployment.record_store("keyed.jobs")
    return 1 if broken else 0


run_case(case)
