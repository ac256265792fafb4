/** @file packet_route.cpp Routes a caller's packet to the own upstream, to the flow's owner, or to the next candidate. */
#include "packet/packet_agent_base.h"

#include "agent/candidate_func.h"
#include "core/hash_func.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration ownerCacheTime = 10s; ///< Lifetime of a cached owner; each packet that is forwarded to it renews it.
    constexpr uint32_t firstAcknowledgementWindow = 1U << 16U; ///< Bytes that a caller's first acknowledgement may be ahead of the opening's answer.
    constexpr Duration confirmationTime = 1s; ///< A cached owner that has not reported for this long gets the next packet with a lookup.

} // namespace

void PacketAgent::handle(TimePoint now, const ForwardedPacket& received, Actions& actions)
{
    this->count.add(Counter::PacketsReceived);
    if (received.service != this->serviceHash) {
        this->count.add(Counter::PacketsWrongService);
        return;
    }
    const std::optional<Segment> segment = this->codec.parse(received.packet.payload);
    if (!segment) {
        this->count.add(Counter::PayloadsMalformed);
        return;
    }
    ForwardedPacket forwarded = received;
    if (forwarded.servicePasses > 0 && forwarded.candidates.empty()) {
        this->fillCandidates(forwarded); // Agents of another service do not know those of this one.
    }
    if (!markVisited(forwarded, this->settings.address)) {
        this->count.add(Counter::PacketsHopLimit);
        return;
    }
    if (++forwarded.hops == 1 && !segment->isOpening) {
        forwarded.home = this->settings.address; // The balancer's first choice may be another agent that it avoids now.
    }
    const FlowKey& key = forwarded.packet.flow;
    const bool isRefused = segment->isOpening && this->isRoutedElsewhere(forwarded);
    if (const auto flow = this->flows.find(key); !isRefused && flow != this->flows.end() && this->handleKnownFlow(now, flow->second, *segment, forwarded, actions)) {
        if (forwarded.searcher.isValid()) {
            if (flow->second.stage == FlowStage::Probing) {
                flow->second.searcher = forwarded.searcher; // Gets the reply with the upstream's answer to the probe.
            } else {
                this->sendFlowQueryReply(key, forwarded.searcher, flow->second.stage == FlowStage::Open, actions);
            }
        } else if (!segment->isOpening) {
            this->reportOwner(flow->second, forwarded, actions);
        }
        return;
    }
    if (forwarded.searcher.isValid()) {
        this->handleProbeRequest(now, *segment, forwarded, actions);
        return;
    }
    if (segment->isOpening) {
        this->handleOpening(now, *segment, forwarded, actions);
        return;
    }
    if (const auto cached = this->ownerCache.find(key); cached != this->ownerCache.end() && cached->second.owner.isValid()) {
        const MemberRecord* owner = this->peers.find(cached->second.owner);
        if (!isVisited(forwarded, cached->second.owner) && (owner == nullptr || owner->liveness != Liveness::Gone)) {
            cached->second.expiresAt = now + ownerCacheTime;
            if (forwarded.home == this->settings.address) {
                if (now - cached->second.confirmedAt < confirmationTime) {
                    forwarded.home = {};
                } else {
                    this->beginLookup(now, forwarded, false);
                }
            }
            this->forward(forwarded, cached->second.owner, actions);
            return;
        }
    }
    this->forwardUnknownFlow(now, *segment, forwarded, actions);
}

/** Tells the agent that looks the flow up, if any, that the flow is here. */
void PacketAgent::reportOwner(const PacketFlow& flow, const ForwardedPacket& forwarded, Actions& actions) const
{
    const bool isOwner = flow.stage == FlowStage::Open || flow.stage == FlowStage::Closed;
    if (isOwner && forwarded.servicePasses > 0) {
        this->reportOwnerToOtherService(forwarded.packet.flow, forwarded.home, forwarded.balancer, actions);
    } else if (isOwner && forwarded.home.isValid() && forwarded.home != this->settings.address) {
        this->sendFlowQueryReply(forwarded.packet.flow, forwarded.home, true, actions);
    }
}

