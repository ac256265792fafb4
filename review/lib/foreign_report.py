"""An endpoint drains. More than drainMs after the ack a liveness report of another writer, without an address, reaches its node.

Not a case: the pages say of a node's control address that nobody but its endpoint calls it. `python3 review/lib/foreign_report.py` exits with 1
if openings reach the endpoint too late.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(tempfile.mkdtemp(prefix="lavender-review-"))  # For record.txt.
sys.path.insert(0, str(Path(__file__).resolve().parent))

from standins import CannotRun, World, load, main, route, service  # noqa: E402

ADDRESS = ("127.100.0.1", 8080)
OPENINGS_PER_SECOND = 100
DRAIN_SECONDS = 3.0  # drainMs
ACK_SECONDS = 5.0  # ackMs
REPORT_DELAY = 3.5  # From the ack to the report of another writer.
SERVING_AFTER_ACK = 6.0  # The endpoint serves on for drainMs and a little longer.


async def report_of_another_writer(world, endpoint):
    """Sends a report in which `address`, `zone`, `version` and `born` are missing, so that it names no endpoint."""
    body = {"service": endpoint.service, "slots": endpoint.slots, "state": "ready", "coldLeftMs": 0, "seq": 1}
    status = await endpoint.call("/Endpoints.Heartbeat/i-of-another-writer", body)
    world.log(f"another writer: report {json.dumps(body)} to the node of {endpoint.name} gets {status}")


def check_drain(world, endpoint, acknowledged_at):
    """DRAIN: counts the openings that were sent, and reached the endpoint, later than drainMs after the ack."""
    late = [entry for entry in endpoint.openings if min(entry[0], entry[1]) > acknowledged_at + DRAIN_SECONDS]
    for sent, arrived, _, _ in late[:5]:
        world.log(f"an opening sent {sent - acknowledged_at:.3f} s after the ack reached {endpoint.name} {arrived - acknowledged_at:.3f} s after it")
    if late:
        world.violation("DRAIN", f"{len(late)} openings reached {endpoint.name} later than drainMs ({DRAIN_SECONDS} s) after its node acknowledged that it is draining, the last {late[-1][1] - acknowledged_at:.3f} s after")


async def scenario(world, with_trouble):
    world.write_manifest(4, [route(*ADDRESS, service="orders")], [service("orders")])
    if not await world.wait_until_served(ADDRESS):
        raise CannotRun("no flow was served after the start")
    await asyncio.sleep(4.0)  # contactMs: all machines are in touch.
    traffic = asyncio.create_task(load(world, ADDRESS, OPENINGS_PER_SECOND, 10.0))
    await asyncio.sleep(1.0)
    endpoint = world.endpoints["orders-0"]
    endpoint.state = "draining"
    end = time.monotonic() + ACK_SECONDS
    while "draining" not in endpoint.acknowledged and time.monotonic() < end:
        await asyncio.sleep(0.02)
    if "draining" not in endpoint.acknowledged:
        raise CannotRun("the drain was not acknowledged")
    acknowledged_at = endpoint.acknowledged["draining"]
    await asyncio.sleep(max(0.0, acknowledged_at + REPORT_DELAY - time.monotonic()))
    if with_trouble:
        await report_of_another_writer(world, endpoint)
    await asyncio.sleep(max(0.0, acknowledged_at + SERVING_AFTER_ACK - time.monotonic()))
    endpoint.crash()  # It exits.
    world.log(f"{await traffic} requests were answered")
    check_drain(world, endpoint, acknowledged_at)


if __name__ == "__main__":
    print(f"record: {FOLDER}/record.txt")
    sys.exit(main(scenario, lambda: World(FOLDER, {"orders": 4})))
