"""The two example deployments: zones, services, number of endpoints and load."""


def service(name, address, endpoints, slots, repeatable, long_flows, short_per_second):
    """Returns a service with its load. `slots` are concurrent requests of one upstream; `repeatable` requests are idempotent."""
    return {
        "name": name, "address": address, "endpoints": endpoints, "slots": slots, "repeatable": repeatable,
        "long_flows": long_flows, "short_per_second": short_per_second, "period_ms": 2000, "body_bytes": 1500,
        "work_ms": 20, "cold_ms": 2000,
    }


DEPLOYMENTS = {
    "wrekin": {
        "who": "Wrekin Bench operations",
        "zones": ["midlands-a", "midlands-b", "midlands-c", "midlands-d"],
        "services": [
            service("orders", "10.20.0.1:80", 7, 5, False, 280, 40),
            service("proofs", "10.20.0.2:80", 4, 5, True, 160, 20),
        ],
    },
    "krojac": {
        "who": "Krojac Kutija operations",
        "zones": ["hr-north-a", "hr-north-b", "hr-north-c", "hr-north-d"],
        "services": [
            service("storefront", "10.30.0.1:80", 7, 8, False, 280, 40),
            service("lookbook", "10.30.0.2:80", 4, 8, True, 160, 20),
        ],
    },
}
