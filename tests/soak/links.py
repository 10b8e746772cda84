"""Loopback relays between daemons that can drop, delay or reset traffic.

Daemon A reaches daemon B at link_ip(A, B), an address used only by this pair.
The relay forwards traffic from there to B's own address and sends it from
link_ip(B, A), the address at which B reaches A.
"""

import asyncio
import socket


def link_ip(source, target):
    """Returns the address at which daemon `source` reaches `target`.

    Both are daemon numbers; `target` may also be 200 for the store or 100 for
    the endpoints.
    """
    return f"127.0.{100 + source}.{target}"


def daemon_ip(daemon):
    """Returns the address on which the daemon itself listens."""
    return f"127.0.99.{daemon}"


class Link:
    """The relay from one daemon to another, for one direction.

    Modes: ok; silent (drops datagrams and holds back stream data without an
    error); slow (adds 150 ms).
    """

    def __init__(self, source, target, port):
        self.source, self.target, self.port = source, target, port
        self.mode = "ok"
        self.reverse = None  # The link from target to source.
        self.writers = set()

    async def open(self):
        await asyncio.start_server(self.on_connection,
                                   link_ip(self.source, self.target), self.port)
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.setblocking(False)
        self.datagrams.bind((link_ip(self.source, self.target), self.port))
        asyncio.get_running_loop().add_reader(self.datagrams, self.on_datagram)

    def on_datagram(self):
        data = self.datagrams.recv(65536)
        if self.mode == "silent":
            return
        delay = 0.15 if self.mode == "slow" else 0
        asyncio.get_running_loop().call_later(delay, self.forward_datagram,
                                              data)

    def forward_datagram(self, data):
        try:
            self.reverse.datagrams.sendto(data,
                                          (daemon_ip(self.target), self.port))
        except OSError:
            pass  # The target daemon is down; datagrams may be lost.

    async def on_connection(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                daemon_ip(self.target), self.port,
                local_addr=(link_ip(self.target, self.source), 0))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(
            self.forward_stream(reader, target_writer, self),
            self.forward_stream(target_reader, writer, self.reverse))
        self.writers -= {writer, target_writer}

    async def forward_stream(self, reader, writer, link):
        """Copies a stream in one direction under the mode of `link`."""
        try:
            while data := await reader.read(65536):
                while link.mode == "silent":
                    await asyncio.sleep(0.02)
                if link.mode == "slow":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def reset(self):
        """Aborts all relayed connections."""
        for writer in list(self.writers):
            writer.transport.abort()


async def open_links(daemons, port):
    """Opens a link for each ordered pair; returns {(source, target): Link}."""
    links = {(source, target): Link(source, target, port)
             for source in daemons for target in daemons if source != target}
    for (source, target), link in links.items():
        link.reverse = links[(target, source)]
    for link in links.values():
        await link.open()
    return links
