"""The deployment under test: processes with their relays, the store, the routers, the upstreams and the callers."""

import asyncio
import json
import os
import signal
import subprocess
import time
import urllib.request
import zlib
from pathlib import Path

from fleet import free_ports
from platform_standins import ROOT, Store, render
from soak.endpoints import COLD_OPENINGS_PER_SECOND, COLD_START_SECONDS, Caller, Upstream
from soak.links import DatagramRelay, LinkFaults, StreamRelay
from soak.promises import InvariantChecker

ZONES = ("a", "b", "c")
READINESS_PROBE_SECONDS = 0.5  # Period and timeout of the routers' readiness probes.
STOP_GRACE_SECONDS = 6.0  # Between SIGTERM and SIGKILL.
PROBES_UNTIL_REMOVED = 2  # Failed probes after which routers stop using a balancer.
CLOCK_JUMP_MS = 600_000
EXTRA_ROUTES = tuple(("198.18.0.9", port) for port in range(9001, 9005))  # Added and removed by events.
BASE_ROUTES = {("198.18.0.1", 443): "orders", ("198.18.0.2", 443): "proofs"}


class FaultyStore(Store):
    """A store with injected faults: slow, silent and lost answers, compaction and expiry of leases."""

    def __init__(self, host, port):
        self.fault_mode = None  # "slow", "silent" or "lost" (answers).
        super().__init__(host, port)

    def handle_request(self, method, path, query, body):
        if self.fault_mode == "silent":
            time.sleep(3)
        if self.fault_mode == "slow":
            time.sleep(0.4)
        if path == "/kv-watch" and int(query["after"]) < self.revision - len(self.events):
            return 410, {}  # The requested history was compacted.
        reply = super().handle_request(method, path, query, body)
        # A lost answer: the request took effect and an error is returned.
        return (503, {}) if self.fault_mode == "lost" and method == "POST" else reply

    def compact(self):
        """Discards the history, so that watches from an older revision get 410."""
        with self.changed:
            self.revision += 1
            self.events.clear()

    def expire_leases(self):
        """Removes the keys of all leases."""
        for keys in self.leases.values():
            for key in keys:
                self.remove(key)


class Instance:
    """An instance with one balancer or agent.

    A relay listens at `advertised_address`, which the others know, and forwards to `bind_address`, where the process listens.
    `fault_until` is the end of the latest fault or planned work on it; `should_run` tells whether an ended process is restarted.
    """

    def __init__(self, name, zone, host, ports):
        self.name, self.zone, self.host = name, zone, host
        self.bind_host = "127.1" + host[4:]  # 127.1.N.I becomes 127.11.N.I, 127.2.N.I becomes 127.12.N.I.
        _, self.ready_port, control_port, outbound_port, app_port, self.internal_port = ports
        self.bind_address, self.advertised_address = (self.bind_host, self.internal_port), (self.host, self.internal_port)
        self.control_address, self.outbound_address = (self.bind_host, control_port), (self.bind_host, outbound_port)
        self.app_address = (self.bind_host, app_port)  # Of the upstream.
        self.fault_until, self.lifetime, self.failed_probes = -1e9, 0, PROBES_UNTIL_REMOVED
        self.clock_offset_ms = CLOCK_JUMP_MS  # Offset of the time of day; an event may reset it to 0, a jump back.
        self.process, self.should_run, self.is_balancer = None, True, name.startswith("balancer")


