"""Upstreams and callers of the soak: both ends of the flows."""

import asyncio
import collections
import json
import random
import time
import urllib.request

from platform_standins import ACK, BOUNCED, COPY_SECONDS, FIN, GIVE_UP_SECONDS, RST, SYN, pack, unpack

REPORT_SECONDS = 0.5
WORK_SECONDS = (0.005, 0.03)
SLOW_WORK_SECONDS = 0.4
SLOTS = 4
COLD_SECONDS, COLD_RATE = 2.0, 10
REQUEST_SECONDS = 3.0
RETRY_SECONDS = (0.2, 0.4, 0.8, 1.6)
PAUSE_SECONDS = (0.0, 0.6)


class Flow:
    """One flow at an upstream."""

    def __init__(self, sequence):
        self.sequence, self.is_open = sequence, False
        self.next_byte, self.answers = 1, {}
        self.was_reset = False


class Upstream(asyncio.DatagramProtocol):
    """Answers requests behind its agent. Each start is a new lifetime."""

    def __init__(self, machine, service, promises, world):
        self.machine, self.service, self.promises, self.world = machine, service, promises, world
        self.name = f"upstream-{machine.name}"
        self.lifetime, self.is_up = 0, False
        self.is_slow = self.is_refusing = False
        self.cold_openings = collections.deque()
        self.rng = random.Random(machine.name)
        self.start()

    def connection_made(self, transport):
        self.transport = transport

    def start(self, clock_offset=0.0):
        self.lifetime += 1
        self.flows, self.count, self.state = {}, 0, "ready"
        self.drain_acknowledged = None
        self.started = self.promises.clock()
        self.born = int((time.time() + clock_offset) * 1000)
        self.is_up = True

    def crash(self):
        self.is_up = False

    def cold_left(self):
        # Those of the common start were warm before any caller came.
        return max(0.0, COLD_SECONDS - (self.promises.clock() - self.started)) if self.lifetime > 1 else 0.0

    def report_body(self):
        self.count += 1
        return {"service": self.service, "address": "%s:%d" % self.machine.app, "zone": self.machine.zone, "version": "v1", "slots": SLOTS, "state": self.state, "coldLeftMs": round(self.cold_left() * 1000, 1), "seq": self.count, "born": self.born}

    async def report(self, body=None):
        """Sends one heartbeat; True where it was acknowledged."""
        text = body if isinstance(body, bytes) else json.dumps(body or self.report_body()).encode()
        url = "http://%s:%d/Endpoints.Heartbeat/%s-%d" % (*self.machine.control, self.name, self.lifetime)

        def call():
            try:
                with urllib.request.urlopen(urllib.request.Request(url, text, method="POST"), timeout=1) as answer:
                    return answer.status == 200
            except OSError:
                return False

        return await asyncio.get_running_loop().run_in_executor(None, call)

    async def keep_reporting(self):
        while True:
            if self.is_up:
                lifetime, state = self.lifetime, self.state
                if await self.report() and state == "draining" and lifetime == self.lifetime and self.drain_acknowledged is None:
                    self.drain_acknowledged = self.promises.clock()
            await asyncio.sleep(REPORT_SECONDS)

    def has_reset(self, flow):
        return flow in self.flows and self.flows[flow].was_reset

    def datagram_received(self, packet, address):
        if not self.is_up:
            return
        head = unpack(packet)
        flow = (head["from"], head["to"])
        if head["flags"] & SYN:
            self.take_opening(flow, packet)
        elif flow not in self.flows:
            self.promises.on_foreign_packet(self, flow, self.world.has_planned_work())
            self.give_back(packet)
        else:
            self.take_packet(flow, head, packet)

    def give_back(self, packet):
        returned = bytearray(packet)
        returned[8] |= BOUNCED
        self.transport.sendto(bytes(returned), self.machine.outbound)

    def take_opening(self, flow, packet):
        if flow not in self.flows:
            self.promises.on_opening(self, flow, self.world.balancers_of(flow))
            if self.is_refusing:
                self.give_back(packet)
                return
            self.flows[flow] = Flow(self.rng.randrange(1 << 31))
            now = self.promises.clock()
            if self.cold_left() > 0:
                self.cold_openings.append(now)
            while self.cold_openings and now - self.cold_openings[0] >= 1:
                self.cold_openings.popleft()
            self.promises.on_cold_openings(self, len(self.cold_openings), COLD_RATE)
        self.send(flow, SYN | ACK, self.flows[flow].sequence, 1)

    def take_packet(self, flow, head, packet):
        own = self.flows[flow]
        if not own.is_open:
            if head["ack"] != own.sequence + 1:
                self.promises.on_foreign_packet(self, flow, False)
                self.give_back(packet)
                return
            own.is_open = True
            self.promises.on_open(self, flow)
        self.promises.on_own_packet(flow)
        if head["flags"] & (FIN | RST):
            if head["flags"] & FIN:
                self.send(flow, FIN | ACK, own.sequence + 1, head["seq"] + 1)
            return
        if head["data"] and head["seq"] == own.next_byte:
            own.next_byte += len(head["data"])
            own.answers[head["seq"]] = None
            self.promises.on_run(self, head["data"], self.world.requests)
            work = SLOW_WORK_SECONDS if self.is_slow else self.rng.uniform(*WORK_SECONDS)
            asyncio.get_running_loop().call_later(work, self.finish, flow, self.lifetime, head["seq"], head["data"])
        elif head["data"] and own.answers.get(head["seq"]):
            self.transport.sendto(own.answers[head["seq"]], self.machine.outbound)

    def finish(self, flow, lifetime, sequence, request):
        if not self.is_up or lifetime != self.lifetime:
            return
        own = self.flows[flow]
        answer = pack(flow[1], flow[0], ACK, own.sequence + 1, sequence + len(request), b"=" + request)
        own.sequence += 1 + len(request)
        own.answers[sequence] = answer
        self.transport.sendto(answer, self.machine.outbound)

    def send(self, flow, flags, sequence, acknowledged):
        self.transport.sendto(pack(flow[1], flow[0], flags, sequence, acknowledged), self.machine.outbound)


