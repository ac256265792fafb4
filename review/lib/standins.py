"""Stand-ins for the platform of the users' pages: its store, router, endpoints and clients, and the system's own processes.

Everything runs on loopback addresses. Settings of the system's processes come from the templates in deploy/, and the commands
from deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlparse

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools" / "lib"))

from fleet import free_ports  # noqa: E402
from platform_standins import pack, render, unpack  # noqa: E402

SYN, FIN, RST, BOUNCED, ACK = 1, 4, 8, 16, 64
OPENING_OFFSETS = (0.0, 0.2, 0.6)  # A client's SYN and its two copies.
OPENING_TIMEOUT = 1.4
RETRANSMISSIONS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
HEARTBEAT_MS = 770
ENDPOINT_DELAY = 2.5  # Endpoints start so long after the nodes beside them.
STORE_ANSWER_SECONDS = 0.004
METRICS_PORT = 9464  # In the templates of deploy/; replaced by a free port.
SUM_KEY = b"known to the ends of a flow only"


def sealed(source, destination, flags, seq=0, ack=0, data=b""):
    """Returns a packet with its keyed sum."""
    packet = bytearray(pack(source, destination, flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data))
    packet[9:13] = struct.pack(">I", keyed_sum(packet))
    return bytes(packet)


def keyed_sum(packet):
    """Sum over all fields but `sum`, `echo` and the flag BOUNCED; never 0, which marks a reset of the system's own."""
    flags = bytes([packet[8] & ~BOUNCED])
    return zlib.crc32(SUM_KEY + bytes(packet[:8]) + flags + bytes(packet[13:27]) + bytes(packet[31:])) or 1


def is_genuine(packet):
    return struct.unpack(">I", packet[9:13])[0] == keyed_sum(packet)


