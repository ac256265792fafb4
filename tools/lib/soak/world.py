"""The deployment under test: processes, links, store, routers, and what each kind of event does to them."""

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
from soak.endpoints import COLD_RATE, COLD_SECONDS, Caller, Upstream
from soak.links import DatagramRelay, Faults, StreamRelay
from soak.promises import Promises

ZONES = ("a", "b", "c")
READY_SECONDS = 0.5  # Routers ask this often, and pass a balancer over after two misses.
GRACE_SECONDS = 6.0  # Between SIGTERM and SIGKILL.
CLOCK_JUMP_MS = 600_000
EXTRA_ROUTES = tuple(("198.18.0.9", port) for port in range(9001, 9005))  # Come and go.
BASE_ROUTES = {("198.18.0.1", 443): "orders", ("198.18.0.2", 443): "proofs"}


class FaultyStore(Store):
    """The stand-in's store with the ways of failing that a program must bear."""

    def __init__(self, host, port):
        self.mode = None  # "slow", "silent" or "lost".
        super().__init__(host, port)

    def call(self, method, path, query, body):
        if self.mode == "silent":
            time.sleep(3)
        if self.mode == "slow":
            time.sleep(0.4)
        if path == "/kv-watch" and int(query["after"]) < self.revision - len(self.events):
            return 410, {}  # This history is gone.
        reply = super().call(method, path, query, body)
        return (503, {}) if self.mode == "lost" and method == "POST" else reply  # Done, and not said.

    def forget(self):
        with self.changed:
            self.revision += 1
            self.events.clear()

    def lapse(self):
        for keys in self.leases.values():
            for key in keys:
                self.remove(key)


class Machine:
    def __init__(self, name, zone, host, ports):
        self.name, self.zone, self.host = name, zone, host
        self.hidden = "127.1" + host[4:]
        self.fabric, self.ready, self.control_port, self.outbound_port, self.app_port, self.internal = ports
        self.bound, self.known = (self.hidden, self.internal), (self.host, self.internal)
        self.control, self.outbound, self.app = ((self.hidden, port) for port in (self.control_port, self.outbound_port, self.app_port))
        self.troubled_until, self.lifetime, self.misses = -1e9, 0, 2
        self.clock_offset_ms, self.process, self.is_wanted, self.is_balancer = CLOCK_JUMP_MS, None, True, name.startswith("balancer")


