"""Handlers of the events of a schedule, named after their kinds.

Each handler runs one event from its start to its end; several run concurrently.
"""

import asyncio
import json
import signal
import time

from soak.world import CLOCK_JUMP_MS, EXTRA_ROUTES, STOP_GRACE_SECONDS, ZONES

RESTART_SECONDS = 0.3  # Until a restarted process runs again and has learned the state of its peers.
STORM_VERSIONS = 12  # Configuration versions of one route storm.
LATE_REPORT_PERIOD_SECONDS = 0.2
TARGET_RATIO = 0.3  # Share of the instances that an event on several instances affects.


def pick(items, event):
    """Returns the target of an event."""
    return items[int(event["pick"] * len(items))]


def select_share(instances, event):
    """Returns the targets of an event on several instances."""
    first = int(event["pick"] * len(instances))
    return [instances[(first + step) % len(instances)] for step in range(max(1, int(len(instances) * TARGET_RATIO)))]


async def kill(world, event, instances=None):
    instances = instances or [pick(list(world.instances.values()), event)]
    world.record_fault(instances, event["seconds"] + RESTART_SECONDS)
    for instance in instances:
        instance.should_run = False
        world.send_signal(instance, signal.SIGKILL)
    await asyncio.sleep(event["seconds"])
    for instance in instances:
        instance.should_run = True


async def herd(world, event):
    await kill(world, event, list(world.instances.values()))


async def pause(world, event):
    instance = pick(list(world.instances.values()), event)
    world.record_fault([instance], event["seconds"])
    world.send_signal(instance, signal.SIGSTOP)
    await asyncio.sleep(event["seconds"])
    world.send_signal(instance, signal.SIGCONT)


async def stop(world, event, instance=None):
    """Stops a process as planned work: SIGTERM, SIGKILL after the grace period, and a new process."""
    instance = instance or pick(list(world.instances.values()), event)
    world.record_fault([instance], event["seconds"] + RESTART_SECONDS, is_planned=True)
    world.planned_work_until = max(world.planned_work_until, world.checker.clock() + STOP_GRACE_SECONDS)
    instance.should_run = False
    world.send_signal(instance, signal.SIGTERM)
    for _ in range(int(STOP_GRACE_SECONDS / 0.05)):
        if instance.process.poll() is not None:
            break
        world.record_fault([instance], event["seconds"] + RESTART_SECONDS, is_planned=True)
        await asyncio.sleep(0.05)
    if instance.process.poll() is None:
        if instance.fault_until < world.checker.clock():
            world.checker.report_violation("graceful stop", f"{instance.name} did not end within {STOP_GRACE_SECONDS} s after SIGTERM")
        world.send_signal(instance, signal.SIGKILL)
    await asyncio.sleep(event["seconds"])
    instance.should_run = True


async def roll(world, event):
    """Restarts up to six balancers, or up to six agents, one after the other."""
    instances = [instance for instance in world.instances.values() if instance.is_balancer == (event["pick"] < 0.6)]
    for instance in instances[:6]:
        await stop(world, event, instance)


async def apply_link_fault(world, event, *fault_sets):
    """Adds one instance to sets of `world.faults` for the duration of the event."""
    instance = pick(list(world.instances.values()), event)
    world.record_fault([instance], event["seconds"])
    for fault_set in fault_sets:
        fault_set.add(instance.name)
    await asyncio.sleep(event["seconds"])
    for fault_set in fault_sets:
        fault_set.discard(instance.name)


async def cut(world, event):
    await apply_link_fault(world, event, world.faults.cut_in, world.faults.cut_out)


async def cut_in(world, event):
    await apply_link_fault(world, event, world.faults.cut_in)


async def cut_out(world, event):
    await apply_link_fault(world, event, world.faults.cut_out)


async def lossy(world, event):
    await apply_link_fault(world, event, world.faults.lossy)


async def slow_link(world, event):
    await apply_link_fault(world, event, world.faults.slow)


async def bridge_cut(world, event):
    pair = frozenset(zone for zone in ZONES if zone != pick(ZONES, event))
    world.record_fault([instance for instance in world.instances.values() if instance.zone in pair], event["seconds"])
    world.faults.partitioned_zones.add(pair)
    await asyncio.sleep(event["seconds"])
    world.faults.partitioned_zones.discard(pair)


async def reset_connections(world, event):
    world.record_fault(world.instances.values(), 0)
    for relay in (*world.relays, *world.store_relays):
        relay.reset()


async def silence_connections(world, event):
    world.record_fault(world.instances.values(), 0)
    for relay in (*world.relays, *world.store_relays):
        relay.silence()


async def run_store_fault(world, event, enable, disable):
    """Calls `enable`, and `disable` after the duration of the event."""
    world.checker.store_fault_until = max(world.checker.store_fault_until, world.checker.clock() + event["seconds"])
    enable()
    await asyncio.sleep(event["seconds"])
    disable()


async def store_down(world, event):
    await run_store_fault(world, event, lambda: setattr(world.store, "down", True), lambda: setattr(world.store, "down", False))


def store_fault_mode_event(name):
    """Returns a handler that sets a fault mode of the store for the duration of the event."""

    async def handler(world, event):
        store = world.store
        await run_store_fault(world, event, lambda: setattr(store, "fault_mode", name), lambda: setattr(store, "fault_mode", None))

    return handler


async def store_refuses(world, event):
    names = {instance.name for instance in select_share(list(world.instances.values()), event)}
    refused = world.faults.refused_by_store
    await run_store_fault(world, event, lambda: refused.update(names), lambda: refused.difference_update(names))


