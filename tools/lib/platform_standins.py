"""Stand-ins for the platform: its store, upstreams and callers. Settings come from the templates in deploy/."""

import base64
import json
import re
import signal
import socket
import struct
import subprocess
import threading
import time
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlparse

from fleet import free_ports

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct(">IIBIIHHIHI")  # Packet header: seq, ack, flags, sum, dst, dport, sport, src, len, echo.
SYN, FIN, RST, RETURNED, ACK = 1, 4, 8, 16, 64
OPENING_SEND_SECONDS = (0, 0.2, 0.6)  # When a caller sends its opening packet and two copies, from the start.
OPEN_TIMEOUT_SECONDS = 1.4  # From the start.
HEARTBEAT_SECONDS = 0.25
METRICS_PORT = 9464  # In the templates of deploy/; tests replace it by a free port.


def host_to_int(host):
    return struct.unpack(">I", socket.inet_aton(host))[0]


def pack(source, destination, flags, seq=0, ack=0, data=b""):
    """Returns a packet. Source and destination are (host, port)."""
    source_host, destination_host = host_to_int(source[0]), host_to_int(destination[0])
    return HEADER.pack(seq, ack, flags, 0, destination_host, destination[1], source[1], source_host, len(data), 0) + data


def unpack(packet):
    seq, ack, flags, _, dst, dport, sport, src, length, _ = HEADER.unpack(packet[: HEADER.size])
    host = lambda value: socket.inet_ntoa(struct.pack(">I", value))
    data = packet[HEADER.size : HEADER.size + length]
    return {"seq": seq, "ack": ack, "flags": flags, "to": (host(dst), dport), "from": (host(src), sport), "data": data}


