"""Stand-ins for the platform's store, workers and clients, and a small fleet of
real daemons on loopback addresses. Used by the cases of the second review.

The stand-ins keep to the published protocol. All of them run on the event loop
of the case's process; the daemons are processes of their own, started with the
command of the deploy file. Everything that is sent, answered and run is written
to record.txt in the case's folder, one JSON object a line.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

BINARY = "target/apps/dogwoodfalld"
HOST = "desk.example"
MAX_HOLD_S = 1.0  # maxHoldMs
STOP_S = 0.01  # Time that a stop takes; stopTimeoutMs allows 50 ms.
LEASE_MIN_MS = 1000  # ttlMinMs
HEARTBEAT_S = 1.5  # heartbeatMs: period of a worker's writes to the store.


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class NoAnswer(Exception):
    """Closes the connection without an answer."""


class Record:
    """Writes events to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.began_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.began_at

    def add(self, event, **fields):
        self.file.write(json.dumps(
            {"at": round(self.now(), 3), "event": event, **fields}) + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message; returns (first line, headers, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


class Listener:
    """An HTTP server whose listener can be closed and opened again."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self.on_connection, self.ip, self.port)

    def refuse(self):
        """Resets the open connections and refuses new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, True))
                status, answer = await self.handle(
                    method, url.path, query, headers, json.loads(body or b"{}"))
                text = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (NoAnswer, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Relay:
    """Forwards TCP connections. Open ones can be silenced for good, without a
    reset; new ones work.
    """

    def __init__(self, ip, port, target):
        self.ip, self.port, self.target = ip, port, target
        self.connections = []

    async def open(self):
        self.server = await asyncio.start_server(
            self.on_connection, self.ip, self.port)

    def silence(self):
        """Silences the open connections; returns their number."""
        count = 0
        for connection in self.connections:
            count += connection["is_open"]
            connection["is_silent"] = True
        return count

    async def on_connection(self, reader, writer):
        connection = {"is_silent": False, "is_open": True}
        self.connections.append(connection)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self.forward(reader, far_writer, connection),
                self.forward(far_reader, writer, connection))
        finally:
            connection["is_open"] = False

    async def forward(self, reader, writer, connection):
        try:
            while data := await reader.read(65536):
                if not connection["is_silent"]:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        except asyncio.CancelledError:
            writer.close()
            raise
        if not connection["is_silent"]:
            writer.close()


