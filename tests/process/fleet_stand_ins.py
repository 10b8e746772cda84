"""Runs the stand-ins of a store and of one endpoint for a fleet daemon.

Usage: fleet_stand_ins.py STORE_PORT ENDPOINT_PORT

The store has one route, from host desk.example and prefix /jobs/ to the
endpoint. Runs until it is killed.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
# pylint: disable=wrong-import-position
from endpoint_stand_in import Endpoint
from http_stand_in import serve
from store_stand_in import Store


class NoLedger:
    """Ignores the runs that the endpoint reports."""

    def record_start(self, task, endpoint, now):
        pass

    def record_end(self, task, endpoint, begin, outcome):
        pass


async def main():
    store_port, endpoint_port = map(int, sys.argv[1:])
    store = Store(lambda daemon, key, value: value)
    endpoint = Endpoint("e1", "north", f"127.0.0.1:{endpoint_port}", NoLedger())
    route = {"name": "jobs", "host": "desk.example", "prefix": "/jobs/",
             "service": "desk", "priority": 0, "maxAttempts": 3, "stretch": 1.6,
             "targetLatencyMs": 60, "timeoutMs": 5000}
    store.put_json("op/config", {"version": 1, "routes": [route],
                                 "services": [], "limits": {}})

    async def handle_store(method, path, query, body):
        return await store.handle(1, method, path, query, body)

    async def handle_endpoint(_method, path, _query, body):
        return await endpoint.handle(1, path, body)

    await serve("127.0.0.1", store_port, handle_store)
    await serve("127.0.0.1", endpoint_port, handle_endpoint)
    written_at = 0.0
    while True:
        store.expire_leases()
        endpoint.end_due_runs()
        if time.monotonic() - written_at > 1:
            written_at = time.monotonic()
            store.put_json("servers/e1", endpoint.store_entry())
        await asyncio.sleep(0.01)


asyncio.run(main())
