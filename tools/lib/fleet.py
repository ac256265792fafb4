"""Starts the programs of one deployment on loopback and stops them by process id."""

import json
import random
import signal
import socket
import subprocess
import threading
import time
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

PORT_RANGE = range(15000, 32000)  # Below the ephemeral ports of the kernel.
allocated_ports = set()
allocated_ports_lock = threading.Lock()


def free_ports(count):
    """Returns ports that are free for TCP and UDP and that no earlier call has returned."""
    ports = []
    while len(ports) < count:
        port = random.choice(PORT_RANGE)
        with allocated_ports_lock:
            if port in allocated_ports:
                continue
            allocated_ports.add(port)
        try:
            for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, socket_type) as probe:
                    probe.bind(("127.0.0.1", port))
            ports.append(port)
        except OSError:
            continue
    return ports


def post(port, path, body):
    """Sends a JSON object by POST and returns the JSON answer."""
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", json.dumps(body).encode(), {"Content-Type": "application/json"})
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.loads(answer.read() or b"{}")


class Fleet:
    """One deployment: store, fabric, balancers, and an agent with its upstream for each endpoint."""

    def __init__(self, name, spec, build, folder, seed=1, faults=None):
        self.name, self.spec, self.seed = name, spec, seed
        self.build, self.folder = Path(build), Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.faults = faults or {}
        self.processes = {}
        self.upstream_records = {}  # Endpoint: files that its upstreams write when they end, one for each start.
        self.start_counts = {}
        self.endpoints = [(service["name"], index) for service in spec["services"] for index in range(service["endpoints"])]
        ports = iter(free_ports(8 + 2 * len(self.endpoints) + 6))
        self.store_port, self.fabric_port, self.control_port, self.caller_port = (next(ports) for _ in range(4))
        self.agent_ports = {endpoint: next(ports) for endpoint in self.endpoints}
        self.upstream_ports = {endpoint: next(ports) for endpoint in self.endpoints}
        self.balancer_ports = [next(ports) for _ in range(6)]
        self.balancers = []  # Ports of the balancers that the fabric uses.
        self.caller_record = self.folder / "callers.json"

    # Processes

    def program(self, name):
        return str(next(path for path in (self.build / "src" / name, self.build / "standins" / name) if path.exists()))

    def start(self, key, program, *arguments):
        log = open(self.folder / f"{key}.log", "ab")
        self.processes[key] = subprocess.Popen([self.program(program), *arguments], stdout=log, stderr=log, cwd=self.folder)
        log.close()

    def signal(self, key, number):
        self.processes[key].send_signal(number)

    def wait(self, key, seconds):
        """Returns the exit code, or None where the process still runs after the timeout."""
        try:
            return self.processes[key].wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 2
        for process in self.processes.values():
            try:
                process.wait(max(0.05, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # Components

    def zone_of(self, endpoint):
        return self.spec["zones"][self.endpoints.index(endpoint) % len(self.spec["zones"])]

    def rules(self):
        lines = [f"# Rules of {self.name}."]
        for service in self.spec["services"]:
            lines.append(f"service {service['name']} at {service['address']} slots {service['slots']} connections 2000 ramp {service['cold_ms']} # {self.spec['who']}")
            lines += [f"announce {service['name']} in {zone} # {self.spec['who']}" for zone in self.spec["zones"]]
        return "\n".join(lines) + "\n"

    def write_rules(self, extra=""):
        path = self.folder / "rules.txt"
        path.write_text(self.rules() + extra)
        return str(path)

    def ctl(self, *arguments, needs_store=True):
        command = [self.program("lavenderctl"), *arguments]
        command += ["--store", f"http://127.0.0.1:{self.store_port}"] if needs_store else []
        return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)

    def status(self, *ports):
        result = self.ctl("status", *[f"127.0.0.1:{port}" for port in ports], "--json", needs_store=False)
        return json.loads(result.stdout or "[]")

    def start_store_and_fabric(self):
        self.start("store", "standin-store", json.dumps({"port": self.store_port}))
        fabric = {"port": self.fabric_port, "control_port": self.control_port, "seed": self.seed, **self.faults}
        self.start("fabric", "standin-fabric", json.dumps(fabric))
        wait_for(lambda: self.try_post(self.store_port, "/knobs", {}), 10)
        wait_for(lambda: self.try_post(self.control_port, "/balancers", {"list": []}), 10)

    @staticmethod
    def try_post(port, path, body):
        try:
            post(port, path, body)
            return True
        except OSError:
            return False

    def start_balancer(self, index, in_fabric=True):
        port = self.balancer_ports[index]
        settings = {
            "listen": f"127.0.0.1:{port}",
            "zone": self.spec["zones"][index % len(self.spec["zones"])],
            "store": {"url": f"http://127.0.0.1:{self.store_port}"},
        }
        path = self.folder / f"balancer-{index}.json"
        path.write_text(json.dumps(settings))
        self.start(f"balancer-{index}", "lavender-balancer", "--config", str(path))
        if in_fabric:
            self.balancers.append(port)
            self.publish_balancers()

    def publish_balancers(self):
        """Sends the list of balancers to the fabric."""
        post(self.control_port, "/balancers", {"list": [f"127.0.0.1:{port}" for port in self.balancers]})

    def start_upstream(self, endpoint, cold=True):
        service, index = endpoint
        spec = next(each for each in self.spec["services"] if each["name"] == service)
        start_index = self.start_counts.get(endpoint, 0)
        self.start_counts[endpoint] = start_index + 1
        record = self.folder / f"upstream-{service}-{index}-{start_index}.json"
        self.upstream_records.setdefault(endpoint, []).append(record)
        options = {
            "port": self.upstream_ports[endpoint],
            "service": service,
            "slots": spec["slots"],
            "work_ms": spec["work_ms"],
            "record": str(record),
            "cold_ms": spec["cold_ms"] if cold else 0,
        }
        self.start(f"upstream-{service}-{index}", "standin-upstream", json.dumps(options))

    def start_agent(self, endpoint):
        service, index = endpoint
        spec = next(each for each in self.spec["services"] if each["name"] == service)
        settings = {
            "listen": f"127.0.0.1:{self.agent_ports[endpoint]}",
            "zone": self.zone_of(endpoint),
            "service": service,
            "upstream": {"url": f"http://127.0.0.1:{self.upstream_ports[endpoint]}", "slots": spec["slots"]},
            "return": f"127.0.0.1:{self.fabric_port}",
            "store": {"url": f"http://127.0.0.1:{self.store_port}"},
        }
        path = self.folder / f"agent-{service}-{index}.json"
        path.write_text(json.dumps(settings))
        self.start(f"agent-{service}-{index}", "lavender-agent", "--config", str(path))

    def start_all(self, balancers=3):
        """Starts everything but the callers. Returns once each balancer and agent has the rules and the balancers know all members."""
        self.start_store_and_fabric()
        applied = self.ctl("apply", self.write_rules(), "--who", self.spec["who"])
        if applied.returncode != 0:
            raise RuntimeError(f"apply: {applied.stdout}{applied.stderr}")
        for index in range(balancers):
            self.start_balancer(index)
        for endpoint in self.endpoints:
            self.start_upstream(endpoint)
            self.start_agent(endpoint)
        nodes = self.balancers + list(self.agent_ports.values())
        wait_for(lambda: all(node.get("revision", 0) > 0 for node in self.status(*nodes)), 20)
        expected_members = len(self.endpoints) + balancers
        wait_for(lambda: all(node.get("members", 0) == expected_members for node in self.status(*self.balancers)), 20)

    def start_callers(self, seconds):
        keys = ("name", "address", "long_flows", "short_per_second", "period_ms", "repeatable", "body_bytes")
        options = {
            "port": self.caller_port,
            "fabric": f"127.0.0.1:{self.fabric_port}",
            "seed": self.seed,
            "seconds": seconds,
            "record": str(self.caller_record),
            "services": [{key: service[key] for key in keys} for service in self.spec["services"]],
        }
        self.start("callers", "standin-caller", json.dumps(options))

    def outcomes(self):
        """Returns the results from the records that callers and upstreams write when they end."""
        callers = json.loads(self.caller_record.read_text()) if self.caller_record.exists() else None
        executions, executions_by_key, wrong, after_drain, overloads = {}, {}, 0, 0, 0
        for path in (path for paths in self.upstream_records.values() for path in paths):
            if not path.exists():
                continue
            record = json.loads(path.read_text())
            wrong += record["wrong_service"]
            after_drain += record["after_drain"]
            overloads += record["overloads"]
            for name, count in record["runs"].items():
                executions[name] = executions.get(name, 0) + count
            for name, count in record["keys"].items():
                executions_by_key[name] = executions_by_key.get(name, 0) + count
        non_repeatable = set(callers["non_repeatable"]) if callers else set()
        return {
            "callers": callers,
            "duplicated": sum(1 for key in non_repeatable if executions_by_key.get(key, 0) > 1),
            "false_not_run": sum(1 for attempt in (callers or {}).get("refused_attempts", []) if executions.get(attempt, 0) > 0),
            "wrong_service": wrong,
            "after_drain": after_drain,
            "overloads": overloads,
        }


def wait_for(condition, seconds):
    """Polls until the condition holds. Raises RuntimeError after the timeout, with the place of the condition in the source."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    code = condition.__code__
    raise RuntimeError(f"condition not met within {seconds} s: {code.co_filename}:{code.co_firstlineno}")
