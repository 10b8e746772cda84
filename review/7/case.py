"""A start is carried out late on a worker that has restarted; see claim.txt."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins_2"))
from fleet import job, new_id, run_case  # noqa: E402

ROUNDS = 4
RETRANSMIT_S = 1.3  # retransmitMs
LATE_S = 2.0  # Orders are carried out 2 to 12 s late.
KILLED_AFTER_S = 0.95


async def send_other_jobs(fleet, daemon):
    """Sends small jobs all the time, which run in the south."""
    while True:
        await asyncio.sleep(0.04)
        fleet.tasks.append(asyncio.create_task(daemon.call(
            "POST", f"/jobs/{new_id()}", job(1, 500, 100), 1500, quiet=True)))


def count_orders(fleet, orders):
    """Counts the orders that reach the workers."""
    for worker in fleet.workers:
        async def handle(method, path, query, headers, body,
                         inner=worker.listener.handle, worker=worker):
            orders["all"] += 1
            orders["unanswered"] += worker.order_delay_s > 0
            return await inner(method, path, query, headers, body)
        worker.listener.handle = handle


async def play(fleet, has_trouble):
    await fleet.open(
        [("n1", "north"), ("s1", "south"), ("s2", "south"), ("e1", "east")],
        [(f"w{i}", "north" if i == 1 else "south") for i in range(1, 9)])
    north, south, other, _ = fleet.daemons
    orders = {"all": 0, "unanswered": 0}
    count_orders(fleet, orders)
    fleet.tasks.append(asyncio.create_task(send_other_jobs(fleet, other)))
    north_worker, south_workers = fleet.workers[0], fleet.workers[1:]
    for _ in range(ROUNDS):
        await asyncio.sleep(8)
        # The entries of workers are read at once, and then not for 0.4 s.
        for worker in south_workers:
            fleet.store.put_json("servers/" + worker.name, worker.entry())
        await asyncio.sleep(0.05)
        if has_trouble:
            north_worker.restart()
            north_worker.order_delay_s = LATE_S
        orders.update({"all": 0, "unanswered": 0})
        await asyncio.sleep(0.05)
        name = new_id()
        body = job(2, 6800, 1000)
        first = asyncio.create_task(
            north.call("POST", f"/jobs/{name}", body, 1500))
        await asyncio.sleep(KILLED_AFTER_S)
        if has_trouble:
            north.signal(signal.SIGKILL)
            await north.process.wait()
        north_worker.order_delay_s = 0.0
        fleet.record.add("orders_meanwhile", **orders)
        status, _ = await first
        if status == 0:
            await asyncio.sleep(RETRANSMIT_S)
            await south.call("POST", f"/jobs/{name}", body, 1500)
        await asyncio.sleep(1)
        if has_trouble:
            await north.start()
            await fleet.wait_until_ready()
    return fleet.overlaps


run_case(FOLDER, play)
