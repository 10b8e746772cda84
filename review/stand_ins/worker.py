"""Stand-in for a worker: /run-start, /run-stop and /hold with leases.

A run takes as long as the spec of its task says, in ms. The worker guards its
capacity. It follows the protocol page; its clock runs at the right speed.
"""

import asyncio
import time

MAX_HOLD_S = 1.0  # maxHoldMs
STOP_S = 0.03  # A stop takes at most stopTimeoutMs, 50 ms.


class Worker:
    def __init__(self, name, zone, port, record):
        self.name, self.zone, self.port, self.record = name, zone, port, record
        self.capacity = {"cpu": 16000, "memMb": 65536, "gpu": 0}
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.seq = 0
        self.fence = 0
        self.lease_end = 0.0
        self.running = {}  # (task, attempt) -> run
        self.closed = {}  # Task -> highest attempt that ended or was stopped.
        self.ended = []
        self.last_end = 0
        self.end_listed = asyncio.Event()
        self.runs = []  # All runs: [task, attempt, begin, end, how].

    def entry(self):
        self.seq += 1
        return {"service": "dispatch", "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0, "capacity": self.capacity,
                "labels": ["a", f"r-{self.zone}"], "clockMs": self.clock_ms(),
                "born": self.born, "seq": self.seq}

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000)

    def advance(self):
        """Ends the runs that are done, stopped or without a lease."""
        now = time.monotonic()
        for key, run in list(self.running.items()):
            if self.lease_end <= now:
                self.end(key, "lapsed", self.lease_end)
            elif run["end"] <= now:
                self.end(key, run["how"], run["end"])

    def end(self, key, how, at):
        run = self.running.pop(key)
        self.close(*key)
        self.last_end += 1
        self.ended.append([self.last_end, key[0], key[1], how, ""])
        run["row"][3:] = [at, how]
        self.record(f"{self.name}: run of {key[0]} attempt {key[1]} ends, {how}",
                    at)
        self.end_listed.set()
        self.end_listed = asyncio.Event()

    def close(self, task, attempt):
        self.closed[task] = max(self.closed.get(task, 0), attempt)

    async def handle(self, _method, path, _query, headers, body):
        if headers.get("expected-instance", self.name) != self.name:
            return 421, {}
        answer = self.execute(path, body)
        wait_s = body.get("waitMs", 0) / 1000
        if path == "/hold" and answer[0] == 200:
            if wait_s and not answer[1]["ended"]:
                try:
                    await asyncio.wait_for(self.end_listed.wait(), wait_s)
                except asyncio.TimeoutError:
                    pass
            return 200, self.lists()
        return answer

    def execute(self, path, body):
        self.advance()
        if body.get("fenceToken", 0) < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fenceToken", 0)
        if path == "/run-start":
            return self.start(body)
        if path == "/run-stop":
            key = (body["task"], body["attempt"])
            self.close(*key)
            if key in self.running:
                run = self.running[key]
                if run["how"] != "stopped":
                    run["end"] = min(run["end"], time.monotonic() + STOP_S)
                    run["how"] = "stopped"
                asyncio.get_running_loop().call_later(STOP_S, self.advance)
            return 200, {"clockMs": self.clock_ms()}
        self.extend(body)
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        return 200, self.lists()

    def extend(self, body):
        """Takes a deadline; it never shortens the lease."""
        if "deadlineMs" in body:
            deadline = self.origin + body["deadlineMs"] / 1000
            self.lease_end = max(self.lease_end, min(
                deadline, time.monotonic() + MAX_HOLD_S))

    def start(self, body):
        key = (body["task"], body["attempt"])
        clock = {"clockMs": self.clock_ms()}
        if key in self.running:
            self.extend(body)
            return 200, clock
        if body["deadlineMs"] <= self.clock_ms():
            return 409, dict(clock, reason="late")
        self.extend(body)
        if self.closed.get(key[0], 0) >= key[1]:
            return 409, dict(clock, reason="old")
        cpu, run_ms = (int(part) for part in body["spec"].split())
        used = sum(run["cpu"] for run in self.running.values())
        if used + cpu > self.capacity["cpu"]:
            return 409, dict(clock, reason="room")
        now = time.monotonic()
        row = [key[0], key[1], now, None, None]
        self.runs.append(row)
        self.running[key] = {"cpu": cpu, "begin": now, "how": "done",
                             "end": now + run_ms / 1000,
                             "length": run_ms / 1000, "row": row}
        self.record(f"{self.name}: run of {key[0]} attempt {key[1]} starts")
        asyncio.get_running_loop().call_later(run_ms / 1000 + 0.001,
                                              self.advance)
        return 200, clock

    def lists(self):
        self.advance()
        now = time.monotonic()
        rows = [[task, attempt, "",
                 min(99, int(100 * (now - run["begin"]) / run["length"])),
                 run["cpu"]]
                for (task, attempt), run in self.running.items()]
        return {"clockMs": self.clock_ms(), "born": self.born, "running": rows,
                "ended": self.ended[:500]}
