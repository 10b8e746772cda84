"""Sends valid and malformed HTTP requests, cut at any place, to a listener.

Usage: fuzz_requests.py SEED ROUNDS PORT

The bytes and the places where they are cut depend only on the seed. Each round
opens a connection and sends one to four requests on it. The caller of this
script checks that the daemon still serves.
"""

import random
import socket
import sys
import time

MAX_OPEN = 40


def random_text(rng, characters, max_length):
    return bytes(rng.choice(characters) for _ in range(rng.randint(0, max_length)))


def header_line(rng):
    name = rng.choice([b"Host", b"host", b"Expect", b"Content-Type", b"Deadline-Ms",
                       b"Connection", b"Transfer-Encoding", b"Content-Length", b"x", b"",
                       random_text(rng, b"abc-_ \t:", 12), b"n" * rng.choice([100, 9_000])])
    value = rng.choice([b"desk.example", b"100-continue", b"close", b"keep-alive", b"chunked",
                        b"application/x-www-form-urlencoded", b"multipart/form-data",
                        str(rng.choice([0, 1, -1, 7, 2**31, 2**64])).encode(), b"",
                        random_text(rng, bytes(range(256)), 40), b"v" * rng.choice([200, 9_000])])
    separator = rng.choice([b": "] * 5 + [b":", b" : ", b"", b":\t", b"::"])
    end = rng.choice([b"\r\n"] * 8 + [b"\n", b"\r", b"\r\n ", b"\r\n\t", b"\0\r\n"])
    return name + separator + value + end


def body_bytes(rng):
    """Returns the last header line and the body."""
    body = rng.choice([b"{}", b"[" * 50, b"a=&" * 100, b"x" * rng.choice([1, 5_000, 70_000]),
                       rng.randbytes(rng.randint(0, 300))])
    if rng.random() < 0.4:
        chunks = b""
        while body:
            size = rng.choice([1, 3, 4_096])
            extension = rng.choice([b""] * 4 + [b";a=b", b" ", b";" + b"e" * 500])
            chunks += b"%x" % len(body[:size]) + extension + b"\r\n" + body[:size] + b"\r\n"
            body = body[size:] if len(chunks) < 100_000 else b""
        end = rng.choice([b"0\r\n\r\n"] * 3 + [b"0\r\nTrailer: t\r\n\r\n", b"zz\r\n", b"-1\r\n"])
        return b"Transfer-Encoding: chunked\r\n", chunks + end
    length = rng.choice([len(body)] * 6 + [len(body) + 1, 0, max(len(body) - 1, 0), 2**40])
    return b"Content-Length: %d\r\n" % length, body


def request_bytes(rng):
    empty_lines = rng.choice([b""] * 6 + [b"\r\n" * rng.randint(1, 300), b"\n\n"])
    method = rng.choice([b"POST", b"GET", b"PUT", b"DELETE", b"HEAD", b"BREW", b""])
    path = rng.choice([b"/", b"/jobs/0123456789abcdef", b"/v1/jobs", b"/v1/ids", b"/metrics",
                       b"/%zz%00", b"//" * 50, b"http://user@host:1/x?y#z", b"*", b"/" + b"p" * 8_000,
                       b"/?" + b"a&" * rng.choice([3, 2_000]), b"/?" + random_text(rng, b"a=&;%#", 60)])
    version = rng.choice([b"HTTP/1.1"] * 6 + [b"HTTP/1.0", b"HTTP/9.9", b"", b"HTTP/"])
    lines = b"".join(header_line(rng) for _ in range(rng.choice([0, 1, 3, 10, 200])))
    length, body = body_bytes(rng)
    data = empty_lines + method + b" " + path + b" " + version + b"\r\n" + lines + length + b"\r\n" + body
    if rng.random() < 0.3:
        data = bytearray(data)
        for _ in range(rng.randint(1, 5)):
            data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data)


def cut(rng, data):
    """Cuts bytes at up to ten random places; the last part may be left out."""
    places = sorted({rng.randrange(len(data) + 1) for _ in range(rng.randint(0, 10))})
    parts = [data[a:b] for a, b in zip([0] + places, places + [len(data)]) if a < b]
    return parts[:-1] if len(parts) > 1 and rng.random() < 0.3 else parts


def main():
    seed, rounds, port = map(int, sys.argv[1:])
    rng = random.Random(seed)
    connections = []
    for _ in range(rounds):
        data = b"".join(request_bytes(rng) for _ in range(rng.randint(1, 4)))
        connection = socket.create_connection(("127.0.0.1", port), 10)
        connections.append(connection)
        try:
            for part in cut(rng, data):
                connection.sendall(part)
                time.sleep(rng.choice([0, 0, 0.001]))
            connection.settimeout(rng.choice([0.001, 0.02]))
            connection.recv(65_536)
        except OSError:
            pass  # Closed by the daemon, or no answer.
        if len(connections) > MAX_OPEN:
            connections.pop(rng.randrange(len(connections))).close()
    print(f"sent {rounds} rounds of requests for seed {seed}")


if __name__ == "__main__":
    main()
