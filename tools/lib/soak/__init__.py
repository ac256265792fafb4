"""A randomized fault soak: the real programs on loopback, faults from outside them, promises checked by what callers and upstreams see."""
