"""Simulated upstreams and callers, the two ends of each flow. They report what they observe to the invariant checker."""

import asyncio
import collections
import json
import random
import socket
import time
import urllib.request

from platform_standins import ACK, FIN, OPEN_TIMEOUT_SECONDS, OPENING_SEND_SECONDS, RETURNED, RST, SYN, pack, unpack

HEARTBEAT_SECONDS = 0.5
WORK_SECONDS = (0.005, 0.03)  # Range of the time that a request takes.
SLOW_WORK_SECONDS = 0.4  # At a slow upstream.
SLOTS = 4  # Concurrent requests, as announced in heartbeats.
COLD_START_SECONDS = 2.0
COLD_OPENINGS_PER_SECOND = 10  # Limit during the cold start.
REQUEST_TIMEOUT_SECONDS = 3.0
RETRANSMIT_SECONDS = (0.2, 0.4, 0.8, 1.6)  # Waits between the copies of a request.
THINK_TIME_SECONDS = (0.0, 0.6)  # Range of a caller's pause between two requests.


class Flow:
    """One flow at an upstream. It is open once the caller has acknowledged the answer to its opening packet."""

    def __init__(self, sequence):
        self.sequence = sequence  # Of the SYN; later of the last byte that the upstream has sent.
        self.is_open = False
        self.expected_sequence = 1  # Of the caller's next request.
        self.answers = {}  # Sequence number of a request: answer packet, None while the request is executed.
        self.was_reset = False


