"""Stand-ins of the platform for the cases of the third sitting: store, endpoints, clients, and the start and stop of the programs.

Each program has a loopback address of its own. Programs are started by the commands and templates of deploy/system.toml,
with free ports and a temporary folder. Everything that is sent, answered and run goes to record.txt of the case.
"""

import base64
import heapq
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlparse

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct(">IIBIIHHIHI")  # seq, ack, flags, sum, dst, dport, sport, src, len, echo
SYN, FIN, RST, BOUNCED, ACK = 1, 4, 8, 16, 64
METRICS_PORT = 9464  # In the templates; replaced by a free port.

# A small deployment: the figures of engravedesk.
HEARTBEAT_MS = 770
CONTACT_S = 4.0
CONFIG_APPLY_S = 3.0
IDLE_TIMEOUT_MS = 12000
MAX_FLOW_S = 60
RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)


def address_number(host):
    return struct.unpack(">I", socket.inet_aton(host))[0]


def address_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def pack(source, target, flags, seq=0, ack=0, data=b""):
    """One packet; source and target are (address, port). The sum is not checked by the system: the ends use a fixed one."""
    check = 0x5EA1 if not flags & RST else 0x5EA2
    return HEADER.pack(seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, flags, check, address_number(target[0]), target[1], source[1], address_number(source[0]), len(data), 0) + data


class Packet:
    def __init__(self, raw):
        self.raw = raw
        self.seq, self.ack, self.flags, self.sum, dst, dport, sport, src, length, _ = HEADER.unpack(raw[: HEADER.size])
        self.source, self.target = (address_text(src), sport), (address_text(dst), dport)
        self.data = raw[HEADER.size : HEADER.size + length]


def free_ports(count):
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """record.txt: one line for each event, with seconds since the start."""

    def __init__(self, path):
        self.file, self.lock, self.started = open(path, "w", encoding="utf-8"), threading.Lock(), time.monotonic()

    def write(self, *words):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:9.4f} {' '.join(str(word) for word in words)}\n")
            self.file.flush()