/** Handles a packet of a flow in the flow table. @return False if the packet has to go to another agent. */
bool PacketAgent::handleKnownFlow(TimePoint now, PacketFlow& flow, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions)
{
    if (segment.isOpening) {
        // The caller opens a closed flow anew from the same port.
        if (flow.stage == FlowStage::Closed || (flow.stage == FlowStage::OpeningSent && this->isUpstreamSilent(now))) {
            this->eraseFlow(forwarded.packet.flow);
            return false;
        }
        flow.balancer = forwarded.balancer;
        this->deliverToUpstream(now, flow, segment, forwarded.packet.payload, actions);
        if (flow.stage == FlowStage::OpeningAnswered || flow.stage == FlowStage::Open) {
            // Whatever the upstream does with a copy: a balancer without an answer would offer it to another agent.
            this->reportOutcome(now, forwarded.packet.flow, OpeningResult::Accepted, flow.balancer, actions);
        }
        return true;
    }
    switch (flow.stage) {
    case FlowStage::OpeningSent:
        return false;
    case FlowStage::OpeningAnswered:
        // Two upstreams may have answered copies of one opening packet: the caller's first acknowledgement shows which it chose.
        if (!segment.isAcknowledging || segment.acknowledged - flow.upstreamInitialSequence - 1 >= firstAcknowledgementWindow) {
            return false;
        }
        flow.stage = FlowStage::Open;
        this->setUnclaimed(flow, false);
        if (flow.servicePasses == 0 && flow.home.isValid() && flow.home != this->settings.address) {
            this->sendFlowQueryReply(forwarded.packet.flow, flow.home, true, actions);
        }
        break;
    case FlowStage::Probing:
        // The upstream has not returned the probe, so it counts as holding the flow even without an answer: not every packet requires one.
        if (this->isUpstreamSilent(now)) {
            return false;
        }
        break;
    case FlowStage::Open:
    case FlowStage::Closed:
        break;
    }
    this->deliverToUpstream(now, flow, segment, forwarded.packet.payload, actions);
    return true;
}

/** Sends a packet of a flow's caller to the upstream, or holds it until the upstream has a place for its request. */
void PacketAgent::deliverToUpstream(TimePoint now, PacketFlow& flow, const Segment& segment, const Bytes& packet, Actions& actions)
{
    if (!this->holdPacket(now, flow, segment, packet, actions)) {
        this->sendToUpstream(now, flow, segment, packet, RequestPlace::Regular, actions);
    }
}

/** Updates a flow's state by a packet of its caller and sends the packet to the upstream. @param place For the request that it begins. */
void PacketAgent::sendToUpstream(TimePoint now, PacketFlow& flow, const Segment& segment, const Bytes& packet, RequestPlace place, Actions& actions)
{
    flow.lastPacketAt = now;
    if (segment.isAcknowledging) {
        flow.lastCallerAcknowledgement = segment.acknowledged;
    }
    if (segment.isOpening) {
        flow.sentUpTo.reset();
    }
    if (segment.dataBytes > 0 && flow.stage == FlowStage::Open && !this->isCopy(flow, segment)) {
        this->setAwaitingAnswer(now, flow, true);
        const bool isFirst = flow.requestsAtArrival == 0;
        if (isFirst) {
            flow.requestsAtArrival = ++this->pendingRequests;
        }
        this->recordRequestData(flow, segment, place, isFirst);
        this->observeRequestPart(now, flow, segment);
    }
    flow.hasCallerFinished = flow.hasCallerFinished || segment.isFinishing;
    if (segment.isReset || (flow.hasCallerFinished && flow.hasUpstreamFinished)) {
        this->outcomeWindow.forget(segment.flowOfCaller());
        flow.stage = FlowStage::Closed;
        this->setAwaitingAnswer(now, flow, false);
    }
    pushToUpstream(actions, packet);
}

/** True if the upstream may have opened this flow before this process started, and nothing is known of the flow here. */
bool PacketAgent::mayUpstreamHold(TimePoint now, const FlowKey& flow) const
{
    return this->mayUpstreamHoldUnknownFlows(now) && !this->hasDeregistered && !this->flows.contains(flow) && !this->ownerCache.contains(flow);
}

/** Sends the upstream a packet of an unknown flow as a probe: if it does not hold the flow, it returns the packet or resets. */
void PacketAgent::probeUpstream(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions)
{
    PacketFlow& flow = this->flows[forwarded.packet.flow];
    flow.stage = FlowStage::Probing;
    flow.createdAt = now;
    flow.searcher = forwarded.searcher;
    flow.home = forwarded.home;
    flow.otherServices = forwarded.otherServices;
    flow.servicePasses = forwarded.servicePasses;
    if (!flow.otherServices.empty() || flow.servicePasses > 0) {
        flow.balancer = forwarded.balancer; // The owner, in whichever service, reports to it.
    }
    this->count.add(Counter::FlowsProbed);
    this->firstProbeAt = this->probesSent++ == 0 ? now : this->firstProbeAt;
    this->events.log(EventLevel::Info, "flow-probed",
        {
            { "flow", formatFlow(forwarded.packet.flow) },
            { "hops", std::to_string(forwarded.hops) },
            { "searcher", forwarded.searcher.isValid() ? formatAddress(forwarded.searcher) : "none" },
        });
    if (!forwarded.searcher.isValid() && forwarded.home.isValid() && forwarded.home != this->settings.address) {
        actions.push_back(SendMessage { forwarded.home, FlowQueryReply { .flow = forwarded.packet.flow, .responder = this->settings.address, .mayHoldFlow = true } });
    }
    this->deliverToUpstream(now, flow, segment, forwarded.packet.payload, actions);
}

