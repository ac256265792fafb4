"""Relays that inject link faults: delay, packet loss, partitions, reset and silent connections.

Each process has relays for the datagrams and connections that it receives, and one for its connections to the store.
"""

import asyncio
import random

SLOW_LINK_DELAY_SECONDS = 0.15  # One way.
LOSS_RATIO = 0.2  # Share of the datagrams that a lossy link loses.


class LinkFaults:
    """Holds the link faults that are active now. Sets of names contain names of instances."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cut_in, self.cut_out, self.lossy, self.slow = set(), set(), set(), set()
        self.partitioned_zones = set()  # Pairs of zones, as frozensets.
        self.refused_by_store = set()  # Instances whose connections to the store are reset.

    def is_cut(self, sender, receiver):
        """Returns whether datagrams from `sender`, None where it is unknown, to `receiver` are dropped."""
        if sender is not None and (sender.name in self.cut_out or frozenset((sender.zone, receiver.zone)) in self.partitioned_zones):
            return True
        return receiver.name in self.cut_in

    def delay(self, sender, receiver):
        """Returns the delay of a datagram in seconds, or None where it is lost."""
        names = {receiver.name} | ({sender.name} if sender else set())
        if self.is_cut(sender, receiver) or (names & self.lossy and self.rng.random() < LOSS_RATIO):
            return None
        return SLOW_LINK_DELAY_SECONDS if names & self.slow else 0


class DatagramRelay(asyncio.DatagramProtocol):
    """Receives datagrams at the advertised address of a process and forwards them to its bind address.

    `find_sender` returns the instance of a sender's host, or None.
    """

    def __init__(self, faults, instance, find_sender):
        self.faults, self.instance, self.find_sender = faults, instance, find_sender

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        delay = self.faults.delay(self.find_sender(address[0]), self.instance)
        if delay:
            asyncio.get_running_loop().call_later(delay, self.transport.sendto, data, self.instance.bind_address)
        elif delay is not None:
            self.transport.sendto(data, self.instance.bind_address)


class StreamRelay:
    """Relays TCP connections to a target.

    `instance` is the one that accepts the connections; with `is_store` the target is the store and `instance` connects to it.
    """

    def __init__(self, faults, instance, target, is_store=False):
        self.faults, self.instance, self.target, self.is_store = faults, instance, target, is_store
        self.writers, self.silenced_writers = set(), set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.relay, host, port)

    def is_cut(self):
        name = self.instance.name
        is_refused = self.is_store and name in self.faults.refused_by_store
        return name in self.faults.cut_in or name in self.faults.cut_out or is_refused

    async def relay(self, reader, writer):
        if self.is_cut():
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(self.forward(reader, target_writer), self.forward(target_reader, writer))
        except asyncio.CancelledError:
            pass  # The run has ended.
        self.writers -= {writer, target_writer}
        self.silenced_writers -= {writer, target_writer}

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.is_cut() or writer in self.silenced_writers:
                    continue  # Discard the data; the connection stays open.
                if self.instance.name in self.faults.slow:
                    await asyncio.sleep(SLOW_LINK_DELAY_SECONDS)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            writer.transport.abort()

    def reset(self):
        """Aborts all open connections."""
        for writer in self.writers:
            writer.transport.abort()

    def silence(self):
        """Discards all further data of the connections that are open now and leaves them open."""
        self.silenced_writers |= self.writers