class World:
    def __init__(self, seed, build, folder, processes):
        self.seed, self.build, self.folder = seed, Path(build), Path(folder)
        self.begun = time.monotonic()
        self.promises = Promises(lambda: time.monotonic() - self.begun)
        self.faults = Faults(seed)
        self.network = os.getpid() % 250  # Of this run, so that several may run side by side.
        self.requests, self.openings, self.planned_until = set(), {}, -1e9
        self.version, self.extra = 0, set()
        balancers = max(3, processes // 4)
        *ports, store_port, self.store_relay_port = free_ports(8)
        self.fabric = ports[0]
        self.store = FaultyStore("127.0.0.1", store_port)
        self.store_port = store_port
        self.machines = {}
        for index in range(processes):
            kind, place = ("balancer", index) if index < balancers else ("agent", index - balancers)
            host = f"127.{1 if kind == 'balancer' else 2}.{self.network}.{place + 1}"
            machine = Machine(f"{kind}-{place}", ZONES[place % len(ZONES)], host, ports)
            self.machines[machine.name] = machine
        self.by_hidden_host = {machine.hidden: machine for machine in self.machines.values()}
        self.balancers = [machine for machine in self.machines.values() if machine.is_balancer]
        self.upstreams = [Upstream(machine, "proofs" if index % 3 == 2 else "orders", self.promises, self) for index, machine in enumerate(machine for machine in self.machines.values() if not machine.is_balancer)]
        self.relays, self.store_relays, self.tasks = [], [], []

    # What the ends ask of the world

    def route(self, flow, packet, zone, is_opening=False):
        """The platform's routers: a hash over the balancers in rotation."""
        rotation = [machine for machine in self.balancers if machine.zone == zone and machine.misses < 2]
        rotation = rotation or [machine for machine in self.balancers if machine.misses < 2] or self.balancers
        balancer = rotation[zlib.crc32(repr(flow).encode()) % len(rotation)]
        if is_opening:
            self.openings.setdefault(flow, set()).add(balancer.name)
        if balancer.name not in self.faults.cut_in and balancer.process is not None:
            self.router_transport.sendto(packet, (balancer.hidden, self.fabric))

    def balancers_of(self, flow):
        return [self.machines[name] for name in self.openings.get(flow, ())]

    def is_cut_from_callers(self, host):
        machine = self.by_hidden_host.get(host)
        return machine is not None and machine.name in self.faults.cut_out

    def has_planned_work(self):
        return self.promises.clock() < self.planned_until

    def asked_routes(self):
        return [*BASE_ROUTES, *BASE_ROUTES, *EXTRA_ROUTES[:2]] if self.extra else [*BASE_ROUTES]

    def is_expected(self, route):
        return route in BASE_ROUTES

    # Start and end

    def settings(self, machine):
        listen = {"datagramAddr": f"{machine.hidden}:{self.fabric}", "ready": f"{machine.hidden}:{machine.ready}", "control": "%s:%d" % machine.control, "outbound": "%s:%d" % machine.outbound}
        fields = {"ip": machine.host, "zone": machine.zone, "listen": listen, "internalPorts": [machine.internal, machine.internal], "heartbeatMs": 500, "platform": {"address": "%s:%d" % machine.store}, "app": "%s:%d" % machine.app}
        fields["seeds"] = [f"{balancer.host}:{machine.internal}" for balancer in self.balancers[:3]]
        fields["service"] = next((upstream.service for upstream in self.upstreams if upstream.machine is machine), None)
        template = "balancer" if machine.is_balancer else "agent"
        settings = json.loads(render((ROOT / "deploy" / f"{template}.json").read_text(), fields))
        del settings["metrics"]
        return json.dumps({**settings, "bind": "%s:%d" % machine.bound, "clock": {"offset_ms": machine.clock_offset_ms}})

    def start(self, machine):
        if machine.process is not None and machine.process.poll() is None:
            return
        machine.lifetime += 1
        path = self.folder / f"{machine.name}.json"
        path.write_text(self.settings(machine))
        with open(self.folder / f"{machine.name}.log", "ab") as log:
            machine.process = subprocess.Popen([self.build / "src" / ("lavender-balancer" if machine.is_balancer else "lavender-agent"), "--config", path], stdout=log, stderr=log)

    async def begin(self):
        loop = asyncio.get_running_loop()
        self.router_transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0))
        for machine in self.machines.values():
            machine.store = (machine.hidden.replace("127.1", "127.3", 1), self.store_relay_port)
            store_relay = StreamRelay(self.faults, machine, ("127.0.0.1", self.store_port), is_store=True)
            await store_relay.listen(*machine.store)
            relay = StreamRelay(self.faults, machine, machine.bound)
            await relay.listen(*machine.known)
            await loop.create_datagram_endpoint(lambda machine=machine: DatagramRelay(self.faults, machine, self.by_hidden_host.get), local_addr=machine.known)
            self.relays.append(relay)
            self.store_relays.append(store_relay)
        for upstream in self.upstreams:
            await loop.create_datagram_endpoint(lambda upstream=upstream: upstream, local_addr=upstream.machine.app)
            self.tasks.append(loop.create_task(upstream.keep_reporting()))
        self.configure()
        for machine in self.machines.values():
            self.start(machine)
            if machine.is_balancer:
                self.tasks.append(loop.create_task(self.keep_asking_ready(machine)))
        self.tasks.append(loop.create_task(self.keep_restarting()))

    async def begin_traffic(self, callers):
        loop = asyncio.get_running_loop()
        for index in range(callers):
            host = f"127.9.{self.network}.{index + 1}"
            caller = Caller(index, ZONES[index % len(ZONES)], host, self.promises, self)
            await loop.create_datagram_endpoint(lambda caller=caller: caller, local_addr=(host, self.fabric))
            self.tasks.append(loop.create_task(caller.run()))

    def end(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self.store.server.shutdown()

    async def keep_asking_ready(self, machine):
        url = f"http://{machine.hidden}:{machine.ready}/ready"

        def is_ready():
            try:
                with urllib.request.urlopen(url, timeout=READY_SECONDS) as answer:
                    return answer.status == 200
            except OSError:
                return False

        while True:
            isolated = machine.name in self.faults.cut_in or machine.name in self.faults.cut_out
            answered = not isolated and await asyncio.get_running_loop().run_in_executor(None, is_ready)
            machine.misses = 0 if answered else machine.misses + 1
            await asyncio.sleep(READY_SECONDS)

    async def keep_restarting(self):
        """The platform starts a process again that ended."""
        while True:
            for machine in self.machines.values():
                if machine.is_wanted and machine.process.poll() is not None:
                    if machine.process.returncode not in (0, -signal.SIGKILL):
                        self.promises.fail("no exit of its own", f"{machine.name} ended with {machine.process.returncode}")
                    self.start(machine)
            await asyncio.sleep(0.05)

    # Changes by operators

    def configure(self):
        self.version += 3
        routes = {**BASE_ROUTES, **{route: "orders" for route in self.extra}}
        document = {"version": self.version, "limits": {"idleTimeoutMs": 15000}}
        document["routes"] = [{"name": f"r{port}", "host": host, "prefix": f"/{port}/", "service": service, "kind": "safe", "latencyGoalMs": 300} for (host, port), service in routes.items()]
        document["services"] = [{"name": name, "healthPath": "/h", "maxConns": 2000, "coldStartS": COLD_SECONDS, "coldPerS": COLD_RATE} for name in ("orders", "proofs")]
        self.store.put("op/config", json.dumps(document))
        for route in (*BASE_ROUTES, *EXTRA_ROUTES):
            known = self.promises.routes.get(route)
            if (known[-1][2] if known else None) != routes.get(route):
                self.promises.on_route(route, self.version, routes.get(route))

    def trouble(self, machines, seconds, is_planned=False):
        """Notes that machines are disturbed. Planned work excuses no silence."""
        until = self.promises.clock() + seconds
        if not is_planned:
            self.promises.unplanned_until = max(self.promises.unplanned_until, until)
        for machine in machines:
            machine.troubled_until = max(machine.troubled_until, until)

    def send_signal(self, machine, number):
        if machine.process.poll() is None:
            os.kill(machine.process.pid, number)  # Only of processes started here.