class Store:
    """The platform's store: keys with revisions, conditions, leases and watches."""

    def __init__(self, host, port):
        self.items, self.leases, self.events, self.revision, self.next_lease = {}, {}, [], 10, 100
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def answer(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                url = urlparse(self.path)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                time.sleep(STORE_ANSWER_SECONDS)
                code, reply = store.handle(self.command, url.path, query, json.loads(body or "{}"))
                text = json.dumps(reply).encode()
                try:
                    self.send_response(code)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(text)))
                    self.send_header("Store-Era", "1")
                    self.end_headers()
                    self.wfile.write(text)
                except OSError:
                    self.close_connection = True  # The process that sent the call has ended.

            do_GET = do_POST = do_DELETE = answer

        self.server = ThreadingHTTPServer((host, port), Handler)
        self.server.handle_error = lambda request, address: None
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            self.write(key, base64.b64encode(value.encode()).decode(), lease)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if key in self.items:
                self.revision += 1
                self.delete(key)
                self.changed.notify_all()

    def write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.events.append(self.items[key])

    def delete(self, key):
        if self.items.pop(key, None):
            self.events.append({"key": key, "revision": self.revision, "removed": True})

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            self.revision += 1
        for key in gone:
            self.delete(key)
        self.changed.notify_all()

    def expire_leases(self):
        for lease in [lease for lease, (_, end) in self.leases.items() if end <= time.monotonic()]:
            self.end_lease(lease)

    def handle(self, method, path, query, body):
        with self.changed:
            self.expire_leases()
            if path == "/kv-watch":
                return self.watch(query)
            return self.handle_at_once(method, path, query, body)

    def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        while True:
            found = [event for event in self.events if event["revision"] > after and event["key"].startswith(query["prefix"])]
            if found or time.monotonic() >= end:
                return 200, {"events": found, "asOf": self.revision}
            self.changed.wait(min(0.5, max(0.01, end - time.monotonic())))

    def handle_at_once(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {"asOf": self.revision})
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "hasMore": len(keys) > 500, "asOf": self.revision}
        if path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (body["ttlMs"], time.monotonic() + body["ttlMs"] / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": body["ttlMs"]}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/kv-txn":
            return self.transact(body)
        return 404, {}

    def transact(self, body):
        rows = body.get("expectedRev", [])
        if any(self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in rows):
            return 412, {"items": [self.items[row["key"]] for row in rows if row["key"] in self.items]}
        writes, deletes = body.get("writes", []), body.get("deletes", [])
        if any(key.startswith(("op/", "servers/")) for key in [write["key"] for write in writes] + deletes):
            return 403, {}
        if any(write["lease"] and write["lease"] not in self.leases for write in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self.write(write["key"], write["value"], write["lease"])
        for key in deletes:
            self.delete(key)
        self.changed.notify_all()
        return 200, {"revision": self.revision}


class EndpointFlow:
    """One flow at an endpoint. It opens with the first packet that acknowledges the endpoint's sequence number."""

    def __init__(self, rng):
        self.sequence = rng.randrange(1 << 32)  # Of the SYN+ACK.
        self.is_open = self.is_closed = False
        self.expected = None  # Sequence number of the client's next byte.
        self.sent = 0  # Bytes sent after the SYN+ACK.
        self.unacknowledged = []  # [end of the packet in bytes sent, packet]


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint beside its node. `start` begins a lifetime; `crash` ends it without a word."""

    def __init__(self, world, name, service, fields, slots=5, work=(0.005, 0.02), cold_seconds=0.0):
        self.world, self.name, self.service, self.slots, self.work, self.cold_seconds = world, name, service, slots, work, cold_seconds
        address = lambda text: (text.split(":")[0], int(text.split(":")[1]))
        self.app, self.outbound, self.control = (address(text) for text in (fields["app"], fields["listen"]["outbound"], fields["listen"]["control"]))
        self.zone, self.lifetime, self.is_up, self.rng = fields["zone"], 0, False, random.Random(name)
        self.flows, self.openings, self.requests = {}, [], []  # Openings: (sent, arrived, lifetime, was cold); requests: (time, id).
        self.acknowledged = {}  # State: time of its first acknowledged heartbeat in this lifetime.

    def connection_made(self, transport):
        self.transport = transport

    async def listen(self):
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=self.app)

    async def start(self, clock_offset=0.0):
        """Begins a lifetime. Its first heartbeat is sent before it takes its first packet."""
        self.lifetime += 1
        self.flows, self.state, self.beats, self.acknowledged = {}, "ready", 0, {}
        self.started, self.born = time.monotonic(), int((time.time() + clock_offset) * 1000)
        self.health = await asyncio.start_server(self.answer_health, *self.app)
        self.world.log(f"{self.name} starts lifetime {self.lifetime}, born {self.born}")
        self.beating = asyncio.create_task(self.send_heartbeats(self.lifetime))
        self.is_up = True

    def crash(self):
        self.is_up = False
        self.beating.cancel()
        self.health.close()
        self.world.log(f"{self.name} crashes")

    async def answer_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def cold_left(self):
        return max(0.0, self.cold_seconds - (time.monotonic() - self.started)) if self.lifetime > 1 else 0.0

    async def send_heartbeats(self, lifetime):
        while True:
            is_acknowledged = await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_MS / 1000 if is_acknowledged else 0.2)

    async def heartbeat(self):
        """Sends one heartbeat to the node on the same machine. Returns whether it was acknowledged within a second."""
        self.beats += 1
        state = self.state
        body = {
            "service": self.service,
            "address": "%s:%d" % self.app,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": round(self.cold_left() * 1000, 1),
            "seq": self.beats,
            "born": self.born,
        }
        status = await self.call(f"/Endpoints.Heartbeat/i-{self.name}-{self.lifetime}", body)
        if status == 200 and state not in self.acknowledged:
            self.acknowledged[state] = time.monotonic()
            self.world.log(f"{self.name}: '{state}' of lifetime {self.lifetime} is acknowledged")
        elif status != 200:
            self.world.log(f"{self.name}: heartbeat {self.beats} of lifetime {self.lifetime} gets {status}")
        return status == 200

    async def call(self, path, body):
        text = json.dumps(body).encode()
        head = f"POST {path} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\nConnection: close\r\n\r\n"

        async def exchange():
            reader, writer = await asyncio.open_connection(*self.control)
            try:
                writer.write(head.encode() + text)
                line = await reader.readline()
                return int(line.split()[1]) if line else None
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), 1)
        except (OSError, asyncio.TimeoutError):
            return None

    def send(self, flow, flags, seq, ack, data=b""):
        packet = sealed(flow[1], flow[0], flags, seq, ack, data)
        self.transport.sendto(packet, self.outbound)
        return packet

    def datagram_received(self, packet, address):
        if not self.is_up:
            return
        head = unpack(packet)
        flow = (head["from"], head["to"])
        if not is_genuine(packet):
            self.world.violation("UNASKED", f"{self.name} got a packet of {flow} that its sender did not write so")
            return
        if head["flags"] & SYN:
            self.on_opening(flow, head)
        elif flow in self.flows and self.may_take(self.flows[flow], head):
            self.on_packet(flow, head)
        else:
            self.world.on_stray(self, flow)
            returned = bytearray(packet)
            returned[8] |= BOUNCED
            self.transport.sendto(bytes(returned), self.outbound)

    @staticmethod
    def may_take(held, head):
        return held.is_open or (head["flags"] & ACK and 0 <= (head["ack"] - held.sequence - 1) % (1 << 32) <= 0)

    def on_opening(self, flow, head):
        if flow not in self.flows:
            held = self.flows[flow] = EndpointFlow(self.rng)
            held.expected = (head["seq"] + 1) % (1 << 32)
            self.world.on_opening(self, flow, head["ack"])
            asyncio.create_task(self.repeat_answer(flow, held, self.lifetime))
        held = self.flows[flow]
        if not held.is_open:
            self.send(flow, SYN | ACK, held.sequence, held.expected)

    async def repeat_answer(self, flow, held, lifetime):
        for wait in RETRANSMISSIONS:
            await asyncio.sleep(wait)
            if held.is_open or not self.is_up or lifetime != self.lifetime:
                return
            self.send(flow, SYN | ACK, held.sequence, held.expected)
        if self.flows.get(flow) is held and not held.is_open:
            del self.flows[flow]

    def on_packet(self, flow, head):
        held = self.flows[flow]
        if not held.is_open:
            held.is_open = True
            self.world.on_open(self, flow)
        acknowledged = (head["ack"] - held.sequence - 1) % (1 << 32)
        held.unacknowledged = [entry for entry in held.unacknowledged if entry[0] > acknowledged]
        if head["flags"] & RST:
            held.is_closed = True
            del self.flows[flow]
            return
        if head["data"] and head["seq"] == held.expected:
            held.expected = (held.expected + len(head["data"])) % (1 << 32)
            self.send(flow, ACK, held.sequence + 1 + held.sent, held.expected)
            self.requests.append((time.monotonic(), head["data"].decode()))
            self.world.on_run(self, flow, head["data"].decode())
            asyncio.get_running_loop().call_later(self.rng.uniform(*self.work), self.answer, flow, held, self.lifetime, head["data"])
        elif head["data"]:
            self.send(flow, ACK, held.sequence + 1 + held.sent, held.expected)
        if head["flags"] & FIN and head["seq"] + len(head["data"]) == held.expected:
            self.send(flow, FIN | ACK, held.sequence + 1 + held.sent, held.expected + 1)
            held.is_closed = True
            del self.flows[flow]

    def answer(self, flow, held, lifetime, request):
        if not self.is_up or lifetime != self.lifetime or held.is_closed:
            return
        data = f"{self.name}-{self.lifetime}:".encode() + request
        packet = self.send(flow, ACK, held.sequence + 1 + held.sent, held.expected, data)
        held.sent += len(data)
        entry = [held.sent, packet]
        held.unacknowledged.append(entry)
        asyncio.create_task(self.repeat(held, entry, lifetime))

    async def repeat(self, held, entry, lifetime):
        for wait in RETRANSMISSIONS:
            await asyncio.sleep(wait)
            if entry not in held.unacknowledged or held.is_closed or not self.is_up or lifetime != self.lifetime:
                return
            self.transport.sendto(entry[1], self.outbound)


class ClientFlow:
    def __init__(self, source, route):
        self.key, self.inbox = (source, route), asyncio.Queue()
        self.seq, self.ack, self.opened_at, self.last_used = 0, 0, None, None
        self.endpoint, self.was_reset = None, False


class Client(asyncio.DatagramProtocol):
    """Opens flows and sends requests in them, one at a time in each flow, through the platform's router."""

    def __init__(self, world, host, port):
        self.world, self.address, self.next_port, self.flows, self.requests = world, (host, port), 20000, {}, 0
        self.rng = random.Random(host)
        self.copies_sent = {}  # (Flow, copy): time of the SYN.

    async def listen(self):
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=self.address)

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, packet, address):
        head = unpack(packet)
        flow = self.flows.get((head["to"], head["from"]))
        is_reset_of_system = head["flags"] == RST and not head["data"] and packet[9:13] == bytes(4)
        if not is_reset_of_system and not is_genuine(packet):
            self.world.violation("MIXED", f"a client got a packet of {(head['to'], head['from'])} that its sender did not write so")
        elif flow is not None:
            head["is_of_system"] = is_reset_of_system
            flow.inbox.put_nowait(head)

    def send(self, flow, flags, seq, ack, data=b""):
        self.transport.sendto(sealed(flow.key[0], flow.key[1], flags, seq, ack, data), self.world.router.node_for(flow.key))

    async def receive(self, flow, until):
        try:
            return await asyncio.wait_for(flow.inbox.get(), max(0.0, until - time.monotonic()))
        except asyncio.TimeoutError:
            return None

    async def open(self, route):
        """Opens a flow. Returns it, or "reset", or None after the timeout."""
        self.next_port += 1
        flow = ClientFlow((self.address[0], self.next_port), route)
        self.flows[flow.key] = flow
        flow.seq, begin = self.rng.randrange(1 << 32), time.monotonic()
        for copy, offset in enumerate(OPENING_OFFSETS):
            self.copies_sent[(flow.key, copy)] = time.monotonic()
            self.send(flow, SYN, flow.seq, copy)
            end = begin + (OPENING_OFFSETS[copy + 1] if copy + 1 < len(OPENING_OFFSETS) else OPENING_TIMEOUT)
            head = await self.receive(flow, end)
            if head is not None and head["flags"] & RST:
                return "reset"
            if head is not None and head["flags"] & SYN:
                flow.seq, flow.ack, flow.opened_at = (flow.seq + 1) % (1 << 32), (head["seq"] + 1) % (1 << 32), time.monotonic()
                flow.last_used = flow.opened_at
                self.send(flow, ACK, flow.seq, flow.ack)
                return flow
        return None

    async def ask(self, flow, seconds=3.0):
        """Sends a request. Returns the answer's text, or "reset" (by the system or by the endpoint), or None after the time budget."""
        self.requests += 1
        name = f"r{self.address[0].rsplit('.', 1)[1]}-{self.requests}"
        data = name.encode()
        self.world.on_sent(name)
        end, waits = time.monotonic() + seconds, iter(RETRANSMISSIONS)
        flow.last_used = time.monotonic()
        while time.monotonic() < end:
            self.send(flow, ACK, flow.seq, flow.ack, data)
            until = min(end, time.monotonic() + next(waits))
            while (head := await self.receive(flow, until)) is not None:
                if head["flags"] & RST:
                    flow.was_reset = True
                    return "reset by the system" if head["is_of_system"] else "reset by the endpoint"
                if head["data"] and head["seq"] == flow.ack:
                    flow.seq = (flow.seq + len(data)) % (1 << 32)
                    flow.ack = (flow.ack + len(head["data"])) % (1 << 32)
                    flow.last_used = time.monotonic()
                    self.send(flow, ACK, flow.seq, flow.ack)
                    text = head["data"].decode()
                    if not text.endswith(":" + name):
                        self.world.violation("MIXED", f"request {name} was answered with {text}")
                    return text
        return None

    def close(self, flow):
        self.send(flow, FIN | ACK, flow.seq, flow.ack)
        del self.flows[flow.key]


