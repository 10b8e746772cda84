"""HTTP/1.1 on asyncio, as far as the stand-ins and the client need it."""

import asyncio
import json
import urllib.parse


class NoAnswer(Exception):
    """Raised by a handler to keep a request without an answer for good."""


async def read_message(reader):
    """Reads a request or a response; returns (first line, headers, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


async def serve(port, handle):
    """Serves handle(method, path, query, headers, body) -> (status, JSON)."""

    async def on_connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, True))
                status, answer = await handle(
                    method, url.path, query, headers, json.loads(body or b"{}"))
                text = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except NoAnswer:
            # A connection on which an answer is lost returns nothing further.
            await reader.read()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, "127.0.0.1", port)


async def request(port, method, path, headers, body, time_limit_s):
    """Sends a request on a connection of its own, which it closes at the end.

    Returns (status, JSON); the status is 0 after no answer within the limit or
    a broken connection.
    """
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {path} HTTP/1.1",
                     "Content-Type: application/json",
                     f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), json.loads(answer or b"{}")

        return await asyncio.wait_for(exchange(), time_limit_s)
    except asyncio.TimeoutError:
        return 0, "no answer within the time limit"
    except (asyncio.IncompleteReadError, OSError) as error:
        return 0, f"connection broken: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
