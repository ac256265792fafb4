"""The demo: runs both deployments under load, with one planned change of each kind and a killed balancer."""

import argparse
import json
import shutil
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from deployments import DEPLOYMENTS
from fleet import Fleet, post, wait_for

TRAFFIC_SECONDS = 29
FABRIC_DETECTION_SECONDS = 1.0  # Time until the fabric stops using a dead balancer.


class Demo:
    """Runs the scenario for one deployment and samples its status."""

    def __init__(self, name, build, folder, seed):
        fabric_faults = {"loss_ppm": 5000, "duplicate_ppm": 5000, "delay_ppm": 10000}
        self.fleet = Fleet(name, DEPLOYMENTS[name], build, folder, seed, fabric_faults)
        self.name = name
        self.imbalances = []
        self.zone_out_ms = None
        self.in_force_ms = None
        self.error = None
        self.next_imbalance_sample = 0
        self.started_at = 0

    def log_progress(self, text):
        print(f"[{time.monotonic() - self.started_at:5.1f} s] {self.name:7} {text}", file=sys.stderr, flush=True)

    def sleep_until(self, second):
        while time.monotonic() - self.started_at < second:
            self.sample_imbalance()
            time.sleep(0.1)

    def sample_imbalance(self):
        """Samples the flows of each ready upstream of the first service, twice a second: maximum divided by mean."""
        if time.monotonic() < self.next_imbalance_sample:
            return
        self.next_imbalance_sample = time.monotonic() + 0.5
        service = self.fleet.spec["services"][0]["name"]
        ports = [port for (name, _), port in self.fleet.agent_ports.items() if name == service]
        flows = [node["flows"] for node in self.fleet.status(*ports) if node.get("state") == "ready" and node.get("flows")]
        if len(flows) > 1:
            self.imbalances.append(max(flows) / (sum(flows) / len(flows)))

    def run(self):
        try:
            self.run_scenario()
        except Exception as error:  # Reported as a violation; the fleet is stopped in any case.
            self.error = f"{type(error).__name__}: {error}"
            self.log_progress(self.error)
        finally:
            self.fleet.stop_all()

    def run_scenario(self):
        fleet = self.fleet
        self.started_at = time.monotonic()
        fleet.start_all()
        self.log_progress(f"started: 3 balancers, {len(fleet.endpoints)} agents with their upstreams, rules in force")
        self.started_at = time.monotonic()
        fleet.start_callers(TRAFFIC_SECONDS)
        self.sleep_until(4)
        fleet.signal("balancer-0", signal.SIGKILL)
        self.log_progress("balancer-0 killed")
        self.sleep_until(4 + FABRIC_DETECTION_SECONDS)
        fleet.balancers.remove(fleet.balancer_ports[0])
        fleet.publish_balancers()
        self.sleep_until(7)
        fleet.start_balancer(3)
        self.log_progress("balancer-3 added")
        self.drain_and_return()
        self.zone_out_and_in()
        self.change_configuration()
        if fleet.wait("callers", TRAFFIC_SECONDS + 30) is None:
            raise RuntimeError("the callers did not end in time")
        self.log_progress("traffic ended")

    def drain_and_return(self):
        fleet = self.fleet
        endpoint = fleet.endpoints[1]
        key = f"{endpoint[0]}-{endpoint[1]}"
        self.sleep_until(9)
        post(fleet.upstream_ports[endpoint], "/control", {"draining": True})
        fleet.signal(f"agent-{key}", signal.SIGTERM)
        self.log_progress(f"{key} draining")
        code = fleet.wait(f"agent-{key}", 12)
        if code != 0:
            raise RuntimeError(f"agent-{key}: exit code {code}: expected 0")
        fleet.signal(f"upstream-{key}", signal.SIGTERM)
        fleet.wait(f"upstream-{key}", 3)
        self.log_progress(f"{key} stopped with exit code 0")
        self.sleep_until(15)
        fleet.start_upstream(endpoint)
        fleet.start_agent(endpoint)
        self.log_progress(f"{key} restarted, in cold start")

    def zone_out_and_in(self):
        fleet = self.fleet
        zone = fleet.spec["zones"][3]
        self.sleep_until(18)
        command_time = time.monotonic()  # Before the commit, so that the measured time is never too short.
        result = fleet.ctl("zone", "out", zone, "--who", f"{self.name} night operator", "--json")
        if result.returncode != 0:
            raise RuntimeError(f"zone out: {result.stdout}{result.stderr}")
        self.log_progress(f"zone {zone} taken out")
        self.sleep_until(22.5)
        ports = [port for endpoint, port in fleet.agent_ports.items() if fleet.zone_of(endpoint) == zone]
        status_time = time.monotonic()
        ages = [node["last_packet_age_ms"] for node in fleet.status(*ports)]
        self.zone_out_ms = max(0, round((status_time - command_time) * 1000 - min(ages)))
        fleet.ctl("zone", "in", zone, "--who", f"{self.name} night operator")
        self.log_progress(f"zone {zone} received its last packet after {self.zone_out_ms} ms, brought back in")

    def change_configuration(self):
        fleet = self.fleet
        self.sleep_until(25)
        zone_rule = f"zone {fleet.spec['zones'][3]} in # {self.name} night operator\n"
        weight_rule = f"weight 127.0.0.1:{fleet.agent_ports[fleet.endpoints[0]]} 90 # {fleet.spec['who']}\n"
        path = fleet.write_rules(zone_rule + weight_rule)
        command_time = time.monotonic()
        result = json.loads(fleet.ctl("apply", path, "--who", fleet.spec["who"], "--json").stdout)
        nodes = fleet.balancers
        wait_for(lambda: all(node.get("revision", 0) >= result["revision"] for node in fleet.status(*nodes)), 10)
        status_time = time.monotonic()
        lowest_age_ms = min(node["revision_age_ms"] for node in fleet.status(*nodes))
        self.in_force_ms = max(0, round((status_time - command_time) * 1000 - lowest_age_ms))
        self.log_progress(f"rules changed, in force on {len(nodes)} balancers after {self.in_force_ms} ms")

    def figures(self):
        """Returns the figures of the result table, or None where the callers wrote no record."""
        outcome = self.fleet.outcomes()
        callers = outcome["callers"]
        if callers is None:
            return None
        flows, requests = callers["flows"], callers["requests"]
        return {
            "flows.opened": flows["opened"],
            "flows.kept": flows["closed"],
            "flows.broken": flows["broken"],
            "flows.given_up": flows["given_up"],
            "flows.given_up_zones": flows["given_up_by_zone"],
            "flows.unopened": flows["unopened"],
            "flows.broken_list": flows["broken_list"],
            "requests.answered": requests["answered"],
            "requests.not_run": requests["not_run"],
            "requests.may_have_run": requests["may_have_run"],
            "requests.wrong_answers": requests["wrong_answers"],
            "requests.reasons": requests["reasons"],
            "requests.duplicated": outcome["duplicated"],
            "requests.false_not_run": outcome["false_not_run"],
            "packets.wrong_service": outcome["wrong_service"],
            "upstream.overloads": outcome["overloads"],
            "upstream.work_after_drain": outcome["after_drain"],
            "imbalance.max_over_mean": round(sum(self.imbalances) / len(self.imbalances), 3) if self.imbalances else None,
            "zone_out.last_packet_ms": self.zone_out_ms,
            "config.in_force_ms": self.in_force_ms,
            "latency.p99_ms": callers["latency_ms"]["p99"],
        }


