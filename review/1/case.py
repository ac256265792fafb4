"""Empty endpoints are added to a zone one after the other, each some seconds after its node, while the zone's only front is stopped and started."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import CannotRun, ClientFlow, Router, World, main, route, service  # noqa: E402

ADDRESS = ("127.100.0.1", 8080)
ZONES = ("mid-c", "mid-d")  # One front and five endpoints each at the start; the clients are in the first, and endpoints are added there.
ENDPOINTS = 10
ADDED = 16
ADDING_PERIOD = 4.6
ENDPOINT_DELAY = 3.5  # An added endpoint is up so long after its node, and up to half a second more.
PROBE_AGE = 0.32  # The router asks a front whether it is ready twice a second; an added endpoint is up so long after the latest question.
STOP_DELAY = 0.1  # The front gets SIGTERM so long after an added endpoint is up; it leaves the rotation after two misses.
RESTART_SECONDS = 0.2
FLOWS_PER_SECOND = 150
REQUESTS = 6  # Of each flow.
PAUSE_SECONDS = (0.05, 0.2)  # Between two requests of a flow.
SECONDS = 79.0


class ZoneRouter(Router):
    """Flows go to the front of their zone; if it is out of rotation, to that of the nearest one."""

    def node_for(self, key):
        return next((node for node in self.nodes if self.misses[node] < 2), self.nodes[0]), self.packet_port


class GrowingWorld(World):
    """A deployment whose later endpoints and their nodes are not started at first."""

    def __init__(self):
        super().__init__(FOLDER, {"orders": ENDPOINTS + ADDED}, work=(0.003, 0.01))
        for name, fields in self.fields.items():
            number = int(name.rsplit("-", 1)[1])
            fields["zone"] = ZONES[number if name.startswith("balancer") else number in range(5, ENDPOINTS)]
            if name.startswith("agent"):
                self.endpoints[name.removeprefix("agent-")].zone = fields["zone"]
        self.router = ZoneRouter(self.router.nodes, self.packet_port, self.ready_port)
        self.endpoint_gap = 0.1  # Not all up at the same moment.
        self.later = {name: (self.fields.pop(f"agent-{name}"), self.endpoints.pop(name)) for name in [f"orders-{ENDPOINTS + index}" for index in range(ADDED)]}

    async def add(self, name):
        fields, endpoint = self.later[name]
        self.fields[f"agent-{name}"] = fields
        self.start(f"agent-{name}")
        await asyncio.sleep(ENDPOINT_DELAY)
        while not PROBE_AGE <= time.monotonic() - self.router.probed_at[self.router.nodes[0]] < PROBE_AGE + 0.04:
            await asyncio.sleep(0.005)
        self.endpoints[name] = endpoint
        await endpoint.listen()
        await endpoint.start()


async def use_flow(world):
    """One flow with some requests. A reset by the system breaks FLOW where the flow's endpoint lives and holds the flow."""
    flow = await world.client.open(ADDRESS)
    if not isinstance(flow, ClientFlow):
        return
    for _ in range(REQUESTS):
        was_held = world.is_held(flow)
        answer = await world.client.ask(flow)
        if answer == "reset by the system" and was_held and world.is_held(flow):
            endpoint, age = world.holders[flow.key][0], time.monotonic() - flow.opened_at
            world.violation("FLOW", f"the client of flow {flow.key[0][1]}, open for {age:.3f} s, got a reset that its endpoint {endpoint.name} did not send; {endpoint.name}, which was added {time.monotonic() - endpoint.started:.3f} s ago, lives and holds the flow")
        if answer is None or answer.startswith("reset"):
            world.log(f"client: flow {flow.key[0][1]}: {answer}")
            return
        await asyncio.sleep(random.uniform(*PAUSE_SECONDS))
    world.client.close(flow)


async def stop_and_start(world, name):
    await world.stop(name)
    await asyncio.sleep(RESTART_SECONDS)
    world.start(name)


async def add_and_roll(world, name):
    await world.add(name)
    await asyncio.sleep(STOP_DELAY)
    await stop_and_start(world, "balancer-0")


async def change(world):
    """scale_out, and beside it roll_term of the zone's front."""
    tasks = []
    for name in list(world.later):
        tasks.append(asyncio.create_task(add_and_roll(world, name)))
        await asyncio.sleep(ADDING_PERIOD)
    await asyncio.gather(*tasks)


async def scenario(world, with_trouble):
    world.write_manifest(4, [route(*ADDRESS, service="orders")], [service("orders")])
    if not await world.wait_until_served(ADDRESS):
        raise CannotRun("no flow was served after the start")
    await asyncio.sleep(4.0)  # contactMs
    changes = asyncio.create_task(change(world)) if with_trouble else None
    tasks, begin = [], time.monotonic()
    for number in range(int(FLOWS_PER_SECOND * SECONDS)):
        await asyncio.sleep(max(0.0, begin + number / FLOWS_PER_SECOND - time.monotonic()))
        tasks.append(asyncio.create_task(use_flow(world)))
    await asyncio.gather(*tasks)
    if changes:
        await changes
    world.log(f"{len(tasks)} flows were used")


if __name__ == "__main__":
    sys.exit(main(scenario, GrowingWorld))
