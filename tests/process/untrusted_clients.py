"""Clients that are not controlled, against one running daemon.

Usage: untrusted_clients.py own|fleet lines|heads|bodies|unread|fuzz PID
                            CALLERS OPERATORS [OTHER PORTS]

With `fuzz`, only checks the daemon, after fuzz_requests.py.

Fails if the process has ended, if its peak resident memory or its number of
open descriptors has exceeded a bound, or if an ordinary request is not answered
while the clients' connections are open and after they have closed. With
`unread`, also if a listener doesn't answer the first ordinary request that it
gets while the connections are open. Checks neither times nor the share of
requests served.
"""

import http.client
import json
import os
import random
import select
import socket
import sys
import time

# 64 MB, the memory of the instance in the settings, less what the process takes
# apart from its listeners.
MAX_PEAK_KB = 48 * 1024
MAX_DESCRIPTORS = 256
CONNECTIONS = 100
# Time without progress of all clients after which the attack has ended.
QUIET_SECONDS = 2
# Only so that a test of a process that hangs ends.
MAX_WAIT_SECONDS = 60
PIECE = 16_384
# Clients that read no answers: connections to the callers' listener and to each
# other one, and requests on each of them.
UNREAD_CALLER_CONNECTIONS = 100
UNREAD_CALLER_REQUESTS = 20_000
UNREAD_OTHER_CONNECTIONS = 50
UNREAD_OTHER_REQUESTS = 2_000


def lines_requests(rng):
    """Heads of legal size made of very many short or odd header lines."""
    head = b"POST /jobs/%016x HTTP/1.1\r\nHost: desk.example\r\n"
    kinds = [
        lambda i: b"a:b\r\n",
        lambda i: b"%x:\r\n" % i,
        lambda i: b"Host: h%d\r\n" % i,
        lambda i: b"Deadline-Ms: %d\r\n" % i,
        lambda i: b"x%x: \t v\r\n" % i,
        lambda i: b"a: b\r\n c%d\r\n" % i,
    ]
    for number in range(CONNECTIONS):
        kind = kinds[number % len(kinds)]
        lines = b"".join(kind(i) for i in range(20_000))
        data = head % rng.getrandbits(64) + lines
        # Half of the heads stop just short of their end.
        yield [data if number % 2 else data + b"Content-Length: 2\r\n\r\n{"]


def heads_requests(rng):
    """Heads over the limit or without end, and empty lines before a request."""
    for number in range(CONNECTIONS):
        kind = number % 5
        start = b"POST /jobs/%016x HTTP/1.1\r\n" % rng.getrandbits(64)
        if number % 20 == 7:
            # A query of 4,000 arguments in a request line without end.
            yield [b"GET /jobs/?" + b"a&" * 4_000 + b" HTTP/1.1"]
        elif kind == 0:
            yield [start] + [b"n%x: " % i + b"v" * 1_000 + b"\r\n"
                             for i in range(400)]
        elif kind == 1:
            yield [start + b"name: " + b"v" * 400_000]
        elif kind == 2:
            yield [b"GET /" + b"p" * 400_000]
        elif kind == 3:
            yield [b"\r\n" * 200_000]
        else:
            yield [start] + [b"a:b\r\n" * 3_000] * 30


def bodies_requests(rng):
    """Large bodies of legal size, most of them short of their end by a byte."""
    size = 999_999
    for number in range(CONNECTIONS):
        head = b"POST /jobs/%016x HTTP/1.1\r\nHost: desk.example\r\n" % (
            rng.getrandbits(64))
        length = b"Content-Length: %d\r\n\r\n" % size
        if number % 25 == 24:
            # A form, which could be parsed into a list of its fields.
            form = b"Content-Type: application/x-www-form-urlencoded\r\n"
            yield [head + form + length + (b"a=&" * 333_333)]
        elif number % 25 == 23:
            yield [head + length + b"[" * size]
        elif number % 25 == 22:
            yield [head + length + b"[" + b"[]," * 333_332 + b"1]"]
        elif number % 25 == 21:
            # Each chunk of one byte could take a buffer of its own.
            yield [head + b"Transfer-Encoding: chunked\r\n\r\n" +
                   b"1\r\nx\r\n" * 100_000]
        elif number % 4 == 3:
            chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
            yield [head + b"Transfer-Encoding: chunked\r\n\r\n"] + [chunk] * 243
        elif number % 2:
            yield [head + length] + [b"x" * 5_000] * 199 + [b"x" * 4_998]
        else:
            yield [head + length + b"x" * (size - 1)]