class Upstream(asyncio.DatagramProtocol):
    """Answers requests behind its agent. Each start begins a new lifetime, which knows no flow of earlier ones."""

    def __init__(self, instance, service, checker, world):
        self.instance, self.service, self.checker, self.world = instance, service, checker, world
        self.name = f"upstream-{instance.name}"
        self.lifetime, self.is_up = 0, False
        self.is_slow = self.is_refusing = False
        self.cold_openings = collections.deque()
        self.rng = random.Random(instance.name)
        self.start()

    def connection_made(self, transport):
        self.transport = transport

    def start(self, clock_offset=0.0):
        self.lifetime += 1
        self.flows, self.heartbeats_sent, self.state = {}, 0, "ready"
        self.drain_acknowledged = None  # Time of the first acknowledged heartbeat that announced the drain.
        self.started = self.checker.clock()
        self.born = int((time.time() + clock_offset) * 1000)
        self.listener = socket.create_server(self.instance.app_address)  # Status checks connect here.
        self.is_up = True

    def crash(self):
        self.is_up = False
        self.listener.close()

    def cold_seconds_left(self):
        # In their first lifetime all upstreams are warm: they start well before the callers.
        return max(0.0, COLD_START_SECONDS - (self.checker.clock() - self.started)) if self.lifetime > 1 else 0.0

    def heartbeat_body(self):
        self.heartbeats_sent += 1
        return {
            "service": self.service,
            "address": "%s:%d" % self.instance.app_address,
            "zone": self.instance.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldLeftMs": round(self.cold_seconds_left() * 1000, 1),
            "seq": self.heartbeats_sent,
            "born": self.born,
        }

    async def send_heartbeat(self, body=None):
        """Sends one heartbeat to the agent and returns whether it was acknowledged. A body of bytes is sent as it is."""
        text = body if isinstance(body, bytes) else json.dumps(body or self.heartbeat_body()).encode()
        url = "http://%s:%d/Endpoints.Heartbeat/%s-%d" % (*self.instance.control_address, self.name, self.lifetime)

        def call():
            request = urllib.request.Request(url, text, method="POST")
            try:
                with urllib.request.urlopen(request, timeout=1) as answer:
                    return answer.status == 200
            except OSError:
                return False

        return await asyncio.get_running_loop().run_in_executor(None, call)

    async def send_heartbeats(self):
        while True:
            if self.is_up:
                lifetime, state = self.lifetime, self.state
                if await self.send_heartbeat() and state == "draining" and lifetime == self.lifetime and self.drain_acknowledged is None:
                    self.drain_acknowledged = self.checker.clock()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def has_reset(self, flow):
        return flow in self.flows and self.flows[flow].was_reset

    def datagram_received(self, packet, address):
        if not self.is_up:
            return
        head = unpack(packet)
        flow = (head["from"], head["to"])
        if head["flags"] & SYN:
            self.on_opening_packet(flow, packet)
        elif flow not in self.flows:
            self.checker.on_stray_packet(self, flow, self.world.is_planned_work_running())
            self.return_packet(packet)
        else:
            self.on_flow_packet(flow, head, packet)

    def return_packet(self, packet):
        """Sends a packet of a flow that this upstream does not hold back to the agent."""
        returned = bytearray(packet)
        returned[8] |= RETURNED
        self.transport.sendto(bytes(returned), self.instance.outbound_address)

    def on_opening_packet(self, flow, packet):
        """Accepts a new flow, or returns the packet where the upstream refuses; answers each copy of the packet."""
        if flow not in self.flows:
            self.checker.on_opening(self, flow, self.world.balancers_of_opening(flow))
            if self.is_refusing:
                self.return_packet(packet)
                return
            self.flows[flow] = Flow(self.rng.randrange(1 << 31))
            now = self.checker.clock()
            if self.cold_seconds_left() > 0:
                self.cold_openings.append(now)
            while self.cold_openings and now - self.cold_openings[0] >= 1:
                self.cold_openings.popleft()
            self.checker.on_cold_openings(self, len(self.cold_openings), COLD_OPENINGS_PER_SECOND)
        self.send(flow, SYN | ACK, self.flows[flow].sequence, 1)

    def on_flow_packet(self, flow, head, packet):
        """Executes a new request, and answers a retransmitted one from the stored answers."""
        held_flow = self.flows[flow]
        if not held_flow.is_open:
            if head["ack"] != held_flow.sequence + 1:
                self.checker.on_stray_packet(self, flow, False)
                self.return_packet(packet)
                return
            held_flow.is_open = True
            self.checker.on_open(self, flow)
        self.checker.on_holder_packet(flow)
        if head["flags"] & (FIN | RST):
            if head["flags"] & FIN:
                self.send(flow, FIN | ACK, held_flow.sequence + 1, head["seq"] + 1)
            return
        if head["data"] and head["seq"] == held_flow.expected_sequence:
            held_flow.expected_sequence += len(head["data"])
            held_flow.answers[head["seq"]] = None
            self.checker.on_request_executed(self, head["data"], self.world.sent_requests)
            work = SLOW_WORK_SECONDS if self.is_slow else self.rng.uniform(*WORK_SECONDS)
            asyncio.get_running_loop().call_later(work, self.send_answer, flow, self.lifetime, head["seq"], head["data"])
        elif head["data"] and held_flow.answers.get(head["seq"]):
            self.transport.sendto(held_flow.answers[head["seq"]], self.instance.outbound_address)

    def send_answer(self, flow, lifetime, sequence, request):
        if not self.is_up or lifetime != self.lifetime:
            return
        held_flow = self.flows[flow]
        answer = pack(flow[1], flow[0], ACK, held_flow.sequence + 1, sequence + len(request), b"=" + request)
        held_flow.sequence += 1 + len(request)
        held_flow.answers[sequence] = answer
        self.transport.sendto(answer, self.instance.outbound_address)

    def send(self, flow, flags, sequence, acknowledged):
        self.transport.sendto(pack(flow[1], flow[0], flags, sequence, acknowledged), self.instance.outbound_address)


