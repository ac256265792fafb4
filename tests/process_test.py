"""Runs the programs as processes under failures: kills, freezes, packet loss, store outages, competing operators.

The tests assert outcomes, not timings.
"""

import json
import signal
import time
from contextlib import contextmanager

from deployments import DEPLOYMENTS
from fleet import Fleet, post, wait_for

RECOVERY_SECONDS = 30  # Long enough that a slow instance does not fail a test.


def small_spec():
    """The wrekin deployment with three endpoints for each service and fewer callers."""
    spec = json.loads(json.dumps(DEPLOYMENTS["wrekin"]))
    for service in spec["services"]:
        service["endpoints"] = 3
        service["long_flows"] = 40
        service["short_per_second"] = 10
        service["period_ms"] = 500
    return spec


@contextmanager
def running(build, folder, callers_seconds=0, **faults):
    fleet = Fleet("small", small_spec(), build, folder / "fleet", seed=3, faults=faults)
    try:
        fleet.start_all()
        if callers_seconds:
            fleet.start_callers(callers_seconds)
        yield fleet
    finally:
        fleet.stop_all()


def finish(fleet):
    assert fleet.wait("callers", 60) is not None, "the callers did not end"
    fleet.stop_all()
    outcome = fleet.outcomes()
    for name in ("duplicated", "false_not_run", "wrong_service", "after_drain"):
        assert outcome[name] == 0, (name, outcome[name])
    assert outcome["callers"]["requests"]["wrong_answers"] == 0
    return outcome


def test_loss_and_reordering_with_a_killed_balancer(build, folder):
    with running(build, folder, 8, loss_ppm=30000, duplicate_ppm=30000, delay_ppm=50000) as fleet:
        time.sleep(3)
        fleet.signal("balancer-0", signal.SIGKILL)
        fleet.balancers.pop(0)
        fleet.publish_balancers()
        outcome = finish(fleet)
        assert outcome["callers"]["flows"]["broken"] == 0, outcome["callers"]["flows"]
        assert outcome["callers"]["requests"]["answered"] > 0


def test_killed_upstream_breaks_only_its_own_flows(build, folder):
    with running(build, folder, 8) as fleet:
        time.sleep(3)
        victim = fleet.endpoints[0]
        port = fleet.agent_ports[victim]
        held = fleet.status(port)[0]["flows"]
        fleet.signal("agent-orders-0", signal.SIGKILL)
        fleet.signal("upstream-orders-0", signal.SIGKILL)
        outcome = finish(fleet)
        # Short flows that were open at that moment come on top of those counted just before.
        assert outcome["callers"]["flows"]["broken"] <= held + 20, (held, outcome["callers"]["flows"])
        assert outcome["callers"]["flows"]["broken"] > 0


def test_dead_upstream_beside_a_living_agent_breaks_no_flow(build, folder):
    with running(build, folder, 10) as fleet:
        time.sleep(3)
        fleet.signal("upstream-orders-0", signal.SIGKILL)
        outcome = finish(fleet)
        assert outcome["callers"]["flows"]["broken"] == 0, outcome["callers"]["flows"]


def test_frozen_balancer_goes_on_without_old_rules(build, folder):
    with running(build, folder) as fleet:
        fleet.signal("balancer-1", signal.SIGSTOP)
        changed = fleet.ctl("zone", "out", "midlands-a", "--who", "test", "--json")
        assert changed.returncode == 0, changed.stdout
        revision = json.loads(changed.stdout)["revision"]
        time.sleep(6)  # Long enough for the other balancers to declare balancer-1 gone.
        fleet.signal("balancer-1", signal.SIGCONT)
        wait_for(lambda: all(node.get("revision", 0) >= revision for node in fleet.status(*fleet.balancers)), RECOVERY_SECONDS)
        wait_for(lambda: all(node.get("balancers") == 3 for node in fleet.status(*fleet.balancers)), RECOVERY_SECONDS)


def test_store_outage_keeps_rules_and_lets_new_processes_in(build, folder):
    with running(build, folder) as fleet:
        post(fleet.store_port, "/knobs", {"down": True})
        before = fleet.status(*fleet.balancers)
        # A balancer that starts during the outage gets rules and members from the seeds in its settings.
        path = fleet.folder / "late.json"
        port = fleet.balancer_ports[4]
        path.write_text(json.dumps({"listen": f"127.0.0.1:{port}", "zone": "midlands-a", "store": {"url": f"http://127.0.0.1:{fleet.store_port}"}, "seeds": [f"127.0.0.1:{fleet.balancers[0]}"]}))
        fleet.start("late", "lavender-balancer", "--config", str(path))
        wait_for(lambda: fleet.status(port)[0].get("revision") == before[0]["revision"], RECOVERY_SECONDS)
        assert fleet.ctl("zone", "out", "midlands-a", "--who", "test").returncode == 3
        post(fleet.store_port, "/knobs", {"down": False})
        wait_for(lambda: fleet.ctl("zone", "out", "midlands-a", "--who", "test").returncode == 0, RECOVERY_SECONDS)
        wait_for(lambda: all(node.get("revision", 0) > before[0]["revision"] for node in fleet.status(port, *fleet.balancers)), RECOVERY_SECONDS)


def test_lost_answer_is_reported_as_committed(build, folder):
    with running(build, folder) as fleet:
        post(fleet.store_port, "/knobs", {"lose_answers": 1})
        result = fleet.ctl("zone", "out", "midlands-b", "--who", "test", "--json")
        assert result.returncode == 0 and json.loads(result.stdout)["outcome"] == "committed", result.stdout
        assert "zone midlands-b out # test" in fleet.ctl("show").stdout


def test_racing_operators_lose_no_change(build, folder):
    with running(build, folder) as fleet:
        import subprocess
        zones = fleet.spec["zones"]
        command = [fleet.program("lavenderctl"), "zone", "out"]
        options = ["--json", "--store", f"http://127.0.0.1:{fleet.store_port}", "--who"]
        races = [subprocess.Popen([*command, zone, *options, f"op-{zone}"], stdout=subprocess.PIPE, text=True) for zone in zones]
        results = {zone: json.loads(race.communicate(timeout=30)[0]) for zone, race in zip(zones, races)}
        shown = fleet.ctl("show").stdout
        for zone, result in results.items():
            assert (f"zone {zone} out # op-{zone}" in shown) == (result["outcome"] == "committed"), (zone, result, shown)
        assert any(result["outcome"] == "committed" for result in results.values())


def test_malformed_datagrams_are_dropped(build, folder):
    import socket
    with running(build, folder, 5) as fleet:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as noise:
            for port in fleet.balancers + list(fleet.agent_ports.values()):
                for size in (0, 1, 2, 3, 50, 1472, 1473, 9000):
                    for head in (b"", b"\x01", b"\x01\x00\x01", b"\x01\x07\x01"):
                        noise.sendto((head + b"\xff" * size)[:max(size, len(head))], ("127.0.0.1", port))
        dropped = [node["datagrams_dropped"] for node in fleet.status(*fleet.balancers)]
        assert all(count > 0 for count in dropped), dropped
        outcome = finish(fleet)
        assert outcome["callers"]["flows"]["broken"] == 0
