"""A receiver freezes. A client sends its job again to another zone, where it
runs. The receiver wakes and hands the old request to its scheduler.
"""

import asyncio
import signal

from deployment import (Deployment, RETRANSMIT_S, TIME_LIMIT_S, TROUBLE,
                        make_body, main)

FREEZE_S = 3.4  # 4.0 s at most in the site file.
JOBS = 6
TASKS, CPU, RUN_MS = 2, 6800, 900


async def submit(deployment, first, second, delay_s):
    """Sends a job; after no response or a 504 once more, 1,300 ms later."""
    await asyncio.sleep(delay_s)
    job, body = deployment.new_id(), make_body(TASKS, CPU, RUN_MS)
    status, _ = await deployment.call(first, "POST", job, body, TIME_LIMIT_S)
    if status in (0, 502, 504):
        await asyncio.sleep(RETRANSMIT_S)
        await deployment.call(second, "POST", job, body, TIME_LIMIT_S)
    return job


def find_double_runs(deployment, job):
    """Returns the pairs of runs of one task that overlap in time."""
    found = []
    runs = sorted(deployment.runs_of(job), key=lambda run: run[2])
    for i, (task, worker, begin, end) in enumerate(runs):
        for other_task, other_worker, other_begin, other_end in runs[i + 1:]:
            if task == other_task and other_begin < end:
                overlap_ms = 1000 * (min(end, other_end) - other_begin)
                found.append(
                    f"TWICE: {task} starts on {other_worker} while it runs on "
                    f"{worker}, both for {overlap_ms:.0f} ms")
    return found


async def play(deployment):
    await asyncio.sleep(5)
    members = deployment.store.members()
    in_bluff = sorted((daemon for daemon in deployment.daemons
                       if daemon.zone == "bluff"),
                      key=lambda daemon: members[daemon.name]["createRevision"])
    frozen = in_bluff[-1]  # The oldest daemon of a zone schedules its workers.
    other_zone = next(daemon for daemon in deployment.daemons
                      if daemon.zone == "riverton")
    warm_up = await asyncio.gather(*[
        deployment.call(daemon, "POST", deployment.new_id(),
                        make_body(TASKS, CPU, 200))
        for daemon in deployment.daemons])
    if any(status != 200 for status, _ in warm_up):
        raise RuntimeError(f"quiet jobs are not served: {warm_up}")
    if TROUBLE:
        frozen.signal(signal.SIGSTOP)
    jobs = [asyncio.create_task(submit(deployment, frozen, other_zone,
                                       0.05 + 0.1 * number))
            for number in range(JOBS)]
    await asyncio.sleep(FREEZE_S)
    if TROUBLE:
        frozen.signal(signal.SIGCONT)
    ids = await asyncio.gather(*jobs)
    await asyncio.sleep(1.5)
    return [text for job in ids for text in find_double_runs(deployment, job)]


main(Deployment([("edge-bluff-1", "bluff"), ("edge-bluff-2", "bluff"),
                 ("edge-riverton-1", "riverton")],
                {"bluff": 6, "riverton": 6}, {}), play)
