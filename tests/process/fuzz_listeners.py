"""Sends malformed input to the caller and peer listeners of a daemon.

Usage: fuzz_listeners.py SEED ROUNDS CALLERS_PORT PEER_TCP PEER_UDP OWN_UDP

OWN_UDP is the UDP port of a daemon that the platform lists but that does not
run, so that datagrams from there pass the check of the sender's address. The
inputs depend only on the seed. Prints the number of rounds; the caller of this
script checks that the daemon still serves.
"""

import json
import random
import socket
import struct
import sys

TIMEOUT_SECONDS = 5
FRAME_MAGIC = struct.pack("<I", 0x46574F44)


def valid_job(rng):
    return {
        "customer": rng.choice(["wharf", "depot", "nobody"]),
        "deadline_ms": 1000,
        "tasks": [{"id": f"t{i}", "kind": "k", "run_ms": 1, "memory_mb": 1,
                   "payload": "1"} for i in range(rng.randint(1, 3))],
    }


def unexpected_value(rng):
    return rng.choice([
        None, True, -1, 0, 2**63, 2**64, -2**63, 1e308, 1.5, "", "x" * 5000,
        "\u0000", [], {}, [[[[[[[[[[1]]]]]]]]]], {"a": {"b": {}}}])


def malformed_job(rng):
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
            target[key] = unexpected_value(rng)
    if rng.random() < 0.1:
        job["tasks"] = [{"id": "t", "kind": "k", "run_ms": 1, "memory_mb": 1}] * 1501
    return job


def mutate(rng, data):
    """Overwrites, deletes, inserts or truncates bytes at random positions."""
    data = bytearray(data)
    for _ in range(rng.randint(1, 8)):
        if not data:
            break
        kind = rng.randint(0, 3)
        position = rng.randrange(len(data))
        if kind == 0:
            data[position] = rng.randrange(256)
        elif kind == 1:
            del data[position:position + rng.randint(1, 20)]
        elif kind == 2:
            data[position:position] = rng.randbytes(rng.randint(1, 20))
        else:
            data = data[:position]
    return bytes(data)


def http_request_bytes(rng):
    path = rng.choice(["/v1/jobs", "/v1/requests", "/v1/ids", "/v1/submissions/x",
                       "/v1/submissions/%zz%00/cancel", "/", "/../etc", "/v1/jobs?a=b&wait_ms=-1",
                       "/v1/submissions/a@1?customer=wharf&wait_ms=99999999999999999999"])
    method = rng.choice(["POST", "GET", "PUT", "DELETE", "PATCH", "BREW"])
    body = rng.choice([
        lambda: json.dumps(malformed_job(rng)).encode(),
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
    data = http_request_bytes(rng)
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_SECONDS) as connection:
        connection.settimeout(0.02)
        try:
            connection.sendall(data)
            connection.recv(4096)
        except OSError:
            pass


def peer_frame_bytes(rng):
    """Returns random fields after a valid magic number, often mutated."""
    body = FRAME_MAGIC + struct.pack("<H", rng.choice([1, 1, 1, 2, 0]))
    for _ in range(rng.randint(0, 12)):
        body += rng.choice([
            lambda: struct.pack("<I", rng.choice([0, 1, 5, 2**31, 2**32 - 1])) + rng.randbytes(rng.randint(0, 9)),
            lambda: struct.pack("<I", 2) + b"d9" + struct.pack("<Q", rng.choice([1, 2**63])),
            lambda: struct.pack("<Q", rng.getrandbits(64)),
            lambda: bytes([rng.randrange(256)]),
        ])()
    return mutate(rng, body) if rng.random() < 0.5 else body


def send_peer_frames(rng, port):
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_SECONDS) as connection:
        try:
            for _ in range(rng.randint(1, 5)):
                body = peer_frame_bytes(rng)
                length = rng.choice([len(body)] * 5 + [2**32 - 1, 0, len(body) + 3])
                connection.sendall(struct.pack(">I", length) + body)
        except OSError:
            pass


def main():
    seed, rounds, callers, peer_tcp, peer_udp, own_udp = map(int, sys.argv[1:])
    rng = random.Random(seed)
    member_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    member_socket.bind(("127.0.0.1", own_udp))
    non_member_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    incomplete_requests = []
    for round_number in range(rounds):
        send_http(rng, callers)
        send_peer_frames(rng, peer_tcp)
        member_socket.sendto(peer_frame_bytes(rng), ("127.0.0.1", peer_udp))
        non_member_socket.sendto(peer_frame_bytes(rng), ("127.0.0.1", peer_udp))
        if round_number % 20 == 0 and len(incomplete_requests) < 30:
            connection = socket.create_connection(("127.0.0.1", rng.choice([callers, peer_tcp])), TIMEOUT_SECONDS)
            connection.sendall(b"POST /v1/jobs HT")
            incomplete_requests.append(connection)
    print(f"sent {rounds} rounds of malformed input for seed {seed}")


if __name__ == "__main__":
    main()
