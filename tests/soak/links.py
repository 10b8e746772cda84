"""Loopback links between daemons that can be cut, silenced, delayed or reset.

Daemon A reaches daemon B at an address that belongs to the pair (A, B). What
arrives there is passed on to B's own address, and B sees it come from the
address that stands for A among B's links.
"""

import asyncio
import socket


def link_ip(a, b):
    return f"127.0.{100 + a}.{b}"


def own_ip(daemon):
    return f"127.0.99.{daemon}"


class Link:
    """One way from daemon a to daemon b; modes: ok, silent, slow."""

    def __init__(self, a, b, port):
        self.a, self.b, self.port = a, b, port
        self.mode = "ok"
        self.back = None
        self.writers = set()

    async def open(self):
        await asyncio.start_server(self.on_connection, link_ip(self.a, self.b),
                                   self.port)
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.setblocking(False)
        self.datagrams.bind((link_ip(self.a, self.b), self.port))
        asyncio.get_running_loop().add_reader(self.datagrams, self.on_datagram)

    def on_datagram(self):
        data = self.datagrams.recv(65536)
        if self.mode == "silent":
            return
        delay = 0.15 if self.mode == "slow" else 0
        asyncio.get_running_loop().call_later(delay, self.pass_datagram, data)

    def pass_datagram(self, data):
        try:
            self.back.datagrams.sendto(data, (own_ip(self.b), self.port))
        except OSError:
            pass  # The daemon is down, as datagrams may be lost.

    async def on_connection(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                own_ip(self.b), self.port,
                local_addr=(link_ip(self.b, self.a), 0))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, self),
                             self.pump(far_reader, writer, self.back))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                while way.mode == "silent":
                    await asyncio.sleep(0.02)
                if way.mode == "slow":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


async def open_links(daemons, port):
    links = {(a, b): Link(a, b, port)
             for a in daemons for b in daemons if a != b}
    for (a, b), link in links.items():
        link.back = links[(b, a)]
    for link in links.values():
        await link.open()
    return links