class Caller(asyncio.DatagramProtocol):
    """Keeps opening flows, some for one request and some for many."""

    def __init__(self, index, zone, host, promises, world):
        self.zone, self.host, self.promises, self.world = zone, host, promises, world
        self.rng = random.Random(f"{world.seed}-{index}")
        self.next_port, self.inbox, self.count = 20000, {}, 0

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, packet, address):
        if self.world.is_cut_from_callers(address[0]):
            return
        head = unpack(packet)
        flow = (head["to"], head["from"])
        if flow in self.inbox:
            self.inbox[flow].put_nowait(head)

    async def receive(self, flow, seconds):
        try:
            return await asyncio.wait_for(self.inbox[flow].get(), max(seconds, 0))
        except asyncio.TimeoutError:
            return None

    async def open(self, route):
        """Returns the flow and the upstream's sequence number, or "reset", or None."""
        self.next_port = self.next_port + 1 if self.next_port < 60000 else 20001
        flow = ((self.host, self.next_port), route)
        self.inbox[flow] = asyncio.Queue()
        for copy, sent in enumerate(COPY_SECONDS):
            self.world.route(flow, pack(flow[0], route, SYN, 0, copy), self.zone, is_opening=True)
            until = COPY_SECONDS[copy + 1] if copy + 1 < len(COPY_SECONDS) else GIVE_UP_SECONDS
            head = await self.receive(flow, until - sent)
            if head is not None:
                if head["flags"] & SYN:
                    return flow, head["seq"]
                if head["flags"] & RST:
                    return "reset"
        return None

    async def ask(self, flow, sent_bytes, acknowledged, request):
        """Sends one request and its copies. Returns the packet that ends it, or None."""
        packet = pack(flow[0], flow[1], ACK, sent_bytes, acknowledged, request)
        end = self.promises.clock() + REQUEST_SECONDS
        for wait in (*RETRY_SECONDS, REQUEST_SECONDS):
            self.world.route(flow, packet, self.zone)
            until = min(self.promises.clock() + wait, end)
            while (left := until - self.promises.clock()) > 0:
                head = await self.receive(flow, left)
                if head is not None and (head["flags"] & RST or head["data"]):
                    if head["flags"] & RST or head["ack"] == sent_bytes + len(request):
                        return head
            if self.promises.clock() >= end:
                break
        return None

    async def session(self, route, requests):
        begun = self.promises.clock()
        opened = await self.open(route)
        if not isinstance(opened, tuple):
            if self.world.is_expected(route):
                self.promises.on_request_ended(begun, False)
            return
        flow, sequence = opened
        sent_bytes, acknowledged = 1, sequence + 1
        self.world.route(flow, pack(flow[0], flow[1], ACK, sent_bytes, acknowledged), self.zone)
        for _ in range(requests):
            self.count += 1
            request = f"{self.host}-{self.count}".encode()
            self.world.requests.add(request)
            begun = self.promises.clock()
            head = await self.ask(flow, sent_bytes, acknowledged, request)
            is_served = head is not None and not head["flags"] & RST
            if self.world.is_expected(route):
                self.promises.on_request_ended(begun, is_served)
            if not is_served:
                self.promises.on_silence(flow, begun) if head is None else self.promises.on_reset(flow)
                break
            self.promises.on_answer(request, head["data"])
            sent_bytes += len(request)
            acknowledged = head["seq"] + len(head["data"])
            await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))
        self.world.route(flow, pack(flow[0], flow[1], FIN | ACK, sent_bytes, acknowledged), self.zone)
        del self.inbox[flow]

    async def run(self):
        while True:
            await self.session(self.rng.choice(self.world.asked_routes()), self.rng.choice((1, 1, 1, 5, 20)))
            await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS) / 4)
