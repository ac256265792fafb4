"""A balancer runs slow for some seconds. Flows that are opened through it must not be reset when their packets take another balancer."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from lab import CONTACT_S, Clients, Endpoint, Unable, run_case  # noqa: E402

ROUTE = ("198.18.0.1", 443)
ZONE_S = 0.0014  # One way between zones, as on the sheet.
SLOW_S, HANDLING_S = 5.0, 0.15  # How long the balancer runs slow, and how late it then handles a message.
ROUNDS = 8
FLOWS = 36  # Opened in each round, a few at a time.


def together(work):
    threads = [threading.Thread(target=function) for function in work]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def body(lab, has_trouble):
    lab.network.zone_s = ZONE_S
    lab.write_manifest(1, [(443, "orders")], [("orders", 0)])
    lab.add("balancer-0", "127.1.0.1", "d", has_proxy=True)
    lab.add("balancer-1", "127.1.0.2", "a", has_proxy=True)
    endpoints = {}
    for index, zone in enumerate("aabcd"):
        host = f"127.2.0.{index + 1}"
        lab.add(f"agent-{index}", host, zone, "orders", has_proxy=True)
        endpoints[f"agent-{index}"] = Endpoint(lab, f"orders-{index}", host, "orders", slots=5, work_s=0.03)
    lab.start(*lab.fields)
    time.sleep(2.5)  # Endpoints start after the programs beside them.
    for endpoint in endpoints.values():
        endpoint.start()
    lab.wait_until("balancers ready", lambda: all(lab.is_ready(name) for name in lab.balancers), 10)
    clients = Clients(lab, "127.9.0.1")
    time.sleep(6)

    everything = []
    for number in range(ROUNDS):
        started = time.monotonic()
        if has_trouble:
            lab.slow_down("balancer-0", HANDLING_S)
        flows = [clients.flow(ROUTE, "127.1.0.1") for _ in range(FLOWS)]
        everything += flows
        for first in range(0, FLOWS, 3):
            together([lambda flow=flow: flow.open() and flow.ask(f"first-{number}", 1.0) for flow in flows[first : first + 3]])
            time.sleep(0.1)
        time.sleep(max(0.0, started + SLOW_S - time.monotonic()))
        if has_trouble:
            lab.slow_down("balancer-0", 0.0)
        # The router leaves the only balancer of the zone out while it is not ready, and takes that of another zone.
        for flow in flows:
            flow.via = "127.1.0.2"
        together([lambda flow=flow: flow.is_open and flow.owner and flow.ask(f"second-{number}") for flow in flows])
        time.sleep(CONTACT_S + 1)

    broken = []
    for flow in everything:
        holder = next((endpoint.name for endpoint in endpoints.values() if endpoint.holds(flow)), None)
        if flow.is_open and flow.reset_by == "system" and holder is not None:
            broken.append(f"FLOW: {flow.name} is open at {holder}, which lives and sent no reset; the client got a reset from the system")
    if sum(flow.owner is not None for flow in everything) < FLOWS * ROUNDS // 2:
        raise Unable("too few flows were opened")
    return broken


run_case(Path(__file__).parent, body)
