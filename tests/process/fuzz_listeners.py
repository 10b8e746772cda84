"""Sends malformed input to a daemon's callers' and peers' listeners.

Usage: fuzz_listeners.py SEED ROUNDS CALLERS_PORT PEER_TCP PEER_UDP OWN_UDP

OWN_UDP is the UDP port of a member of the platform's list that does not run,
so that datagrams get past the check of addresses. Inputs depend on the seed
only. Prints what was sent; the caller of this script checks that the daemon
still serves.
"""

import json
import random
import socket
import struct
import sys

TIMEOUT_SECONDS = 5
MAGIC = struct.pack("<I", 0x46574F44)


def valid_job(rng):
    return {
        "customer": rng.choice(["wharf", "depot", "nobody"]),
        "deadline_ms": 1000,
        "tasks": [{"id": f"t{i}", "kind": "k", "run_ms": 1, "memory_mb": 1,
                   "payload": "1"} for i in range(rng.randint(1, 3))],
    }


def odd_value(rng):
    return rng.choice([
        None, True, -1, 0, 2**63, 2**64, -2**63, 1e308, 1.5, "", "x" * 5000,
        "\u0000", [], {}, [[[[[[[[[[1]]]]]]]]]], {"a": {"b": {}}}])


def odd_job(rng):
    job = valid_job(rng)
    for _ in range(rng.randint(1, 3)):
        tasks = job.get("tasks")
        has_tasks = isinstance(tasks, list) and tasks
        target = tasks[0] if has_tasks and rng.random() < 0.5 else job
        if not isinstance(target, dict):
            continue
        key = rng.choice(list(target) + ["id", "extra"])
        if rng.random() < 0.3:
            target.pop(key, None)
        else:
            target[key] = odd_value(rng)
    if rng.random() < 0.1:
        job["tasks"] = [{"id": "t", "kind": "k", "run_ms": 1, "memory_mb": 1}] * 1501
    return job


def mutate(rng, data):
    data = bytearray(data)
    for _ in range(rng.randint(1, 8)):
        if not data:
            break
        kind = rng.randint(0, 3)
        place = rng.randrange(len(data))
        if kind == 0:
            data[place] = rng.randrange(256)
        elif kind == 1:
            del data[place:place + rng.randint(1, 20)]
        elif kind == 2:
            data[place:place] = rng.randbytes(rng.randint(1, 20))
        else:
            data = data[:place]
    return bytes(data)


def http_bytes(rng):
    path = rng.choice(["/v1/jobs", "/v1/requests", "/v1/ids", "/v1/submissions/x",
                       "/v1/submissions/%zz%00/cancel", "/", "/../etc", "/v1/jobs?a=b&wait_ms=-1",
                       "/v1/submissions/a@1?customer=wharf&wait_ms=99999999999999999999"])
    method = rng.choice(["POST", "GET", "PUT", "DELETE", "PATCH", "BREW"])
    body = rng.choice([
        lambda: json.dumps(odd_job(rng)).encode(),
        lambda: b"[" * 5000,
        lambda: b"{\"customer\":" + b"9" * 400,
        lambda: rng.randbytes(rng.randint(0, 300)),
        lambda: b"x" * 1_200_000,
    ])()
    length = rng.choice([len(body)] * 4 + [0, 2**40, -1, 7])
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n".encode()
    data = head + body
    return mutate(rng, data) if rng.random() < 0.4 else data


def send_http(rng, port):
    data = http_bytes(rng)
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_SECONDS) as link:
        link.settimeout(0.02)
        try:
            link.sendall(data)
            link.recv(4096)
        except OSError:
            pass


def frame_bytes(rng):
    body = MAGIC + struct.pack("<H", rng.choice([1, 1, 1, 2, 0]))
    for _ in range(rng.randint(0, 12)):
        body += rng.choice([
            lambda: struct.pack("<I", rng.choice([0, 1, 5, 2**31, 2**32 - 1])) + rng.randbytes(rng.randint(0, 9)),
            lambda: struct.pack("<I", 2) + b"d9" + struct.pack("<Q", rng.choice([1, 2**63])),
            lambda: struct.pack("<Q", rng.getrandbits(64)),
            lambda: bytes([rng.randrange(256)]),
        ])()
    return mutate(rng, body) if rng.random() < 0.5 else body


def send_frames(rng, port):
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_SECONDS) as link:
        try:
            for _ in range(rng.randint(1, 5)):
                body = frame_bytes(rng)
                length = rng.choice([len(body)] * 5 + [2**32 - 1, 0, len(body) + 3])
                link.sendall(struct.pack(">I", length) + body)
        except OSError:
            pass


def main():
    seed, rounds, callers, tcp, udp, own_udp = map(int, sys.argv[1:])
    rng = random.Random(seed)
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.bind(("127.0.0.1", own_udp))
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    half_open = []
    for turn in range(rounds):
        send_http(rng, callers)
        send_frames(rng, tcp)
        datagrams.sendto(frame_bytes(rng), ("127.0.0.1", udp))
        stranger.sendto(frame_bytes(rng), ("127.0.0.1", udp))
        if turn % 20 == 0 and len(half_open) < 30:
            link = socket.create_connection(("127.0.0.1", rng.choice([callers, tcp])), TIMEOUT_SECONDS)
            link.sendall(b"POST /v1/jobs HT")
            half_open.append(link)
    print(f"sent {rounds} rounds of seed {seed}")


if __name__ == "__main__":
    main()
