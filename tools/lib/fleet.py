"""Starts the programs of one deployment on loopback, and stops them by process id."""

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


PORT_RANGE = range(15000, 32000)  # Below the ports that the kernel gives to outgoing connections.
given_ports = set()
given_lock = threading.Lock()


def free_ports(count):
    """Ports that are free for TCP and UDP and that no earlier call has given."""
    ports = []
    while len(ports) < count:
        port = random.choice(PORT_RANGE)
        with given_lock:
            if port in given_ports:
                continue
            given_ports.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
            ports.append(port)
        except OSError:
            continue
    return ports


def post(port, path, body):
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", json.dumps(body).encode(), {"Content-Type": "application/json"})
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.loads(answer.read() or b"{}")


class Fleet:
    """One deployment: store, fabric, balancers, and an agent with its upstream for each endpoint."""

    def __init__(self, name, spec, build, folder, seed=1, faults=None):
        self.name, self.spec, self.seed = name, spec, seed
        self.bin, self.folder = Path(build), Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.faults = faults or {}
        self.processes = {}
        self.records = {}
        self.starts = {}
        self.endpoints = [(service["name"], index) for service in spec["services"] for index in range(service["endpoints"])]
        ports = iter(free_ports(8 + 2 * len(self.endpoints) + 6))
        self.store_port, self.fabric_port, self.control_port, self.caller_port = (next(ports) for _ in range(4))
        self.agent_ports = {endpoint: next(ports) for endpoint in self.endpoints}
        self.upstream_ports = {endpoint: next(ports) for endpoint in self.endpoints}
        self.balancer_ports = [next(ports) for _ in range(6)]
        self.balancers = []
        self.caller_record = self.folder / "callers.json"

    # Processes

    def program(self, name):
        return str(next(path for path in (self.bin / "src" / name, self.bin / "standins" / name) if path.exists()))

    def start(self, key, program, *arguments):
        log = open(self.folder / f"{key}.log", "ab")
        self.processes[key] = subprocess.Popen([self.program(program), *arguments], stdout=log, stderr=log, cwd=self.folder)
        log.close()

    def signal(self, key, number):
        self.processes[key].send_signal(number)

    def wait(self, key, seconds):
        """Exit code, or None where the process still runs."""
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

    # Parts

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

    def start_base(self):
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
        settings = {"listen": f"127.0.0.1:{port}", "zone": self.spec["zones"][index % len(self.spec["zones"])], "store": {"url": f"http://127.0.0.1:{self.store_port}"}}
        path = self.folder / f"balancer-{index}.json"
        path.write_text(json.dumps(settings))
        self.start(f"balancer-{index}", "lavender-balancer", "--config", str(path))
        if in_fabric:
            self.balancers.append(port)
            self.tell_fabric()

    def tell_fabric(self):
        post(self.control_port, "/balancers", {"list": [f"127.0.0.1:{port}" for port in self.balancers]})

    def start_upstream(self, endpoint, cold=True):
        service, index = endpoint
        spec = next(each for each in self.spec["services"] if each["name"] == service)
        generation = self.starts.get(endpoint, 0)
        self.starts[endpoint] = generation + 1
        record = self.folder / f"upstream-{service}-{index}-{generation}.json"
        self.records.setdefault(endpoint, []).append(record)
        options = {"port": self.upstream_ports[endpoint], "service": service, "slots": spec["slots"], "work_ms": spec["work_ms"], "record": str(record)}
        options["cold_ms"] = spec["cold_ms"] if cold else 0
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
        """Everything but the callers; returns once every balancer and agent has the rules."""
        self.start_base()
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
        full = len(self.endpoints) + balancers
        wait_for(lambda: all(node.get("members", 0) == full for node in self.status(*self.balancers)), 20)

    def start_callers(self, seconds):
        services = [{key: service[key] for key in ("name", "address", "long_flows", "short_per_second", "period_ms", "repeatable", "body_bytes")} for service in self.spec["services"]]
        options = {"port": self.caller_port, "fabric": f"127.0.0.1:{self.fabric_port}", "seed": self.seed, "seconds": seconds, "record": str(self.caller_record), "services": services}
        self.start("callers", "standin-caller", json.dumps(options))

    # Outcomes, from the callers' and the upstreams' own records

    def outcomes(self):
        callers = json.loads(self.caller_record.read_text()) if self.caller_record.exists() else None
        runs, keys, wrong, after_drain, overloads = {}, {}, 0, 0, 0
        for path in (path for paths in self.records.values() for path in paths):
            if not path.exists():
                continue
            record = json.loads(path.read_text())
            wrong += record["wrong_service"]
            after_drain += record["after_drain"]
            overloads += record["overloads"]
            for name, count in record["runs"].items():
                runs[name] = runs.get(name, 0) + count
            for name, count in record["keys"].items():
                keys[name] = keys.get(name, 0) + count
        non_repeatable = set(callers["non_repeatable"]) if callers else set()
        return {
            "callers": callers,
            "duplicated": sum(1 for key in non_repeatable if keys.get(key, 0) > 1),
            "false_not_run": sum(1 for attempt in (callers or {}).get("refused_attempts", []) if runs.get(attempt, 0) > 0),
            "wrong_service": wrong,
            "after_drain": after_drain,
            "overloads": overloads,
        }


def wait_for(condition, seconds):
    """Polls until the condition holds; RuntimeError where it does not in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError(f"not reached within {seconds} s: {condition.__code__.co_filename}:{condition.__code__.co_firstlineno}")
