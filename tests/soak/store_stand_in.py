"""Stand-in for the platform's store; implements its published protocol.

Each daemon reaches the store at an address of its own. This identifies the
daemon that sent a request, so the store can fail for one daemon or for all.
"""

import asyncio
import base64
import json
import time

from http_stand_in import NoAnswer

MEMBERS = "dogwoodfall/members/"


class Store:
    def __init__(self, rewrite_value):
        """rewrite_value(daemon, key, value) returns what the daemon reads."""
        self.rewrite_value = rewrite_value
        self.items = {}
        self.history = []
        self.leases = {}  # Lease id -> (time to live in ms, expiry).
        self.revision = 10
        self.last_lease = 0
        self.changed = asyncio.Event()
        # Per daemon: ok, down (no answer), busy (503), slow (250 ms per
        # request), lose (executes the request, sends no answer).
        self.modes = {}

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("createRevision", self.revision)
        item = {"key": key, "value": value, "revision": self.revision,
                "createRevision": created, "lease": lease}
        self.items[key] = item
        self.record_event(item)

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.record_event({"key": key, "revision": self.revision,
                           "removed": True})

    def record_event(self, event):
        """Appends to the history and wakes all watches."""
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self):
        """Removes expired leases and the items attached to them."""
        now = time.monotonic()
        for expired in [lease for lease, (_, end) in self.leases.items()
                        if end < now]:
            del self.leases[expired]
            for key in [key for key, item in self.items.items()
                        if item["lease"] == expired]:
                self.remove(key)

    def rewrite_item(self, daemon, item):
        if "value" not in item:
            return item
        return dict(item, value=self.rewrite_value(daemon, item["key"],
                                                   item["value"]))

    async def handle(self, daemon, method, path, query, body):
        """Handles a request of a daemon according to the daemon's mode."""
        mode = self.modes.get(daemon, "ok")
        if mode == "down":
            await asyncio.sleep(5)
            raise NoAnswer()
        if mode == "busy":
            return 503, {}
        await asyncio.sleep(0.25 if mode == "slow" else 0.002)
        answer = await self.execute(daemon, method, path, query, body)
        if mode == "lose":
            raise NoAnswer()
        return answer

    async def execute(self, daemon, method, path, query, body):
        if path == "/kv-range":
            items = [self.rewrite_item(daemon, item)
                     for key, item in sorted(self.items.items())
                     if key.startswith(query["prefix"])]
            return 200, {"items": items, "morePages": False,
                         "storeRevision": self.revision}
        if path == "/kv-watch":
            return await self.watch(daemon, query)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            self.last_lease += 1
            ttl_ms = max(body["ttlMs"], 1000)
            self.leases[self.last_lease] = (ttl_ms,
                                            time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": self.last_lease, "ttlMs": ttl_ms}
        # Renews a lease, or ends it on DELETE.
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl_ms = 0 if method == "DELETE" else self.leases[lease][0]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {}

    async def watch(self, daemon, query):
        """Answers with the events after a revision; waits if there are none."""
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [self.rewrite_item(daemon, event) for event in self.history
                      if event["revision"] > after
                      and event["key"].startswith(query["prefix"])]
            remaining = end - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        """Checks preconditions and leases first, then applies all changes."""
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
