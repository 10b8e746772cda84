"""The platform's store as its published protocol describes it, for the soak.

Each daemon calls an address of its own, so the store knows who calls and can
fail for one daemon or for all.
"""

import asyncio
import base64
import json
import time

from http_stand_in import NoAnswer

MEMBERS = "dogwoodfall/members/"


class Store:
    def __init__(self, translate):
        """translate(daemon, key, value) gives the value that a daemon reads."""
        self.translate = translate
        self.items = {}
        self.history = []
        self.leases = {}
        self.revision = 10
        self.last_lease = 0
        self.changed = asyncio.Event()
        # Per daemon: ok, down (no answer), busy (503), slow, lose.
        self.modes = {}

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("createRevision", self.revision)
        item = {"key": key, "value": value, "revision": self.revision,
                "createRevision": created, "lease": lease}
        self.items[key] = item
        self.note(item)

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.note({"key": key, "revision": self.revision, "removed": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [id for id, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                self.remove(key)

    def seen_by(self, daemon, item):
        if "value" not in item:
            return item
        return dict(item, value=self.translate(daemon, item["key"], item["value"]))

    async def handle(self, daemon, method, path, query, body):
        mode = self.modes.get(daemon, "ok")
        if mode == "down":
            await asyncio.sleep(5)
            raise NoAnswer()
        if mode == "busy":
            return 503, {}
        await asyncio.sleep(0.25 if mode == "slow" else 0.002)
        answer = await self.answer(daemon, method, path, query, body)
        if mode == "lose":
            raise NoAnswer()
        return answer

    async def answer(self, daemon, method, path, query, body):
        if path == "/kv-range":
            chosen = [self.seen_by(daemon, item)
                      for key, item in sorted(self.items.items())
                      if key.startswith(query["prefix"])]
            return 200, {"items": chosen, "morePages": False,
                         "storeRevision": self.revision}
        if path == "/kv-watch":
            return await self.watch(daemon, query)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            self.last_lease += 1
            ttl = max(body["ttlMs"], 1000)
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl = 0 if method == "DELETE" else self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {}

    async def watch(self, daemon, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [self.seen_by(daemon, event) for event in self.history
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