class Store:
    """The metadata store, with revisions, leases and long polls. While `down` is set it answers 503."""

    def __init__(self, host, port):
        self.items, self.leases, self.revision, self.down, self.era = {}, {}, 10, False, 1
        self.copies = []  # Monotonic time, items and revision after each change.
        self.changed = threading.Condition()
        self.events = []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def answer(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                url = urlparse(self.path)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                code, reply = (503, {}) if store.down else store.handle_request(self.command, url.path, query, json.loads(body or "{}"))
                text = json.dumps(reply).encode()
                self.send_response(code)
                self.send_header("Content-Length", str(len(text)))
                self.send_header("Store-Era", str(store.era))
                self.end_headers()
                try:
                    self.wfile.write(text)
                except BrokenPipeError:
                    pass  # The process that sent the request was stopped.

            do_GET = do_POST = do_DELETE = answer

        self.server = ThreadingHTTPServer((host, port), Handler)
        self.server.handle_error = lambda request, address: None  # Stopped processes leave broken connections; do not print them.
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            item = {
                "key": key,
                "value": base64.b64encode(value.encode()).decode(),
                "revision": self.revision,
                "created": self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.record(item)

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.record({"key": key, "revision": self.revision, "removed": True})

    def record(self, event):
        """Keeps a change for watches, and a copy of the content after it. The caller holds `changed`."""
        self.events.append(event)
        self.copies.append((time.monotonic(), dict(self.items), self.revision))
        self.changed.notify_all()

    def restore(self, moment):
        """Replaces the content by that of a monotonic time: later writes and all leases are lost, and a new era begins."""
        with self.changed:
            _, items, self.revision = next((copy for copy in reversed(self.copies) if copy[0] <= moment), (0, {}, 10))
            self.items = {key: item for key, item in items.items() if not item["lease"]}
            self.events, self.copies, self.leases = [], [(moment, dict(self.items), self.revision)], {}
            self.era += 1
            self.changed.notify_all()

    def operator_writes(self):
        """Returns the values of all keys that operators write."""
        with self.changed:
            return {key: base64.b64decode(item["value"]).decode() for key, item in self.items.items() if key.startswith("op/")}

    def handle_request(self, method, path, query, body):
        """Returns the status code and the JSON answer. /kv-watch is a long poll: it waits for an event up to `waitMs`."""
        if path == "/kv-range":
            with self.changed:
                found = sorted((item for key, item in self.items.items() if key.startswith(query["prefix"])), key=lambda item: item["key"])
                return 200, {"items": found, "hasMore": False, "asOf": self.revision}
        if path == "/kv-watch":
            after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
            with self.changed:
                era = self.era
                while True:
                    if era != self.era or after > self.revision:
                        return 410, {}
                    found = [event for event in self.events if event["revision"] > after and event["key"].startswith(query["prefix"])]
                    if found or time.monotonic() >= end or self.down:
                        return 200, {"events": found, "asOf": self.revision}
                    self.changed.wait(0.1)
        if path == "/kv-lease":
            self.leases[len(self.leases) + 1] = []
            return 200, {"lease": len(self.leases), "ttlMs": body["ttlMs"]}
        if path.startswith("/kv-keep/"):
            return 200, {"ttlMs": 1000}
        if path.startswith("/kv-lease-end/"):
            for key in self.leases.get(int(path.rsplit("/", 1)[1]), []):
                self.remove(key)
            return 200, {}
        if path == "/kv-txn":
            for write in body["writes"]:
                self.put(write["key"], base64.b64decode(write["value"]).decode(), write["lease"])
                self.leases.setdefault(write["lease"], []).append(write["key"])
            return 200, {"revision": self.revision}
        return 404, {}


class Upstream:
    """Answers requests behind its agent. `crash` and `start` begin a new lifetime at the same address, without the old flows."""

    def __init__(self, settings, service, name):
        listen = settings["listen"]
        addresses = (settings["app"], listen["outbound"], listen["control"])
        self.app_address, self.outbound_address, self.control_address = (tuple((part.split(":")[0], int(part.split(":")[1]))) for part in addresses)
        self.service, self.name, self.lifetime, self.state, self.is_up = service, name, 0, "ready", False
        self.opening_times = []  # Monotonic times at which flows were opened.
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(self.app_address)
        threading.Thread(target=self.serve, daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()
        self.start()

    def start(self):
        self.flows, self.lifetime, self.heartbeats_sent, self.state = {}, self.lifetime + 1, 0, "ready"
        self.born = int(time.time() * 1000)
        self.listener = socket.create_server(self.app_address)  # Status checks connect here.
        self.is_up = True

    def crash(self):
        self.is_up = False
        self.listener.close()

    def heartbeat(self):
        """Sends one heartbeat to the agent and returns whether it was acknowledged."""
        self.heartbeats_sent += 1
        body = {
            "service": self.service,
            "address": "%s:%d" % self.app_address,
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.heartbeats_sent,
            "born": self.born,
        }
        url = "http://%s:%d/Endpoints.Heartbeat/%s-%d" % (*self.control_address, self.name, self.lifetime)
        request = urllib.request.Request(url, json.dumps(body).encode(), method="POST")
        try:
            with urllib.request.urlopen(request, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def send_heartbeats(self):
        while True:
            if self.is_up:
                self.heartbeat()
            time.sleep(HEARTBEAT_SECONDS)

    def serve(self):
        while True:
            packet = self.socket.recv(2048)
            if not self.is_up:
                continue
            head = unpack(packet)
            flow = (head["from"], head["to"])
            if head["flags"] & SYN:
                if flow not in self.flows:
                    self.flows[flow] = 1000 * self.lifetime + len(self.flows)
                    self.opening_times.append(time.monotonic())
                self.send(flow, SYN | ACK, self.flows[flow], 1)
            elif flow not in self.flows:
                returned = bytearray(packet)
                returned[8] |= RETURNED
                self.socket.sendto(bytes(returned), self.outbound_address)
            elif head["data"]:
                self.send(flow, ACK, self.flows[flow] + 1, head["seq"] + len(head["data"]), f"{self.name}-{self.lifetime}".encode())

    def send(self, flow, flags, seq, ack, data=b""):
        self.socket.sendto(pack(flow[1], flow[0], flags, seq, ack, data), self.outbound_address)


class Caller:
    """Opens flows through a chosen balancer and sends requests in them."""

    def __init__(self, host, port, balancers):
        self.host, self.balancers, self.next_port = host, balancers, 40000
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, port))

    def send(self, flow, packet, balancer=0):
        self.socket.sendto(packet, self.balancers[balancer % len(self.balancers)])

    def receive(self, flow, until):
        """Returns the next packet of the flow, or None where none came until the given monotonic time."""
        while (left := until - time.monotonic()) > 0:
            self.socket.settimeout(left)
            try:
                head = unpack(self.socket.recv(2048))
            except TimeoutError:
                break
            if head["to"] == flow["from"]:
                return head
        return None

    def open(self, route, balancer=0):
        """Opens a flow. Returns it, or "reset", or None where no answer came in time."""
        self.next_port += 1
        flow = {"from": (self.host, self.next_port), "to": route}
        started_at = time.monotonic()
        for copy, delay in enumerate(OPENING_SEND_SECONDS):
            self.send(flow, pack(flow["from"], route, SYN, 0, copy), balancer)
            end = started_at + (OPENING_SEND_SECONDS[copy + 1] if copy + 1 < len(OPENING_SEND_SECONDS) else OPEN_TIMEOUT_SECONDS)
            head = self.receive(flow, end)
            if head is not None and head["flags"] & RST:
                return "reset"
            if head is not None:
                flow["ack"], flow["seq"] = head["seq"] + 1, 1
                return flow
        return None

    def ask(self, flow, seconds=2.0, balancer=0):
        """Sends a request in an open flow.

        Returns the answer, "NAME-LIFETIME" of the upstream, or "reset", or None where no answer came in time.
        """
        end, wait = time.monotonic() + seconds, 0.2
        while time.monotonic() < end:
            self.send(flow, pack(flow["from"], flow["to"], ACK, flow["seq"], flow["ack"], b"request"), balancer)
            head = self.receive(flow, min(end, time.monotonic() + wait))
            while head is not None and not head["flags"] & RST and not head["data"]:
                head = self.receive(flow, min(end, time.monotonic() + wait))
            if head is not None:
                if head["flags"] & RST:
                    return "reset"
                flow["seq"] += len(b"request")
                flow["ack"] = head["seq"] + len(head["data"])
                return head["data"].decode()
            wait = min(wait * 2, 1.6)
        return None


def render(template, fields):
    """Fills in a template. Implements the part of the platform's template language that deploy/ uses."""

    def value(path, scope):
        for part in path.split("."):
            scope = scope[int(part)] if isinstance(scope, list) else scope[part]
        return scope

    def optional_value(path):
        try:
            return value(path, fields)
        except (KeyError, IndexError):
            return None

    def section(match):
        found = optional_value(match[1])
        entries = found if isinstance(found, list) else [found] if found else []
        separators = [","] * (len(entries) - 1) + [""]
        parts = (match[2].replace("{{.|json}}", json.dumps(entry)) for entry in entries)
        return "".join(part.replace("{{,}}", separator) for part, separator in zip(parts, separators))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(value(match[1], fields)), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match[1], fields)), text)


