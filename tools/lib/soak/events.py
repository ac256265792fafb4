"""What each kind of event of a plan does. Every function plays one event to its end; several run at once."""

import asyncio
import signal

from soak.world import CLOCK_JUMP_MS, EXTRA_ROUTES, GRACE_SECONDS, ZONES

RESTART_SECONDS = 0.3  # A process that ended is back about then, and gathers its neighbours' news.
STORM_VERSIONS = 12
LATE_REPORT_SECONDS = 0.2
SHARE = 0.3  # Of the machines, where an event meets some of them.


def pick(items, event):
    return items[int(event["pick"] * len(items))]


def some(machines, event):
    first = int(event["pick"] * len(machines))
    return [machines[(first + step) % len(machines)] for step in range(max(1, int(len(machines) * SHARE)))]


async def kill(world, event, machines=None):
    machines = machines or [pick(list(world.machines.values()), event)]
    world.trouble(machines, event["seconds"] + RESTART_SECONDS)
    for machine in machines:
        machine.is_wanted = False
        world.send_signal(machine, signal.SIGKILL)
    await asyncio.sleep(event["seconds"])
    for machine in machines:
        machine.is_wanted = True


async def herd(world, event):
    await kill(world, event, list(world.machines.values()))


async def pause(world, event):
    machine = pick(list(world.machines.values()), event)
    world.trouble([machine], event["seconds"])
    world.send_signal(machine, signal.SIGSTOP)
    await asyncio.sleep(event["seconds"])
    world.send_signal(machine, signal.SIGCONT)


async def stop(world, event, machine=None):
    """A planned stop: SIGTERM, SIGKILL after the time of grace, and a new process."""
    machine = machine or pick(list(world.machines.values()), event)
    world.trouble([machine], event["seconds"] + RESTART_SECONDS, is_planned=True)
    world.planned_until = max(world.planned_until, world.promises.clock() + GRACE_SECONDS)
    machine.is_wanted = False
    world.send_signal(machine, signal.SIGTERM)
    for _ in range(int(GRACE_SECONDS / 0.05)):
        if machine.process.poll() is not None:
            break
        world.trouble([machine], event["seconds"] + RESTART_SECONDS, is_planned=True)
        await asyncio.sleep(0.05)
    if machine.process.poll() is None:
        if machine.troubled_until < world.promises.clock():
            world.promises.fail("graceful stop", f"{machine.name} did not end within {GRACE_SECONDS} s of SIGTERM")
        world.send_signal(machine, signal.SIGKILL)
    await asyncio.sleep(event["seconds"])
    machine.is_wanted = True


async def roll(world, event):
    machines = [machine for machine in world.machines.values() if machine.is_balancer == (event["pick"] < 0.6)]
    for machine in machines[:6]:
        await stop(world, event, machine)


async def isolate(world, event, *sides):
    machine = pick(list(world.machines.values()), event)
    world.trouble([machine], event["seconds"])
    for side in sides:
        side.add(machine.name)
    await asyncio.sleep(event["seconds"])
    for side in sides:
        side.discard(machine.name)


async def cut(world, event):
    await isolate(world, event, world.faults.cut_in, world.faults.cut_out)


async def cut_in(world, event):
    await isolate(world, event, world.faults.cut_in)


async def cut_out(world, event):
    await isolate(world, event, world.faults.cut_out)


async def lossy(world, event):
    await isolate(world, event, world.faults.lossy)


async def slow_link(world, event):
    await isolate(world, event, world.faults.slow)


async def bridge_cut(world, event):
    pair = frozenset(zone for zone in ZONES if zone != pick(ZONES, event))
    world.trouble([machine for machine in world.machines.values() if machine.zone in pair], event["seconds"])
    world.faults.apart.add(pair)
    await asyncio.sleep(event["seconds"])
    world.faults.apart.discard(pair)


async def reset_connections(world, event):
    world.trouble(world.machines.values(), 0)
    for relay in (*world.relays, *world.store_relays):
        relay.reset()


async def silence_connections(world, event):
    world.trouble(world.machines.values(), 0)
    for relay in (*world.relays, *world.store_relays):
        relay.silence()


async def store_trouble(world, event, begin, end):
    world.promises.store_trouble_until = max(world.promises.store_trouble_until, world.promises.clock() + event["seconds"])
    begin()
    await asyncio.sleep(event["seconds"])
    end()


