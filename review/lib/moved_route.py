"""An operator moves a route to another service; open flows stay where they are. Then the nodes are stopped and started in turn.

Not a case: the pages name no manifest that does so. `python3 review/lib/moved_route.py` exits with 1 if the flows are reset.
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(tempfile.mkdtemp(prefix="lavender-review-"))  # For record.txt.
sys.path.insert(0, str(Path(__file__).resolve().parent))

from standins import CannotRun, ClientFlow, World, main, route, service  # noqa: E402

ADDRESS = ("127.100.0.1", 8080)
FLOWS = 8
ROLL_GAP_SECONDS = 1.2
RESTART_SECONDS = 0.2


async def ask(world, flow):
    """Sends one request in a flow. A reset by the system breaks FLOW where the flow's endpoint lives and holds the flow."""
    idle = time.monotonic() - flow.last_used
    was_held = world.is_held(flow)
    answer = await world.client.ask(flow)
    name, age = flow.key[0][1], time.monotonic() - flow.opened_at
    world.log(f"client: flow {name}, open for {age:.1f} s, idle for {idle:.1f} s before: {answer}")
    if answer == "reset by the system" and was_held and world.is_held(flow):
        endpoint = world.holders[flow.key][0].name
        world.violation("FLOW", f"the client of flow {name}, open for {age:.1f} s (maxFlowS 60), idle for {idle:.1f} s (idleTimeoutMs 15,000), got a reset that its endpoint {endpoint} did not send; {endpoint} lives and holds the flow")
    return answer


async def roll(world, names):
    """roll_term: the nodes get SIGTERM, one after the other, and start again."""
    for name in names:
        await world.stop(name)
        await asyncio.sleep(RESTART_SECONDS)
        world.start(name)
        await asyncio.sleep(ROLL_GAP_SECONDS)


async def scenario(world, with_trouble):
    services = [service("orders"), service("orders-next")]
    world.write_manifest(4, [route(*ADDRESS, service="orders")], services)
    if not await world.wait_until_served(ADDRESS):
        raise CannotRun("no flow was served after the start")
    await asyncio.sleep(4.0)  # contactMs: all machines are in touch.
    flows = [await world.client.open(ADDRESS) for _ in range(FLOWS)]
    if not all(isinstance(flow, ClientFlow) for flow in flows):
        raise CannotRun("a flow was not opened before the disruption")
    await asyncio.gather(*(ask(world, flow) for flow in flows))
    world.write_manifest(7, [route(*ADDRESS, service="orders-next")], services)
    await asyncio.sleep(3.0)  # configApplyMs
    if not await world.wait_until_served(ADDRESS):
        raise CannotRun("new flows were not served after the change of the manifest")
    if not any(request[1].startswith("r") for endpoint in world.endpoints.values() if endpoint.service == "orders-next" for request in endpoint.requests):
        raise CannotRun("new flows were not served by the new service")
    answers = await asyncio.gather(*(ask(world, flow) for flow in flows))
    if not all(answer and answer.startswith("orders-") and not answer.startswith("orders-next") for answer in answers):
        raise CannotRun("an open flow was not answered by its endpoint before the disruption")
    if with_trouble:
        balancers = [name for name in world.fields if name.startswith("balancer")]
        nodes = [name for name in world.fields if "orders-next" in name]
        await asyncio.gather(roll(world, balancers), roll(world, nodes))
    else:
        await asyncio.sleep(9.0)
    await asyncio.gather(*(ask(world, flow) for flow in flows))


if __name__ == "__main__":
    print(f"record: {FOLDER}/record.txt")
    sys.exit(main(scenario, lambda: World(FOLDER, {"orders": 2, "orders-next": 2})))
