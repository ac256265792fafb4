/** @file agent_route.cpp Routes a flow's packet: to this agent's upstream, to the flow's owner, or to the next candidate. */
#include "agent/agent_base.h"

#include "agent/candidate_func.h"
#include "core/hash_func.h"
#include "wire/codec_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration pointerRetention = 10min; ///< Lifetime of a pointer; renewed by each packet that follows it.
    constexpr Duration maximumLoadAge = 1s; ///< A peer's load message older than this is ignored.
    constexpr double placementMargin = 0.02; ///< Least relative gain in load that justifies placing a flow at another agent.
    constexpr double placementMarginFlows = 2; ///< Least gain in flows, in addition to placementMargin.

} // namespace

void Agent::notify(const FlowKey& flow, const FlowNotice& notice, Actions& actions) const
{
    actions.push_back(SendToCaller {
        {
            .flow = flow,
            .mark = PacketMark::Established,
            .isToCaller = true,
            .payload = encodePayload(notice),
        },
    });
}

void Agent::notifyEnd(const FlowKey& flow, const ForeignFlow& tombstone, Actions& actions) const
{
    this->notify(flow,
        {
            .event = tombstone.kind == ForeignFlowKind::Closed ? FlowEvent::Closed : FlowEvent::GivenUp,
            .zone = this->settings.zone,
            .mayHaveRun = tombstone.mayHaveRun.aboveWatermark,
            .mayHaveRunThrough = tombstone.mayHaveRun.watermark,
        },
        actions);
}

ForeignFlow& Agent::remember(TimePoint now, const FlowKey& flow, ForeignFlowKind kind, Address owner)
{
    ForeignFlow& foreign = this->foreignFlows[flow];
    foreign.kind = kind;
    foreign.owner = owner;
    foreign.confirmedAt = {};
    foreign.expires = now + (kind == ForeignFlowKind::OwnedElsewhere ? pointerRetention : tombstoneRetention);
    return foreign;
}

bool Agent::canAcceptFlow() const
{
    const ServiceRule* rule = this->follower.current().findService(this->settings.service);
    return !this->isHandingOff() && !this->isZoneOut() && rule != nullptr && this->flows.size() < rule->connections;
}

bool Agent::isUsableAgent(Address agent) const
{
    const MemberRecord* record = this->peers.find(agent);
    // An agent that is unknown here may be known to the balancer, so it is tried. An agent that is gone, or whose availability
    // zone is out, is not.
    return record == nullptr
        || (record->liveness != Liveness::Gone && !this->follower.current().isZoneOut(record->zone));
}

void Agent::forward(ForwardedPacket& forwarded, Address to, Actions& actions)
{
    if (forwarded.hops >= maximumHops) {
        this->count.add(Counter::PacketsHopLimit);
        return;
    }
    (void)candidateIndex(forwarded, to);
    this->count.add(Counter::Chained);
    actions.push_back(SendMessage { to, forwarded });
}

bool Agent::forwardToNext(ForwardedPacket& forwarded, Actions& actions)
{
    for (Address candidate : forwarded.candidates) {
        if (!isVisited(forwarded, candidate) && this->isUsableAgent(candidate)) {
            this->forward(forwarded, candidate, actions);
            return true;
        }
    }
    return false;
}

void Agent::handle(TimePoint now, const ForwardedPacket& received, Actions& actions)
{
    this->count.add(Counter::PacketsReceived);
    this->lastPacket = now;
    if (received.service != this->serviceHash) {
        this->count.add(Counter::PacketsWrongService);
        return;
    }
    ForwardedPacket forwarded = received;
    const bool wasVisitedBefore = isVisited(forwarded, this->settings.address);
    if (!markVisited(forwarded, this->settings.address)) {
        this->count.add(Counter::PacketsHopLimit);
        return;
    }
    ++forwarded.hops;
    const FlowKey& key = forwarded.packet.flow;
    if (const auto flow = this->flows.find(key); flow != this->flows.end()) {
        this->reportToFirstAgent(forwarded, { .owner = this->settings.address }, actions);
        this->deliver(now, flow->second, forwarded.packet, actions);
        return;
    }
    if (this->isZoneOut()) {
        this->count.add(Counter::PacketsZoneOut);
    }
    if (!this->settings.isChainingEnabled) {
        this->handleWithoutChaining(now, forwarded.packet, actions);
        return;
    }
    if (const auto foreign = this->foreignFlows.find(key); foreign != this->foreignFlows.end()) {
        if (foreign->second.kind != ForeignFlowKind::OwnedElsewhere) {
            this->reportToFirstAgent(forwarded, { .mayHoldFlow = true }, actions);
            this->notifyEnd(key, foreign->second, actions);
            return;
        }
        const Address owner = foreign->second.owner;
        if (owner.isValid() && !isVisited(forwarded, owner) && this->isUsableAgent(owner)) {
            foreign->second.expires = now + pointerRetention;
            this->beginLookup(now, forwarded);
            this->forward(forwarded, owner, actions);
            return;
        }
        // Two agents point at each other, because copies of one opening packet crossed. Both take the agent with the lower
        // address as owner.
        if (owner.isValid() && forwarded.packet.mark == PacketMark::Opening && isVisited(forwarded, owner)
            && !wasVisitedBefore && owner < this->settings.address) {
            forwarded.isPlaced = true;
            this->forward(forwarded, owner, actions);
            return;
        }
        const MemberRecord* ownerRecord = this->peers.find(owner);
        if (forwarded.packet.mark == PacketMark::Opening && ownerRecord != nullptr && this->follower.current().isZoneOut(ownerRecord->zone)) {
            // The owner may not know yet that it is out. A second owner here would run requests that the first one's notice says have not run.
            this->refuseOpening(key, actions);
            return;
        }
        foreign->second.owner = {};
    }
    if (forwarded.packet.mark == PacketMark::Opening) {
        this->handleOpening(now, forwarded, actions);
        return;
    }
    this->beginLookup(now, forwarded);
    if (!this->forwardToNext(forwarded, actions)) {
        this->beginSearch(now, forwarded, true, actions);
    }
}