async def store_forgets(world, event):
    await run_store_fault(world, event, world.store.compact, lambda: None)


async def store_restored(world, event):
    """Restores the store from a copy that is up to 5 s old. After the duration of the event the operators write again what was lost."""
    store, wanted = world.store, world.store.operator_writes()["op/config"]
    await run_store_fault(world, event, lambda: store.restore(time.monotonic() - 5 * event["pick"]), lambda: None)
    stored = store.operator_writes().get("op/config", '{"version": 0}')
    if json.loads(stored)["version"] < json.loads(wanted)["version"]:
        store.put("op/config", wanted)
    for zone in ZONES:
        if zone in world.checker.evacuation_started_at:
            store.put(f"op/evacuate/{zone}", "{}")
        else:
            store.remove(f"op/evacuate/{zone}")


async def store_lapses(world, event):
    await run_store_fault(world, event, world.store.expire_leases, lambda: None)


async def upstream_crash(world, event):
    upstream = pick(world.upstreams, event)
    world.record_fault([upstream.instance], event["seconds"])
    upstream.crash()
    await asyncio.sleep(event["seconds"])
    if not upstream.is_up:  # Another crash of it may have ended in the meantime.
        upstream.start()


async def set_flag_for_duration(world, event, name):
    """Sets a flag of one upstream for the duration of the event."""
    upstream = pick(world.upstreams, event)
    setattr(upstream, name, True)
    await asyncio.sleep(event["seconds"])
    setattr(upstream, name, False)


async def upstream_refuses(world, event):
    await set_flag_for_duration(world, event, "is_refusing")


async def upstream_slow(world, event):
    await set_flag_for_duration(world, event, "is_slow")


async def upstream_drain(world, event):
    """Drains an upstream, stops it with its agent, and starts both again at the same address."""
    upstream = pick(world.upstreams, event)
    lifetime, upstream.state = upstream.lifetime, "draining"
    world.planned_work_until = max(world.planned_work_until, world.checker.clock() + event["seconds"])
    await asyncio.sleep(event["seconds"])
    if upstream.lifetime == lifetime:
        upstream.crash()
        await stop(world, {**event, "seconds": 0.2}, upstream.instance)
        upstream.start()


async def late_report(world, event):
    """Sends heartbeats of an earlier lifetime of the upstream, as if they had been delayed."""
    upstream = pick(world.upstreams, event)
    for sequence in range(int(event["seconds"] / LATE_REPORT_PERIOD_SECONDS)):
        await upstream.send_heartbeat({**upstream.heartbeat_body(), "seq": 10_000 + sequence, "born": upstream.born - 5000, "state": "ready"})
        await asyncio.sleep(LATE_REPORT_PERIOD_SECONDS)


async def bad_report(world, event):
    """Sends malformed heartbeats."""
    upstream = pick(world.upstreams, event)
    bodies = (
        b"{",
        b"[]",
        b'{"service":1,"seq":"x"}',
        b'{"service":"orders","seq":1,"slots":4,"state":"gone","coldLeftMs":0}',
        bytes(range(256)),
    )
    for body in bodies:
        await upstream.send_heartbeat(body)


async def clock_jump(world, event):
    """Restarts a process with a time of day that has jumped forward or back."""
    instance = pick(list(world.instances.values()), event)
    jumped_offset_ms = 0 if event["pick"] < 0.5 else 2 * CLOCK_JUMP_MS
    instance.clock_offset_ms = CLOCK_JUMP_MS if instance.clock_offset_ms != CLOCK_JUMP_MS else jumped_offset_ms
    await kill(world, event, [instance])


async def route_on(world, event):
    world.enabled_extra_routes.add(pick(EXTRA_ROUTES, event))
    world.write_configuration()


async def route_off(world, event):
    world.enabled_extra_routes.discard(pick(EXTRA_ROUTES, event))
    world.write_configuration()


async def route_storm(world, event):
    for step in range(STORM_VERSIONS):
        world.enabled_extra_routes ^= {EXTRA_ROUTES[(step + int(event["pick"] * 4)) % len(EXTRA_ROUTES)]}
        world.write_configuration()
        await asyncio.sleep(event["seconds"])


async def bad_configuration(world, event):
    """Writes keys of another writer beside those of the operators. Their values are no valid documents."""
    world.store.put("op/unknown", "\x01")
    world.store.put("servers/x", "{")
    await asyncio.sleep(1)
    world.store.remove("op/unknown")


async def evacuate(world, event):
    zone = pick(ZONES, event)
    if world.checker.evacuation_started_at:
        return  # One zone at a time: the deployment need not withstand the loss of two of three zones.
    world.store.put(f"op/evacuate/{zone}", "{}")
    world.checker.evacuation_started_at[zone] = world.checker.clock()
    await asyncio.sleep(event["seconds"])
    del world.checker.evacuation_started_at[zone]
    world.store.remove(f"op/evacuate/{zone}")


async def reload(world, event):
    world.send_signal(pick(list(world.instances.values()), event), signal.SIGHUP)


# By event kind. The coroutine helpers above are included too, but no schedule has an event of their name.
EVENT_HANDLERS = {name: function for name, function in globals().items() if asyncio.iscoroutinefunction(function)}
EVENT_HANDLERS.update(
    store_silent=store_fault_mode_event("silent"),
    store_slow=store_fault_mode_event("slow"),
    store_lost_answers=store_fault_mode_event("lost"),
)