async def store_down(world, event):
    await store_trouble(world, event, lambda: setattr(world.store, "down", True), lambda: setattr(world.store, "down", False))


def mode(name):
    async def play(world, event):
        await store_trouble(world, event, lambda: setattr(world.store, "mode", name), lambda: setattr(world.store, "mode", None))

    return play


async def store_refuses(world, event):
    names = {machine.name for machine in some(list(world.machines.values()), event)}
    await store_trouble(world, event, lambda: world.faults.refused_by_store.update(names), lambda: world.faults.refused_by_store.difference_update(names))


async def store_forgets(world, event):
    await store_trouble(world, event, world.store.forget, lambda: None)


async def store_lapses(world, event):
    await store_trouble(world, event, world.store.lapse, lambda: None)


async def upstream_crash(world, event):
    upstream = pick(world.upstreams, event)
    world.trouble([upstream.machine], event["seconds"])
    upstream.crash()
    await asyncio.sleep(event["seconds"])
    upstream.start()


async def toggle(world, event, name):
    upstream = pick(world.upstreams, event)
    setattr(upstream, name, True)
    await asyncio.sleep(event["seconds"])
    setattr(upstream, name, False)


async def upstream_refuses(world, event):
    await toggle(world, event, "is_refusing")


async def upstream_slow(world, event):
    await toggle(world, event, "is_slow")


async def upstream_drain(world, event):
    upstream = pick(world.upstreams, event)
    lifetime, upstream.state = upstream.lifetime, "draining"
    world.planned_until = max(world.planned_until, world.promises.clock() + event["seconds"])
    await asyncio.sleep(event["seconds"])
    if upstream.lifetime == lifetime:
        upstream.crash()
        await stop(world, {**event, "seconds": 0.2}, upstream.machine)
        upstream.start()


async def late_report(world, event):
    upstream = pick(world.upstreams, event)
    for sequence in range(int(event["seconds"] / LATE_REPORT_SECONDS)):
        await upstream.report({**upstream.report_body(), "seq": 10_000 + sequence, "born": upstream.born - 5000, "state": "ready"})
        await asyncio.sleep(LATE_REPORT_SECONDS)


async def bad_report(world, event):
    upstream = pick(world.upstreams, event)
    for body in (b"{", b"[]", b'{"service":1,"seq":"x"}', b'{"service":"orders","seq":1,"slots":4,"state":"gone","coldLeftMs":0}', bytes(range(256))):
        await upstream.report(body)


async def clock_jump(world, event):
    """A new process reads a time of day that has jumped, forward or back."""
    machine = pick(list(world.machines.values()), event)
    machine.clock_offset_ms = CLOCK_JUMP_MS if machine.clock_offset_ms != CLOCK_JUMP_MS else (0 if event["pick"] < 0.5 else 2 * CLOCK_JUMP_MS)
    await kill(world, event, [machine])


async def route_on(world, event):
    world.extra.add(pick(EXTRA_ROUTES, event))
    world.configure()


async def route_off(world, event):
    world.extra.discard(pick(EXTRA_ROUTES, event))
    world.configure()


async def route_storm(world, event):
    for step in range(STORM_VERSIONS):
        world.extra ^= {EXTRA_ROUTES[(step + int(event["pick"] * 4)) % len(EXTRA_ROUTES)]}
        world.configure()
        await asyncio.sleep(event["seconds"])


async def bad_configuration(world, event):
    """Keys of another writer stand beside the operators' for a while."""
    world.store.put("op/unknown", "\x01")
    world.store.put("servers/x", "{")
    await asyncio.sleep(1)
    world.store.remove("op/unknown")


async def evacuate(world, event):
    zone = pick(ZONES, event)
    if world.promises.evacuated:
        return  # One at a time: two of three zones are not to be borne.
    world.store.put(f"op/evacuate/{zone}", "{}")
    world.promises.evacuated[zone] = world.promises.clock()
    await asyncio.sleep(event["seconds"])
    del world.promises.evacuated[zone]
    world.store.remove(f"op/evacuate/{zone}")


async def reload(world, event):
    world.send_signal(pick(list(world.machines.values()), event), signal.SIGHUP)


PLAYERS = {name: function for name, function in globals().items() if asyncio.iscoroutinefunction(function)}
PLAYERS.update(store_silent=mode("silent"), store_slow=mode("slow"), store_lost_answers=mode("lost"))