def unread_requests(callers, others):
    """Small requests one after the other, whose answers are not read.

    Yields the port of each connection with its pieces.
    """
    lines = b" HTTP/1.1\r\nHost: desk.example\r\n\r\n"
    job = b"GET /jobs/0000000000000001" + lines
    for _ in range(UNREAD_CALLER_CONNECTIONS):
        yield callers, [job * UNREAD_CALLER_REQUESTS]
    for port in others:
        for _ in range(UNREAD_OTHER_CONNECTIONS):
            yield port, [(b"GET /metrics" + lines) * UNREAD_OTHER_REQUESTS]


class Client:
    """A connection that sends its pieces and never reads an answer."""

    def __init__(self, port, pieces):
        self.pieces = [memoryview(piece) for piece in pieces]
        self.connection = socket.create_connection(("127.0.0.1", port), 10)
        self.connection.setblocking(False)

    def send(self):
        """Sends what the connection takes at once."""
        try:
            count = self.connection.send(self.pieces[0][:PIECE])
            self.pieces[0] = self.pieces[0][count:]
            if not self.pieces[0]:
                self.pieces.pop(0)
        except BlockingIOError:
            pass
        except OSError:
            self.pieces = []  # Closed by the daemon.


def add_ports(requests, callers, operators):
    """Sends every fourth of the requests to the operators."""
    for number, pieces in enumerate(requests):
        yield (operators if number % 4 == 0 else callers), pieces


def run_clients(requests):
    """Sends all requests, each on a connection to its port, by turns."""
    clients = []
    for port, pieces in requests:
        try:
            clients.append(Client(port, pieces))
        except OSError:
            pass  # Refused by the daemon.
    while True:
        busy = {client.connection: client for client in clients if client.pieces}
        if not busy:
            break
        _, writable, _ = select.select([], list(busy), [], QUIET_SECONDS)
        if not writable:
            break
        for connection in writable:
            busy[connection].send()
    time.sleep(1)  # Lets the daemon read what was sent.
    return clients


def send_ordinary(kind, port, number):
    """Returns true if an ordinary request is answered as completed."""
    if kind == "own":
        path, body = "/v1/jobs", {
            "customer": "wharf", "deadline_ms": 5000,
            "tasks": [{"id": "a", "kind": "k", "run_ms": 1, "memory_mb": 1,
                       "payload": "1"}]}
    else:
        path, body = f"/jobs/{number:016x}", {
            "spec": "1000 10", "bestEffort": True,
            "steps": [{"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 10}]}
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request("POST", path, json.dumps(body),
                           {"Host": "desk.example"})
        answer = json.loads(connection.getresponse().read())
        return "complete" in (answer.get("status"), answer.get("state")) or (
            answer.get("state") == "completed")
    except (OSError, ValueError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def wait_for_answer(kind, port, rng):
    end = time.monotonic() + MAX_WAIT_SECONDS
    while time.monotonic() < end:
        if send_ordinary(kind, port, rng.getrandbits(64)):
            return True
        time.sleep(0.2)
    return False


def answers_get(port):
    """Returns true if a listener answers a request without an error."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request("GET", "/metrics")
        response = connection.getresponse()
        response.read()
        return response.status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def check_first_answers(kind, callers, others, rng):
    """Returns what listeners did not answer at the first attempt."""
    failures = [f"no first answer of port {port}"
                for port in others if not answers_get(port)]
    if not send_ordinary(kind, callers, rng.getrandbits(64)):
        failures.append("no first answer to a caller")
    return failures


def peak_memory_kb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    return 0


def main():
    kind, attack = sys.argv[1:3]
    pid, callers, *others = map(int, sys.argv[3:])
    rng = random.Random(1)
    failures = []
    if not wait_for_answer(kind, callers, rng):
        sys.exit("the daemon answers no request before the attack")
    before = peak_memory_kb(pid)
    if attack == "unread":
        requests = unread_requests(callers, others)
    else:
        requests = add_ports({"lines": lines_requests, "heads": heads_requests,
                              "bodies": bodies_requests,
                              "fuzz": lambda _: []}[attack](rng),
                             callers, others[0])
    clients = run_clients(requests)
    descriptors = 0
    try:
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        if attack == "unread":
            failures += check_first_answers(kind, callers, others, rng)
        if not wait_for_answer(kind, callers, rng):
            failures.append("no answer while the connections are open")
        for client in clients:
            client.connection.close()
        if not wait_for_answer(kind, callers, rng):
            failures.append("no answer after the connections have closed")
        peak = peak_memory_kb(pid)
    except OSError:
        peak = 0
    if peak == 0:
        failures.append("the process has ended")
    if peak > MAX_PEAK_KB:
        failures.append(f"the peak memory exceeds {MAX_PEAK_KB} kB")
    if descriptors > MAX_DESCRIPTORS:
        failures.append(f"more than {MAX_DESCRIPTORS} open descriptors")
    print(f"{kind} {attack}: peak {before} kB before, {peak} kB after; "
          f"{descriptors} descriptors; {'; '.join(failures) or 'passed'}")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