class PeerRelay:
    """Forwards the daemons' traffic to one of them, at an address that all of
    them use. Cuts are silent: datagrams are dropped, streams are held back.
    """

    # Start of the first frame on a connection: its length, a magic number and
    # a version, which are skipped, and the length of the sender's id.
    FRAME_START = struct.Struct("<10xI")

    def __init__(self, fleet, name, port, relay_port):
        self.fleet, self.name = fleet, name
        self.port = port  # Of the daemon itself.
        self.relay_port = relay_port

    async def open(self):
        await asyncio.start_server(self.on_connection, "127.0.0.1",
                                   self.relay_port)
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.setblocking(False)
        self.datagrams.bind(("127.0.0.1", self.relay_port))
        asyncio.get_running_loop().add_reader(self.datagrams, self.on_datagram)

    def on_datagram(self):
        try:
            data, (_, port) = self.datagrams.recvfrom(65536)
            for source in self.fleet.relays.values():
                if source.port == port and not self.is_cut_from(source.name):
                    # The daemon knows the sender by its address.
                    source.datagrams.sendto(data, ("127.0.0.1", self.port))
        except OSError:
            pass

    def is_cut_from(self, source):
        return frozenset((source, self.name)) in self.fleet.cut_links

    async def on_connection(self, reader, writer):
        try:
            data = await reader.readexactly(self.FRAME_START.size)
            source = await reader.readexactly(
                self.FRAME_START.unpack(data)[0])
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.port)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
            return
        name = source.decode()
        await asyncio.gather(
            self.forward(reader, far_writer, name, data + source),
            self.forward(far_reader, writer, name))

    async def forward(self, reader, writer, source, data=b""):
        try:
            while data := data or await reader.read(65536):
                while self.is_cut_from(source):
                    await asyncio.sleep(0.02)
                writer.write(data)
                data = b""
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class ClientPath:
    """A client's connection to a daemon, which can break on the client's side
    while the daemon's side goes silent.
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.is_broken = asyncio.Event()
        self.writer = None

    async def call(self, method, path, body, deadline_ms):
        record = self.daemon.fleet.record
        record.add("request", daemon=self.daemon.name, method=method, path=path)
        reader, self.writer = await self.daemon.connect()
        text = json.dumps(body).encode()
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        answer = asyncio.create_task(read_message(reader))
        broken = asyncio.create_task(self.is_broken.wait())
        await asyncio.wait({answer, broken},
                           return_when=asyncio.FIRST_COMPLETED)
        is_answered = answer.done() and not answer.exception()
        record.add("answer" if is_answered else "connection_broken",
                   daemon=self.daemon.name, method=method, path=path)
        answer.cancel()
        broken.cancel()
        return is_answered

    def break_connection(self):
        self.is_broken.set()

    def close(self):
        if self.writer is not None:
            self.writer.close()


class Store:
    """The platform's store."""

    def __init__(self, record):
        self.record = record
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.last_lease = 10, 0
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("createRevision", self.revision)
        item = {"key": key, "value": value, "revision": self.revision,
                "createRevision": created, "lease": lease}
        self.items[key] = item
        self.add_event(item)

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.add_event({"key": key, "revision": self.revision, "removed": True})

    def add_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [l for l, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            for key in [k for k, i in self.items.items()
                        if i["lease"] == lease]:
                self.record.add("store_key_expired", key=key)
                self.remove(key)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/kv-range":
            items = [i for k, i in sorted(self.items.items())
                     if k.startswith(query["prefix"])
                     and k > query.get("after", "")]
            return 200, {"items": items[:500], "morePages": len(items) > 500,
                         "storeRevision": self.revision}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, storeRevision=self.revision)) if item else (
                404, {})
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            self.last_lease += 1
            ttl_ms = max(int(body["ttlMs"]), LEASE_MIN_MS)
            self.leases[self.last_lease] = (
                ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": self.last_lease, "ttlMs": ttl_ms}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl_ms = 0 if method == "DELETE" else self.leases[lease][0]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after
                      and e["key"].startswith(query["prefix"])]
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
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            self.put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Worker:
    """A worker. A task's spec is "CPU MS": what it needs and how long it takes.
    """

    def __init__(self, fleet, name, zone, ip, port, guarded=True):
        self.fleet, self.record = fleet, fleet.record
        self.name, self.zone, self.ip, self.port = name, zone, ip, port
        self.guarded = guarded
        # When above 0, orders get no answer and are carried out so much later.
        self.order_delay_s = 0.0
        self.capacity = 16000
        self.listener = Listener(ip, port, self.handle)
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.clock_began_at = time.monotonic()
        self.fence = 0
        self.lease_end = 0.0
        self.running = {}  # (task, attempt) -> run
        self.closed = {}  # task -> highest attempt that was stopped or ended
        self.ended, self.last_end = [], 0
        self.end_listed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.clock_began_at) * 1000)

    def entry(self, state="ready"):
        return {"service": "desk", "address": f"{self.ip}:{self.port}",
                "zone": self.zone, "version": "1", "slots": 8, "state": state,
                "coldLeftMs": 0, "seq": self.clock_ms(),
                "labels": ["a", "rack1"],
                "capacity": {"cpu": self.capacity, "memMb": 64000, "gpu": 0},
                "born": self.born}

    def end_run(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        run["timer"].cancel()
        self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
        self.last_end += 1
        self.ended.append([self.last_end, key[0], key[1], how, ""])
        self.fleet.on_end(self, key, how)
        self.end_listed.set()
        self.end_listed = asyncio.Event()

    def lapse(self):
        """Ends what runs when the lease has expired."""
        if self.lease_end <= time.monotonic():
            for key in list(self.running):
                self.end_run(key, "lapsed")

    async def handle(self, method, path, query, headers, body):
        if headers.get("expected-instance", self.name) != self.name:
            return 421, {}
        if self.order_delay_s:
            self.record.add("order_unanswered", worker=self.name, path=path,
                            **body)
            asyncio.get_running_loop().call_later(
                self.order_delay_s, self.execute_late, path, body)
            await asyncio.sleep(10)
            raise NoAnswer()
        answer = self.execute(path, body)
        if path == "/hold" and answer[0] == 200:
            if body.get("waitMs", 0) and not self.ended:
                try:
                    await asyncio.wait_for(self.end_listed.wait(),
                                           body["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, self.lists()
        return answer

    def execute_late(self, path, body):
        status, answer = self.execute(path, body)
        self.record.add("order_carried_out_late", worker=self.name, path=path,
                        status=status, reason=answer.get("reason"))

    def restart(self):
        """Crashes and starts again under the same id."""
        for key, run in list(self.running.items()):
            run["timer"].cancel()
            self.fleet.on_end(self, key, "crashed")
        self.begin_life()
        self.record.add("worker_restarted", worker=self.name)
        self.fleet.store.put_json("servers/" + self.name, self.entry())

    def execute(self, path, body):
        self.lapse()
        if body.get("fenceToken", 0) < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = body.get("fenceToken", 0)
        now = time.monotonic()
        if "deadlineMs" in body:
            asked = self.clock_began_at + body["deadlineMs"] / 1000
            self.lease_end = max(self.lease_end, min(asked, now + MAX_HOLD_S))
        if path == "/run-start":
            return self.start(body, now)
        if path == "/run-stop":
            key = (body["task"], body["attempt"])
            if key in self.running:
                asyncio.get_running_loop().call_later(
                    STOP_S, self.end_run, key, "stopped")
            else:
                self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
            return 200, {"clockMs": self.clock_ms()}
        self.ended = [e for e in self.ended if e[0] > body["lastSeen"]]
        return 200, self.lists()

    def start(self, body, now):
        key = (body["task"], body["attempt"])
        if key in self.running:
            return 200, {"clockMs": self.clock_ms()}
        cpu, run_ms = (int(part) for part in body["spec"].split())
        used = sum(run["cpu"] for run in self.running.values())
        reason = None
        if self.closed.get(key[0], 0) >= key[1]:
            reason = "old"
        elif self.lease_end <= now:
            reason = "late"
        elif self.guarded and used + cpu > self.capacity:
            reason = "room"
        if reason:
            return 409, {"clockMs": self.clock_ms(), "reason": reason}
        self.running[key] = {
            "cpu": cpu, "began_at": now, "length_s": run_ms / 1000,
            "timer": asyncio.get_running_loop().call_later(
                run_ms / 1000, self.finish, key)}
        self.fleet.on_start(self, key)
        return 200, {"clockMs": self.clock_ms()}

    def finish(self, key):
        self.lapse()
        self.end_run(key, "done")

    def lists(self):
        now = time.monotonic()
        rows = [[task, attempt, "",
                 min(99, int(100 * (now - run["began_at"]) / run["length_s"])),
                 run["cpu"]]
                for (task, attempt), run in self.running.items()]
        return {"clockMs": self.clock_ms(), "running": rows,
                "ended": self.ended[:500], "born": self.born}


class Daemon:
    """A daemon process."""

    def __init__(self, fleet, name, zone, port, store):
        self.fleet, self.name, self.zone, self.port = fleet, name, zone, port
        # Daemons accept each other by IP number, and the system connects to
        # every loopback address from this one.
        self.ip = "127.0.0.1"
        self.store = store  # Address at which it reaches the store.
        self.process = None

    async def start(self):
        f = self.fleet
        path = os.path.join(f.work, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({
                "fleet": True,
                "daemon": {"id": self.name, "zone": self.zone, "cores": 0.25},
                "callers": {"address": f"{self.ip}:{self.port}"},
                "readiness": {"address": f"{self.ip}:{self.port + 1}"},
                "operators": {"address": f"{self.ip}:{self.port + 2}"},
                "peers": {"port": self.port + 3},
                "metrics": {"port": self.port + 4},
                "store": {"address": self.store}}, file)
        with open(os.path.join(f.work, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                BINARY, "--settings", path, stdout=log, stderr=log)
        f.record.add("daemon_started", daemon=self.name)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.fleet.record.add("signal", daemon=self.name,
                                  signal=signal.Signals(number).name)
            self.process.send_signal(number)

    async def call(self, method, path, body=None, deadline_ms=None,
                   timeout_s=5.0, quiet=False):
        """Sends a request; returns (status, answer), (0, {}) without answer."""
        record = self.fleet.record
        headers = {"Host": HOST, "Content-Type": "application/json",
                   "Connection": "close"}
        if deadline_ms:
            headers["Deadline-Ms"] = str(deadline_ms)
        text = json.dumps(body).encode() if body is not None else b""
        if not quiet:
            record.add("request", daemon=self.name, method=method, path=path)
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.port), timeout_s)
            lines = [f"{method} {path} HTTP/1.1",
                     f"Content-Length: {len(text)}"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
            line, _, answer = await asyncio.wait_for(
                read_message(reader), timeout_s)
            result = int(line.split(" ")[1]), json.loads(answer or b"{}")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            result = 0, {}
        finally:
            if writer is not None:
                writer.close()
        if not quiet:
            record.add("answer", daemon=self.name, method=method, path=path,
                       status=result[0], body=result[1])
        return result

    async def connect(self):
        """Opens a connection for several requests; see call_on()."""
        return await asyncio.open_connection(self.ip, self.port)

    async def call_on(self, connection, method, path, timeout_s=5.0):
        """Sends a request without a body on an open connection."""
        reader, writer = connection
        self.fleet.record.add("request", daemon=self.name, method=method,
                              path=path)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                     f"Content-Length: 0\r\n\r\n".encode())
        line, _, answer = await asyncio.wait_for(read_message(reader),
                                                 timeout_s)
        result = int(line.split(" ")[1]), json.loads(answer or b"{}")
        self.fleet.record.add("answer", daemon=self.name, method=method,
                              path=path, status=result[0], body=result[1])
        return result

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.port + 1)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


class Fleet:
    """A small deployment. Notes overlapping runs of a task and broken limits.
    """

    def __init__(self, folder):
        self.record = Record(folder)
        self.work = tempfile.mkdtemp(prefix="dogwoodfall-case-")
        self.store = Store(self.record)
        self.store_listeners = []
        self.daemons, self.workers, self.tasks = [], [], []
        self.active = {}  # task -> {(worker, attempt): time of its start}
        self.starts = []  # (time, worker, task, attempt)
        self.overlaps = []  # Texts.
        self.cut_from_store = set()
        self.unlisted = set()  # Workers that write nothing to the store.
        self.net, self.port = self.find_addresses()
        self.relays = {}  # Daemon -> PeerRelay, with open_links().
        self.cut_links = set()  # Pairs of daemons.

    @staticmethod
    def find_addresses():
        """Returns the second byte of a loopback network, for the store and the
        workers, and a port from which on 100 ports are free.
        """
        for _ in range(50):
            net, port = random.randint(20, 250), random.randint(20000, 30000)
            try:
                for offset in range(100):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("127.0.0.1", port + offset))
                return net, port
            except OSError:
                continue
        raise CannotRun("no free ports")

    def on_start(self, worker, key):
        task, attempt = key
        now = self.record.now()
        self.record.add("run_started", worker=worker.name, task=task,
                        attempt=attempt)
        runs = self.active.setdefault(task, {})
        for (other, other_attempt), began_at in runs.items():
            text = (f"{task}: attempt {attempt} started on {worker.name} at "
                    f"{now:.3f} s while attempt {other_attempt} has run on "
                    f"{other} since {began_at:.3f} s")
            self.overlaps.append(text)
            self.record.add("overlap", text=text)
        runs[(worker.name, attempt)] = now
        self.starts.append((now, worker.name, task, attempt))

    def on_end(self, worker, key, how):
        task, attempt = key
        self.record.add("run_ended", worker=worker.name, task=task,
                        attempt=attempt, how=how)
        self.active.get(task, {}).pop((worker.name, attempt), None)

    async def open(self, daemons, workers, guarded=True, proxy_store=None,
                   timeout_ms=1500):
        """Starts daemons [(name, zone)] and workers [(name, zone)].

        @param proxy_store: returns the store's address for a daemon's name
        """
        if not os.access(BINARY, os.X_OK):
            raise CannotRun(f"{BINARY} is missing")
        store = Listener(f"127.{self.net}.3.1", self.port, self.store.handle)
        await store.open()
        self.store_listeners.append(store)
        self.write_configuration(1, ["/jobs/"], timeout_ms)
        for i, (name, zone) in enumerate(workers):
            worker = Worker(self, name, zone, f"127.{self.net}.2.{i + 1}",
                            self.port, guarded)
            await worker.listener.open()
            self.workers.append(worker)
            self.store.put_json("servers/" + name, worker.entry())
        for i, (name, zone) in enumerate(daemons):
            address = f"{store.ip}:{store.port}"
            if proxy_store:
                address = await proxy_store(name, store)
            daemon = Daemon(self, name, zone, self.port + 10 * (i + 1), address)
            self.daemons.append(daemon)
            await daemon.start()
        self.tasks.append(asyncio.create_task(self.keep_up()))
        await self.wait_until_ready()

    def write_configuration(self, version, prefixes, timeout_ms=1500):
        routes = [{"name": prefix.strip("/"), "host": HOST, "prefix": prefix,
                   "service": "desk", "priority": 0, "maxAttempts": 4,
                   "stretch": 1.6, "targetLatencyMs": 60,
                   "timeoutMs": timeout_ms}
                  for prefix in prefixes]
        self.store.put_json("op/config", {
            "version": version, "routes": routes, "limits": {},
            "services": [{"name": "desk", "admissionCheck": True}]})
        self.record.add("configuration_acknowledged", version=version,
                        prefixes=prefixes)

    async def keep_up(self):
        """Expires leases, and writes the workers' entries."""
        written_at = {}
        while True:
            await asyncio.sleep(0.005)
            self.store.expire()
            for worker in self.workers:
                worker.lapse()
                now = time.monotonic()
                if (worker.name not in self.unlisted
                        and now - written_at.get(worker.name, 0)
                        > HEARTBEAT_S):
                    written_at[worker.name] = now
                    self.store.put_json("servers/" + worker.name,
                                        worker.entry())

    async def open_links(self, names):
        """Puts relays between the daemons. To be called before open(), with
        proxy_store=fleet.serve_store.
        """
        for i, name in enumerate(names):
            port = self.port + 10 * (i + 1)
            self.relays[name] = PeerRelay(self, name, port + 3, port + 5)
            await self.relays[name].open()

    async def serve_store(self, name, store):
        """Opens the store for one daemon, which reads the ports of the relays
        in place of those of the daemons. Returns the store's address.
        """
        def rewrite(item):
            other = item.get("key", "").rsplit("/", 1)[-1]
            if "value" not in item or other not in self.relays:
                return item
            value = json.loads(base64.b64decode(item["value"]))
            value["tcp_port"] = value["udp_port"] = \
                self.relays[other].relay_port
            return dict(item, value=base64.b64encode(
                json.dumps(value).encode()).decode())

        async def handle(method, path, query, headers, body):
            if name in self.cut_from_store:
                await asyncio.sleep(10)
                raise NoAnswer()
            status, answer = await self.store.handle(
                method, path, query, headers, body)
            if name in self.cut_from_store:
                await asyncio.sleep(10)
                raise NoAnswer()
            for field in ("items", "events"):
                if field in answer:
                    answer = dict(answer, **{
                        field: [rewrite(item) for item in answer[field]]})
            return status, answer

        listener = Listener(
            f"127.{self.net}.5.{len(self.store_listeners) + 1}", self.port,
            handle)
        await listener.open()
        self.store_listeners.append(listener)
        return f"{listener.ip}:{listener.port}"

    def cut(self, name, is_cut):
        """Cuts a daemon off from the other daemons and the store, or ends that.
        """
        self.record.add("daemon_cut" if is_cut else "daemon_cut_over",
                        daemon=name)
        self.cut_off({name}, is_cut)

    def cut_zone(self, zone, is_cut):
        """Cuts the daemons of a zone off from those of the others and from the
        store, or ends that.
        """
        self.record.add("zone_cut" if is_cut else "zone_cut_over", zone=zone)
        self.cut_off({d.name for d in self.daemons if d.zone == zone}, is_cut)

    def cut_off(self, names, is_cut):
        pairs = {frozenset((a, b)) for a in names for b in self.relays
                 if b not in names}
        if is_cut:
            self.cut_links |= pairs
            self.cut_from_store |= names
        else:
            self.cut_links -= pairs
            self.cut_from_store -= names

    async def wait_until_ready(self, timeout_s=15):
        end = time.monotonic() + timeout_s
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{daemon.name} does not get ready")
                await asyncio.sleep(0.1)

    async def close(self):
        """Ends all daemons, tasks and connections."""
        for daemon in self.daemons:
            if daemon.process is None or daemon.process.returncode is not None:
                continue
            daemon.process.send_signal(signal.SIGCONT)
            daemon.process.send_signal(signal.SIGKILL)
            await daemon.process.wait()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        for listener in self.store_listeners + [
                worker.listener for worker in self.workers]:
            listener.refuse()
        await asyncio.sleep(0.1)
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.work, ignore_errors=True)


def job(count, cpu, run_ms, **step):
    """Returns the body of a job of one step that needs not be stored."""
    return {"spec": f"{cpu} {run_ms}", "bestEffort": True,
            "steps": [{"count": count, "cpu": cpu, "memMb": 64,
                       "estimateMs": run_ms, **step}]}


def new_id():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, play):
    """Runs a case. play(fleet, has_trouble) returns the list of breaches."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        fleet = Fleet(folder)
        try:
            return fleet, await asyncio.wait_for(play(fleet, has_trouble), 110)
        finally:
            await fleet.close()

    try:
        fleet, breaches = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in breaches:
        print("BROKEN", text)
    fleet.record.add("verdict", broken=len(breaches))
    print("rule broken" if breaches else "rule kept",
          "with trouble" if has_trouble else "without trouble")
    if os.environ.get("KEEP_LOGS"):
        print("logs:", fleet.work)
    sys.exit(1 if breaches else 0)
