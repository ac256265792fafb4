"""No case, but a fault by the code: two machines with endpoints are added together, and flows that they take at once are reset.

The packets take another zone's balancer 0.1 to 0.5 s after the machines have started, which the routers of the pages do only if the
zone's balancers have left the rotation by then. TROUBLE=0 adds no machines. Exit code as of a case.
"""

import random
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from lab import Clients, Endpoint, Unable, run_case  # noqa: E402

ROUTE = ("198.18.0.1", 443)
ROUNDS = 11
FLOWS = 30  # In each round.
COLD_S = 2.0


def body(lab, has_trouble):
    lab.write_manifest(1, [(443, "orders")], [("orders", 0)])
    lab.add("balancer-0", "127.1.0.1", "a")
    lab.add("balancer-1", "127.1.0.2", "c")
    endpoints = {}

    def add_endpoint(name, host, zone):
        lab.add(name, host, zone, "orders")
        endpoints[name] = Endpoint(lab, name, host, "orders", slots=5, work_s=0.03)

    for index, zone in enumerate("ccdd"):
        add_endpoint(f"agent-{index}", f"127.2.0.{index + 1}", zone)
    lab.start(*lab.fields)
    time.sleep(2.5)
    for endpoint in endpoints.values():
        endpoint.start()
    lab.wait_until("balancers ready", lambda: all(lab.is_ready(name) for name in lab.balancers), 10)
    clients = Clients(lab, "127.9.0.1")
    time.sleep(6)

    broken, answered = [], 0
    for number in range(ROUNDS):
        added = (f"added-{number}-a", f"added-{number}-b")
        if has_trouble:
            add_endpoint(added[0], f"127.2.1.{number + 1}", "a")
            add_endpoint(added[1], f"127.2.2.{number + 1}", "b")
            lab.start(*added)
            time.sleep(0.1)
            for name in added:
                endpoints[name].start(cold_s=COLD_S)

        def use(flow):
            time.sleep(random.uniform(0.05, 0.5))
            if flow.open() and flow.ask(f"first-{number}", 1.0):
                flow.via = "127.1.0.2"
                flow.ask(f"second-{number}")

        flows = [clients.flow(ROUTE, "127.1.0.1") for _ in range(FLOWS)]
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
        if has_trouble:  # The machines leave again as planned, so that the next round begins as this one.
            for name in added:
                endpoints[name].state = "draining"
                endpoints[name].heartbeat()
            time.sleep(0.5)
            for name in added:
                endpoints[name].leave()
                lab.signal(name, signal.SIGTERM)
            time.sleep(1.5)
        time.sleep(4)
    if answered < FLOWS * ROUNDS // 2:
        raise Unable("too few flows were answered")
    return broken


run_case(Path(__file__).parent, body)
