"""A randomized fault soak: runs the real programs on loopback, injects faults from outside, checks what callers and upstreams observe."""
