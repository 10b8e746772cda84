"""An endpoint as its published protocol describes it, for the soak.

It keeps what it ran, so that the soak can check that no task ran in two places
at the same time.
"""

import asyncio
import time

from http_stand_in import NoAnswer

MAX_LEASE_S = 1.0


class Endpoint:
    def __init__(self, name, zone, address, ledger):
        self.name, self.zone, self.address = name, zone, address
        # Ledger of all endpoints: task -> [(endpoint, begin, end, how)].
        self.ledger = ledger
        self.capacity = 16000
        # ok, fail (all that starts fails), hang (no progress), slow, dark (no
        # answer, goes on), late (orders are carried out later, unanswered).
        self.mode = "ok"
        self.cut_from = set()
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.token = 0
        self.running = {}
        self.closed = {}
        self.ended = []
        self.last_end = 0
        self.lease_end = 0.0
        self.listed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000)

    def crash(self):
        for key in list(self.running):
            self.end(key, "crashed", False)
        self.begin_life()

    def entry(self):
        return {"service": "desk", "address": self.address, "zone": self.zone,
                "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                "seq": self.clock(), "labels": ["a", "rack1"],
                "capacity": {"cpu": self.capacity, "memMb": 64000, "gpu": 0},
                "born": self.born}

    def end(self, key, how, is_listed=True):
        run = self.running.pop(key)
        self.ledger.ended(key[0], self.name, run["begin"], how)
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        if not is_listed:
            return
        self.last_end += 1
        self.ended.append([self.last_end, key[0], key[1], how, ""])
        self.listed.set()
        self.listed = asyncio.Event()

    def advance(self):
        """Ends what is over by now."""
        now = time.monotonic()
        for key, run in list(self.running.items()):
            if self.mode == "hang":
                run["end"] = max(run["end"], now + 0.02)
            if self.lease_end <= now:
                self.end(key, "lapsed")
            elif run["end"] <= now:
                self.end(key, run["how"])

    async def handle(self, daemon, path, body):
        if self.mode == "dark" or daemon in self.cut_from:
            await asyncio.sleep(3)
            raise NoAnswer()
        if self.mode == "late":
            asyncio.get_running_loop().call_later(
                0.6, lambda: self.carry_out(path, body))
            await asyncio.sleep(1)
            raise NoAnswer()
        answer = self.carry_out(path, body)
        if path == "/hold" and answer[0] == 200 and body.get("waitMs", 0):
            if not answer[1]["ended"]:
                try:
                    await asyncio.wait_for(self.listed.wait(),
                                           body["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, self.lists()
        return answer

    def carry_out(self, path, body):
        self.advance()
        if body["fenceToken"] < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = body["fenceToken"]
        if "deadlineMs" in body:
            wanted = self.begun + body["deadlineMs"] / 1000
            most = time.monotonic() + MAX_LEASE_S
            self.lease_end = max(self.lease_end, min(wanted, most))
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            key = (body["task"], body["attempt"])
            if key in self.running:
                self.end(key, "stopped")
            else:
                self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
            return 200, {"clockMs": self.clock()}
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        return 200, self.lists()

    def start(self, body):
        key = (body["task"], body["attempt"])
        refusal = None
        if key not in self.running:
            cpu, run_ms = (int(part) for part in body["spec"].split())
            used = sum(run["cpu"] for run in self.running.values())
            if self.closed.get(key[0], 0) >= key[1]:
                refusal = "old"
            elif self.lease_end <= time.monotonic():
                refusal = "late"
            elif used + cpu > self.capacity:
                refusal = "room"
        if refusal:
            return 409, {"clockMs": self.clock(), "reason": refusal}
        if key not in self.running:
            now = time.monotonic()
            length = run_ms / 1000 * (5 if self.mode == "slow" else 1)
            how = "done"
            if self.mode == "fail":
                length, how = 0.025, "failed"
            self.running[key] = {"cpu": cpu, "begin": now, "end": now + length,
                                 "length": length, "how": how}
            self.ledger.started(key[0], self.name, now)
        return 200, {"clockMs": self.clock()}

    def lists(self):
        now = time.monotonic()
        rows = [[task, attempt, "", min(99, max(0, int(
            100 * (1 - (run["end"] - now) / max(run["length"], 0.001)))))]
            for (task, attempt), run in self.running.items()]
        return {"clockMs": self.clock(), "running": rows,
                "ended": self.ended[:500], "born": self.born}