class Router:
    """The platform's routers: each flow goes to a node by a hash over the nodes that are in rotation (`flowHash` is `mod`)."""

    def __init__(self, nodes, packet_port, ready_port):
        self.nodes, self.packet_port, self.ready_port = nodes, packet_port, ready_port
        self.misses = dict.fromkeys(nodes, 0)
        self.probed_at = dict.fromkeys(nodes, 0.0)  # When the latest GET /ready was sent.

    def node_for(self, key):
        rotation = [node for node in self.nodes if self.misses[node] < 2]
        rotation = rotation if len(rotation) * 2 >= len(self.nodes) else self.nodes
        return rotation[zlib.crc32(repr(key).encode()) % len(rotation)], self.packet_port

    async def probe(self, node):
        async def exchange():
            reader, writer = await asyncio.open_connection(node, self.ready_port)
            try:
                writer.write(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()

        while True:
            self.probed_at[node] = time.monotonic()
            try:
                is_ready = await asyncio.wait_for(exchange(), 0.4)
            except (OSError, asyncio.TimeoutError):
                is_ready = False
            self.misses[node] = 0 if is_ready else self.misses[node] + 1
            await asyncio.sleep(0.5)


class World:
    """One small deployment. `services` maps a service to its number of endpoints; all are in zone `a`."""

    def __init__(self, folder, services, balancers=2, **endpoint_options):
        self.begin, self.record, self.folder = time.monotonic(), [], Path(tempfile.mkdtemp(prefix="lavender-review-"))
        self.record_path = Path(folder) / "record.txt"
        self.endpoint_gap = 0.0  # Between the starts of two endpoints.
        self.violations, self.sent, self.runs, self.holders, self.strays = [], set(), {}, {}, {}
        net = f"127.{random.SystemRandom().randrange(101, 250)}"  # Of its own, so that runs beside each other do not meet.
        (self.packet_port, self.ready_port, self.control_port, self.outbound_port, self.app_port, self.internal_port, self.metrics_port, store_port) = free_ports(8)
        self.store = Store("127.0.0.1", store_port)
        self.store_address = f"127.0.0.1:{store_port}"
        self.roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.fields, self.processes, self.endpoints = {}, {}, {}
        for index in range(balancers):
            self.fields[f"balancer-{index}"] = self.settings(f"{net}.1.{index + 1}", balancers)
        for number, (service, count) in enumerate(services.items()):
            for index in range(count):
                host = f"{net}.{number + 2}.{index + 1}"
                name = f"{service}-{index}"
                fields = self.settings(host, balancers)
                self.fields[f"agent-{name}"] = {**fields, "service": service, "app": f"{host}:{self.app_port}"}
                self.endpoints[name] = Endpoint(self, name, service, self.fields[f"agent-{name}"], **endpoint_options)
        nodes = [f"{net}.1.{index + 1}" for index in range(balancers)]
        self.router = Router(nodes, self.packet_port, self.ready_port)
        self.client = Client(self, f"{net}.0.1", self.packet_port)

    def settings(self, host, balancers):
        listen = {
            "datagramAddr": f"{host}:{self.packet_port}",
            "ready": f"{host}:{self.ready_port}",
            "control": f"{host}:{self.control_port}",
            "outbound": f"{host}:{self.outbound_port}",
        }
        seeds = [f"{host.rsplit('.', 2)[0]}.1.{index + 1}:{self.control_port}" for index in range(min(3, balancers))]
        return {
            "ip": host,
            "zone": "a",
            "listen": listen,
            "internalPorts": [self.internal_port, self.internal_port + 15],
            "seeds": seeds,
            "heartbeatMs": HEARTBEAT_MS,
            "limits": {"linkMbps": 1000.0},
            "platform": {"address": self.store_address},
        }

    # Record

    def log(self, text):
        self.record.append(f"{time.monotonic() - self.begin:8.3f} {text}")

    def violation(self, rule, text):
        self.violations.append(f"{rule}: {text}")
        self.log(f"BROKEN {rule}: {text}")

    def on_sent(self, request):
        self.sent.add(request)
        self.log(f"client sends {request}")

    def on_run(self, endpoint, flow, request):
        self.log(f"{endpoint.name} runs {request}")
        self.runs[request] = self.runs.get(request, 0) + 1
        if request not in self.sent:
            self.violation("UNASKED", f"{endpoint.name} ran {request}, which no client sent")
        if self.runs[request] > 1:
            self.violation("Words", f"{request} ran twice")

    def on_opening(self, endpoint, flow, copy):
        """Notes an opening packet that an endpoint takes. @p copy counts the client's copies of it."""
        sent_at = self.client.copies_sent.get((flow, copy), time.monotonic())
        endpoint.openings.append((sent_at, time.monotonic(), endpoint.lifetime, endpoint.cold_left() > 0))

    def on_open(self, endpoint, flow):
        self.holders[flow] = (endpoint, endpoint.lifetime)

    def on_stray(self, endpoint, flow):
        self.log(f"{endpoint.name} gives back a packet of {flow[0][1]}")
        self.strays.setdefault(flow, []).append(time.monotonic())

    def is_held(self, flow):
        """Whether the endpoint of a client's flow lives and holds it."""
        endpoint, lifetime = self.holders.get(flow.key, (None, 0))
        return endpoint is not None and endpoint.is_up and endpoint.lifetime == lifetime and flow.key in endpoint.flows

    # The operator

    def write_manifest(self, version, routes, services, limits=None):
        document = {"version": version, "routes": routes, "services": services, "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        self.store.put("op/config", json.dumps(document))
        self.log(f"operator: manifest {version} is acknowledged: " + ", ".join(f"{route['host']}{route['prefix']} to {route.get('service') or route.get('backends')}" for route in routes))

    # Processes of the system

    def start(self, name):
        role = "balancer" if name.startswith("balancer") else "agent"
        path = self.folder / f"{name}.json"
        text = render((ROOT / self.roles[role]["template"]).read_text(), self.fields[name])
        path.write_text(text.replace(f':{METRICS_PORT}"', f':{self.metrics_port}"'))
        command = self.roles[role]["run"].split(" ")
        command[command.index("--config") + 1] = str(path)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.log(f"platform: {name} is started")

    async def stop(self, name, grace=6.0):
        """SIGTERM, and SIGKILL after the grace time."""
        self.log(f"platform: {name} gets SIGTERM")
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + grace
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
            process.wait()

    def kill(self, name):
        self.log(f"platform: {name} gets SIGKILL")
        self.processes[name].kill()
        self.processes[name].wait()

    def check_processes(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                self.violation("Own ends", f"{name} has ended by itself with {process.returncode}")

    async def start_all(self):
        for endpoint in self.endpoints.values():
            await endpoint.listen()
        await self.client.listen()
        for name in self.fields:
            self.start(name)
        self.tasks = [asyncio.create_task(self.router.probe(node)) for node in self.router.nodes]
        await asyncio.sleep(ENDPOINT_DELAY)
        if any(process.poll() is not None for process in self.processes.values()):
            raise CannotRun("a process of the system did not start")
        for endpoint in self.endpoints.values():
            await endpoint.start()
            await asyncio.sleep(self.endpoint_gap)

    async def wait_until_served(self, route, seconds=10.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            flow = await self.client.open(route)
            if isinstance(flow, ClientFlow):
                answer = await self.client.ask(flow, 1.0)
                self.client.close(flow)
                if answer is not None and not answer.startswith("reset"):
                    return True
            else:
                await asyncio.sleep(0.1)
        return False

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self.store.server.shutdown()
        self.record_path.write_text("\n".join(self.record) + "\n")
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(host, port, **fields):
    return {"name": f"r-{port}", "host": host, "prefix": f"/{port}/", "kind": "safe", "timeoutMs": 3000, "latencyGoalMs": 200, "priority": 1, "maxAttempts": 2, **fields}


def service(name, cold_per_second=0.0, cold_seconds=2.0):
    return {"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": False, "coldStartS": cold_seconds, "coldPerS": cold_per_second}


async def load(world, address, per_second, seconds):
    """Opens flows at a fixed rate and sends one request in each. Returns the number of those that were answered."""
    answered, tasks, begin = [], [], time.monotonic()

    async def use():
        flow = await world.client.open(address)
        if isinstance(flow, ClientFlow):
            answer = await world.client.ask(flow)
            if answer is not None and not answer.startswith("reset"):
                answered.append(answer)
            world.client.close(flow)

    for number in range(int(per_second * seconds)):
        await asyncio.sleep(max(0.0, begin + number / per_second - time.monotonic()))
        tasks.append(asyncio.create_task(use()))
    await asyncio.gather(*tasks)
    return len(answered)


def check_failback(world, cold_per_second, factor=1.5, slack=5):
    """FAILBACK: counts the openings that were sent to a cold endpoint and arrived there inside one second."""
    limit = cold_per_second * factor + slack
    for endpoint in world.endpoints.values():
        cold = sorted(entry[:3] for entry in endpoint.openings if entry[3])
        counts = [(sum(1 for sent, arrived, lifetime in cold if sent >= begin and arrived < begin + 1 and lifetime == of), begin, of) for begin, _, of in cold]
        if counts:
            most, begin, lifetime = max(counts)
            text = f"{endpoint.name}, lifetime {lifetime}, took {most} openings inside one second from {begin - world.begin:.3f} s on while cold; limit {cold_per_second} x {factor} + {slack} = {limit}"
            world.log(text)
            if most > limit:
                world.violation("FAILBACK", text)


class CannotRun(Exception):
    pass


def end_tasks(loop, seconds=1.0):
    """Cancels all tasks, and waits for them for a limited time: asyncio.wait_for may lose a cancellation in Python 3.11."""
    asyncio.set_event_loop(loop)
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks, timeout=seconds))
    for task in tasks:
        task._log_destroy_pending = False  # One that lost its cancellation ends with the process.


def main(scenario, make_world):
    """Runs a scenario. Exit code: 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    world = make_world()
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))

    async def run():
        await world.start_all()
        await scenario(world, with_trouble)
        world.check_processes()
        for endpoint in world.endpoints.values():
            endpoint.is_up = False  # Starts no further work while the loop ends.

    loop = asyncio.new_event_loop()
    try:
        loop.run_until_complete(run())
    except Exception as error:  # CannotRun, or a fault of the script: says nothing about the system.
        world.log(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        try:
            end_tasks(loop)
        finally:
            world.end()
    print("\n".join(world.violations) if world.violations else "held")
    return 1 if world.violations else 0
