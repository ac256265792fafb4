"""Generates the fault schedule from a seed: the same seed gives the same schedule."""

import random

FAULT_FREE_START_SECONDS = 4.0  # All processes join the membership first.
FAULT_FREE_END_SECONDS = 14.0  # Recovery may take 12 s; requests after that must be served.
MEAN_EVENT_GAP_SECONDS = 1.6  # Between the starts of two events; many last longer, so events overlap.

# Event kind: weight of the draw and range of the duration in seconds (0: an instantaneous event).
EVENT_KINDS = {
    "kill": (6, (0.2, 2.0)),
    "pause": (4, (0.3, 4.0)),
    "stop": (5, (0.2, 1.5)),  # Planned restart: SIGTERM, then a new process.
    "roll": (2, (0.4, 1.2)),  # Rolling restart of balancers or agents; the duration is the gap between two processes.
    "herd": (1, (0.2, 1.0)),  # SIGKILL to all processes at once.
    "cut": (3, (0.5, 5.0)),  # Partitions one instance in both directions; the next two in one direction.
    "cut_in": (2, (0.5, 5.0)),
    "cut_out": (2, (0.5, 5.0)),
    "bridge_cut": (1, (1.0, 5.0)),  # Partition between two zones.
    "lossy": (2, (1.0, 5.0)),
    "slow_link": (2, (1.0, 5.0)),
    "reset_connections": (2, (0, 0)),
    "silence_connections": (2, (0, 0)),
    "store_down": (3, (0.5, 5.0)),
    "store_silent": (2, (0.5, 5.0)),
    "store_refuses": (2, (1.0, 6.0)),  # Resets the store connections of some instances.
    "store_slow": (2, (1.0, 5.0)),
    "store_lost_answers": (2, (1.0, 5.0)),  # POST requests take effect but are answered with 503.
    "store_forgets": (2, (0, 0)),  # Compaction: watches from an older revision get 410.
    "store_lapses": (2, (0, 0)),  # All leases expire.
    "upstream_crash": (5, (0.1, 3.0)),
    "upstream_refuses": (2, (0.5, 4.0)),
    "upstream_slow": (2, (1.0, 5.0)),
    "upstream_drain": (4, (3.5, 5.0)),  # Drain, stop, and a new upstream at the same address.
    "late_report": (2, (1.0, 4.0)),  # Heartbeats of an earlier lifetime arrive.
    "bad_report": (1, (0, 0)),  # Malformed heartbeats.
    "clock_jump": (2, (0.2, 1.0)),  # Restart of a process with a changed time of day.
    "route_on": (4, (0, 0)),
    "route_off": (4, (0, 0)),
    "route_storm": (2, (0.05, 0.2)),  # Many configuration versions; the duration is the gap between two.
    "bad_configuration": (1, (0, 0)),  # Foreign keys in the store.
    "evacuate": (2, (7.0, 10.0)),
    "reload": (1, (0, 0)),  # SIGHUP.
}

# Kinds that only seeds from FIRST_LATER_SEED on draw, so that earlier seeds give the schedules with which they failed.
LATER_EVENT_KINDS = {
    "store_restored": (4, (0.1, 1.0)),  # The store comes back from an older copy; the duration is the time until the operators write again what was lost.
}
FIRST_LATER_SEED = 5000

# Planned work, during which nothing at all may fail.
PLANNED_KINDS = ("stop", "roll", "upstream_drain", "late_report", "route_on", "route_off", "route_storm", "evacuate", "reload")
PLANNED_ONLY_RATIO = 0.3  # Share of the seeds that draw planned work only.


def make_schedule(seed, seconds):
    """Returns events ordered by time: {"at", "kind", "seconds", "pick"}; `pick` is a fraction that selects the target."""
    rng = random.Random(seed)
    event_kinds = EVENT_KINDS | (LATER_EVENT_KINDS if seed >= FIRST_LATER_SEED else {})
    # Each seed draws from a subset of the kinds, so that the same few faults coincide often.
    kinds = list(PLANNED_KINDS) if rng.random() < PLANNED_ONLY_RATIO else rng.sample(sorted(event_kinds), rng.randint(6, 16))
    weights = [event_kinds[kind][0] for kind in kinds]
    events, now = [], FAULT_FREE_START_SECONDS
    while True:
        now += rng.expovariate(1 / MEAN_EVENT_GAP_SECONDS)
        kind = rng.choices(kinds, weights)[0]
        low, high = event_kinds[kind][1]
        duration = rng.uniform(low, high)
        # The duration of a rolling restart and of a route storm is one gap; 6 s is allowed for all their steps.
        if now + (duration if kind not in ("roll", "route_storm") else 6.0) > seconds - FAULT_FREE_END_SECONDS:
            break
        events.append({"at": round(now, 2), "kind": kind, "seconds": round(duration, 2), "pick": round(rng.random(), 4)})
    return events