/** Probes the upstream for an agent that searches for the flow, or denies the flow at once if the upstream cannot hold it. */
void PacketAgent::handleProbeRequest(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions)
{
    const FlowKey& key = forwarded.packet.flow;
    const auto flow = this->flows.find(key);
    if (this->mayUpstreamHold(now, key)) {
        this->probeUpstream(now, segment, forwarded, actions);
        return;
    }
    // The caller acknowledges another upstream's answer: the half here is not its flow, if the agent saw all of the flow.
    const bool isElsewhere = flow != this->flows.end() && flow->second.stage == FlowStage::OpeningAnswered && segment.isAcknowledging
        && !this->mayUpstreamHoldUnknownFlows(now);
    if (flow == this->flows.end() || isElsewhere) {
        this->sendFlowQueryReply(key, forwarded.searcher, false, actions);
    }
}

/** Tells the agent that searches for a flow whether the flow is at this agent's upstream. */
void PacketAgent::sendFlowQueryReply(const FlowKey& flow, Address searcher, bool isHere, Actions& actions) const
{
    actions.push_back(SendMessage { searcher, FlowQueryReply { flow, this->settings.address, isHere ? this->settings.address : Address {} } });
}

/**
 * Routes a packet of an unknown flow. If the upstream may hold the flow, the packet is sent to it as a probe, unless it is a reset.
 * Otherwise it goes to the next candidate; if none is left, a search begins.
 */
void PacketAgent::forwardUnknownFlow(TimePoint now, const Segment& segment, ForwardedPacket& forwarded, Actions& actions)
{
    const FlowKey& key = forwarded.packet.flow;
    if (this->mayUpstreamHold(now, key) && !segment.isReset) {
        this->probeUpstream(now, segment, forwarded, actions);
        return;
    }
    this->forwardAlongCandidates(now, forwarded, actions);
}

/** Routes a packet of a flow that is not at the own upstream. The first agent on its way asks the flow directory, if there is one. */
void PacketAgent::forwardAlongCandidates(TimePoint now, ForwardedPacket& forwarded, Actions& actions)
{
    if (forwarded.home != this->settings.address || !this->lookUpInDirectory(now, forwarded, actions)) {
        this->forwardWithoutDirectory(now, forwarded, actions);
    }
}

/**
 * Forwards a packet of an unknown flow to the next candidate; if none is left, a search begins. The first agent on the packet's
 * way awaits the owner's notice, since an agent on the way may have ended, or a datagram may be lost.
 */
void PacketAgent::forwardWithoutDirectory(TimePoint now, ForwardedPacket& forwarded, Actions& actions)
{
    if (forwarded.home == this->settings.address) {
        this->beginLookup(now, forwarded, true);
    }
    if (!this->forwardToNextCandidate(forwarded, actions)) {
        this->lookups.erase(forwarded.packet.flow);
        this->beginSearch(now, forwarded, false, actions);
    }
}

/** Forwards a packet to the first candidate that has not seen it and is not gone. @return False if there is none. */
bool PacketAgent::forwardToNextCandidate(ForwardedPacket& forwarded, Actions& actions)
{
    const auto next = std::find_if(forwarded.candidates.begin(), forwarded.candidates.end(), [&](Address agent) {
        const MemberRecord* record = this->peers.find(agent);
        return !isVisited(forwarded, agent) && (record == nullptr || record->liveness != Liveness::Gone);
    });
    if (next == forwarded.candidates.end()) {
        return false;
    }
    this->forward(forwarded, Address(*next), actions);
    return true;
}

void PacketAgent::forward(ForwardedPacket& forwarded, Address to, Actions& actions)
{
    if (forwarded.hops >= maximumHops) {
        this->count.add(Counter::PacketsHopLimit);
        this->events.log(EventLevel::Info, "packet-dropped",
            {
                { "flow", formatFlow(forwarded.packet.flow) },
                { "reason", "hop_limit" },
                { "next", formatAddress(to) },
            });
        return;
    }
    (void)candidateIndex(forwarded, to);
    this->count.add(Counter::Chained);
    actions.push_back(SendMessage { to, forwarded });
}

/** Caches the owner of a flow; an invalid one means that the flow is not at the own upstream. */
void PacketAgent::cacheOwner(TimePoint now, const FlowKey& flow, Address owner)
{
    this->ownerCache[flow] = { owner, now, now + ownerCacheTime };
}

/** Adds the candidates for a flow from the bucket table: home, second choice, then the others by rank. */
void PacketAgent::fillCandidates(ForwardedPacket& forwarded) const
{
    if (this->table.isEmpty()) {
        return;
    }
    const BucketChoice& choice = this->table.agentsFor(hashFlow(forwarded.packet.flow));
    const auto add = [&](uint16_t index) {
        if (index != BucketChoice::none) {
            (void)candidateIndex(forwarded, this->table.members()[index].address);
        }
    };
    add(choice.home);
    add(choice.second);
    std::for_each(choice.ranked.begin(), choice.ranked.end(), add);
}

} // namespace lavender
