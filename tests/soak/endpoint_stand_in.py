"""Stand-in for an endpoint; implements the endpoints' published protocol.

It reports each start and end of a run to a ledger, so that the soak can check
that no task ran in two places at the same time.
"""

import asyncio
import time

from http_stand_in import NoAnswer

MAX_LEASE_S = 1.0


class Endpoint:
    def __init__(self, name, zone, address, ledger):
        self.name, self.zone, self.address = name, zone, address
        self.ledger = ledger  # Records the runs of all endpoints.
        self.capacity = 16000  # Millicores.
        # ok, fail (every started run fails), hang (runs make no progress),
        # slow (new runs take five times as long), unresponsive (no answers,
        # runs continue), late (commands are executed 0.6 s later, without an
        # answer).
        self.mode = "ok"
        self.unreachable_from = set()  # Numbers of daemons that get no answer.
        self.start_incarnation()

    def start_incarnation(self):
        """Starts the endpoint with no state; runs and the token are lost."""
        self.started_at_ms = int(time.time() * 1000)
        self.clock_origin = time.monotonic()
        self.fencing_token = 0
        self.running = {}  # (task, attempt) -> run.
        # Task -> highest attempt that has ended or was stopped. Starts of it or
        # of a lower one are refused.
        self.max_closed_attempts = {}
        self.ended = []
        self.last_end_number = 0
        self.lease_end = 0.0
        self.end_reported = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.clock_origin) * 1000)

    def crash(self):
        """Ends all runs without reporting them and restarts the endpoint."""
        for key in list(self.running):
            self.end_run(key, "crashed", False)
        self.start_incarnation()

    def store_entry(self):
        return {"service": "desk", "address": self.address, "zone": self.zone,
                "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                "seq": self.clock_ms(), "labels": ["a", "rack1"],
                "capacity": {"cpu": self.capacity, "memMb": 64000, "gpu": 0},
                "born": self.started_at_ms}

    def end_run(self, key, outcome, is_reported=True):
        run = self.running.pop(key)
        self.ledger.record_end(key[0], self.name, run["begin"], outcome)
        self.max_closed_attempts[key[0]] = max(
            self.max_closed_attempts.get(key[0], 0), key[1])
        if not is_reported:
            return
        self.last_end_number += 1
        self.ended.append([self.last_end_number, key[0], key[1], outcome, ""])
        self.end_reported.set()
        self.end_reported = asyncio.Event()

    def end_due_runs(self):
        """Ends runs that have finished or whose lease has expired."""
        now = time.monotonic()
        for key, run in list(self.running.items()):
            if self.mode == "hang":
                run["end"] = max(run["end"], now + 0.02)
            if self.lease_end <= now:
                self.end_run(key, "lapsed")
            elif run["end"] <= now:
                self.end_run(key, run["how"])

    async def handle(self, daemon, path, body):
        """Handles a request of a daemon according to the endpoint's mode."""
        if self.mode == "unresponsive" or daemon in self.unreachable_from:
            await asyncio.sleep(3)
            raise NoAnswer()
        if self.mode == "late":
            asyncio.get_running_loop().call_later(
                0.6, lambda: self.execute_command(path, body))
            await asyncio.sleep(1)
            raise NoAnswer()
        answer = self.execute_command(path, body)
        if path == "/hold" and answer[0] == 200 and body.get("waitMs", 0):
            if not answer[1]["ended"]:
                try:
                    await asyncio.wait_for(self.end_reported.wait(),
                                           body["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, self.list_runs()
        return answer

    def execute_command(self, path, body):
        """Executes /run-start, /run-stop or /hold; returns (status, json)."""
        self.end_due_runs()
        if body["fenceToken"] < self.fencing_token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fencing_token = body["fenceToken"]
        if "deadlineMs" in body:
            requested_end = self.clock_origin + body["deadlineMs"] / 1000
            max_end = time.monotonic() + MAX_LEASE_S
            self.lease_end = max(self.lease_end, min(requested_end, max_end))
        if path == "/run-start":
            return self.start_run(body)
        if path == "/run-stop":
            key = (body["task"], body["attempt"])
            if key in self.running:
                self.end_run(key, "stopped")
            else:
                self.max_closed_attempts[key[0]] = max(
                    self.max_closed_attempts.get(key[0], 0), key[1])
            return 200, {"clockMs": self.clock_ms()}
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        return 200, self.list_runs()

    def start_run(self, body):
        """Starts a run; accepts a repeated start of a run in progress."""
        key = (body["task"], body["attempt"])
        refusal = None
        if key not in self.running:
            cpu, run_ms = (int(part) for part in body["spec"].split())
            used = sum(run["cpu"] for run in self.running.values())
            if self.max_closed_attempts.get(key[0], 0) >= key[1]:
                refusal = "old"
            elif self.lease_end <= time.monotonic():
                refusal = "late"
            elif used + cpu > self.capacity:
                refusal = "room"
        if refusal:
            return 409, {"clockMs": self.clock_ms(), "reason": refusal}
        if key not in self.running:
            now = time.monotonic()
            length = run_ms / 1000 * (5 if self.mode == "slow" else 1)
            outcome = "done"
            if self.mode == "fail":
                length, outcome = 0.025, "failed"
            self.running[key] = {"cpu": cpu, "begin": now, "end": now + length,
                                 "length": length, "how": outcome}
            self.ledger.record_start(key[0], self.name, now)
        return 200, {"clockMs": self.clock_ms()}

    def list_runs(self):
        """Returns the answer to /hold: active runs with percent, ended runs."""
        now = time.monotonic()
        rows = [[task, attempt, "", min(99, max(0, int(
            100 * (1 - (run["end"] - now) / max(run["length"], 0.001)))))]
            for (task, attempt), run in self.running.items()]
        return {"clockMs": self.clock_ms(), "running": rows,
                "ended": self.ended[:500], "born": self.started_at_ms}
