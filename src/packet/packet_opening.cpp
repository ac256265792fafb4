/** @file packet_opening.cpp Opening packets that a balancer offers: the agent opens the flow, holds the packet, or reports a refusal. */
#include "packet/packet_agent_base.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr size_t maximumHeldOpenings = 256; ///< Limits memory; an opening packet has 31 bytes.
    constexpr Duration initialFetchInterval = 100ms; ///< Least time between two snapshot requests until the first rules arrive.

} // namespace

/** Opens a flow, or reports the refusal to the balancer. */
void PacketAgent::handleOpening(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions)
{
    if (!this->follower.hasRules() || !this->isKnownToOthers(now)) {
        this->holdOpening(now, forwarded, actions);
        return;
    }
    if (this->isRoutedElsewhere(forwarded)) {
        this->refuseRoutedElsewhere(now, forwarded, actions);
        return;
    }
    const Obstacle obstacle = this->obstacle(now, segment);
    const auto slots = static_cast<size_t>(this->peers.self().slots);
    if (obstacle == Obstacle::None && (this->flowsAwaitingAnswer < slots || forwarded.isPlaced)) {
        this->countTaken(segment);
        this->openFlow(now, segment, forwarded, actions);
        return;
    }
    OpeningResult result = OpeningResult::Refused;
    if (obstacle == Obstacle::None) {
        result = OpeningResult::Busy;
    } else if (obstacle == Obstacle::QueueFull) {
        result = OpeningResult::Full;
    }
    this->count.add(Counter::FlowsRefused);
    this->events.log(EventLevel::Info, "opening-passed",
        {
            { "flow", formatFlow(forwarded.packet.flow) },
            { "reason", obstacle == Obstacle::None ? "no_free_slot" : std::string(toText(obstacle)) },
            { "copy", std::to_string(segment.acknowledged) },
            { "busy", std::to_string(this->flowsAwaitingAnswer) },
            { "slots", std::to_string(slots) },
            { "revision", formatRevision(this->follower.revision()) },
        });
    this->reportOutcome(now, forwarded.packet.flow, result, forwarded.balancer, actions);
}

/** Reports the outcome of an opening packet to the balancer, with the current load and limit of this agent. */
void PacketAgent::reportOutcome(TimePoint now, const FlowKey& flow, OpeningResult result, Address balancer, Actions& actions) const
{
    if (!balancer.isValid()) {
        return;
    }
    const auto clamp = [](size_t number) { return static_cast<uint16_t>(std::min<size_t>(number, UINT16_MAX)); };
    const bool takesFlows = this->obstacle(now) == Obstacle::None;
    const OpeningLimits limits = this->openingLimits(flow.service);
    const size_t limit = takesFlows ? limits.ofOriginal() : 0;
    OpeningOutcome outcome { flow, this->settings.address, result, clamp(this->flowsAwaitingAnswer), this->peers.self().slots, clamp(limit) };
    outcome.lastChanceLimit = takesFlows ? clamp(limits.ofCopy(FlowTiming::lastOpeningCopy)) : 0;
    outcome.processingMs = static_cast<uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(this->processingTime.mean().value_or(Duration::zero())).count());
    outcome.service = this->serviceHash;
    outcome.requests = this->outcomeWindow.counts(now);
    actions.push_back(SendMessage { balancer, outcome });
}

/** Holds an opening packet until other agents know of this one and the first rules arrive, which are fetched from its balancer at once. */
void PacketAgent::holdOpening(TimePoint now, const ForwardedPacket& forwarded, Actions& actions)
{
    if (!this->follower.hasRules() && forwarded.balancer.isValid() && now >= this->nextFetch) {
        this->nextFetch = now + initialFetchInterval;
        actions.push_back(FetchSnapshot { forwarded.balancer, { .includeMembers = true, .service = this->serviceHash } });
    }
    if (this->heldOpenings.size() < maximumHeldOpenings) {
        this->heldOpenings.push_back({ now, forwarded });
    }
}

/** Handles the held opening packets, but drops those whose retransmission is due. */
void PacketAgent::releaseHeldOpenings(TimePoint now, Actions& actions)
{
    if (this->heldOpenings.empty() || !this->follower.hasRules() || !this->isKnownToOthers(now)) {
        return;
    }
    for (HeldOpening& opening : std::exchange(this->heldOpenings, {})) {
        const std::optional<Segment> segment = this->codec.parse(opening.packet.packet.payload);
        if (segment && now - opening.receivedAt < this->codec.timing().longestCopyInterval()) {
            this->handleOpening(now, *segment, opening.packet, actions);
        }
    }
}

void PacketAgent::openFlow(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions)
{
    PacketFlow& flow = this->flows[forwarded.packet.flow];
    flow.createdAt = now;
    flow.balancer = forwarded.balancer;
    flow.home = forwarded.home;
    flow.openingAge = this->codec.timing().openingAge(segment.acknowledged);
    this->forgetElsewhere(forwarded.packet.flow);
    this->coldStartLimiter.recordOpening(now);
    if (this->unansweredSince == TimePoint {}) {
        this->unansweredSince = now;
    }
    this->count.add(Counter::FlowsOpened);
    this->setAwaitingAnswer(now, flow, true);
    this->events.log(EventLevel::Info, "flow-placed",
        {
            { "flow", formatFlow(forwarded.packet.flow) },
            { "hops", std::to_string(forwarded.hops) },
            { "busy", std::to_string(this->flowsAwaitingAnswer) },
            { "revision", formatRevision(this->follower.revision()) },
        });
    this->deliverToUpstream(now, flow, segment, forwarded.packet.payload, actions);
}

} // namespace lavender
