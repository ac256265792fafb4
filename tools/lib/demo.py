"""The main job: both deployments under traffic, with one of each planned change and a killed balancer."""

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
FABRIC_NOTICES = 1.0  # Seconds until the fabric stops using a dead balancer.


class Demo:
    def __init__(self, name, build, folder, seed):
        faults = {"loss_ppm": 5000, "duplicate_ppm": 5000, "delay_ppm": 10000}
        self.fleet = Fleet(name, DEPLOYMENTS[name], build, folder, seed, faults)
        self.name = name
        self.imbalances = []
        self.zone_out_ms = None
        self.in_force_ms = None
        self.error = None
        self.imbalance_at = 0
        self.begun = 0

    def say(self, text):
        print(f"[{time.monotonic() - self.begun:5.1f} s] {self.name:7} {text}", file=sys.stderr, flush=True)

    def sleep_until(self, second):
        while time.monotonic() - self.begun < second:
            self.sample_imbalance()
            time.sleep(0.1)

    def sample_imbalance(self):
        """Flows held over ready upstreams of the first service, maximum over mean."""
        if time.monotonic() < self.imbalance_at:
            return
        self.imbalance_at = time.monotonic() + 0.5
        service = self.fleet.spec["services"][0]["name"]
        ports = [port for (name, _), port in self.fleet.agent_ports.items() if name == service]
        flows = [node["flows"] for node in self.fleet.status(*ports) if node.get("state") == "ready" and node.get("flows")]
        if len(flows) > 1:
            self.imbalances.append(max(flows) / (sum(flows) / len(flows)))

    def run(self):
        try:
            self.steps()
        except Exception as error:  # Reported in the table; the fleet is stopped in any case.
            self.error = f"{type(error).__name__}: {error}"
            self.say(self.error)
        finally:
            self.fleet.stop_all()

    def steps(self):
        fleet = self.fleet
        self.begun = time.monotonic()
        fleet.start_all()
        self.say(f"started: 3 balancers, {len(fleet.endpoints)} agents with their upstreams, rules in force")
        self.begun = time.monotonic()
        fleet.start_callers(TRAFFIC_SECONDS)
        self.sleep_until(4)
        fleet.signal("balancer-0", signal.SIGKILL)
        self.say("balancer-0 killed")
        self.sleep_until(4 + FABRIC_NOTICES)
        fleet.balancers.remove(fleet.balancer_ports[0])
        fleet.tell_fabric()
        self.sleep_until(7)
        fleet.start_balancer(3)
        self.say("balancer-3 added")
        self.drain_and_return()
        self.zone_out_and_in()
        self.change_configuration()
        if fleet.wait("callers", TRAFFIC_SECONDS + 30) is None:
            raise RuntimeError("the callers did not end")
        self.say("traffic ended")

    def drain_and_return(self):
        fleet = self.fleet
        endpoint = fleet.endpoints[1]
        key = f"{endpoint[0]}-{endpoint[1]}"
        self.sleep_until(9)
        post(fleet.upstream_ports[endpoint], "/control", {"draining": True})
        fleet.signal(f"agent-{key}", signal.SIGTERM)
        self.say(f"{key} draining")
        code = fleet.wait(f"agent-{key}", 12)
        if code != 0:
            raise RuntimeError(f"agent-{key}: exit {code}: expected 0")
        fleet.signal(f"upstream-{key}", signal.SIGTERM)
        fleet.wait(f"upstream-{key}", 3)
        self.say(f"{key} left with exit 0")
        self.sleep_until(15)
        fleet.start_upstream(endpoint)
        fleet.start_agent(endpoint)
        self.say(f"{key} returned cold")

    def zone_out_and_in(self):
        fleet = self.fleet
        zone = fleet.spec["zones"][3]
        self.sleep_until(18)
        asked_for = time.monotonic()  # Before the commit, so that the figure is no shorter than the truth.
        result = fleet.ctl("zone", "out", zone, "--who", f"{self.name} night operator", "--json")
        if result.returncode != 0:
            raise RuntimeError(f"zone out: {result.stdout}{result.stderr}")
        self.say(f"zone {zone} out")
        self.sleep_until(22.5)
        ports = [port for endpoint, port in fleet.agent_ports.items() if fleet.zone_of(endpoint) == zone]
        asked = time.monotonic()
        ages = [node["last_packet_age_ms"] for node in fleet.status(*ports)]
        self.zone_out_ms = max(0, round((asked - asked_for) * 1000 - min(ages)))
        fleet.ctl("zone", "in", zone, "--who", f"{self.name} night operator")
        self.say(f"zone {zone} quiet after {self.zone_out_ms} ms, in again")

    def change_configuration(self):
        fleet = self.fleet
        self.sleep_until(25)
        path = fleet.write_rules(f"zone {fleet.spec['zones'][3]} in # {self.name} night operator\nweight 127.0.0.1:{fleet.agent_ports[fleet.endpoints[0]]} 90 # {fleet.spec['who']}\n")
        asked_for = time.monotonic()
        result = json.loads(fleet.ctl("apply", path, "--who", fleet.spec["who"], "--json").stdout)
        nodes = fleet.balancers
        wait_for(lambda: all(node.get("revision", 0) >= result["revision"] for node in fleet.status(*nodes)), 10)
        asked = time.monotonic()
        youngest = min(node["revision_age_ms"] for node in fleet.status(*nodes))
        self.in_force_ms = max(0, round((asked - asked_for) * 1000 - youngest))
        self.say(f"rules changed, in force on {len(nodes)} balancers after {self.in_force_ms} ms")

    def figures(self):
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


# Figure, and the most that a kept promise allows.
PROMISES = {
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


def broken_promises(demos, results):
    faults = []
    for demo in demos:
        if demo.error:
            faults.append(f"{demo.name}: {demo.error}")
        figures = results.get(demo.name)
        if figures is None:
            faults.append(f"{demo.name}: no record of the callers")
            continue
        for name, bound in PROMISES.items():
            if figures[name] is None or figures[name] > bound:
                faults.append(f"{demo.name}: {name} is {figures[name]}: expected at most {bound}")
        zone = demo.fleet.spec["zones"][3]
        strange = [name for name in figures["flows.given_up_zones"] if name != zone]
        if strange:
            faults.append(f"{demo.name}: flows given up in {strange}: expected only {zone}")
    return faults


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
    parser.add_argument("--seed", type=int, default=1, help="seed of the fabric's losses and of the callers")
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
    faults = broken_promises(demos, results)
    for fault in faults:
        print(f"BROKEN {fault}")
    print("every promise held" if not faults else f"{len(faults)} promises broken; files in {folder}")
    if arguments.json:
        Path(arguments.json).write_text(json.dumps({"ok": not faults, "broken_promises": faults, "deployments": results}, indent=2) + "\n")
    if not arguments.keep and not faults:
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
