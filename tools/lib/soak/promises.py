"""The promises, judged by what callers and upstreams saw; a broken one stops the run with both records."""

import collections

CONTACT_SECONDS = 4.0  # After a fault on its machine or links a process has this long before bounds hold for it.
CONFIGURATION_SECONDS = 3.0
ROLLBACK_SECONDS = 0.25
STORE_SECONDS = 12.0  # Added to the bounds of configuration and zones while the store was in trouble.
DRAIN_SECONDS = 3.0
EVACUATE_SECONDS = 5.0
REORDER_SECONDS = 2.0
COLD_FACTOR, COLD_SLACK = 1.5, 5
FLOW_SECONDS = 60.0  # Older flows may be forgotten.
SERVED_AT_THE_END = 0.98


class Promises:
    def __init__(self, clock):
        self.clock = clock
        self.broken = []
        self.runs = {}  # Request: where it ran.
        self.owners = {}  # Flow: (upstream, lifetime, since).
        self.foreign = collections.defaultdict(list)  # Flow: times of its latest packets at others.
        self.own = {}  # Flow: time of the latest packet at its own upstream.
        self.routes = {}  # Address: [(time, version, service or None)].
        self.evacuated = {}  # Zone: when.
        self.store_trouble_until = -1e9
        self.unplanned_until = -1e9
        self.seen = {}  # (balancer, lifetime): (version whose effect was seen, when).
        self.counts = collections.Counter()
        self.asked_at_the_end = self.served_at_the_end = 0
        self.end_begins = 1e9

    def fail(self, promise, text):
        self.broken.append(f"{self.clock():.3f} s {promise}: {text}")

    def in_touch(self, machine):
        return self.clock() >= machine.troubled_until + CONTACT_SECONDS

    def slack(self):
        return STORE_SECONDS if self.clock() < self.store_trouble_until + CONTACT_SECONDS else 0

    # Configuration and zones

    def on_route(self, address, version, service):
        self.routes.setdefault(address, []).append((self.clock(), version, service))

    def allowed(self, address, since):
        """Services that some version in force at `since` or later gives the address."""
        history = self.routes.get(address, [])
        before = [entry for entry in history if entry[0] <= since][-1:]
        return {service for _, _, service in before + [entry for entry in history if entry[0] > since]}

    # Upstreams

    def on_opening(self, upstream, flow, balancers):
        """An opening packet reached an upstream."""
        now, address = self.clock(), flow[1]
        self.counts["openings"] += 1
        ever = {service for _, _, service in self.routes.get(address, [])}
        if upstream.service not in ever:
            self.fail("wrong service", f"an opening for {address} reached {upstream.name}")
        machines = [upstream.machine, *balancers]
        if not all(self.in_touch(machine) for machine in machines):
            return
        if upstream.service not in self.allowed(address, now - CONFIGURATION_SECONDS - self.slack()):
            self.fail("configuration", f"an opening for {address} reached {upstream.name} by {[m.name for m in balancers]} under an old version")
        if len(balancers) == 1:
            self.check_rollback(upstream, address, balancers[0])
        if upstream.drain_acknowledged is not None and now > upstream.drain_acknowledged + DRAIN_SECONDS:
            self.fail("drain", f"{upstream.name} got an opening {now - upstream.drain_acknowledged:.2f} s after its drain was acknowledged")
        since = self.evacuated.get(upstream.machine.zone)
        if since is not None and now > since + EVACUATE_SECONDS + self.slack():
            self.fail("evacuation", f"{upstream.name} got an opening {now - since:.2f} s after zone {upstream.machine.zone} was to be emptied")

    def check_rollback(self, upstream, address, balancer):
        now, key = self.clock(), (balancer.name, balancer.lifetime)
        history = self.routes.get(address, [])
        version, when = self.seen.get(key, (0, now))
        gone = [entry for entry in history if entry[2] is None and entry[1] <= version]
        back = [entry for entry in history if entry[2] is not None and gone and entry[1] > gone[-1][1]]
        if gone and not back and now > when + ROLLBACK_SECONDS:
            self.fail("rollback", f"{balancer.name} let an opening for {address} pass to {upstream.name}, gone by version {gone[-1][1]}, after it had shown {version}")
        given = [entry[1] for entry in history if entry[2] is not None]
        if given and given[0] > version:
            self.seen[key] = (given[0], now)

    def on_cold_openings(self, upstream, count, rate):
        if count > rate * COLD_FACTOR + COLD_SLACK:
            self.fail("cold start", f"{upstream.name} got {count} openings in a second, bears {rate}")

    def on_open(self, upstream, flow):
        self.owners[flow] = (upstream, upstream.lifetime, self.clock())
        self.on_own_packet(flow)

    def on_own_packet(self, flow):
        self.own[flow] = self.clock()

    def on_foreign_packet(self, upstream, flow, is_planned):
        """A packet of a flow reached an upstream that does not hold it."""
        now = self.clock()
        owner = self.owners.get(flow)
        if not self.is_kept(flow) or owner[0] is upstream:
            return
        strays = self.foreign[flow] = [entry for entry in self.foreign[flow] if now - entry < REORDER_SECONDS] + [now]
        machines = (upstream.machine, owner[0].machine)
        if len(strays) >= 3 and now - self.own[flow] >= REORDER_SECONDS and (is_planned or all(self.in_touch(machine) for machine in machines)):
            self.fail("flow", f"{len(strays)} packets of {flow} reached others, the last {upstream.name}, and none {owner[0].name}, which holds it")

    def is_kept(self, flow):
        """True where the flow is open at a living upstream, and no configuration has dropped its route since."""
        if flow not in self.owners:
            return False
        upstream, lifetime, since = self.owners[flow]
        oldest = since - CONFIGURATION_SECONDS - STORE_SECONDS  # A balancer may have opened it under an older version.
        is_dropped = any(when >= oldest and service is None for when, _, service in self.routes[flow[1]])
        return upstream.is_up and upstream.lifetime == lifetime and self.clock() - since < FLOW_SECONDS and not is_dropped

    def on_run(self, upstream, request, sent):
        before = self.runs.setdefault(request, upstream.name)
        if request not in sent:
            self.fail("unasked", f"{upstream.name} got {request!r}, which no caller sent")
        if before != upstream.name:
            self.fail("at most once", f"{request!r} ran at {before} and at {upstream.name}")

    # Callers

    def on_reset(self, flow):
        owner = self.owners.get(flow)
        self.counts["resets"] += 1
        if self.is_kept(flow) and flow in owner[0].flows and not owner[0].has_reset(flow) and self.in_touch(owner[0].machine):
            self.fail("flow", f"the open flow {flow} was reset while {owner[0].name} holds it")

    def on_silence(self, flow, begun):
        """A request in an open flow got no answer before its deadline. The agent beside its upstream was there all the while."""
        owner = self.owners.get(flow)
        if self.is_kept(flow) and flow in owner[0].flows and begun > owner[0].machine.troubled_until and begun > self.unplanned_until + CONTACT_SECONDS:
            self.fail("flow", f"a request in {flow} got no answer from {begun:.3f} s on while {owner[0].name} holds it and nothing unplanned happened")

    def on_answer(self, request, answer):
        if answer != b"=" + request:
            self.fail("own answer", f"{request!r} was answered with {answer!r}")

    def on_request_ended(self, begun, is_served):
        self.counts["served" if is_served else "failed"] += 1
        if begun >= self.end_begins:
            self.asked_at_the_end += 1
            self.served_at_the_end += is_served

    def judge_the_end(self):
        if self.asked_at_the_end == 0 or self.served_at_the_end < SERVED_AT_THE_END * self.asked_at_the_end:
            self.fail("recovery", f"{self.served_at_the_end} of {self.asked_at_the_end} requests were served after all trouble had ended")
