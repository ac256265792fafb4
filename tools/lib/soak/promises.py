"""Invariant checks on what callers and upstreams observe. The first violation ends the run."""

import collections

RECOVERY_SECONDS = 4.0  # No time bound is checked for a process until this long after a fault on its instance or links.
CONFIGURATION_BOUND_SECONDS = 3.0  # From the write of a configuration until every balancer applies it.
ROLLBACK_TOLERANCE_SECONDS = 0.25
STORE_FAULT_ALLOWANCE_SECONDS = 12.0  # Added to the bounds of configuration and evacuation while the store has a fault.
DRAIN_BOUND_SECONDS = 3.0
EVACUATION_BOUND_SECONDS = 5.0
REORDERING_WINDOW_SECONDS = 2.0
COLD_RATE_TOLERANCE_FACTOR, COLD_RATE_TOLERANCE_OPENINGS = 1.5, 5
MAX_CHECKED_FLOW_AGE_SECONDS = 60.0  # Older flows may have been dropped and are not checked.
MIN_RECOVERED_RATIO = 0.98


class InvariantChecker:
    """Receives observations of upstreams and callers and collects violations.

    `clock` returns the seconds since the start of the run; all times below are on this clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self.violations = []
        self.executed_at = {}  # Request: name of the upstream that executed it first.
        self.holders = {}  # Flow: (upstream, its lifetime, time of the opening).
        self.stray_times = collections.defaultdict(list)  # Flow: times of recent packets at upstreams that do not hold it.
        self.last_holder_packet_at = {}  # Flow: time of the latest packet at the upstream that holds it.
        self.routes = {}  # Address: [(time, version, service, or None where the route was removed)].
        self.evacuation_started_at = {}  # Zone: time.
        self.store_fault_until = -1e9
        self.unplanned_fault_until = -1e9
        self.newest_version_shown = {}  # (balancer, lifetime): (newest version that it was seen to apply, time).
        self.counts = collections.Counter()
        self.final_requests = self.final_requests_served = 0
        self.final_phase_start = 1e9

    def report_violation(self, invariant, text):
        self.violations.append(f"{self.clock():.3f} s {invariant}: {text}")

    def has_recovered(self, instance):
        return self.clock() >= instance.fault_until + RECOVERY_SECONDS

    def store_fault_allowance(self):
        """Returns the seconds that a bound is extended by during and shortly after a store fault."""
        return STORE_FAULT_ALLOWANCE_SECONDS if self.clock() < self.store_fault_until + RECOVERY_SECONDS else 0

    # Configuration and zones

    def on_route(self, address, version, service):
        self.routes.setdefault(address, []).append((self.clock(), version, service))

    def allowed_services(self, address, since):
        """Returns the services that the address routed to at `since` or at any time after it."""
        history = self.routes.get(address, [])
        before = [entry for entry in history if entry[0] <= since][-1:]
        return {service for _, _, service in before + [entry for entry in history if entry[0] > since]}

    # Upstreams

    def on_opening(self, upstream, flow, balancers):
        """Checks an opening packet that reached an upstream; `balancers` are those that may have forwarded it."""
        now, address = self.clock(), flow[1]
        self.counts["openings"] += 1
        all_services = {service for _, _, service in self.routes.get(address, [])}
        if upstream.service not in all_services:
            self.report_violation("wrong service", f"{upstream.name} of service {upstream.service} received an opening packet for {address}")
        instances = [upstream.instance, *balancers]
        if not all(self.has_recovered(instance) for instance in instances):
            return
        since = now - CONFIGURATION_BOUND_SECONDS - self.store_fault_allowance()
        if upstream.service not in self.allowed_services(address, since):
            names = [balancer.name for balancer in balancers]
            self.report_violation("configuration", f"{upstream.name} received an opening packet for {address} through {names} under an outdated configuration")
        if len(balancers) == 1:
            self.check_rollback(upstream, address, balancers[0])
        if upstream.drain_acknowledged is not None and now > upstream.drain_acknowledged + DRAIN_BOUND_SECONDS:
            self.report_violation("drain", f"{upstream.name} received an opening packet {now - upstream.drain_acknowledged:.2f} s after its drain was acknowledged")
        since = self.evacuation_started_at.get(upstream.instance.zone)
        if since is not None and now > since + EVACUATION_BOUND_SECONDS + self.store_fault_allowance():
            self.report_violation("evacuation", f"{upstream.name} received an opening packet {now - since:.2f} s after the evacuation of zone {upstream.instance.zone} began")

    def check_rollback(self, upstream, address, balancer):
        """Checks that a balancer does not go back to a configuration older than one that it has already applied."""
        now, key = self.clock(), (balancer.name, balancer.lifetime)
        history = self.routes.get(address, [])
        version, when = self.newest_version_shown.get(key, (0, now))
        removals = [entry for entry in history if entry[2] is None and entry[1] <= version]
        later_additions = [entry for entry in history if entry[2] is not None and removals and entry[1] > removals[-1][1]]
        if removals and not later_additions and now > when + ROLLBACK_TOLERANCE_SECONDS:
            self.report_violation("rollback", f"{balancer.name} forwarded an opening packet for {address} to {upstream.name}: version {removals[-1][1]} removed the route and the balancer had already applied version {version}")
        additions = [entry[1] for entry in history if entry[2] is not None]
        if additions and additions[0] > version:
            self.newest_version_shown[key] = (additions[0], now)

    def on_cold_openings(self, upstream, count, rate):
        """Checks the number of openings within one second at an upstream in cold start against its configured rate."""
        if count > rate * COLD_RATE_TOLERANCE_FACTOR + COLD_RATE_TOLERANCE_OPENINGS:
            self.report_violation("cold start", f"{upstream.name} received {count} openings within one second: its limit is {rate} per second")

    def on_open(self, upstream, flow):
        self.holders[flow] = (upstream, upstream.lifetime, self.clock())
        self.on_holder_packet(flow)

    def on_holder_packet(self, flow):
        self.last_holder_packet_at[flow] = self.clock()

    def on_stray_packet(self, upstream, flow, is_planned):
        """Checks a packet that reached an upstream which does not hold its flow.

        One or two strays are allowed. It is a violation where three arrive within the reordering window and none reaches the holder.
        `is_planned` tells that planned work is running: then the check also holds for instances that have not recovered yet.
        """
        now = self.clock()
        holder = self.holders.get(flow)
        if not self.must_be_open(flow) or holder[0] is upstream:
            return
        recent_strays = self.stray_times[flow] = [entry for entry in self.stray_times[flow] if now - entry < REORDERING_WINDOW_SECONDS] + [now]
        instances = (upstream.instance, holder[0].instance)
        is_checked = is_planned or all(self.has_recovered(instance) for instance in instances)
        if len(recent_strays) >= 3 and now - self.last_holder_packet_at[flow] >= REORDERING_WINDOW_SECONDS and is_checked:
            self.report_violation("flow", f"{len(recent_strays)} packets of {flow} reached other upstreams, the last one {upstream.name}, and none reached {holder[0].name}, which holds it")

    def must_be_open(self, flow):
        """Returns whether the flow is open at a running upstream and no configuration has removed its route since."""
        if flow not in self.holders:
            return False
        upstream, lifetime, since = self.holders[flow]
        oldest = since - CONFIGURATION_BOUND_SECONDS - STORE_FAULT_ALLOWANCE_SECONDS  # A balancer may have opened it under an older version.
        is_route_removed = any(when >= oldest and service is None for when, _, service in self.routes[flow[1]])
        is_young = self.clock() - since < MAX_CHECKED_FLOW_AGE_SECONDS
        return upstream.is_up and upstream.lifetime == lifetime and is_young and not is_route_removed

    def on_request_executed(self, upstream, request, sent_requests):
        before = self.executed_at.setdefault(request, upstream.name)
        if request not in sent_requests:
            self.report_violation("unasked", f"{upstream.name} received {request!r}, which no caller sent")
        if before != upstream.name:
            self.report_violation("at most once", f"{request!r} was executed at {before} and at {upstream.name}")

    # Callers

    def on_reset(self, flow):
        holder = self.holders.get(flow)
        self.counts["resets"] += 1
        if self.must_be_open(flow) and flow in holder[0].flows and not holder[0].has_reset(flow) and self.has_recovered(holder[0].instance):
            self.report_violation("flow", f"{flow} was reset while {holder[0].name} holds it")

    def on_request_timeout(self, flow, started_at):
        """Checks a request in an open flow that got no answer before its deadline.

        It is a violation where the agent beside the upstream was running all the time and no unplanned fault was active.
        """
        holder = self.holders.get(flow)
        is_undisturbed = self.must_be_open(flow) and flow in holder[0].flows and started_at > holder[0].instance.fault_until
        if is_undisturbed and started_at > self.unplanned_fault_until + RECOVERY_SECONDS:
            self.report_violation("flow", f"a request in {flow}, sent at {started_at:.3f} s, got no answer although {holder[0].name} holds the flow and no unplanned fault was active")

    def on_answer(self, request, answer):
        if answer != b"=" + request:
            self.report_violation("wrong answer", f"{request!r} was answered with {answer!r}")

    def on_request_ended(self, started_at, is_served):
        self.counts["served" if is_served else "failed"] += 1
        if started_at >= self.final_phase_start:
            self.final_requests += 1
            self.final_requests_served += is_served

    def check_recovery(self):
        """Checks the share of requests that were served after the last fault."""
        if self.final_requests == 0 or self.final_requests_served < MIN_RECOVERED_RATIO * self.final_requests:
            self.report_violation("recovery", f"only {self.final_requests_served} of {self.final_requests} requests were served after the last fault had ended")
