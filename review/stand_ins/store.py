"""Stand-in for the platform's metadata store.

`lose` may be set to a function (method, path, body) -> delay in s or None. A
write for which it returns a delay gets no answer and is executed after the
delay, if its condition still holds then.
"""

import asyncio
import base64
import json
import time

from http_messages import NoAnswer

ANSWER_S = 0.004
MIN_TTL_MS = 1000


class Store:
    def __init__(self, record):
        self.record = record
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.last_lease = 10, 0
        self.changed = asyncio.Event()
        self.lose = lambda method, path, body: None
        self.writes = self.lost_writes = 0

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("createRevision", self.revision)
        item = {"key": key, "value": value, "revision": self.revision,
                "createRevision": created, "lease": lease}
        self.items[key] = item
        self.notify(item)

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.notify({"key": key, "revision": self.revision,
                         "removed": True})

    def notify(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [number for number, (_, end) in self.leases.items()
                      if end <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items()
                    if item["lease"] == lease]:
            self.remove(key)

    def members(self):
        """Returns the daemons' items: name -> item with the value decoded."""
        prefix = "dogwoodfall/members/"
        return {key[len(prefix):]: dict(item, value=json.loads(
                    base64.b64decode(item["value"])))
                for key, item in self.items.items() if key.startswith(prefix)}

    async def handle(self, method, path, query, _headers, body):
        is_write = path in ("/kv-txn", "/kv-lease") or method == "DELETE"
        if is_write:
            self.writes += 1
            delay_s = self.lose(method, path, body)
            if delay_s is not None:
                self.lost_writes += 1
                asyncio.create_task(self.execute_late(delay_s, method, path,
                                                      query, body))
                raise NoAnswer()
        await asyncio.sleep(ANSWER_S)
        return await self.execute(method, path, query, body)

    async def execute_late(self, delay_s, method, path, query, body):
        await asyncio.sleep(delay_s)
        status, _ = await self.execute(method, path, query, body)
        self.record(f"store: {method} {path}, not answered, is executed "
                    f"{delay_s:.1f} s after its arrival: {status}")

    async def execute(self, method, path, query, body):
        self.expire()
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, storeRevision=self.revision)) if item \
                else (404, {})
        if path == "/kv-range":
            items = [item for key, item in sorted(self.items.items())
                     if key.startswith(query["prefix"])]
            return 200, {"items": items, "morePages": False,
                         "storeRevision": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            self.last_lease += 1
            ttl_ms = max(body["ttlMs"], MIN_TTL_MS)
            self.leases[self.last_lease] = (
                ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": self.last_lease, "ttlMs": ttl_ms}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"ttlMs": ttl_ms}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [event for event in self.history
                      if event["revision"] > after
                      and event["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return 412, {"items": [item] if "key" in item else []}
        for row in body.get("writes", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
