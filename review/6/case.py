"""Two endpoints are added while a frontend is restarted: flows that one of them takes at once must not be reset."""

import random
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from lab import Clients, Endpoint, Unable, run_case  # noqa: E402

ROUTE = ("198.18.0.1", 443)
ROUNDS = 11
FLOWS = 110  # In each round.
COLD_S = 2.0
CHECK_S = 0.5


class Router:
    """The routers of zone a: status checks twice a second; after two misses balancer-0 is out, and the nearest zone's node is used until it answers again."""

    def __init__(self, lab):
        self.lab, self.misses, self.is_in, self.next_check = lab, 0, True, time.monotonic()
        self.changed = threading.Condition()
        threading.Thread(target=self.check, daemon=True).start()

    def check(self):
        while True:
            time.sleep(max(0.0, self.next_check - time.monotonic()))
            self.next_check += CHECK_S
            self.misses = 0 if self.lab.is_ready("balancer-0") else self.misses + 1
            with self.changed:
                if self.is_in != (self.misses < 2):
                    self.is_in = self.misses < 2
                    self.lab.record.write("router: balancer-0 is", "in rotation" if self.is_in else "out of rotation")
                self.changed.notify_all()

    def wait_for(self, is_in, seconds):
        end = time.monotonic() + seconds
        with self.changed:
            while self.is_in != is_in and time.monotonic() < end:
                self.changed.wait(0.2)

    def choose(self, flow):
        flow.via = self.lab.balancers["balancer-0" if self.is_in else "balancer-1"]


def body(lab, has_trouble):
    lab.write_manifest(1, [(443, "orders")], [("orders", 0)])
    lab.add("balancer-0", "127.1.0.1", "a")
    lab.add("balancer-1", "127.1.0.2", "b")
    endpoints = {}

    def add_endpoint(name, host, zone):
        lab.add(name, host, zone, "orders")
        endpoints[name] = Endpoint(lab, name, host, "orders", slots=5, work_s=0.005)

    for index, zone in enumerate("aaccddd"):
        add_endpoint(f"agent-{index}", f"127.2.0.{index + 1}", zone)
    lab.start(*lab.fields)
    time.sleep(2.5)
    for endpoint in endpoints.values():
        endpoint.start()
    lab.wait_until("balancers ready", lambda: all(lab.is_ready(name) for name in lab.balancers), 10)
    clients, router = Clients(lab, "127.9.0.1"), Router(lab)
    time.sleep(5)

    broken, answered = [], 0
    for number in range(ROUNDS):
        # roll_term: the only frontend of zone a is stopped, and started again after a short delay.
        lab.signal("balancer-0", signal.SIGTERM)
        lab.processes["balancer-0"].wait(6)
        router.wait_for(False, 3)
        time.sleep(0.5)
        while not 0.42 <= router.next_check - time.monotonic() <= 0.46:
            time.sleep(0.005)
        lab.start("balancer-0")
        added = (f"added-{number}-b", f"added-{number}-c")
        if has_trouble:
            time.sleep(0.2)
            add_endpoint(added[0], f"127.2.1.{number + 1}", "b")
            add_endpoint(added[1], f"127.2.2.{number + 1}", "c")
            lab.start(*added)
            time.sleep(0.09)
            for name in added:
                endpoints[name].start(cold_s=COLD_S)

        def use(flow):
            time.sleep(random.uniform(0.02, 0.13))
            router.choose(flow)
            if flow.open() and flow.ask(f"first-{number}", 1.0):
                router.wait_for(True, 2)
                router.choose(flow)
                flow.ask(f"second-{number}")

        flows = [clients.flow(ROUTE, "127.1.0.2") for _ in range(FLOWS)]
        threads = [threading.Thread(target=use, args=(flow,)) for flow in flows]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for flow in flows:
            holder = next((name for name, endpoint in endpoints.items() if endpoint.holds(flow)), None)
            answered += flow.owner is not None
            if flow.is_open and flow.reset_by == "system" and holder is not None:
                broken.append(f"FLOW: {flow.name} is open at {holder}, which lives and sent no reset; the client got a reset from the system")
        if has_trouble:  # The endpoints leave again as planned, so that the next round begins as this one.
            for name in added:
                endpoints[name].state = "draining"
                endpoints[name].heartbeat()
            time.sleep(0.5)
            for name in added:
                endpoints[name].leave()
                lab.signal(name, signal.SIGTERM)
            time.sleep(1.2)
        time.sleep(3.2)
    if answered < FLOWS * ROUNDS // 2:
        raise Unable("too few flows were answered")
    return broken


run_case(Path(__file__).parent, body)
