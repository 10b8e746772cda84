"""Fault soak: real daemons as processes, stand-ins of the platform in here.

usage: soak.py BINARY --seed N [--seconds S] [--daemons D] [--work FOLDER]

Faults come in series and overlap; what must hold is checked from what callers
and endpoints see. Exit 0 when all held. Every process is ended by its id.
"""

import argparse
import asyncio
import base64
import collections
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from endpoint_stand_in import Endpoint
from http_stand_in import call, serve
from links import link_ip, open_links, own_ip
from store_stand_in import MEMBERS, Store

ZONES = ("north", "south")
LIMIT_S = 1.5  # Callers stop waiting after this.
RESEND_S = 1.3  # A lost job is sent again after this.
CALM_S = 3.0  # Checks with a time bound hold this long after a fault.
CONFIG_S = 2.0  # A configuration is in force after this.
GRACE_S = 6.0  # A planned stop takes no longer.
MAX_ATTEMPTS = 3


class Ledger:
    """All runs that endpoints saw."""

    def __init__(self, soak):
        self.soak = soak
        self.active = collections.defaultdict(dict)
        self.ends = collections.defaultdict(collections.Counter)
        self.starts = collections.Counter()

    def started(self, task, endpoint, now):
        for other in self.soak.endpoints:
            other.advance()
        if self.active[task]:
            self.soak.violation(f"two runs of {task}: on {endpoint} and "
                                f"{list(self.active[task])}")
        self.active[task][endpoint] = now
        self.starts[task.split(".")[0]] += 1

    def ended(self, task, endpoint, _begin, how):
        self.active[task].pop(endpoint, None)
        self.ends[task][how] += 1


class Daemon:
    def __init__(self, number, zone, soak):
        self.number, self.zone, self.soak = number, zone, soak
        self.name = f"{zone}{number}"
        self.process = None
        self.life = 0
        self.last_fault = 0.0
        self.stop_sent = None
        self.is_paused = False
        self.version_seen = 0

    def settings(self):
        ip = own_ip(self.number)
        return {"fleet": True,
                "daemon": {"id": self.name, "zone": self.zone, "cores": 0.25},
                "callers": {"address": f"{ip}:{self.soak.callers_port}"},
                "readiness": {"address": f"{ip}:{self.soak.ready_port}"},
                "operators": {"address": f"{ip}:{self.soak.control_port}"},
                "peers": {"port": self.soak.peers_port},
                "metrics": {"port": self.soak.metrics_port},
                "store": {"address": f"{link_ip(self.number, 200)}:"
                                     f"{self.soak.platform_port}"}}

    async def start(self):
        path = os.path.join(self.soak.work, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.soak.work, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.soak.binary, "--settings", path, stdout=log, stderr=log)
        log.close()
        self.life += 1
        self.stop_sent, self.is_paused, self.version_seen = None, False, 0
        self.touch()

    def touch(self):
        self.last_fault = time.monotonic()

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    def is_calm(self):
        store_fault = self.soak.last_store_fault
        return (self.is_up() and not self.is_paused and self.stop_sent is None
                and time.monotonic() - max(self.last_fault, store_fault) > CALM_S
                and self.soak.store.modes.get(self.number, "ok") == "ok")

    def signal(self, number):
        if self.is_up():
            self.process.send_signal(number)

    async def connect(self):
        return await asyncio.open_connection(own_ip(self.number),
                                             self.soak.callers_port)