class World:
    """Starts, disturbs and stops one deployment on loopback."""

    def __init__(self, seed, build, folder, processes):
        self.seed, self.build, self.folder = seed, Path(build), Path(folder)
        self.started_at = time.monotonic()
        self.checker = InvariantChecker(lambda: time.monotonic() - self.started_at)
        self.faults = LinkFaults(seed)
        self.network_octet = os.getpid() % 250  # Own addresses, so that several runs can run at the same time.
        self.sent_requests, self.planned_work_until = set(), -1e9
        self.opening_balancers = {}  # Flow: names of the balancers that received its opening packets.
        self.version, self.enabled_extra_routes = 0, set()
        balancers = max(3, processes // 4)
        *ports, store_port, self.store_relay_port = free_ports(8)
        self.fabric_port = ports[0]
        self.store = FaultyStore("127.0.0.1", store_port)
        self.store_port = store_port
        self.instances = {}
        for index in range(processes):
            kind, place = ("balancer", index) if index < balancers else ("agent", index - balancers)
            host = f"127.{1 if kind == 'balancer' else 2}.{self.network_octet}.{place + 1}"
            instance = Instance(f"{kind}-{place}", ZONES[place % len(ZONES)], host, ports)
            self.instances[instance.name] = instance
        self.instance_by_bind_host = {instance.bind_host: instance for instance in self.instances.values()}
        self.balancers = [instance for instance in self.instances.values() if instance.is_balancer]
        agents = [instance for instance in self.instances.values() if not instance.is_balancer]
        self.upstreams = [Upstream(instance, "proofs" if index % 3 == 2 else "orders", self.checker, self) for index, instance in enumerate(agents)]
        self.relays, self.store_relays, self.tasks = [], [], []

    # Used by upstreams and callers

    def route(self, flow, packet, zone, is_opening=False):
        """Sends a packet to a balancer as the platform's routers do: by a hash of the flow over the balancers in rotation.

        In rotation are the ready balancers of the zone, else those of all zones, else all balancers.
        """
        rotation = [instance for instance in self.balancers if instance.zone == zone and instance.failed_probes < PROBES_UNTIL_REMOVED]
        rotation = rotation or [instance for instance in self.balancers if instance.failed_probes < PROBES_UNTIL_REMOVED] or self.balancers
        balancer = rotation[zlib.crc32(repr(flow).encode()) % len(rotation)]
        if is_opening:
            self.opening_balancers.setdefault(flow, set()).add(balancer.name)
        if balancer.name not in self.faults.cut_in and balancer.process is not None:
            self.router_transport.sendto(packet, (balancer.bind_host, self.fabric_port))

    def balancers_of_opening(self, flow):
        """Returns the balancers that received an opening packet of the flow."""
        return [self.instances[name] for name in self.opening_balancers.get(flow, ())]

    def is_cut_from_callers(self, host):
        """Returns whether packets from the host to callers are lost."""
        instance = self.instance_by_bind_host.get(host)
        return instance is not None and instance.name in self.faults.cut_out

    def is_planned_work_running(self):
        return self.checker.clock() < self.planned_work_until

    def requested_routes(self):
        """Returns the routes that callers choose from; base routes are listed twice, so they are chosen more often."""
        return [*BASE_ROUTES, *BASE_ROUTES, *EXTRA_ROUTES[:2]] if self.enabled_extra_routes else [*BASE_ROUTES]

    def must_be_served(self, route):
        """Returns whether requests to the route count as failed where they are not served. Extra routes come and go."""
        return route in BASE_ROUTES

    # Start and end

    def settings(self, instance):
        """Returns the settings of a process, rendered from the template in deploy/, without metrics."""
        listen = {
            "datagramAddr": f"{instance.bind_host}:{self.fabric_port}",
            "ready": f"{instance.bind_host}:{instance.ready_port}",
            "control": "%s:%d" % instance.control_address,
            "outbound": "%s:%d" % instance.outbound_address,
        }
        fields = {
            "ip": instance.host,
            "zone": instance.zone,
            "listen": listen,
            "internalPorts": [instance.internal_port, instance.internal_port],
            "heartbeatMs": 500,
            "platform": {"address": "%s:%d" % instance.store_address},
            "app": "%s:%d" % instance.app_address,
        }
        fields["seeds"] = [f"{balancer.host}:{instance.internal_port}" for balancer in self.balancers[:3]]
        fields["service"] = next((upstream.service for upstream in self.upstreams if upstream.instance is instance), None)
        template = "balancer" if instance.is_balancer else "agent"
        settings = json.loads(render((ROOT / "deploy" / f"{template}.json").read_text(), fields))
        del settings["metrics"]
        return json.dumps({**settings, "bind": "%s:%d" % instance.bind_address, "clock": {"offset_ms": instance.clock_offset_ms}})

    def start(self, instance):
        if instance.process is not None and instance.process.poll() is None:
            return
        instance.lifetime += 1
        path = self.folder / f"{instance.name}.json"
        path.write_text(self.settings(instance))
        program = self.build / "src" / ("lavender-balancer" if instance.is_balancer else "lavender-agent")
        with open(self.folder / f"{instance.name}.log", "ab") as log:
            instance.process = subprocess.Popen([program, "--config", path], stdout=log, stderr=log)

    async def start_all(self):
        loop = asyncio.get_running_loop()
        self.router_transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0))
        for instance in self.instances.values():
            # 127.11.N.I becomes 127.31.N.I: each process reaches the store through a relay of its own.
            instance.store_address = (instance.bind_host.replace("127.1", "127.3", 1), self.store_relay_port)
            store_relay = StreamRelay(self.faults, instance, ("127.0.0.1", self.store_port), is_store=True)
            await store_relay.listen(*instance.store_address)
            relay = StreamRelay(self.faults, instance, instance.bind_address)
            await relay.listen(*instance.advertised_address)
            await loop.create_datagram_endpoint(
                lambda instance=instance: DatagramRelay(self.faults, instance, self.instance_by_bind_host.get),
                local_addr=instance.advertised_address,
            )
            self.relays.append(relay)
            self.store_relays.append(store_relay)
        for upstream in self.upstreams:
            await loop.create_datagram_endpoint(lambda upstream=upstream: upstream, local_addr=upstream.instance.app_address)
            self.tasks.append(loop.create_task(upstream.send_heartbeats()))
        self.write_configuration()
        for instance in self.instances.values():
            self.start(instance)
            if instance.is_balancer:
                self.tasks.append(loop.create_task(self.probe_readiness(instance)))
        self.tasks.append(loop.create_task(self.restart_ended_processes()))

    async def start_callers(self, callers):
        loop = asyncio.get_running_loop()
        for index in range(callers):
            host = f"127.9.{self.network_octet}.{index + 1}"
            caller = Caller(index, ZONES[index % len(ZONES)], host, self.checker, self)
            await loop.create_datagram_endpoint(lambda caller=caller: caller, local_addr=(host, self.fabric_port))
            self.tasks.append(loop.create_task(caller.run()))

    def stop_all(self):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances.values():
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        self.store.server.shutdown()

    async def probe_readiness(self, instance):
        """Probes the readiness endpoint of a balancer as the routers do. A partitioned balancer fails its probes."""
        url = f"http://{instance.bind_host}:{instance.ready_port}/ready"

        def is_ready():
            try:
                with urllib.request.urlopen(url, timeout=READINESS_PROBE_SECONDS) as answer:
                    return answer.status == 200
            except OSError:
                return False

        while True:
            isolated = instance.name in self.faults.cut_in or instance.name in self.faults.cut_out
            answered = not isolated and await asyncio.get_running_loop().run_in_executor(None, is_ready)
            instance.failed_probes = 0 if answered else instance.failed_probes + 1
            await asyncio.sleep(READINESS_PROBE_SECONDS)

    async def restart_ended_processes(self):
        """Restarts ended processes, as the platform does. An exit code other than 0 and SIGKILL is a violation."""
        while True:
            for instance in self.instances.values():
                if instance.should_run and instance.process.poll() is not None:
                    if instance.process.returncode not in (0, -signal.SIGKILL):
                        self.checker.report_violation("unexpected exit", f"{instance.name} ended with exit code {instance.process.returncode}")
                    self.start(instance)
            await asyncio.sleep(0.05)

    # Changes by operators

    def write_configuration(self):
        """Writes the next configuration version and records the routes that it adds or removes."""
        self.version += 3
        routes = {**BASE_ROUTES, **{route: "orders" for route in self.enabled_extra_routes}}
        document = {"version": self.version, "limits": {"idleTimeoutMs": 15000}}
        document["routes"] = [
            {"name": f"r{port}", "host": host, "prefix": f"/{port}/", "service": service, "kind": "safe", "latencyGoalMs": 300}
            for (host, port), service in routes.items()
        ]
        document["services"] = [
            {"name": name, "healthPath": "/h", "maxConns": 2000, "coldStartS": COLD_START_SECONDS, "coldPerS": COLD_OPENINGS_PER_SECOND}
            for name in ("orders", "proofs")
        ]
        self.store.put("op/config", json.dumps(document))
        for route in (*BASE_ROUTES, *EXTRA_ROUTES):
            history = self.checker.routes.get(route)
            if (history[-1][2] if history else None) != routes.get(route):
                self.checker.on_route(route, self.version, routes.get(route))

    def record_fault(self, instances, seconds, is_planned=False):
        """Records that instances are disturbed for the given time. Planned work does not excuse unanswered requests."""
        until = self.checker.clock() + seconds
        if not is_planned:
            self.checker.unplanned_fault_until = max(self.checker.unplanned_fault_until, until)
        for instance in instances:
            instance.fault_until = max(instance.fault_until, until)

    def send_signal(self, instance, number):
        if instance.process.poll() is None:
            os.kill(instance.process.pid, number)  # Only processes that this run started.
