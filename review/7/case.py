"""A route is moved to another service, and the machines are then restarted in turn: an open flow must stay where it is."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from lab import CONFIG_APPLY_S, CONTACT_S, Clients, Endpoint, Unable, run_case  # noqa: E402

ROUTE = ("198.18.0.1", 443)
FLOWS = 6


def body(lab, has_trouble):
    lab.write_manifest(1, [(443, "first")], [("first", 0), ("second", 0)])
    for index in range(2):
        lab.add(f"balancer-{index}", f"127.1.0.{index + 1}", "a")
    endpoints = {}
    for index, service in enumerate(("first", "first", "second", "second")):
        host = f"127.2.0.{index + 1}"
        lab.add(f"agent-{index}", host, "a", service)
        endpoints[f"agent-{index}"] = Endpoint(lab, f"{service}-{index}", host, service)
    lab.start(*lab.fields)
    for endpoint in endpoints.values():
        endpoint.start()
    lab.wait_until("balancers ready", lambda: all(lab.is_ready(name) for name in lab.balancers), 10)
    clients = Clients(lab, "127.9.0.1")
    time.sleep(4)

    # Long flows to the first service; the router delivers half of them to each balancer.
    flows = [clients.flow(ROUTE, f"127.1.0.{index % 2 + 1}") for index in range(FLOWS)]
    for index, flow in enumerate(flows):
        if not flow.open() or (flow.ask(f"before-{index}") or "").split("-")[0] != "first":
            raise Unable("the flows were not opened at the first service")

    lab.write_manifest(2, [(443, "second")], [("first", 0), ("second", 0)])
    time.sleep(CONFIG_APPLY_S)
    probe = clients.flow(ROUTE, "127.1.0.1")
    if not probe.open() or (probe.ask("new-flow") or "").split("-")[0] != "second":
        raise Unable("a new flow was not opened at the second service")

    # Clients use their flows from time to time; none is idle for longer than some seconds.
    def use(label):
        for index, flow in enumerate(flows):
            if flow.reset_by is None:
                flow.ask(f"{label}-{index}", 2.5)

    use("changed")
    if has_trouble:
        # roll_term: each machine in turn gets SIGTERM and is started again.
        for name in ("balancer-0", "balancer-1", "agent-2", "agent-3"):
            host = lab.fields[name]["ip"]
            if name in lab.balancers:
                for flow in flows:  # The router takes a machine out of rotation that is not ready.
                    if flow.via == host:
                        flow.via = next(other for other in lab.balancers.values() if other != host)
            lab.restart(name)
            if name in lab.balancers:
                lab.wait_until(f"{name} ready", lambda name=name: lab.is_ready(name), 10)
    time.sleep(CONTACT_S)  # All machines are in touch again.
    use("after")

    broken = []
    for flow in flows:
        holder = next((endpoint.name for endpoint in endpoints.values() if endpoint.holds(flow)), None)
        if flow.reset_by == "system" and holder is not None:
            broken.append(f"FLOW: {flow.name} is open at {holder}, which lives and sent no reset; the client got a reset from the system")
    return broken


run_case(Path(__file__).parent, body)
