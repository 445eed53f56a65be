"""One accepted recurring job, whose record outgrows the store's record_bytes, stops all jobs of all clients."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
from stage import run_case  # noqa: E402

RECURRING = "00000000000000aa"


def small_job(run_ms):
    """Two steps of one small task each."""
    return {
        "spec": str(run_ms),
        "steps": [
            {"count": 1, "cpu": 500, "mem_mb": 100, "est_runtime_ms": run_ms},
            {"count": 1, "cpu": 500, "mem_mb": 100, "est_runtime_ms": run_ms, "after": [0]},
        ],
    }


def recurring_job():
    """Each second an import of 60 s on half a core, and after it 4,000 small tasks. Occurrences overlap."""
    return {
        "spec": "60000,50",
        "steps": [
            {"count": 1, "cpu": 500, "mem_mb": 100, "est_runtime_ms": 60000},
            {"count": 4000, "cpu": 10, "mem_mb": 1, "est_runtime_ms": 50, "after": [0]},
        ],
        "max_runs": 20,
        "first_run_ms": int(time.time() * 1000) + 1000,
        "interval_ms": 1000,
    }


async def scenario(stage, trouble):
    # Accepted before the disruption; each has a second step whose turn comes about 12 s later.
    early = [f"{number:016x}" for number in range(1, 7)]
    for number, job in enumerate(early):
        if not await stage.submit(number % 3, job, small_job(12000)):
            return "an ordinary job was not accepted on a calm system"
    if trouble:
        if not await stage.submit(0, RECURRING, recurring_job()):
            stage.note("the recurring job is refused")
        else:
            stage.note("the recurring job is accepted")
    # 25 s for jobs of 24 s, and then half a minute more.
    deadline = time.monotonic() + 55
    open_jobs = list(early)
    while open_jobs and time.monotonic() < deadline:
        await asyncio.sleep(1.0)
        for number, job in enumerate(list(open_jobs)):
            status, answer = await stage.client(number % 3, "GET", job)
            if status == 200 and answer.get("state") == "completed":
                open_jobs.remove(job)
    late = "00000000000000bb"
    accepted = await stage.submit(1, late, small_job(100), seconds=8)
    running = sum(len(worker.running) for worker in stage.workers)
    stage.note(f"{len(open_jobs)} of {len(early)} accepted jobs are not completed; {running} tasks are running on {len(stage.workers)} workers; "
               f"a new small job is {'accepted' if accepted else 'not accepted'}; the store refused {stage.store.refused_records} records as too long")
    if open_jobs:
        return f"{len(open_jobs)} accepted jobs have had nothing running for over 20 s though their turn has come and the workers are idle"
    return None


run_case(9, scenario)