/** Handles a packet of an unknown flow if chaining is off: accepts an opening packet or ends the flow. */
void Agent::handleWithoutChaining(TimePoint now, const FlowPacket& packet, Actions& actions)
{
    if (packet.mark == PacketMark::Opening && this->canAcceptFlow()) {
        this->acceptFlow(now, packet, actions);
        return;
    }
    const bool isOpening = packet.mark == PacketMark::Opening;
    this->count.add(isOpening ? Counter::FlowsRefused : Counter::FlowsLost);
    this->notify(packet.flow,
        {
            .event = isOpening ? FlowEvent::Refused : FlowEvent::Lost,
            .zone = this->settings.zone,
            .retryAfterMs = this->requests.retryAfter(),
        },
        actions);
}

void Agent::handleOpening(TimePoint now, ForwardedPacket& forwarded, Actions& actions)
{
    const bool choosesOwner = forwarded.home == this->settings.address || !this->isUsableAgent(forwarded.home)
        || isVisited(forwarded, forwarded.home);
    if (!forwarded.isPlaced && !choosesOwner) {
        this->remember(now, forwarded.packet.flow, ForeignFlowKind::OwnedElsewhere, forwarded.home);
        this->forward(forwarded, forwarded.home, actions);
        return;
    }
    this->placeOpening(now, forwarded, actions);
}

/** Compares open flows for each admitted request, so that a cold upstream counts as full with fewer flows. */
bool Agent::isMoreLoadedThan(TimePoint now, Address other) const
{
    const std::optional<PeerLoad> peerLoad = this->peers.load(other);
    if (!peerLoad || now - peerLoad->receivedAt > maximumLoadAge || peerLoad->limit == 0) {
        return false;
    }
    const double own = static_cast<double>(this->flows.size()) / this->requests.admission().limit();
    const double peer = static_cast<double>(peerLoad->openFlows) / peerLoad->limit;
    return own > peer * (1 + placementMargin) + placementMarginFlows / peerLoad->limit;
}

void Agent::placeOpening(TimePoint now, ForwardedPacket& forwarded, Actions& actions)
{
    Address second;
    const BucketChoice& choice = this->table.agentsFor(hashFlow(forwarded.packet.flow));
    for (uint16_t index : { choice.home, choice.second }) {
        const bool isOther = index != BucketChoice::none && this->table.members()[index].address != this->settings.address;
        if (isOther && !second.isValid() && !isVisited(forwarded, this->table.members()[index].address)) {
            second = this->table.members()[index].address;
        }
    }
    const bool isBetterElsewhere = !forwarded.isPlaced && second.isValid() && this->canAcceptFlow()
        && this->isMoreLoadedThan(now, second);
    if (this->canAcceptFlow() && !isBetterElsewhere) {
        this->acceptFlow(now, forwarded.packet, actions);
        return;
    }
    if (second.isValid() && forwarded.hops < maximumHops) {
        forwarded.isPlaced = true;
        this->remember(now, forwarded.packet.flow, ForeignFlowKind::OwnedElsewhere, second);
        this->forward(forwarded, second, actions);
        return;
    }
    this->refuseOpening(forwarded.packet.flow, actions);
}

void Agent::refuseOpening(const FlowKey& flow, Actions& actions)
{
    this->count.add(Counter::FlowsRefused);
    this->notify(flow,
        {
            .event = FlowEvent::Refused,
            .zone = this->settings.zone,
            .retryAfterMs = this->requests.retryAfter(),
        },
        actions);
}

void Agent::acceptFlow(TimePoint now, const FlowPacket& packet, Actions& actions)
{
    this->lookups.erase(packet.flow);
    this->searches.erase(packet.flow);
    Flow& flow = this->flows[packet.flow];
    flow.key = packet.flow;
    this->count.add(Counter::FlowsOpened);
    this->deliver(now, flow, packet, actions);
}

void Agent::closeFlow(TimePoint now, Flow& flow, Actions& actions)
{
    const FlowKey key = flow.key;
    (void)this->requests.endFlow(now, flow, VerdictReason::Cancelled, actions);
    this->flows.erase(key);
    this->count.add(Counter::FlowsClosed);
    this->notifyEnd(key, this->remember(now, key, ForeignFlowKind::Closed, {}), actions);
}

void Agent::deliver(TimePoint now, Flow& flow, const FlowPacket& packet, Actions& actions)
{
    flow.lastPacketAt = now;
    if (flow.movingTo.isValid()) {
        return; // The other agent may already own the flow, so the packet is dropped; the caller retransmits it.
    }
    if (packet.mark == PacketMark::Closing) {
        this->closeFlow(now, flow, actions);
        return;
    }
    if (packet.mark == PacketMark::Opening) {
        this->notify(flow.key, { .event = FlowEvent::Accepted, .zone = this->settings.zone }, actions);
    }
    const absl::StatusOr<FlowPayload> payload = decodePayload(packet.payload);
    if (!payload.ok()) {
        this->count.add(Counter::PayloadsMalformed);
        return;
    }
    if (const auto* part = std::get_if<RequestPart>(&*payload)) {
        this->requests.onPart(now, flow, *part, actions);
    } else if (const auto* ack = std::get_if<AnswerAck>(&*payload)) {
        this->requests.onAnswerAck(now, flow, *ack, actions);
    }
}

} // namespace lavender