class Store:
    """The metadata store: items, conditions, leases, ranges and watches as the page on the protocol says."""

    def __init__(self, lab, port):
        self.lab, self.items, self.events, self.leases, self.revision = lab, {}, [], {}, 10
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
                code, reply = store.handle(self.command, url.path, query, json.loads(body or b"{}"))
                text = json.dumps(reply).encode()
                try:
                    self.send_response(code)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(text)))
                    self.end_headers()
                    self.wfile.write(text)
                except OSError:
                    pass  # The program that asked was stopped.

            do_GET = do_POST = do_DELETE = answer

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, address):
                pass

        self.server = Server(("127.0.0.1", port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                for lease in [lease for lease, (end, _) in self.leases.items() if end < time.monotonic()]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.revision += 1
            del self.items[key]
            self.note({"key": key, "revision": self.revision, "removed": True})

    def note(self, event):
        self.events.append(event)
        self.changed.notify_all()

    def write(self, key, text, lease=0):
        """A write of the operator, or of a transaction at the present revision. The caller holds the lock or is the operator."""
        with self.changed:
            self.revision += 1
            self.set_item(key, base64.b64encode(text.encode()).decode(), lease)

    def set_item(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.note(dict(self.items[key]))

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.note({"key": key, "revision": self.revision, "removed": True})

    def handle(self, method, path, query, body):
        with self.changed:
            if method == "GET" and path == "/kv-key":
                item = self.items.get(query["key"])
                return (200, {**item, "asOf": self.revision}) if item else (404, {})
            if method == "GET" and path == "/kv-range":
                found = sorted((item for key, item in self.items.items() if key.startswith(query["prefix"]) and key > query.get("after", "")), key=lambda item: item["key"])
                return 200, {"items": found[:500], "hasMore": len(found) > 500, "asOf": self.revision}
            if method == "GET" and path == "/kv-watch":
                end = time.monotonic() + int(query["waitMs"]) / 1000
                while True:
                    found = [event for event in self.events if event["revision"] > int(query["after"]) and event["key"].startswith(query["prefix"])]
                    if found or time.monotonic() >= end:
                        return 200, {"events": found, "asOf": self.revision}
                    self.changed.wait(min(1.0, max(0.01, end - time.monotonic())))
            if method == "POST" and path == "/kv-lease":
                lease, ttl = len(self.leases) + random.randrange(1, 1 << 30), max(1000, int(body["ttlMs"]))
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": lease, "ttlMs": ttl}
            if method == "POST" and path.startswith("/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                self.leases[lease] = (time.monotonic() + self.leases[lease][1] / 1000, self.leases[lease][1])
                return 200, {"ttlMs": self.leases[lease][1]}
            if method == "DELETE" and path.startswith("/kv-lease-end/"):
                self.end_lease(int(path.rsplit("/", 1)[1]))
                return 200, {}
            if method == "POST" and path == "/kv-txn":
                return self.transact(body)
        return 404, {}

    def transact(self, body):
        stated = {row["key"]: row["revision"] for row in body.get("expectedRev", [])}
        if any((self.items[key]["revision"] if key in self.items else 0) != revision for key, revision in stated.items()):
            return 412, {"items": [self.items[key] for key in stated if key in self.items]}
        if any(write["lease"] and write["lease"] not in self.leases for write in body.get("writes", [])):
            return 404, {}
        if any(write["key"].startswith(("op/", "servers/")) for write in body.get("writes", [])):
            return 403, {}
        self.revision += 1
        for write in body.get("writes", []):
            self.set_item(write["key"], write["value"], write["lease"])
        for key in body.get("deletes", []):
            if self.items.pop(key, None):
                self.note({"key": key, "revision": self.revision, "removed": True})
        return 200, {"revision": self.revision}


class Endpoint:
    """One endpoint beside an agent: flows, slots, a queue, heartbeats and status checks."""

    def __init__(self, lab, name, host, service, slots=5, work_s=0.03):
        self.lab, self.name, self.host, self.service, self.slots, self.work_s = lab, name, host, service, slots, work_s
        self.app, self.outbound, self.control = (host, lab.app_port), (host, lab.outbound_port), (host, lab.control_port)
        self.lock = threading.RLock()
        self.flows, self.lifetime, self.state, self.is_up = {}, 0, "ready", False
        self.cold_until = 0.0
        self.openings = []  # (monotonic time, client's end) of each opening packet that was taken.
        self.work = threading.Condition(self.lock)
        self.queue = []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.socket.bind(self.app)
        for target in (self.receive, self.beat, self.check_status, self.retransmit, *([self.serve] * slots)):
            threading.Thread(target=target, daemon=True).start()

    # The life of the endpoint

    def start(self, cold_s=0.0):
        with self.lock:
            self.lifetime += 1
            self.id, self.born, self.beats = f"i-{self.name}-{self.lifetime}", int(time.time() * 1000), 0
            self.flows, self.queue, self.state, self.is_up = {}, [], "ready", True
            self.cold_until = time.monotonic() + cold_s
            self.listener = socket.create_server(self.app, backlog=64)
        self.lab.record.write("endpoint", self.name, "starts, lifetime", self.lifetime, "service", self.service)
        self.heartbeat()

    def crash(self):
        with self.lock:
            self.is_up = False
            self.flows, self.queue = {}, []
            self.listener.close()
        self.lab.record.write("endpoint", self.name, "crashes")

    def heartbeat(self):
        with self.lock:
            self.beats += 1
            cold_left = max(0, int((self.cold_until - time.monotonic()) * 1000))
            body = {"service": self.service, "address": "%s:%d" % self.app, "zone": self.lab.zones[self.host], "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": cold_left, "seq": self.beats, "born": self.born}
            url = "http://%s:%d/Endpoints.Heartbeat/%s" % (*self.control, self.id)
        try:
            request = urllib.request.Request(url, json.dumps(body).encode(), {"Content-Type": "application/json"}, method="POST")
            with urllib.request.urlopen(request, timeout=1) as answer:
                return 200 <= answer.status < 300
        except (OSError, urllib.error.URLError):
            return False

    def leave(self):
        """Ends as planned: says that it shuts down, and exits."""
        body = json.dumps({"born": self.born}).encode()
        try:
            request = urllib.request.Request("http://%s:%d/Endpoints.Deregister/%s" % (*self.control, self.id), body, {"Content-Type": "application/json"}, method="POST")
            urllib.request.urlopen(request, timeout=1).close()
        except (OSError, urllib.error.URLError):
            pass
        with self.lock:
            self.is_up = False
            self.flows, self.queue = {}, []
            self.listener.close()
        self.lab.record.write("endpoint", self.name, "has left")

    def beat(self):
        while True:
            time.sleep(HEARTBEAT_MS / 1000 * random.uniform(0.95, 1.05))
            if self.is_up:
                self.heartbeat()

    def check_status(self):
        while True:
            if not self.is_up:
                time.sleep(0.01)
                continue
            try:
                self.listener.settimeout(0.2)
                connection, _ = self.listener.accept()
                with connection:
                    connection.settimeout(0.2)
                    connection.recv(1024)
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            except OSError:
                continue

    # Packets

    def send(self, flow, flags, seq, ack, data=b""):
        self.socket.sendto(pack(flow["server"], flow["client"], flags, seq, ack, data), self.outbound)

    def receive(self):
        while True:
            raw = self.socket.recv(4096)
            if self.is_up and len(raw) >= HEADER.size:
                with self.lock:
                    self.handle(Packet(raw))

    def bounce(self, packet):
        raw = bytearray(packet.raw)
        raw[8] |= BOUNCED
        self.socket.sendto(bytes(raw), self.outbound)

    def handle(self, packet):
        key = (packet.source, packet.target)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = {"client": packet.source, "server": packet.target, "first": random.getrandbits(32), "open": False, "unacked": None, "answered": {}, "packets": 0, "syn_at": time.monotonic(), "syn_sends": 0}
                flow["next"] = (flow["first"] + 1) & 0xFFFFFFFF
                flow["expected"] = (packet.seq + 1) & 0xFFFFFFFF
                self.flows[key] = flow
                self.openings.append((time.monotonic(), packet.source))
                self.lab.record.write("endpoint", self.name, "takes the opening of", flow_name(key))
            self.send(flow, SYN | ACK, flow["first"], flow["expected"])
            return
        if flow is not None and not flow["open"]:
            if packet.flags & ACK and packet.ack == (flow["first"] + 1) & 0xFFFFFFFF:
                flow["open"] = True
                self.lab.record.write("endpoint", self.name, "has open", flow_name(key))
            else:
                flow = None  # The packet acknowledges another endpoint's answer: its flow is not held here.
        if flow is None:
            self.lab.record.write("endpoint", self.name, "returns a packet of", flow_name(key))
            self.bounce(packet)
            return
        if packet.flags & RST:
            self.flows.pop(key)
            return
        if packet.flags & ACK and flow["unacked"] and (packet.ack - flow["unacked"][0] - len(flow["unacked"][1])) & 0xFFFFFFFF < 1 << 31:
            flow["unacked"] = None
        if packet.data:
            flow["packets"] += 1
            if packet.seq == flow["expected"]:
                flow["expected"] = (packet.seq + len(packet.data)) & 0xFFFFFFFF
                self.queue.append((key, flow, packet.data, self.lifetime))
                self.work.notify()
            elif packet.seq in flow["answered"] and flow["unacked"] is None:
                self.send(flow, ACK, *flow["answered"][packet.seq])
                return
            else:
                self.send(flow, ACK, flow["next"], flow["expected"])  # A copy: acknowledged at once.
        if packet.flags & FIN:
            self.send(flow, FIN | ACK, flow["next"], (flow["expected"] + 1) & 0xFFFFFFFF)
            self.flows.pop(key)

    def serve(self):
        while True:
            with self.work:
                while not self.queue:
                    self.work.wait()
                key, flow, data, lifetime = self.queue.pop(0)
            found = re.search(rb"Attempt-Id: (\S+)", data)
            attempt = found[1].decode() if found else "unknown"
            self.lab.record.write("endpoint", self.name, "runs", attempt, "of", flow_name(key))
            self.lab.runs.append((attempt, self.name, self.service))
            time.sleep(self.work_s)
            with self.lock:
                if lifetime != self.lifetime or not self.is_up or self.flows.get(key) is not flow:
                    continue
                body = f"{attempt}\n".encode()
                answer = b"HTTP/1.1 200 OK\r\nX-Lavenderyard-Response-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s" % (self.name.encode(), len(body), body)
                flow["unacked"] = [flow["next"], answer, time.monotonic(), 0, flow["expected"]]
                self.send(flow, ACK, flow["next"], flow["expected"], answer)
                flow["next"] = (flow["next"] + len(answer)) & 0xFFFFFFFF

    def retransmit(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                for key, flow in list(self.flows.items()):
                    now = time.monotonic()
                    if not flow["open"]:
                        sends = flow["syn_sends"]
                        if sends >= len(RETRANSMIT_S):
                            if now - flow["syn_at"] >= RETRANSMIT_S[-1]:
                                del self.flows[key]  # Gives up.
                        elif now - flow["syn_at"] >= RETRANSMIT_S[sends]:
                            flow["syn_at"], flow["syn_sends"] = now, sends + 1
                            self.send(flow, SYN | ACK, flow["first"], flow["expected"])
                    elif flow["unacked"]:
                        seq, data, sent, sends, ack = flow["unacked"]
                        if sends >= len(RETRANSMIT_S):
                            del self.flows[key]
                        elif now - sent >= RETRANSMIT_S[sends]:
                            flow["unacked"][2], flow["unacked"][3] = now, sends + 1
                            self.send(flow, ACK, seq, ack, data)

    def holds(self, flow):
        """True if a client's flow is open at this endpoint."""
        with self.lock:
            found = self.flows.get((flow.client, flow.route))
            return self.is_up and found is not None and found["open"]


def flow_name(key):
    return "%s:%d>%s:%d" % (*key[0], *key[1])


class Flow:
    """A client's end of one flow. The router's choice of a balancer is `via`, which may change at any time."""

    def __init__(self, clients, port, route, via):
        self.clients, self.client, self.route, self.via = clients, (clients.host, port), route, via
        self.packets = []
        self.arrived = threading.Condition()
        self.seq, self.ack, self.is_open, self.reset_by, self.owner = random.getrandbits(32), 0, False, None, None
        self.opened_at, self.sent_at = None, None

    @property
    def name(self):
        return flow_name((self.client, self.route))

    def send(self, flags, data=b"", ack=None, seq=None):
        packet = pack(self.client, self.route, flags, self.seq if seq is None else seq, self.ack if ack is None else ack, data)
        self.clients.socket.sendto(packet, (self.via, self.clients.lab.fabric_port))

    def deliver(self, packet):
        record = self.clients.lab.record
        if packet.flags & RST:
            made = "the system" if packet.sum == 0 else "an endpoint"
            record.write("client", self.name, "gets a reset made by", made, "while the flow is", "open" if self.is_open else "not open")
        with self.arrived:
            if packet.flags & RST:
                self.reset_by = "system" if packet.sum == 0 else "endpoint"
            self.packets.append(packet)
            self.arrived.notify_all()

    def next_packet(self, until):
        with self.arrived:
            while not self.packets:
                left = until - time.monotonic()
                if left <= 0:
                    return None
                self.arrived.wait(left)
            return self.packets.pop(0)

    def open(self):
        """Opens the flow as clients do: an opening packet, copies after 200 and 600 ms, an end after 1.4 s."""
        started = self.sent_at = time.monotonic()
        self.clients.lab.record.write("client", self.name, "opens via", self.via)
        for copy, end in enumerate((0.2, 0.6, 1.4)):
            self.send(SYN, ack=copy)
            while (packet := self.next_packet(started + end)) is not None:
                if packet.flags & RST:
                    return False
                if packet.flags & SYN:
                    self.seq, self.ack, self.is_open, self.opened_at = (self.seq + 1) & 0xFFFFFFFF, (packet.seq + 1) & 0xFFFFFFFF, True, time.monotonic()
                    self.send(ACK)
                    return True
        return False

    def ask(self, attempt, seconds=2.5):
        """Sends one request and waits for its answer: the name of the endpoint, "reset", or None at the end of the time budget."""
        data = b"POST /order HTTP/1.1\r\nHost: shop\r\nX-Lavenderyard-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n" % attempt.encode()
        self.clients.lab.record.write("client", self.name, "sends", attempt, "via", self.via)
        end, seq, sends = time.monotonic() + seconds, self.seq, 0
        while time.monotonic() < end:
            self.send(ACK, data, seq=seq)
            until = min(end, time.monotonic() + RETRANSMIT_S[min(sends, len(RETRANSMIT_S) - 1)])
            sends += 1
            while (packet := self.next_packet(until)) is not None:
                if packet.flags & RST and packet.sum == 0:
                    return "reset"
                if packet.flags & SYN or not packet.data or packet.seq != self.ack:
                    continue  # A copy, or another endpoint's answer to the opening.
                self.seq = (seq + len(data)) & 0xFFFFFFFF
                self.ack = (packet.seq + len(packet.data)) & 0xFFFFFFFF
                self.send(ACK)
                stamp = re.search(rb"Response-Stamp: (\S+)", packet.data)[1].decode()
                answered = packet.data.split(b"\r\n\r\n", 1)[1].decode().strip()
                self.clients.lab.record.write("client", self.name, "gets the answer to", answered, "of", stamp)
                if answered == attempt:
                    self.owner = stamp
                    return stamp
        self.clients.lab.record.write("client", self.name, "gets no answer to", attempt)
        return None


class Clients:
    """All clients of one address; flows differ by the client's port."""

    def __init__(self, lab, host):
        self.lab, self.host, self.flows, self.next_port = lab, host, {}, 1024
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.socket.bind((host, lab.fabric_port))
        threading.Thread(target=self.receive, daemon=True).start()

    def receive(self):
        while True:
            raw = self.socket.recv(4096)
            packet = Packet(raw)
            flow = self.flows.get((packet.target, packet.source))
            if flow is not None:
                flow.deliver(packet)

    def flow(self, route, via):
        self.next_port += 1
        flow = Flow(self, self.next_port, route, via)
        self.flows[(flow.client, flow.route)] = flow
        return flow


class Lab:
    """The programs of one case and the stand-ins around them."""

    def __init__(self, case):
        self.case = Path(case)
        self.record = Record(self.case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="lavender-review-"))
        self.processes, self.zones, self.fields, self.runs, self.stopped = {}, {}, {}, [], []
        self.fabric_port, self.ready_port, self.control_port, self.outbound_port, self.app_port, self.internal_port, self.metrics_port, self.store_port = free_ports(8)
        self.deploy = read_roles((ROOT / "deploy" / "system.toml").read_text())
        self.store = Store(self, self.store_port)
        self.balancers, self.seeds, self.binds, self.numbers = {}, [], {}, itertools.count()
        self.network = Network(self)

    def write_manifest(self, version, routes, services):
        """@p routes: (port, service). @p services: (name, coldPerS)."""
        document = {
            "version": version,
            "routes": [{"name": f"r{port}", "host": "198.18.0.1", "prefix": f"/{port}/", "service": service, "kind": "safe", "timeoutMs": 2500, "latencyGoalMs": 150, "priority": 2, "maxAttempts": 1} for port, service in routes],
            "services": [{"name": name, "healthPath": "/health", "maxConns": 2000, "coldStartS": 2.0, "coldPerS": cold} for name, cold in services],
            "limits": {"idleTimeoutMs": IDLE_TIMEOUT_MS},
        }
        self.store.write("op/config", json.dumps(document))
        self.record.write("operator writes version", version, "routes", routes)

    def add(self, name, host, zone, service=None, has_proxy=False):
        """Describes one machine; start() starts its program. With a proxy the machine can be cut off from the others."""
        if has_proxy:
            self.binds[name] = self.network.add(name, host)
        self.zones[host] = zone
        listen = {"datagramAddr": f"{host}:{self.fabric_port}", "ready": f"{host}:{self.ready_port}", "control": f"{host}:{self.control_port}", "outbound": f"{host}:{self.outbound_port}"}
        self.fields[name] = {"role": "agent" if service else "balancer", "ip": host, "zone": zone, "service": service, "app": f"{host}:{self.app_port}", "listen": listen, "internalPorts": [self.internal_port, self.internal_port], "seeds": self.seeds, "heartbeatMs": HEARTBEAT_MS, "limits": {"linkMbps": 1000.0}, "platform": {"address": f"127.0.0.1:{self.store_port}"}}
        if service is None:
            self.balancers[name] = host
            if len(self.seeds) < 3:
                self.seeds.append(f"{host}:{self.control_port}")

    def start(self, *names):
        for name in names:
            role = self.deploy[self.fields[name]["role"]]
            path = self.folder / f"{name}.json"
            text = render((ROOT / role["template"]).read_text(), self.fields[name]).replace(f":{METRICS_PORT}\"", f":{self.metrics_port}\"")
            if name in self.binds:
                text = text.replace('"listen"', f'"bind": "{self.binds[name]}:{self.internal_port}",\n  "listen"', 1)
            path.write_text(text)
            command = [str(path) if word.startswith("/etc/") else word for word in role["run"].split()]
            command[0] = str(ROOT / command[0])
            with open(self.folder / f"{name}.log", "ab") as log:
                environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
                self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT, env={**environment, "LAVENDERYARD_BOOT": str(path)})
            self.record.write("platform starts", name)

    def cut(self, *names):
        self.record.write("network cuts off", *names)
        self.network.cut = set(names)

    def heal(self):
        self.record.write("network heals")
        self.network.cut = set()

    def slow_down(self, name, seconds):
        """From now on the machine handles each message of the others only after @p seconds; 0 ends it."""
        self.record.write(name, "runs slow: messages are handled after", seconds, "s")
        self.network.slow_s[name] = seconds

    def signal(self, name, number):
        self.record.write("platform sends", signal.Signals(number).name, "to", name)
        self.processes[name].send_signal(number)

    def restart(self, name, grace=6.0, pause=0.5):
        """SIGTERM, SIGKILL after the time of grace, and a new start after a short delay."""
        self.signal(name, signal.SIGTERM)
        try:
            code = self.processes[name].wait(grace)
            self.record.write("program", name, "ends with", code)
        except subprocess.TimeoutExpired:
            self.processes[name].kill()
            self.processes[name].wait()
        time.sleep(pause)
        self.start(name)

    def is_ready(self, name):
        try:
            with urllib.request.urlopen("http://%s:%d/ready" % (self.fields[name]["ip"], self.ready_port), timeout=0.5) as answer:
                return answer.status == 200
        except (OSError, urllib.error.URLError):
            return False

    def wait_until(self, what, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise Unable(f"{what}: not within {seconds} s")

    def ended(self):
        """Programs that ended by themselves."""
        return [(name, process.returncode) for name, process in self.processes.items() if process.poll() is not None]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, self.case / "logs", dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def read_roles(text):
    """The command and the template of each role of the deploy file."""
    roles = {}
    for name, section in re.findall(r"^\[roles\.(\w+)\]\n((?:[^\[\n].*\n|\n)*)", text, re.M):
        roles[name] = dict(re.findall(r'^(run|template) = "(.*)"$', section, re.M))
    return roles


class Network:
    """Proxies on the addresses between programs.

    They can cut machines off: then they drop what comes from or goes to such a machine. They can delay datagrams: by the way between
    two zones, and by the time that a slow machine takes until it handles them.
    """

    def __init__(self, lab):
        self.lab, self.cut, self.machines = lab, set(), {}
        self.zone_s, self.slow_s = 0.0, {}
        self.waiting, self.has_waiting = [], threading.Condition()
        threading.Thread(target=self.deliver, daemon=True).start()

    def delay(self, source, target):
        way = self.zone_s if source in self.lab.fields and self.lab.fields[source]["zone"] != self.lab.fields[target]["zone"] else 0.0
        return way + self.slow_s.get(target, 0.0)

    def deliver(self):
        """Sends delayed datagrams when they are due."""
        with self.has_waiting:
            while True:
                if not self.waiting:
                    self.has_waiting.wait()
                    continue
                due, _, datagrams, data, target = self.waiting[0]
                left = due - time.monotonic()
                if left > 0:
                    self.has_waiting.wait(left)
                    continue
                heapq.heappop(self.waiting)
                datagrams.sendto(data, target)

    def add(self, name, host):
        """Opens the proxy of a machine. @return The address that the program itself binds."""
        inner = host.split(".")
        inner[2] = str(int(inner[2]) + 100)
        inner = ".".join(inner)
        self.machines[inner] = name
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        datagrams.bind((host, self.lab.internal_port))
        streams = socket.create_server((host, self.lab.internal_port), backlog=64)
        threading.Thread(target=self.pass_datagrams, args=(name, datagrams, inner), daemon=True).start()
        threading.Thread(target=self.pass_streams, args=(name, streams, inner), daemon=True).start()
        return inner

    def is_cut(self, source, target):
        return source != target and (source in self.cut or target in self.cut)

    def pass_datagrams(self, name, datagrams, inner):
        while True:
            try:
                data, source = datagrams.recvfrom(65536)
            except ConnectionError:
                continue  # The program does not listen now.
            sender, target = self.machines.get(source[0]), (inner, self.lab.internal_port)
            if self.is_cut(sender, name):
                continue
            delay = self.delay(sender, name)
            if delay == 0:
                datagrams.sendto(data, target)
                continue
            with self.has_waiting:
                heapq.heappush(self.waiting, (time.monotonic() + delay, next(self.lab.numbers), datagrams, data, target))
                self.has_waiting.notify()

    def pass_streams(self, name, streams, inner):
        while True:
            connection, source = streams.accept()
            threading.Thread(target=self.pass_stream, args=(name, connection, source[0], inner), daemon=True).start()

    def pass_stream(self, name, connection, source, inner):
        """Connections are short: one request, one answer. One of a machine that is cut off hangs until its program gives up."""
        with connection:
            try:
                if source in self.machines and self.is_cut(self.machines[source], name) or name in self.cut or self.cut and source not in self.machines:
                    connection.settimeout(10)
                    connection.recv(1)
                    while connection.recv(4096):
                        pass
                    return
                with socket.create_connection((inner, self.lab.internal_port), timeout=3) as target:
                    back = threading.Thread(target=self.copy, args=(target, connection), daemon=True)
                    back.start()
                    self.copy(connection, target)
                    back.join(5)
            except OSError:
                pass

    @staticmethod
    def copy(source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            pass


class Unable(Exception):
    """The case could not run."""


def render(template, fields):
    """The part of the platform's template language that deploy/ uses."""

    def value(path, scope):
        for part in path.split("."):
            scope = scope[int(part)] if isinstance(scope, list) else scope[part]
        return scope

    def section(match):
        try:
            found = value(match[1], fields)
        except (KeyError, IndexError):
            found = None
        entries = found if isinstance(found, list) else [found] if found else []
        separators = [","] * (len(entries) - 1) + [""]
        return "".join(match[2].replace("{{.|json}}", json.dumps(entry)).replace("{{,}}", separator) for entry, separator in zip(entries, separators))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(value(match[1], fields)), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match[1], fields)), text)


def run_case(case, body):
    """Runs @p body(lab, trouble); it returns a list of broken rules. Ends with 1 if there are any, 0 if none, 2 if the case could not run."""
    lab = Lab(case)
    code = 2

    def stop(number, frame):
        raise Unable(f"stopped by {signal.Signals(number).name}")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        broken = body(lab, os.environ.get("TROUBLE", "1") != "0")
        for line in broken:
            lab.record.write("BROKEN", line)
            print(line)
        code = 1 if broken else 0
        lab.record.write("verdict:", "the rule was broken" if broken else "the rule held")
    except Exception as reason:  # Whatever it is, the case has not run to its end.
        code = 2
        lab.record.write("unable:", repr(reason))
        print("unable:", repr(reason))
    finally:
        lab.stop()
    sys.stdout.flush()
    os._exit(code)
