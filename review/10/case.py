"""The open connections to the store go silent between two changes of the
configuration; see claim.txt.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins_2"))
from fleet import Relay, job, new_id, run_case  # noqa: E402

ROUNDS = 4
CONTACT_S = 3.0  # contactMs
APPLY_S = 2.0  # configApplyMs
CHANGE_GAP_S = 0.33  # Pause between two changes, as in config_storm.


async def play(fleet, has_trouble):
    relays = []

    async def open_relay(name, store):
        relay = Relay(f"127.{fleet.net}.4.{len(relays) + 1}", fleet.port,
                      (store.ip, store.port))
        await relay.open()
        relays.append(relay)
        return f"{relay.ip}:{relay.port}"

    await fleet.open([("d1", "north"), ("d2", "north"), ("d3", "north")],
                     [(f"w{i}", "north") for i in range(1, 5)],
                     proxy_store=open_relay)
    await asyncio.sleep(4)
    version = 1
    breaches = []

    async def probe(daemon, path, method, body, wrong, bound_at, text):
        sent_at = fleet.record.now()
        status, _ = await daemon.call(method, path, body, 1500)
        if status in wrong and sent_at > bound_at:
            breaches.append(
                f"{daemon.name} {text}: {method} {path} sent at {sent_at:.3f} "
                f"s, {sent_at - acknowledged_at:.2f} s after the "
                f"acknowledgement, was answered with {status}")

    for number in range(ROUNDS):
        # The first change adds a route, the second one replaces it.
        version += 3
        fleet.write_configuration(version, ["/jobs/", f"/old{number}/"])
        await asyncio.sleep(0.1)
        silenced_at = fleet.record.now()
        if has_trouble:
            for relay in relays:
                fleet.record.add("store_connections_silenced",
                                 relay=relay.ip, count=relay.silence())
        await asyncio.sleep(CHANGE_GAP_S - 0.1)
        version += 2
        fleet.write_configuration(version, ["/jobs/", f"/new{number}/"])
        acknowledged_at = fleet.record.now()
        # From then on the machines are in touch, and the change must be known.
        bound_at = max(acknowledged_at + APPLY_S, silenced_at + CONTACT_S)
        await asyncio.sleep(bound_at + 0.02 - fleet.record.now())
        probes = []
        while fleet.record.now() < bound_at + 0.8:
            for daemon in fleet.daemons:
                probes.append(asyncio.create_task(probe(
                    daemon, f"/new{number}/", "GET", None, (404,), bound_at,
                    "does not know the new route")))
                probes.append(asyncio.create_task(probe(
                    daemon, f"/old{number}/{new_id()}", "POST",
                    job(1, 500, 50), (200,), bound_at,
                    "ran a job of the dropped route")))
            await asyncio.sleep(0.05)
        await asyncio.gather(*probes)
        await asyncio.sleep(6)
    return breaches


run_case(FOLDER, play)
