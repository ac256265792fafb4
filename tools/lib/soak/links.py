"""A loopback relay before each process and before the store: it delays, loses, resets and silences, one way or both."""

import asyncio
import random

SLOW_SECONDS = 0.15  # Of a slow link, one way.
LOSS = 0.2  # Of a lossy one.


class Faults:
    """What is wrong with the links now, by the machine that sends and the one that receives."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cut_in, self.cut_out, self.lossy, self.slow = set(), set(), set(), set()
        self.apart = set()  # Pairs of zones.
        self.refused_by_store = set()

    def is_cut(self, sender, receiver):
        if sender is not None and (sender.name in self.cut_out or frozenset((sender.zone, receiver.zone)) in self.apart):
            return True
        return receiver.name in self.cut_in

    def delay(self, sender, receiver):
        """Seconds that a datagram is held, or None where it is lost."""
        names = {receiver.name} | ({sender.name} if sender else set())
        if self.is_cut(sender, receiver) or (names & self.lossy and self.rng.random() < LOSS):
            return None
        return SLOW_SECONDS if names & self.slow else 0


class DatagramRelay(asyncio.DatagramProtocol):
    """Stands at the address that others know of a process, and passes datagrams on to the one that is bound."""

    def __init__(self, faults, machine, find_sender):
        self.faults, self.machine, self.find_sender = faults, machine, find_sender

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, address):
        delay = self.faults.delay(self.find_sender(address[0]), self.machine)
        if delay:
            asyncio.get_running_loop().call_later(delay, self.transport.sendto, data, self.machine.bound)
        elif delay is not None:
            self.transport.sendto(data, self.machine.bound)


class StreamRelay:
    """Relays TCP connections; `machine` is the one that is reached, or the one that calls where the store is behind it."""

    def __init__(self, faults, machine, target, is_store=False):
        self.faults, self.machine, self.target, self.is_store = faults, machine, target, is_store
        self.open, self.silent = set(), set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.relay, host, port)

    def is_cut(self):
        name = self.machine.name
        return name in self.faults.cut_in or name in self.faults.cut_out or (self.is_store and name in self.faults.refused_by_store)

    async def relay(self, reader, writer):
        if self.is_cut():
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.open |= {writer, far_writer}
        try:
            await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        except asyncio.CancelledError:
            pass  # The run is over.
        self.open -= {writer, far_writer}
        self.silent -= {writer, far_writer}

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.is_cut() or writer in self.silent:
                    continue  # The other end hears nothing any more.
                if self.machine.name in self.faults.slow:
                    await asyncio.sleep(SLOW_SECONDS)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            writer.transport.abort()

    def reset(self):
        for writer in self.open:
            writer.transport.abort()

    def silence(self):
        self.silent |= self.open
