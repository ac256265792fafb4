"""Two agents are cut off for some seconds. Flows that were opened meanwhile at other endpoints must survive the end of the cut."""

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from lab import Clients, Endpoint, Unable, run_case  # noqa: E402

ROUTE = ("198.18.0.1", 443)
ROUNDS = 5
FLOWS = 48  # Opened in each round, a few at a time.
CUT_S = 4.0


def together(work):
    threads = [threading.Thread(target=function) for function in work]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def body(lab, has_trouble):
    lab.write_manifest(1, [(443, "orders")], [("orders", 0)])
    lab.add("balancer-0", "127.1.0.1", "a", has_proxy=True)
    lab.add("balancer-1", "127.1.0.2", "c", has_proxy=True)
    endpoints = {}
    for index, zone in enumerate("aaccbd"):
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
        if has_trouble:
            lab.cut("agent-4", "agent-5")
        started = time.monotonic()
        time.sleep(0.5)
        flows = [clients.flow(ROUTE, "127.1.0.1") for _ in range(FLOWS)]
        everything += flows
        for first in range(0, FLOWS, 6):
            together([lambda flow=flow: flow.open() and flow.ask(f"first-{number}", 1.0) for flow in flows[first : first + 6]])
            time.sleep(0.05)
        # balancer-0 is restarted, so its router takes the balancers of the nearest zone; these flows were not seen there.
        restart = threading.Thread(target=lab.restart, args=("balancer-0",))
        restart.start()
        time.sleep(max(0.0, started + CUT_S - time.monotonic()))
        if has_trouble:
            lab.heal()

        def use(flow):
            time.sleep(random.uniform(0.0, 0.3))
            if flow.is_open and flow.owner:
                flow.via = "127.1.0.2"
                flow.ask(f"second-{number}")

        together([lambda flow=flow: use(flow) for flow in flows])
        restart.join()
        lab.wait_until("balancer-0 ready", lambda: lab.is_ready("balancer-0"), 10)
        time.sleep(4.5)

    broken = []
    for flow in everything:
        holder = next((endpoint.name for endpoint in endpoints.values() if endpoint.holds(flow)), None)
        if flow.is_open and flow.reset_by == "system" and holder not in (None, "orders-4", "orders-5"):
            broken.append(f"FLOW: {flow.name} is open at {holder}, which lives and sent no reset; the client got a reset from the system")
    if sum(flow.owner is not None for flow in everything) < FLOWS * ROUNDS // 2:
        raise Unable("too few flows were opened")
    return broken


run_case(Path(__file__).parent, body)