class Caller(asyncio.DatagramProtocol):
    """A load generator that opens one flow after the other and sends 1, 5 or 20 requests in it."""

    def __init__(self, index, zone, host, checker, world):
        self.zone, self.host, self.checker, self.world = zone, host, checker, world
        self.rng = random.Random(f"{world.seed}-{index}")
        self.next_port, self.inboxes, self.requests_sent = 20000, {}, 0

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, packet, address):
        if self.world.is_cut_from_callers(address[0]):
            return
        head = unpack(packet)
        flow = (head["to"], head["from"])
        if flow in self.inboxes:
            self.inboxes[flow].put_nowait(head)

    async def receive(self, flow, seconds):
        """Returns the next packet of the flow, or None after the timeout."""
        try:
            return await asyncio.wait_for(self.inboxes[flow].get(), max(seconds, 0))
        except asyncio.TimeoutError:
            return None

    async def open(self, route):
        """Opens a flow. Returns it with the upstream's sequence number, or "reset", or None after the timeout."""
        self.next_port = self.next_port + 1 if self.next_port < 60000 else 20001
        flow = ((self.host, self.next_port), route)
        self.inboxes[flow] = asyncio.Queue()
        for copy, send_offset in enumerate(OPENING_SEND_SECONDS):
            self.world.route(flow, pack(flow[0], route, SYN, 0, copy), self.zone, is_opening=True)
            until = OPENING_SEND_SECONDS[copy + 1] if copy + 1 < len(OPENING_SEND_SECONDS) else OPEN_TIMEOUT_SECONDS
            head = await self.receive(flow, until - send_offset)
            if head is not None:
                if head["flags"] & SYN:
                    return flow, head["seq"]
                if head["flags"] & RST:
                    return "reset"
        return None

    async def ask(self, flow, next_sequence, acknowledged, request):
        """Sends one request with retransmissions. Returns the answer or the reset, or None after the timeout."""
        packet = pack(flow[0], flow[1], ACK, next_sequence, acknowledged, request)
        end = self.checker.clock() + REQUEST_TIMEOUT_SECONDS
        for wait in (*RETRANSMIT_SECONDS, REQUEST_TIMEOUT_SECONDS):
            self.world.route(flow, packet, self.zone)
            until = min(self.checker.clock() + wait, end)
            while (left := until - self.checker.clock()) > 0:
                head = await self.receive(flow, left)
                if head is not None and (head["flags"] & RST or head["data"]):
                    if head["flags"] & RST or head["ack"] == next_sequence + len(request):
                        return head
            if self.checker.clock() >= end:
                break
        return None

    async def session(self, route, requests):
        """Opens a flow, sends requests in it until one fails, and closes it."""
        started_at = self.checker.clock()
        opened = await self.open(route)
        if not isinstance(opened, tuple):
            if self.world.must_be_served(route):
                self.checker.on_request_ended(started_at, False)
            return
        flow, sequence = opened
        next_sequence, acknowledged = 1, sequence + 1
        self.world.route(flow, pack(flow[0], flow[1], ACK, next_sequence, acknowledged), self.zone)
        for _ in range(requests):
            self.requests_sent += 1
            request = f"{self.host}-{self.requests_sent}".encode()
            self.world.sent_requests.add(request)
            started_at = self.checker.clock()
            head = await self.ask(flow, next_sequence, acknowledged, request)
            is_served = head is not None and not head["flags"] & RST
            if self.world.must_be_served(route):
                self.checker.on_request_ended(started_at, is_served)
            if not is_served:
                if head is None:
                    self.checker.on_request_timeout(flow, started_at)
                else:
                    self.checker.on_reset(flow)
                break
            self.checker.on_answer(request, head["data"])
            next_sequence += len(request)
            acknowledged = head["seq"] + len(head["data"])
            await asyncio.sleep(self.rng.uniform(*THINK_TIME_SECONDS))
        self.world.route(flow, pack(flow[0], flow[1], FIN | ACK, next_sequence, acknowledged), self.zone)
        del self.inboxes[flow]

    async def run(self):
        while True:
            await self.session(self.rng.choice(self.world.requested_routes()), self.rng.choice((1, 1, 1, 5, 20)))
            await asyncio.sleep(self.rng.uniform(*THINK_TIME_SECONDS) / 4)
