"""Loopback relays between daemons that can drop, delay or reset traffic.

All daemons reach daemon B at relay_ip(B), as they also tell each other this
address. The relay tells the sender A of a datagram by its source address and
that of a stream by its first frame. It forwards the traffic to B's own address
and sends it from relay_ip(A), the address at which B reaches A.
"""

import asyncio
import socket
import struct

# Start of a frame: length, magic number and version, which are skipped, and the
# length of the sender's id, which follows.
FRAME_START = struct.Struct("<10xI")


def link_ip(source, target):
    """Returns the address at which daemon `source` reaches `target`.

    `source` is a daemon number; `target` is 200 for the store or 100 for the
    endpoints.
    """
    return f"127.0.{100 + source}.{target}"


def relay_ip(daemon):
    """Returns the address at which every other daemon reaches the daemon."""
    return f"127.0.98.{daemon}"


def daemon_ip(daemon):
    """Returns the address on which the daemon itself listens."""
    return f"127.0.99.{daemon}"


class Link:
    """The state of the traffic from one daemon to another.

    Modes: ok; silent (drops datagrams and holds back stream data without an
    error); slow (adds 150 ms).
    """

    def __init__(self, source, target):
        self.source, self.target = source, target
        self.mode = "ok"
        self.reverse = None  # The link from target to source.
        self.writers = set()

    def reset(self):
        """Aborts all relayed connections."""
        for writer in list(self.writers):
            writer.transport.abort()


class Relay:
    """Accepts the traffic to one daemon and forwards it as the links allow."""

    def __init__(self, target, port, names, links, relays):
        self.target, self.port = target, port
        self.names = names  # Daemon id -> daemon number.
        self.links = links  # (source, target) -> Link.
        self.relays = relays  # Daemon number -> Relay.

    async def open(self):
        await asyncio.start_server(self.on_connection, relay_ip(self.target),
                                   self.port)
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.setblocking(False)
        self.datagrams.bind((relay_ip(self.target), self.port))
        asyncio.get_running_loop().add_reader(self.datagrams, self.on_datagram)

    def on_datagram(self):
        data, (ip, _) = self.datagrams.recvfrom(65536)
        source = int(ip.rsplit(".", 1)[1])
        link = self.links[(source, self.target)]
        if link.mode == "silent":
            return
        delay = 0.15 if link.mode == "slow" else 0
        asyncio.get_running_loop().call_later(delay, self.forward_datagram,
                                              source, data)

    def forward_datagram(self, source, data):
        try:
            self.relays[source].datagrams.sendto(
                data, (daemon_ip(self.target), self.port))
        except OSError:
            pass  # The target daemon is down; datagrams may be lost.

    async def on_connection(self, reader, writer):
        try:
            link, data = await self.read_sender(reader)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                daemon_ip(self.target), self.port,
                local_addr=(relay_ip(link.source), 0))
        except OSError:
            writer.transport.abort()
            return
        link.writers |= {writer, target_writer}
        await asyncio.gather(
            self.forward_stream(reader, target_writer, link, data),
            self.forward_stream(target_reader, writer, link.reverse))
        link.writers -= {writer, target_writer}

    async def read_sender(self, reader):
        """Reads the start of the first frame; returns (link, bytes read)."""
        data = await reader.readexactly(FRAME_START.size)
        name = await reader.readexactly(FRAME_START.unpack(data)[0])
        return self.links[(self.names[name.decode()], self.target)], data + name

    async def forward_stream(self, reader, writer, link, data=b""):
        """Copies `data`, then a stream, in one direction as `link` allows."""
        try:
            while data := data or await reader.read(65536):
                while link.mode == "silent":
                    await asyncio.sleep(0.02)
                if link.mode == "slow":
                    await asyncio.sleep(0.15)
                writer.write(data)
                data = b""
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


async def open_links(names, port):
    """Opens the relays of daemons {id: number}.

    Returns {(source, target): Link} for each ordered pair.
    """
    daemons = list(names.values())
    links = {(source, target): Link(source, target)
             for source in daemons for target in daemons if source != target}
    for (source, target), link in links.items():
        link.reverse = links[(target, source)]
    relays = {}
    for daemon in daemons:
        relays[daemon] = Relay(daemon, port, names, links, relays)
        await relays[daemon].open()
    return links
