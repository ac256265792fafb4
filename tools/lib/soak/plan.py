"""The schedule of faults and changes: the same seed gives the same one."""

import random

CALM_START_SECONDS = 4.0  # Everybody meets everybody first.
CALM_END_SECONDS = 14.0  # Recovery is allowed 12 s; what is asked after it must be served.
MEAN_GAP_SECONDS = 1.6  # Between two events; many last longer, so that they overlap.

# Kind of event: how often it is drawn, and the range of its length in seconds (0: it has none).
KINDS = {
    "kill": (6, (0.2, 2.0)),
    "pause": (4, (0.3, 4.0)),
    "stop": (5, (0.2, 1.5)),  # SIGTERM, then a new process.
    "roll": (2, (0.4, 1.2)),  # Each process of a kind in turn; the length is the gap.
    "herd": (1, (0.2, 1.0)),  # All processes are killed at once.
    "cut": (3, (0.5, 5.0)),
    "cut_in": (2, (0.5, 5.0)),
    "cut_out": (2, (0.5, 5.0)),
    "bridge_cut": (1, (1.0, 5.0)),  # Two zones lose each other.
    "lossy": (2, (1.0, 5.0)),
    "slow_link": (2, (1.0, 5.0)),
    "reset_connections": (2, (0, 0)),
    "silence_connections": (2, (0, 0)),
    "store_down": (3, (0.5, 5.0)),
    "store_silent": (2, (0.5, 5.0)),
    "store_refuses": (2, (1.0, 6.0)),  # Some machines only.
    "store_slow": (2, (1.0, 5.0)),
    "store_lost_answers": (2, (1.0, 5.0)),
    "store_forgets": (2, (0, 0)),
    "store_lapses": (2, (0, 0)),
    "upstream_crash": (5, (0.1, 3.0)),
    "upstream_refuses": (2, (0.5, 4.0)),
    "upstream_slow": (2, (1.0, 5.0)),
    "upstream_drain": (4, (3.5, 5.0)),  # A planned leave, then a new one at the same place.
    "late_report": (2, (1.0, 4.0)),  # Reports of an earlier lifetime arrive.
    "bad_report": (1, (0, 0)),
    "clock_jump": (2, (0.2, 1.0)),
    "route_on": (4, (0, 0)),
    "route_off": (4, (0, 0)),
    "route_storm": (2, (0.05, 0.2)),  # The length is the gap between two versions.
    "bad_configuration": (1, (0, 0)),
    "evacuate": (2, (7.0, 10.0)),
    "reload": (1, (0, 0)),
}


PLANNED = ("stop", "roll", "upstream_drain", "late_report", "route_on", "route_off", "route_storm", "evacuate", "reload")
PLANNED_SHARE = 0.3  # Of the seeds: planned work alone, under which nothing at all may go wrong.


def make_plan(seed, seconds):
    """Events in the order of time: {"at", "kind", "seconds", "pick"}; pick is a fraction that chooses the target."""
    rng = random.Random(seed)
    # Each seed leans on some kinds, so that few faults meet often rather than all of them seldom.
    kinds = list(PLANNED) if rng.random() < PLANNED_SHARE else rng.sample(sorted(KINDS), rng.randint(6, 16))
    weights = [KINDS[kind][0] for kind in kinds]
    events, now = [], CALM_START_SECONDS
    while True:
        now += rng.expovariate(1 / MEAN_GAP_SECONDS)
        kind = rng.choices(kinds, weights)[0]
        low, high = KINDS[kind][1]
        length = rng.uniform(low, high)
        if now + (length if kind not in ("roll", "route_storm") else 6.0) > seconds - CALM_END_SECONDS:
            break
        events.append({"at": round(now, 2), "kind": kind, "seconds": round(length, 2), "pick": round(rng.random(), 4)})
    return events
