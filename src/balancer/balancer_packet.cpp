/** @file balancer_packet.cpp A balancer's handling of callers' packets, and of openings without an agent. */
#include "balancer/balancer_base.h"

#include <optional>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration discoveryTime = 1500ms; ///< Once the first agent is known, others may take this long to become known.
    constexpr size_t maximumHeldOpenings = 512; ///< Limits memory; an opening packet has 31 bytes.

    /** What the route at this address asks for; nothing if there is none, as at a service's own address. */
    OpeningNeeds needsOf(const Configuration& configuration, Address address)
    {
        const auto route = configuration.routes.find(address);
        return route == configuration.routes.end() ? OpeningNeeds {} : OpeningNeeds { route->second.timeout };
    }

} // namespace

void Balancer::handle(TimePoint now, const FlowPacket& packet, Duration waited, Actions& actions)
{
    this->count.add(Counter::PacketsReceived);
    if (!this->follower.current().serviceByAddress.contains(packet.flow.service) || packet.isToCaller) {
        this->count.add(Counter::PacketsNoService);
        this->refuseIfOpening(now, packet, "no_route", false, waited, actions);
        return;
    }
    ForwardedPacket forwarded { .packet = packet };
    if (!this->selectAgents(now, forwarded)) {
        this->count.add(Counter::PacketsNoUpstream);
        this->refuseIfOpening(now, packet, "no_upstream", false, waited, actions);
        return;
    }
    this->count.add(Counter::PacketsForwarded);
    if (this->openingTracker != nullptr) {
        forwarded.balancer = this->settings.address;
        if (packet.mark == PacketMark::Opening) {
            forwarded.rulesRevision = this->follower.revision();
            const std::optional<Segment> segment = this->codec->parse(packet.payload);
            this->openingTracker->onOpening(now, std::move(forwarded), segment ? segment->acknowledged : 0, actions, needsOf(this->follower.current(), packet.flow.service), waited);
            this->handleRefusedOpenings(now, actions);
            return;
        }
    }
    const Address first = forwarded.candidates.front();
    actions.push_back(SendMessage { first, std::move(forwarded) });
}

/**
 * Answers openings that no agent accepted. If agents are only busy, the packet is dropped without a reset, so that the
 * caller's next retransmission can succeed. If all copies were refused, none will follow, so the caller gets a reset. So it does
 * if no agent would answer within the route's timeout: waiting for the next copy only spends the caller's time.
 */
void Balancer::handleRefusedOpenings(TimePoint now, Actions& actions)
{
    for (const RefusedOpening& opening : this->openingTracker->takeRefused()) {
        if (opening.areCopiesExhausted || opening.isUnservable) {
            this->count.add(Counter::FlowsRefused);
            this->count.add(Counter::OpeningsUnservable, opening.areCopiesExhausted ? 0 : 1);
            this->events->log(EventLevel::Info, "flow-refused",
                {
                    { "flow", formatFlow(opening.packet.flow) },
                    { "reason", opening.isUnservable ? "over_route_timeout" : "queues_full" },
                    { "copies", std::to_string(opening.copies) },
                    { "reset", "true" },
                });
            pushToCaller(actions, opening.packet.flow, this->codec->makeReset(opening.packet.flow, 0));
        } else if (opening.hasBusyAgent) {
            this->count.add(Counter::OpeningsDeferred);
            this->events->log(EventLevel::Info, "opening-deferred",
                {
                    { "flow", formatFlow(opening.packet.flow) },
                    { "reason", "queues_full" },
                    { "copies", std::to_string(opening.copies) },
                });
        } else {
            this->refuseIfOpening(now, opening.packet, "no_agent_takes_it", opening.mayBeAccepted, opening.age, actions);
        }
    }
}

/**
 * Refuses an opening packet for which there is no agent. Until the balancer serves, the packet is held instead. After that
 * the caller gets a reset, except for a retransmission, within discoveryTime, and where an agent may have accepted the opening, or a later copy that another balancer got
 * in the meantime. In these cases, and for all other kinds of packet, nothing is sent to the caller: the flow may be open at an agent that this balancer does not know.
 */
void Balancer::refuseIfOpening(TimePoint now, const FlowPacket& packet, std::string_view reason, bool mayBeAccepted, Duration age, Actions& actions)
{
    if (this->codec == nullptr || packet.mark != PacketMark::Opening) {
        return;
    }
    if (this->servingSince == TimePoint {}) {
        if (this->heldOpenings.size() < maximumHeldOpenings) {
            this->heldOpenings.emplace_back(now - age, packet);
        }
        return;
    }
    const std::optional<Segment> segment = this->codec->parse(packet.payload);
    const bool isOriginal = segment && segment->acknowledged == 0;
    const bool mayReset = isOriginal && !mayBeAccepted && !this->codec->timing().mayNextCopyBeSent(0, age) && now - this->servingSince >= discoveryTime;
    this->count.add(Counter::FlowsRefused);
    this->events->log(EventLevel::Info, "flow-refused",
        {
            { "flow", formatFlow(packet.flow) },
            { "reason", std::string(reason) },
            { "revision", formatRevision(this->follower.revision()) },
            { "revision_age_ms", std::to_string(toMilliseconds(now - this->follower.inForceSince())) },
            { "age_ms", std::to_string(toMilliseconds(age)) },
            { "reset", mayReset ? "true" : "false" },
        });
    if (mayReset) {
        pushToCaller(actions, packet.flow, this->codec->makeReset(packet.flow, 0));
    }
}

/** Starts to serve once rules and an eligible agent are known. Forwards the held openings, except those whose next retransmission is due. */
void Balancer::beginServing(TimePoint now, Actions& actions)
{
    if (this->servingSince != TimePoint {} || !this->isServing()) {
        return;
    }
    this->servingSince = now;
    for (const auto& [since, packet] : std::exchange(this->heldOpenings, {})) {
        if (now - since < this->codec->timing().longestCopyInterval()) {
            this->handle(now, packet, now - since, actions);
        }
    }
}

} // namespace lavender
