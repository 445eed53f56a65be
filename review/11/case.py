"""A gang ends while its two workers are cut off. One of them crashes behind the cut and starts again, and is reached first."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))
import standin  # noqa: E402

WORK_S = 4.0
STEPS = [
    {"count": 2, "cpu": 5700, "mem_mb": 8000, "est_runtime_ms": 4000, "gang": True, "max_per_server": 1, "work_s": WORK_S},
    {"count": 1, "cpu": 1900, "mem_mb": 2700, "est_runtime_ms": 1000, "after": [0], "work_s": 1.0},
]


async def case(world, trouble):
    await world.begin(["a"] * 9)
    await asyncio.sleep(4.0)
    gang = asyncio.get_running_loop().create_future()
    members = {}

    def on_start(worker, task, run, step):
        members[task] = worker
        if len(members) == 2 and not gang.done():
            gang.set_result(list(members.values()))

    world.on_start = on_start
    job = standin.job_id(1)
    await world.submit(job, STEPS)
    first, second = await asyncio.wait_for(gang, 5.0)
    if trouble:
        # Two cuts of 4.0 and 4.5 s; each hits one of nine workers.
        await asyncio.sleep(1.5)
        world.note("cut", worker=first.id)
        first.server.cut()
        await asyncio.sleep(1.0)
        world.note("cut", worker=second.id)
        second.server.cut()
        await asyncio.sleep(WORK_S - 2.5 + 0.3)
        # Both have ended their part as done, and could tell nobody.
        first.crash()
        await asyncio.sleep(0.7)
        await first.start()
        await asyncio.sleep(0.5)
        world.note("heals", worker=first.id)
        first.server.heal()
        first.beat()
        await asyncio.sleep(1.5)
        world.note("heals", worker=second.id)
        second.server.heal()
        second.beat()
    else:
        await asyncio.sleep(7.0)
    # The traffic is over. The job is asked for until finish_s have passed and longer; what runs is looked at meanwhile.
    idle_s, longest_s, state = 0.0, 0.0, ""
    for _ in range(250):
        await asyncio.sleep(0.1)
        idle_s = 0.0 if world.runs_of(job) else idle_s + 0.1
        longest_s = max(longest_s, idle_s)
        if _ % 10 == 0:
            state = await world.state(job)
            world.note("state", job=job, state=state, runs=world.runs_of(job))
            if state == "completed":
                return []
    return ["LOST: the job is %s, has had nothing running for %.1f s, and nothing else runs on the nine workers" % (state, idle_s)] if idle_s > 3.0 else []


standin.main(FOLDER, case)