class Platform:
    """A deployment of balancers, agents with upstreams, a store and a caller, each on its own loopback address."""

    def __init__(self, build, folder, agents=2, balancers=2):
        self.build, self.folder, self.processes = build, Path(folder), {}
        ports = free_ports(8)
        self.fabric_port, self.ready_port, self.control_port, self.outbound_port = ports[:4]
        self.app_port, self.internal_port, self.metrics_port, store_port = ports[4:]
        self.store = Store("127.0.0.1", store_port)
        self.route = ("198.18.0.1", 443)
        self.store_address = f"127.0.0.1:{store_port}"
        self.write_configuration(1, [443])
        self.fields = {}
        for index in range(balancers):
            self.fields[f"balancer-{index}"] = self.settings(f"127.1.0.{index + 1}", "a")
        self.upstreams = {}
        for index in range(agents):
            fields = self.settings(f"127.2.0.{index + 1}", "a")
            fields.update(service="orders", app=f"127.2.0.{index + 1}:{self.app_port}")
            self.fields[f"agent-{index}"] = fields
            self.upstreams[f"agent-{index}"] = Upstream(fields, "orders", f"u{index}")
        for name in self.fields:
            self.start(name)
        self.caller = Caller("127.9.0.1", self.fabric_port, [(f"127.1.0.{index + 1}", self.fabric_port) for index in range(balancers)])

    def settings(self, host, zone):
        """Returns the fields of the templates in deploy/ for one process."""
        listen = {
            "datagramAddr": f"{host}:{self.fabric_port}",
            "ready": f"{host}:{self.ready_port}",
            "control": f"{host}:{self.control_port}",
            "outbound": f"{host}:{self.outbound_port}",
        }
        return {
            "ip": host,
            "zone": zone,
            "listen": listen,
            "internalPorts": [self.internal_port, self.internal_port],
            "seeds": [f"127.1.0.1:{self.control_port}"],
            "heartbeatMs": int(HEARTBEAT_SECONDS * 1000),
            "limits": {"linkMbps": 1000.0},
            "platform": {"address": self.store_address},
        }

    def write_configuration(self, version, ports):
        """Writes a configuration to the store that routes the given ports to the service `orders`."""
        routes = [{"name": f"r{port}", "host": "198.18.0.1", "prefix": f"/{port}/", "service": "orders", "kind": "safe"} for port in ports]
        services = [{"name": "orders", "healthPath": "/health", "maxConns": 2000, "coldStartS": 1.0, "coldPerS": 0.0}]
        limits = {"idleTimeoutMs": 15000}
        self.store.put("op/config", json.dumps({"version": version, "routes": routes, "services": services, "limits": limits}))

    def start(self, name, output=None):
        """Starts a process. Its log goes to `output`, or to a file of its own where that is None."""
        program, template = ("lavender-balancer", "balancer") if name.startswith("balancer") else ("lavender-agent", "agent")
        path = self.folder / f"{name}.json"
        text = render((ROOT / "deploy" / f"{template}.json").read_text(), self.fields[name])
        path.write_text(text.replace(f":{METRICS_PORT}\"", f":{self.metrics_port}\""))
        with open(self.folder / f"{name}.log", "ab") as log:
            command = [str(self.build / "src" / program), "--config", str(path)]
            self.processes[name] = subprocess.Popen(command, stdout=output or log, stderr=log)

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)
        self.processes[name].wait(10)

    def is_served(self, route, balancer=0):
        """Returns whether a request in a new flow to the route is answered."""
        flow = self.caller.open(route, balancer)
        return isinstance(flow, dict) and self.caller.ask(flow, 0.5, balancer) not in (None, "reset")

    def wait_until_served(self, seconds, balancer=0):
        """Returns the seconds until a request in a new flow was answered, or None after the timeout."""
        started_at = time.monotonic()
        while time.monotonic() - started_at < seconds:
            if self.is_served(self.route, balancer):
                return time.monotonic() - started_at
        return None

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self.store.server.shutdown()