# Figure: its upper bound.
FIGURE_BOUNDS = {
    "flows.broken": 0,
    "flows.unopened": 0,
    "requests.duplicated": 0,
    "requests.false_not_run": 0,
    "requests.wrong_answers": 0,
    "packets.wrong_service": 0,
    "upstream.overloads": 0,
    "upstream.work_after_drain": 0,
    "zone_out.last_packet_ms": 4000,
    "config.in_force_ms": 4000,
}


def find_violations(demos, results):
    """Returns a message for each figure above its bound and each deployment that failed."""
    violations = []
    for demo in demos:
        if demo.error:
            violations.append(f"{demo.name}: {demo.error}")
        figures = results.get(demo.name)
        if figures is None:
            violations.append(f"{demo.name}: the callers wrote no record")
            continue
        for name, bound in FIGURE_BOUNDS.items():
            if figures[name] is None or figures[name] > bound:
                violations.append(f"{demo.name}: {name} is {figures[name]}: expected at most {bound}")
        zone = demo.fleet.spec["zones"][3]
        unexpected_zones = [name for name in figures["flows.given_up_zones"] if name != zone]
        if unexpected_zones:
            violations.append(f"{demo.name}: flows given up in {unexpected_zones}: expected only {zone}")
    return violations


def print_table(results):
    names = [name for name in next(iter(results.values())) if not name.endswith("_list")]
    print(f"{'':28}" + "".join(f"{deployment:>24}" for deployment in results))
    for name in names:
        cells = []
        for figures in results.values():
            value = figures[name]
            cells.append(" ".join(f"{key}:{count}" for key, count in value.items()) or "-" if isinstance(value, dict) else str(value))
        print(f"{name:28}" + "".join(f"{cell:>24}" for cell in cells))


def main():
    parser = argparse.ArgumentParser(prog="tools/demo", description="Runs both deployments for about 30 s and checks every promise.")
    parser.add_argument("--build", required=True, help=argparse.SUPPRESS)
    parser.add_argument("--json", metavar="FILE", help="write the figures here")
    parser.add_argument("--keep", metavar="FOLDER", help="leave logs, settings and records here")
    parser.add_argument("--seed", type=int, default=1, help="seed of the fabric's packet loss and of the callers")
    arguments = parser.parse_args()
    folder = Path(arguments.keep or tempfile.mkdtemp(prefix="lavender-demo-")).resolve()
    demos = [Demo(name, arguments.build, folder / name, arguments.seed) for name in DEPLOYMENTS]
    threads = [threading.Thread(target=demo.run) for demo in demos]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    results = {demo.name: figures for demo in demos if (figures := demo.figures()) is not None}
    if results:
        print_table(results)
    violations = find_violations(demos, results)
    for violation in violations:
        print(f"BROKEN {violation}")
    print("every promise held" if not violations else f"{len(violations)} promises broken; files in {folder}")
    if arguments.json:
        Path(arguments.json).write_text(json.dumps({"ok": not violations, "broken_promises": violations, "deployments": results}, indent=2) + "\n")
    if not arguments.keep and not violations:
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
