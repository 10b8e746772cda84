"""A small deployment on loopback: daemons, workers, a store and clients.

The daemons are processes of the project's own program, started with the command
of the deploy file. Workers, store and clients are stand-ins in this process.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

import http_messages
from store import Store
from worker import Worker

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "apps", "dogwoodfalld")
HOST = "desk.example"
HEARTBEAT_S = 1.5  # heartbeatMs
TIME_LIMIT_S = 1.5  # The clients' time limit.
RETRANSMIT_S = 1.3  # retransmitMs
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case can't be judged."""


def free_ports(count):
    """Returns ports that are free for TCP and UDP."""
    sockets, ports = [], []
    while len(ports) < count:
        stream = socket.socket()
        datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets += [stream, datagram]
        stream.bind(("127.0.0.1", 0))
        port = stream.getsockname()[1]
        try:
            datagram.bind(("127.0.0.1", port))
            ports.append(port)
        except OSError:
            pass
    for entry in sockets:
        entry.close()
    return ports


class Daemon:
    def __init__(self, name, zone, ports, deployment):
        self.name, self.zone, self.deployment = name, zone, deployment
        (self.front, self.readiness, self.control, self.peers,
         self.metrics) = ports
        self.process = None

    async def start(self):
        # The fields of deploy/settings.template.
        settings = {
            "fleet": True,
            "daemon": {"id": self.name, "zone": self.zone, "cores": 0.25},
            "callers": {"address": f"127.0.0.1:{self.front}"},
            "readiness": {"address": f"127.0.0.1:{self.readiness}"},
            "operators": {"address": f"127.0.0.1:{self.control}"},
            "peers": {"port": self.peers},
            "metrics": {"port": self.metrics},
            "store": {"address": f"127.0.0.1:{self.deployment.store_port}"}}
        path = os.path.join(self.deployment.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"),
                   "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--settings", path, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.deployment.record(f"{self.name} starts")

    def signal(self, number):
        self.deployment.record(
            f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def has_ended(self):
        return self.process is not None and self.process.returncode is not None


class Deployment:
    """`daemons`: rows of name and zone; `workers`: zone -> number of workers;
    `route`: fields of the only queue that replace the defaults.
    """

    def __init__(self, daemons, workers, route):
        self.begin = time.monotonic()
        self.lines = []
        self.record_path = os.environ["RECORD"]
        self.folder = tempfile.mkdtemp(prefix="dogwoodfall-review-")
        total = sum(workers.values())
        ports = free_ports(1 + total + 5 * len(daemons))
        self.store_port = ports.pop()
        self.store = Store(self.record)
        self.workers = [
            Worker(f"i-{zone}-{i}", zone, ports.pop(), self.record)
            for zone, count in workers.items() for i in range(count)]
        self.daemons = [
            Daemon(name, zone, [ports.pop() for _ in range(5)], self)
            for name, zone in daemons]
        self.route = dict(
            {"name": "r-plan", "host": HOST, "prefix": "/plan/",
             "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 60,
             "priority": 2, "service": "dispatch", "maxAttempts": 4,
             "stretch": 1.6}, **route)
        self.random = random.Random()
        self.background = []

    def record(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.lines.append((at - self.begin, text))

    def write_record(self):
        with open(self.record_path, "w", encoding="utf-8") as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at:9.3f} s  {text}\n")

    async def open(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is missing")
        await http_messages.serve(self.store_port, self.store.handle)
        for worker in self.workers:
            await http_messages.serve(worker.port, worker.handle)
            self.store.put_json("servers/" + worker.name, worker.entry())
        self.store.put_json("op/config", {
            "version": 7, "routes": [self.route], "limits": {},
            "services": [{"name": "dispatch", "healthPath": "/health",
                          "maxConns": 64, "admissionCheck": True}]})
        self.background.append(asyncio.create_task(self.beat()))
        for daemon in self.daemons:
            await daemon.start()
            await asyncio.sleep(0.1)
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons):
        """Waits until the daemons report that they are ready."""
        end = time.monotonic() + 10
        for daemon in daemons:
            status = 0
            while status != 200:
                if time.monotonic() > end:
                    raise CannotRun(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)
                status, _ = await http_messages.request(
                    daemon.readiness, "GET", "/ready", {}, b"", 1)
            self.record(f"{daemon.name} is ready")

    async def beat(self):
        """Writes the workers' entries and ends leases and runs that are due."""
        written_at = time.monotonic()
        while True:
            await asyncio.sleep(0.005)
            self.store.expire()
            for worker in self.workers:
                worker.advance()
            if time.monotonic() - written_at >= HEARTBEAT_S:
                written_at = time.monotonic()
                for worker in self.workers:
                    self.store.put_json("servers/" + worker.name,
                                        worker.entry())

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    async def call(self, daemon, method, job, body=b"",
                   time_limit_s=TIME_LIMIT_S):
        """Sends one request about a job; records it and its answer."""
        self.record(f"client: {method} {job} to {daemon.name}")
        status, answer = await http_messages.request(
            daemon.front, method, self.route["prefix"] + job,
            {"Host": HOST, "Deadline-Ms": str(int(time_limit_s * 1000))}, body,
            time_limit_s)
        self.record(f"client: {method} {job} to {daemon.name}: "
                    f"{status or 'no response'} {answer}")
        return status, answer

    def runs_of(self, job):
        """Returns all runs of a job: rows of (task, worker, begin, end)."""
        now = time.monotonic()
        return [(row[0], worker.name, row[2], row[3] or now)
                for worker in self.workers for row in worker.runs
                if row[0].startswith(job + ".")]

    async def close(self):
        for task in self.background:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process is not None and not daemon.has_ended():
                daemon.process.send_signal(signal.SIGKILL)
                await daemon.process.wait()
        self.write_record()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_body(count, cpu, run_ms, steps=1):
    """Returns a job whose steps run one after the other."""
    rows = [{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": run_ms}
            for _ in range(steps)]
    for number in range(1, steps):
        rows[number]["after"] = [number - 1]
    return json.dumps({"spec": f"{cpu} {run_ms}", "bestEffort": True,
                       "steps": rows}).encode()


def main(deployment, play):
    """Runs play(deployment), which returns a list of broken rules as text."""

    async def run():
        try:
            await deployment.open()
            broken = await play(deployment)
            for daemon in deployment.daemons:
                if daemon.has_ended():
                    raise CannotRun(f"{daemon.name} has ended")
            return broken
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # Also a fault of the stand-ins.
        print(f"can't run: {type(error).__name__}: {error}")
        sys.exit(2)
    for text in broken:
        print(text)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