class Soak:
    def __init__(self, options):
        self.binary = os.path.abspath(options.binary)
        # Faults draw from a series of their own, so that a seed gives the same
        # ones however many jobs the callers send.
        self.random = random.Random(options.seed)
        self.fault_random = random.Random(options.seed)
        self.seconds = options.seconds
        (self.callers_port, self.ready_port, self.control_port, self.peers_port,
         self.metrics_port, self.platform_port) = \
            range(options.first_port, options.first_port + 6)
        self.work = options.work or tempfile.mkdtemp(prefix="dogwoodfall-soak-")
        self.violations = []
        self.counts = collections.Counter()
        self.last_store_fault = 0.0
        self.store = Store(self.translate)
        self.daemons = [Daemon(i + 1, ZONES[i % 2], self)
                        for i in range(options.daemons)]
        self.ledger = Ledger(self)
        self.endpoints = [
            Endpoint(f"e{i}", ZONES[i % 2], str(i), self.ledger)
            for i in range(2 * options.daemons)]
        self.version = 20
        self.put_at = {}
        self.refused = []
        self.is_over = False

    def violation(self, text):
        self.violations.append(f"{time.monotonic() - self.begun:.3f} s: {text}")
        print("VIOLATION", self.violations[-1], flush=True)

    def translate(self, daemon, key, value):
        """Gives each daemon its own addresses of peers and endpoints."""
        if not key.startswith((MEMBERS, "servers/")):
            return value
        entry = json.loads(base64.b64decode(value))
        if key.startswith(MEMBERS):
            number = int(entry["ip"].rsplit(".", 1)[1])
            if number != daemon:
                entry["ip"] = link_ip(daemon, number)
        else:
            entry["address"] = \
                f"{link_ip(daemon, 100)}:" \
                f"{self.platform_port + 1 + int(entry['address'])}"
        return base64.b64encode(json.dumps(entry).encode()).decode()

    async def open(self):
        self.begun = time.monotonic()
        numbers = [daemon.number for daemon in self.daemons]
        self.links = await open_links(numbers, self.peers_port)
        for number in numbers:
            await serve(link_ip(number, 200), self.platform_port,
                        lambda m, p, q, b, n=number:
                        self.store.handle(n, m, p, q, b))
            for index, endpoint in enumerate(self.endpoints):
                await serve(link_ip(number, 100), self.platform_port + 1 + index,
                            lambda m, p, q, b, n=number, e=endpoint:
                            e.handle(n, p, b))
        self.put_configuration()
        for endpoint in self.endpoints:
            self.store.put_json("servers/" + endpoint.name, endpoint.entry())
        for daemon in self.daemons:
            await daemon.start()

    def put_configuration(self):
        self.version += self.fault_random.randint(1, 3)
        self.put_at[self.version] = time.monotonic()
        kept = sorted(self.put_at)[-2:]
        routes = [{"name": f"r{name}", "host": "desk.example",
                   "prefix": f"/{name}/", "service": "desk", "priority": 0,
                   "maxAttempts": MAX_ATTEMPTS, "stretch": 1.6,
                   "targetLatencyMs": 60, "timeoutMs": 5000}
                  for name in ["jobs"] + [f"v{version}" for version in kept]]
        self.store.put_json("op/config", {"version": self.version,
                                          "routes": routes, "services": [],
                                          "limits": {}})

    async def keep_platform(self):
        """Ends what is over, lapses leases, lists endpoints that live."""
        listed = {endpoint.name: 0.0 for endpoint in self.endpoints}
        while not self.is_over:
            await asyncio.sleep(0.005)
            self.store.expire()
            for endpoint in self.endpoints:
                endpoint.advance()
                key, now = "servers/" + endpoint.name, time.monotonic()
                if endpoint.mode == "dark":
                    if now - listed[endpoint.name] > 3:
                        self.store.remove(key)
                elif now - listed[endpoint.name] > 1:
                    listed[endpoint.name] = now
                    self.store.put_json(key, endpoint.entry())

    # Callers.

    async def caller(self):
        connections = {}
        while not self.is_over:
            await asyncio.sleep(self.random.uniform(0.02, 0.12))
            await self.send_job(connections)

    async def send_job(self, connections, daemon=None):
        job = f"{self.random.getrandbits(64):016x}"
        tasks = self.random.randint(1, 4)
        run_ms = self.random.choice((50, 100, 200, 400))
        cpu = self.random.randint(3000, 7000)
        body = json.dumps({
            "spec": f"{cpu} {run_ms}", "bestEffort": True,
            "steps": [{"count": tasks, "cpu": cpu, "memMb": 64,
                       "estimateMs": run_ms}]}).encode()
        for attempt in range(3):
            chosen = daemon or self.random.choice(
                [d for d in self.daemons if d.is_up()] or self.daemons)
            status, answer = await self.send(connections, chosen, job, body)
            self.counts[status] += 1
            if status == 200:
                self.check_end(job, tasks, answer)
            if status == 503 and attempt == 0:
                self.refused.append(job)
            if status not in (0, 504):
                return status
            await asyncio.sleep(RESEND_S)
        return 0

    async def send(self, connections, daemon, job, body):
        """Status 0 stands for a connection that ended without an answer."""
        begun, life = time.monotonic(), daemon.life
        headers = {"Host": "desk.example", "Deadline-Ms": "1500"}
        try:
            key = (daemon.number, life)
            if key not in connections:
                connections[key] = await daemon.connect()
            status, _, answer = await asyncio.wait_for(
                call(connections[key], "POST", f"/jobs/{job}", headers, body), 4)
        except asyncio.TimeoutError:
            connections.pop((daemon.number, life))[1].close()
            if daemon.is_calm():
                self.violation(f"{job} got no answer from {daemon.name}")
            return 0, {}
        except (OSError, asyncio.IncompleteReadError):
            connections.pop((daemon.number, life), None)
            self.check_cut(daemon, job, begun, life)
            return 0, {}
        waited = time.monotonic() - begun
        if waited > LIMIT_S + 0.5 and daemon.is_calm():
            self.violation(f"{job} waited {waited:.2f} s at {daemon.name}")
        return status, answer

    def check_end(self, job, tasks, answer):
        ends = [self.ledger.ends[f"{job}.0.0.{i}"] for i in range(tasks)]
        if answer.get("state") == "completed":
            if not all(end["done"] for end in ends):
                self.violation(f"{job} is completed without all its tasks")
        elif not any(end["failed"] >= MAX_ATTEMPTS for end in ends):
            self.violation(f"{job} is failed without cause: {ends}")

    def check_cut(self, daemon, job, begun, life):
        """A daemon without a fault but a planned stop answers what it read."""
        is_planned = daemon.stop_sent is not None and daemon.life == life
        had_fault = daemon.last_fault > begun - CALM_S
        if daemon.is_calm() and not had_fault:
            self.violation(f"{job} was cut off by {daemon.name}")
        if is_planned and not had_fault and time.monotonic() - begun > 0.2:
            self.violation(f"{job} was cut off by the stop of {daemon.name}")

    # Configuration.

    async def probe(self):
        while not self.is_over:
            await asyncio.sleep(0.25)
            for daemon in self.daemons:
                if daemon.is_up() and not daemon.is_paused:
                    await self.probe_daemon(daemon)

    async def probe_daemon(self, daemon):
        life, versions = daemon.life, sorted(self.put_at)[-3:]
        found = []
        try:
            connection = await asyncio.wait_for(daemon.connect(), 1)
            for version in versions:
                status, _, _ = await asyncio.wait_for(
                    call(connection, "GET", f"/v{version}/",
                         {"Host": "desk.example"}, b""), 1)
                found.append(status)
            connection[1].close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return
        if daemon.life != life or versions != sorted(self.put_at)[-3:]:
            return
        age = time.monotonic() - self.put_at[versions[-1]]
        if found[-1] == 200:
            daemon.version_seen = max(daemon.version_seen, versions[-1])
        elif daemon.version_seen == versions[-1] and found[-1] == 404:
            self.violation(f"{daemon.name} went back from {versions[-1]}")
        if age > CONFIG_S + 0.5 and daemon.is_calm():
            if found[-1] != 200 or (len(found) == 3 and found[0] != 404):
                self.violation(f"{daemon.name} has not {versions[-1]}: {found}")

    # Faults.

    async def faults(self):
        kinds = [self.kill, self.stop, self.pause, self.reload, self.cut_link,
                 self.cut_zone, self.reset_links, self.harm_store,
                 self.harm_endpoint, self.cut_endpoint, self.crash_endpoint,
                 self.change_configuration]
        running = []
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.fault_random.uniform(0.1, 1.5))
            kind = self.fault_random.choice(kinds)
            self.counts["fault " + kind.__name__] += 1
            running.append(asyncio.create_task(kind()))
        await asyncio.gather(*running)

    def pick(self):
        return self.fault_random.choice(self.daemons)

    async def kill(self):
        daemon = self.pick()
        daemon.touch()
        daemon.signal(signal.SIGKILL)
        await self.restart(daemon)

    async def restart(self, daemon):
        life = daemon.life
        if daemon.process is not None:
            await daemon.process.wait()
        await asyncio.sleep(self.fault_random.uniform(0.1, 2))
        if daemon.life == life and not daemon.is_up():
            await daemon.start()

    async def stop(self):
        daemon = self.pick()
        if not daemon.is_up() or daemon.is_paused or daemon.stop_sent:
            return
        began, life, fault = time.monotonic(), daemon.life, daemon.last_fault
        daemon.stop_sent = began
        daemon.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(daemon.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            if daemon.last_fault == fault:
                self.violation(f"{daemon.name} did not stop in time")
            daemon.signal(signal.SIGKILL)
            code = 0
        is_undisturbed = daemon.last_fault == fault and daemon.life == life
        if is_undisturbed and code not in (0, 1):
            self.violation(f"{daemon.name} ended its stop with {code}")
        await self.restart(daemon)

    async def pause(self):
        daemon = self.pick()
        if not daemon.is_up() or daemon.is_paused:
            return
        life, daemon.is_paused = daemon.life, True
        daemon.touch()
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(self.fault_random.uniform(0.2, 4))
        if daemon.life == life:
            daemon.signal(signal.SIGCONT)
            daemon.is_paused = False
            daemon.touch()

    async def reload(self):
        self.pick().signal(signal.SIGHUP)

    async def hold(self, links, mode):
        for link in links:
            link.mode = mode
            self.touch_ends(link)
        await asyncio.sleep(self.fault_random.uniform(0.3, 5))
        for link in links:
            link.mode = "ok"
            self.touch_ends(link)

    def touch_ends(self, link):
        for number in (link.a, link.b):
            self.daemons[number - 1].touch()

    async def cut_link(self):
        links = [self.fault_random.choice(list(self.links.values()))]
        if self.fault_random.random() < 0.5:
            links.append(links[0].back)
        await self.hold(links, self.fault_random.choice(("silent", "slow")))

    async def cut_zone(self):
        zone = self.fault_random.choice(ZONES)
        is_in = {d.number for d in self.daemons if d.zone == zone}
        for number in is_in:
            self.store.modes[number] = "down"
        await self.hold([link for (a, b), link in self.links.items()
                         if (a in is_in) != (b in is_in)], "silent")
        for number in is_in:
            self.store.modes[number] = "ok"

    async def reset_links(self):
        for link in self.links.values():
            link.reset()

    async def harm_store(self):
        mode = self.fault_random.choice(("down", "busy", "slow", "lose"))
        numbers = [daemon.number for daemon in self.daemons]
        one = [self.fault_random.choice(numbers)]
        chosen = self.fault_random.choice((numbers, one))
        for number in chosen:
            self.store.modes[number] = mode
        self.last_store_fault = time.monotonic()
        await asyncio.sleep(self.fault_random.uniform(0.5, 5))
        for number in chosen:
            self.store.modes[number] = "ok"
        self.last_store_fault = time.monotonic()

    async def harm_endpoint(self):
        endpoint = self.fault_random.choice(self.endpoints)
        endpoint.mode = self.fault_random.choice(("fail", "hang", "slow", "dark",
                                            "late"))
        await asyncio.sleep(self.fault_random.uniform(0.5, 6))
        endpoint.mode = "ok"

    async def cut_endpoint(self):
        endpoint, daemon = self.fault_random.choice(self.endpoints), self.pick()
        endpoint.cut_from.add(daemon.number)
        await asyncio.sleep(self.fault_random.uniform(0.3, 4))
        endpoint.cut_from.discard(daemon.number)

    async def crash_endpoint(self):
        self.fault_random.choice(self.endpoints).crash()

    async def change_configuration(self):
        self.put_configuration()

    # The whole run.

    async def recover(self):
        """With all faults over, every daemon serves again."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            if not daemon.is_up():
                await daemon.start()
        await asyncio.sleep(5)
        for daemon in self.daemons:
            if await self.send_job({}, daemon) != 200:
                self.violation(f"{daemon.name} does not serve after all faults")
        for job in self.refused:
            if self.ledger.starts[job]:
                self.violation(f"{job} was refused and has run")

    async def run(self):
        await self.open()
        background = [asyncio.create_task(work) for work in
                      [self.keep_platform(), self.probe()]]
        await asyncio.sleep(4)
        callers = [asyncio.create_task(self.caller())
                   for _ in range(3 * len(self.daemons))]
        try:
            await self.faults()
            await self.recover()
        finally:
            self.is_over = True
            for task in background + callers:
                task.cancel()
            for daemon in self.daemons:
                daemon.signal(signal.SIGCONT)
                daemon.signal(signal.SIGKILL)
                if daemon.process is not None:
                    await daemon.process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--first-port", type=int, default=23100)
    parser.add_argument("--work", help="folder for logs; a new one without")
    soak = Soak(parser.parse_args())
    asyncio.run(soak.run())
    print("seen:", dict(sorted(soak.counts.items(), key=str)))
    for text in soak.violations:
        print(text)
    if soak.violations:
        print("logs are kept in", soak.work)
        sys.exit(1)
    if not soak.counts[200]:
        print("nothing was served")
        sys.exit(1)
    shutil.rmtree(soak.work)
    print("held")


if __name__ == "__main__":
    main()
