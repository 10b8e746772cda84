"""A minimal HTTP/1.1 server and client on asyncio for the soak's stand-ins."""

import asyncio
import json
import urllib.parse


class NoAnswer(Exception):
    """Closes the connection without an answer.

    The request may have been executed.
    """


async def read_message(reader):
    """Reads one request or response; returns (first line, headers, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def serve(ip, port, handle):
    """Serves requests until the process ends.

    handle(method, path, query, body) returns (status, JSON body).
    """

    async def on_connection(reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, True))
                status, answer = await handle(
                    method, url.path, query, json.loads(body or b"{}"))
                text = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (NoAnswer, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass  # The caller sees only that the connection is closed.
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, port)


async def call(connection, method, target, headers, body):
    """Sends one request on an open (reader, writer) pair and reads the answer.

    Returns (status, headers, JSON body). Raises IncompleteReadError or OSError
    if the connection ends first.
    """
    reader, writer = connection
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}",
             "Content-Type: application/json"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    line, answer_headers, answer = await read_message(reader)
    return int(line.split(" ")[1]), answer_headers, json.loads(answer or b"{}")
