"""Fault soak of real daemon processes on stand-ins for the platform.

The stand-ins and the callers run inside this process.

Usage: soak.py BINARY --seed N [--seconds S] [--daemons D] [--first-port P]
               [--work FOLDER]

Faults are injected at random times and may overlap. The guarantees are checked
only from what callers and endpoints observe. The exit code is 0 if no check
failed and at least one request was answered with status 200. Every process is
ended by its process id.
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
from links import daemon_ip, link_ip, open_links, relay_ip
from store_stand_in import MEMBERS, Store

ZONES = ("north", "south")
# Deadline of a request, sent as Deadline-Ms. The platform's callers stop
# waiting then. The soak waits up to 4 s for an answer and reports one that is
# more than 0.5 s late.
CALLER_DEADLINE_S = 1.5
# A job that got no answer or a 504 is submitted again after this time.
RESUBMIT_DELAY_S = 1.3
# Checks with a time bound apply only if no fault occurred within this time.
RECOVERY_TIME_S = 3.0
CONFIGURATION_TIMEOUT_S = 2.0  # A written configuration is active by then.
SHUTDOWN_TIMEOUT_S = 6.0  # Max duration of a graceful shutdown.
MAX_ATTEMPTS = 3


class Ledger:
    """Records the starts and ends of runs that the endpoints report."""

    def __init__(self, soak):
        self.soak = soak
        # Task -> {endpoint: start time} of the runs in progress.
        self.active = collections.defaultdict(dict)
        # Task -> number of ended runs by outcome.
        self.outcomes = collections.defaultdict(collections.Counter)
        self.starts = collections.Counter()  # Job -> number of started runs.

    def record_start(self, task, endpoint, now):
        # Runs that are already over must not count as concurrent.
        for other in self.soak.endpoints:
            other.end_due_runs()
        if self.active[task]:
            self.soak.report_violation(
                f"concurrent runs of {task}: started on {endpoint} while "
                f"running on {list(self.active[task])}")
        self.active[task][endpoint] = now
        self.starts[task.split(".")[0]] += 1

    def record_end(self, task, endpoint, _begin, outcome):
        self.active[task].pop(endpoint, None)
        self.outcomes[task][outcome] += 1


class Daemon:
    """A daemon process and its faults, which decide what the checks excuse."""

    def __init__(self, number, zone, soak):
        self.number, self.zone, self.soak = number, zone, soak
        self.name = f"{zone}{number}"
        self.process = None
        self.incarnation = 0  # Number of the process, from 1.
        self.last_fault_at = 0.0
        self.stop_sent_at = None
        self.is_paused = False
        self.served_version = 0  # Max configuration version probed as active.

    def settings(self):
        ip = daemon_ip(self.number)
        return {"fleet": True,
                "daemon": {"id": self.name, "zone": self.zone, "cores": 0.25},
                "callers": {"address": f"{ip}:{self.soak.callers_port}"},
                "readiness": {"address": f"{ip}:{self.soak.ready_port}"},
                "operators": {"address": f"{ip}:{self.soak.operators_port}"},
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
        self.incarnation += 1
        self.stop_sent_at, self.is_paused, self.served_version = None, False, 0
        self.record_fault()

    def record_fault(self):
        """Records that a fault of this daemon begins or ends now."""
        self.last_fault_at = time.monotonic()

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    def is_expected_to_serve(self):
        """True if neither a fault nor a shutdown excuses a late answer."""
        store_fault_at = self.soak.last_store_fault_at
        return (self.is_up() and not self.is_paused
                and self.stop_sent_at is None
                and time.monotonic() - max(self.last_fault_at, store_fault_at)
                > RECOVERY_TIME_S
                and self.soak.store.modes.get(self.number, "ok") == "ok")

    def signal(self, number):
        if self.is_up():
            self.process.send_signal(number)

    async def connect(self):
        return await asyncio.open_connection(daemon_ip(self.number),
                                             self.soak.callers_port)


class Soak:
    def __init__(self, options):
        self.binary = os.path.abspath(options.binary)
        # Faults have their own random generator, so that the faults of a seed
        # do not depend on how many jobs the callers submit.
        self.caller_random = random.Random(options.seed)
        self.fault_random = random.Random(options.seed)
        self.seconds = options.seconds
        (self.callers_port, self.ready_port, self.operators_port,
         self.peers_port, self.metrics_port, self.platform_port) = \
            range(options.first_port, options.first_port + 6)
        self.work = options.work or tempfile.mkdtemp(prefix="dogwoodfall-soak-")
        self.violations = []
        self.counts = collections.Counter()
        self.last_store_fault_at = 0.0
        self.store = Store(self.rewrite_addresses)
        self.daemons = [Daemon(i + 1, ZONES[i % 2], self)
                        for i in range(options.daemons)]
        self.ledger = Ledger(self)
        self.endpoints = [
            Endpoint(f"e{i}", ZONES[i % 2], str(i), self.ledger)
            for i in range(2 * options.daemons)]
        self.version = 20
        self.version_written_at = {}  # Configuration version -> time.
        self.refused_jobs = []  # Jobs whose first submission got a 503.
        self.is_finished = False

    def report_violation(self, text):
        self.violations.append(
            f"{time.monotonic() - self.started_at:.3f} s: {text}")
        print("VIOLATION", self.violations[-1], flush=True)

    def rewrite_addresses(self, daemon, key, value):
        """Returns a store value with the addresses that this daemon must use.

        Daemons reach each other through relays at addresses valid for all of
        them. Each daemon reaches endpoints through its own link.
        """
        if not key.startswith((MEMBERS, "servers/")):
            return value
        entry = json.loads(base64.b64decode(value))
        if key.startswith(MEMBERS):
            entry["ip"] = relay_ip(int(entry["ip"].rsplit(".", 1)[1]))
        else:
            entry["address"] = \
                f"{link_ip(daemon, 100)}:" \
                f"{self.platform_port + 1 + int(entry['address'])}"
        return base64.b64encode(json.dumps(entry).encode()).decode()

    async def open(self):
        self.started_at = time.monotonic()
        numbers = [daemon.number for daemon in self.daemons]
        self.links = await open_links(
            {daemon.name: daemon.number for daemon in self.daemons},
            self.peers_port)
        for number in numbers:
            await serve(link_ip(number, 200), self.platform_port,
                        lambda method, path, query, body, daemon=number:
                        self.store.handle(daemon, method, path, query, body))
            for index, endpoint in enumerate(self.endpoints):
                await serve(link_ip(number, 100),
                            self.platform_port + 1 + index,
                            lambda method, path, query, body, daemon=number,
                            endpoint=endpoint:
                            endpoint.handle(daemon, path, body))
        self.write_configuration()
        for endpoint in self.endpoints:
            self.store.put_json("servers/" + endpoint.name,
                                endpoint.store_entry())
        for daemon in self.daemons:
            await daemon.start()

    def write_configuration(self):
        self.version += self.fault_random.randint(1, 3)
        self.version_written_at[self.version] = time.monotonic()
        kept = sorted(self.version_written_at)[-2:]
        routes = [{"name": f"r{name}", "host": "desk.example",
                   "prefix": f"/{name}/", "service": "desk", "priority": 0,
                   "maxAttempts": MAX_ATTEMPTS, "stretch": 1.6,
                   "targetLatencyMs": 60, "timeoutMs": 5000}
                  for name in ["jobs"] + [f"v{version}" for version in kept]]
        self.store.put_json("op/config", {"version": self.version,
                                          "routes": routes, "services": [],
                                          "limits": {}})

    async def update_platform(self):
        """Advances the stand-ins until the soak is finished.

        Ends runs and leases that are due. Writes the store entry of each
        endpoint every second; removes that of an unresponsive endpoint after
        3 s.
        """
        written_at = {endpoint.name: 0.0 for endpoint in self.endpoints}
        while not self.is_finished:
            await asyncio.sleep(0.005)
            self.store.expire_leases()
            for endpoint in self.endpoints:
                endpoint.end_due_runs()
                key, now = "servers/" + endpoint.name, time.monotonic()
                if endpoint.mode == "unresponsive":
                    if now - written_at[endpoint.name] > 3:
                        self.store.remove(key)
                elif now - written_at[endpoint.name] > 1:
                    written_at[endpoint.name] = now
                    self.store.put_json(key, endpoint.store_entry())

    # Callers.

    async def run_caller(self):
        """Submits jobs one after another until the soak is finished."""
        connections = {}
        while not self.is_finished:
            await asyncio.sleep(self.caller_random.uniform(0.02, 0.12))
            await self.submit_job(connections)

    async def submit_job(self, connections, daemon=None):
        """Submits a job, resubmitting it up to twice; returns the last status.

        Each submission goes to `daemon`, or to a random running daemon.
        Returns 0 if every submission got no answer or a 504.
        """
        job = f"{self.caller_random.getrandbits(64):016x}"
        task_count = self.caller_random.randint(1, 4)
        run_ms = self.caller_random.choice((50, 100, 200, 400))
        cpu = self.caller_random.randint(3000, 7000)
        body = json.dumps({
            "spec": f"{cpu} {run_ms}", "bestEffort": True,
            "steps": [{"count": task_count, "cpu": cpu, "memMb": 64,
                       "estimateMs": run_ms}]}).encode()
        for resubmissions in range(3):
            receiver = daemon or self.caller_random.choice(
                [d for d in self.daemons if d.is_up()] or self.daemons)
            status, answer = await self.send_request(
                connections, receiver, job, body)
            self.counts[status] += 1
            if status == 200:
                self.check_result(job, task_count, answer)
            if status == 503 and resubmissions == 0:
                self.refused_jobs.append(job)
            if status not in (0, 504):
                return status
            await asyncio.sleep(RESUBMIT_DELAY_S)
        return 0

    async def send_request(self, connections, daemon, job, body):
        """Sends one request; returns (status, answer).

        The status is 0 if no answer was received.
        """
        sent_at, incarnation = time.monotonic(), daemon.incarnation
        headers = {"Host": "desk.example", "Deadline-Ms": "1500"}
        try:
            key = (daemon.number, incarnation)
            if key not in connections:
                connections[key] = await daemon.connect()
            status, _, answer = await asyncio.wait_for(
                call(connections[key], "POST", f"/jobs/{job}", headers, body),
                4)
        except asyncio.TimeoutError:
            connections.pop((daemon.number, incarnation))[1].close()
            if daemon.is_expected_to_serve():
                self.report_violation(f"{job} got no answer within 4 s from "
                                      f"{daemon.name}")
            return 0, {}
        except (OSError, asyncio.IncompleteReadError):
            connections.pop((daemon.number, incarnation), None)
            self.check_dropped_request(daemon, job, sent_at, incarnation)
            return 0, {}
        waited = time.monotonic() - sent_at
        if waited > CALLER_DEADLINE_S + 0.5 and daemon.is_expected_to_serve():
            self.report_violation(f"{job} waited {waited:.2f} s for "
                                  f"{daemon.name}")
        return status, answer

    def check_result(self, job, task_count, answer):
        """Checks an answer against the task results that the endpoints saw.

        A completed job needs every task done. A failed job needs a task that
        failed in every attempt.
        """
        outcomes = [self.ledger.outcomes[f"{job}.0.0.{i}"]
                    for i in range(task_count)]
        if answer.get("state") == "completed":
            if not all(outcome["done"] for outcome in outcomes):
                self.report_violation(f"{job} is completed but not all tasks "
                                      f"are done")
        elif not any(outcome["failed"] >= MAX_ATTEMPTS for outcome in outcomes):
            self.report_violation(f"{job} is failed but no task failed "
                                  f"{MAX_ATTEMPTS} times: {outcomes}")

    def check_dropped_request(self, daemon, job, sent_at, incarnation):
        """Checks whether a connection may have ended without an answer.

        A daemon without faults must answer every request, also during a
        graceful shutdown. A shutdown may close connections whose request it
        has not read yet, so a request sent within the last 200 ms is excused.
        """
        is_stopping = (daemon.stop_sent_at is not None
                       and daemon.incarnation == incarnation)
        had_fault = daemon.last_fault_at > sent_at - RECOVERY_TIME_S
        if daemon.is_expected_to_serve() and not had_fault:
            self.report_violation(f"{job} got no answer: connection closed by "
                                  f"{daemon.name}")
        if is_stopping and not had_fault and time.monotonic() - sent_at > 0.2:
            self.report_violation(f"{job} got no answer: connection closed by "
                                  f"the graceful shutdown of {daemon.name}")

    # Configuration.

    async def probe_configurations(self):
        """Probes the active configuration of each running daemon."""
        while not self.is_finished:
            await asyncio.sleep(0.25)
            for daemon in self.daemons:
                if daemon.is_up() and not daemon.is_paused:
                    await self.probe_daemon(daemon)

    async def probe_daemon(self, daemon):
        """Checks that a daemon activates new versions and never reverts one.

        A configuration has one route for each of its last two versions, so a
        daemon with the newest version active answers 200 for these two and 404
        for the version before.
        """
        incarnation, versions = (daemon.incarnation,
                                 sorted(self.version_written_at)[-3:])
        statuses = []
        try:
            connection = await asyncio.wait_for(daemon.connect(), 1)
            for version in versions:
                status, _, _ = await asyncio.wait_for(
                    call(connection, "GET", f"/v{version}/",
                         {"Host": "desk.example"}, b""), 1)
                statuses.append(status)
            connection[1].close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return
        if (daemon.incarnation != incarnation
                or versions != sorted(self.version_written_at)[-3:]):
            return
        age = time.monotonic() - self.version_written_at[versions[-1]]
        if statuses[-1] == 200:
            daemon.served_version = max(daemon.served_version, versions[-1])
        elif daemon.served_version == versions[-1] and statuses[-1] == 404:
            self.report_violation(f"{daemon.name} reverted configuration "
                                  f"version {versions[-1]}")
        if (age > CONFIGURATION_TIMEOUT_S + 0.5
                and daemon.is_expected_to_serve()):
            if statuses[-1] != 200 or (len(statuses) == 3
                                       and statuses[0] != 404):
                self.report_violation(
                    f"{daemon.name} has not activated configuration version "
                    f"{versions[-1]}: probes of {versions} answered {statuses}")

    # Faults.

    async def inject_faults(self):
        """Starts faults at random times; returns when all of them are over."""
        kinds = [self.kill, self.stop, self.pause, self.reload,
                 self.degrade_link, self.partition_zone, self.reset_links,
                 self.degrade_store, self.degrade_endpoint,
                 self.partition_endpoint, self.crash_endpoint,
                 self.change_configuration]
        running = []
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.fault_random.uniform(0.1, 1.5))
            kind = self.fault_random.choice(kinds)
            self.counts["fault " + kind.__name__] += 1
            running.append(asyncio.create_task(kind()))
        await asyncio.gather(*running)

    def choose_daemon(self):
        return self.fault_random.choice(self.daemons)

    async def kill(self):
        daemon = self.choose_daemon()
        daemon.record_fault()
        daemon.signal(signal.SIGKILL)
        await self.restart(daemon)

    async def restart(self, daemon):
        """Starts a daemon some time after its process has ended."""
        incarnation = daemon.incarnation
        if daemon.process is not None:
            await daemon.process.wait()
        await asyncio.sleep(self.fault_random.uniform(0.1, 2))
        if daemon.incarnation == incarnation and not daemon.is_up():
            await daemon.start()

    async def stop(self):
        """Shuts a daemon down gracefully and starts it again."""
        daemon = self.choose_daemon()
        if not daemon.is_up() or daemon.is_paused or daemon.stop_sent_at:
            return
        stop_sent_at, incarnation, fault_at = (
            time.monotonic(), daemon.incarnation, daemon.last_fault_at)
        daemon.stop_sent_at = stop_sent_at
        daemon.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(daemon.process.wait(),
                                          SHUTDOWN_TIMEOUT_S)
        except asyncio.TimeoutError:
            if daemon.last_fault_at == fault_at:
                self.report_violation(f"{daemon.name} did not stop within "
                                      f"{SHUTDOWN_TIMEOUT_S} s")
            daemon.signal(signal.SIGKILL)
            code = 0
        is_fault_free = (daemon.last_fault_at == fault_at
                         and daemon.incarnation == incarnation)
        if is_fault_free and code not in (0, 1):
            self.report_violation(f"{daemon.name} exited with {code} after a "
                                  f"graceful shutdown")
        await self.restart(daemon)

    async def pause(self):
        daemon = self.choose_daemon()
        if not daemon.is_up() or daemon.is_paused:
            return
        incarnation, daemon.is_paused = daemon.incarnation, True
        daemon.record_fault()
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(self.fault_random.uniform(0.2, 4))
        if daemon.incarnation == incarnation:
            daemon.signal(signal.SIGCONT)
            daemon.is_paused = False
            daemon.record_fault()

    async def reload(self):
        self.choose_daemon().signal(signal.SIGHUP)

    async def disturb_links(self, links, mode):
        """Sets the mode of links for a random time."""
        for link in links:
            link.mode = mode
            self.record_link_fault(link)
        await asyncio.sleep(self.fault_random.uniform(0.3, 5))
        for link in links:
            link.mode = "ok"
            self.record_link_fault(link)

    def record_link_fault(self, link):
        for number in (link.source, link.target):
            self.daemons[number - 1].record_fault()

    async def degrade_link(self):
        """Silences or slows one link, or both links of a pair."""
        links = [self.fault_random.choice(list(self.links.values()))]
        if self.fault_random.random() < 0.5:
            links.append(links[0].reverse)
        await self.disturb_links(
            links, self.fault_random.choice(("silent", "slow")))

    async def partition_zone(self):
        """Cuts a zone's daemons off from the store and the other zone."""
        zone = self.fault_random.choice(ZONES)
        numbers = {d.number for d in self.daemons if d.zone == zone}
        for number in numbers:
            self.store.modes[number] = "down"
        await self.disturb_links(
            [link for (source, target), link in self.links.items()
             if (source in numbers) != (target in numbers)], "silent")
        for number in numbers:
            self.store.modes[number] = "ok"

    async def reset_links(self):
        for link in self.links.values():
            link.reset()

    async def degrade_store(self):
        """Makes the store fail for one daemon or for all."""
        mode = self.fault_random.choice(("down", "busy", "slow", "lose"))
        numbers = [daemon.number for daemon in self.daemons]
        single = [self.fault_random.choice(numbers)]
        affected = self.fault_random.choice((numbers, single))
        for number in affected:
            self.store.modes[number] = mode
        self.last_store_fault_at = time.monotonic()
        await asyncio.sleep(self.fault_random.uniform(0.5, 5))
        for number in affected:
            self.store.modes[number] = "ok"
        self.last_store_fault_at = time.monotonic()

    async def degrade_endpoint(self):
        endpoint = self.fault_random.choice(self.endpoints)
        endpoint.mode = self.fault_random.choice((
            "fail", "hang", "slow", "unresponsive", "late"))
        await asyncio.sleep(self.fault_random.uniform(0.5, 6))
        endpoint.mode = "ok"

    async def partition_endpoint(self):
        """Makes an endpoint unreachable for one daemon."""
        endpoint, daemon = (self.fault_random.choice(self.endpoints),
                            self.choose_daemon())
        endpoint.unreachable_from.add(daemon.number)
        await asyncio.sleep(self.fault_random.uniform(0.3, 4))
        endpoint.unreachable_from.discard(daemon.number)

    async def crash_endpoint(self):
        self.fault_random.choice(self.endpoints).crash()

    async def change_configuration(self):
        self.write_configuration()

    # Run of the whole soak.

    async def check_recovery(self):
        """Checks that every daemon serves again after all faults are over.

        Also checks that no task of a refused job has started.
        """
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            if not daemon.is_up():
                await daemon.start()
        await asyncio.sleep(5)
        for daemon in self.daemons:
            if await self.submit_job({}, daemon) != 200:
                self.report_violation(f"{daemon.name} does not serve after the "
                                      f"faults are over")
        for job in self.refused_jobs:
            if self.ledger.starts[job]:
                self.report_violation(f"{job} was refused with 503 but "
                                      f"{self.ledger.starts[job]} runs started")

    async def run(self):
        await self.open()
        background = [asyncio.create_task(work) for work in
                      [self.update_platform(), self.probe_configurations()]]
        await asyncio.sleep(4)
        callers = [asyncio.create_task(self.run_caller())
                   for _ in range(3 * len(self.daemons))]
        try:
            await self.inject_faults()
            await self.check_recovery()
        finally:
            self.is_finished = True
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
    parser.add_argument("--work", help="folder for settings and logs; "
                        "a new temporary one by default")
    soak = Soak(parser.parse_args())
    asyncio.run(soak.run())
    print("counts by status and fault:",
          dict(sorted(soak.counts.items(), key=str)))
    for text in soak.violations:
        print(text)
    if soak.violations:
        print("logs are kept in", soak.work)
        sys.exit(1)
    if not soak.counts[200]:
        print("no request was answered with status 200")
        sys.exit(1)
    shutil.rmtree(soak.work)
    print("no violation")


if __name__ == "__main__":
    main()
