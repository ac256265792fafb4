/** @file packet_return.cpp Packets from the upstream: its own are sent to the caller, returned ones are forwarded to another agent. */
#include "packet/packet_agent_base.h"

#include "agent/candidate_func.h"
#include "core/text_func.h"

#include <utility>

namespace lavender {

namespace {

    constexpr uint32_t acknowledgementWindow = 1U << 20U; ///< Bytes between the end of an upstream's data and a caller's acknowledgement. Far less is in flight.

    /**
     * True if a caller's packet is of this flow: it acknowledges what the upstream has sent. A caller that uses a port again opens another
     * flow with the same ends, perhaps at another upstream; sequence numbers begin at random.
     */
    bool isOfFlow(const PacketFlow& flow, const Segment& segment)
    {
        return segment.isAcknowledging && flow.upstreamEnd && segment.acknowledged - *flow.upstreamEnd + acknowledgementWindow < 2 * acknowledgementWindow;
    }

} // namespace

void PacketAgent::onUpstreamPacket(TimePoint now, std::span<const uint8_t> packet, Actions& actions)
{
    const std::optional<Segment> segment = this->codec.parse(packet);
    if (!segment) {
        this->count.add(Counter::PayloadsMalformed);
        return;
    }
    this->lastUpstreamPacket = now;
    this->isUpstreamKnownEnded = false;
    this->unansweredSince = TimePoint {};
    if (segment->isReturned) {
        this->handleReturnedPacket(now, *segment, packet, actions);
    } else {
        this->handleUpstreamPacket(now, *segment, packet, actions);
    }
    this->onUpstreamProgress(now, *segment, actions);
}

void PacketAgent::handleUpstreamPacket(TimePoint now, const Segment& segment, std::span<const uint8_t> packet, Actions& actions)
{
    const FlowKey key = segment.flowOfUpstream();
    const auto [found, isUnknown] = this->flows.try_emplace(key);
    PacketFlow& flow = found->second;
    if (segment.isReset && this->handleUpstreamReset(now, key, flow, actions)) {
        return;
    }
    this->hasUpstreamSentOwnPacket = true;
    flow.lastPacketAt = now;
    if (isUnknown) {
        // The upstream opened the flow before this process started.
        flow.createdAt = now;
        flow.stage = FlowStage::Open;
        this->forgetElsewhere(key);
        this->registerFlow(now, key, actions);
    }
    if (segment.isOpening) {
        if (flow.stage == FlowStage::OpeningAnswered) {
            flow.upstreamInitialSequence = segment.sequence; // A repeated answer has the same number, that to a new opening another one.
        } else if (isUnknown || flow.stage == FlowStage::OpeningSent || flow.stage == FlowStage::Probing) {
            flow.stage = FlowStage::OpeningAnswered;
            flow.upstreamInitialSequence = segment.sequence;
            this->placesToClaim.emplace_back(now, key);
            this->refusalBackoff.reset();
            this->registerFlow(now, key, actions);
            this->handshakeLatencies.add(now - flow.createdAt);
            this->reportOutcome(now, key, OpeningResult::Accepted, flow.balancer, actions);
        }
    } else if (flow.stage == FlowStage::Probing) {
        flow.stage = FlowStage::Open;
        this->registerFlow(now, key, actions);
        if (flow.searcher.isValid()) {
            this->sendFlowQueryReply(key, std::exchange(flow.searcher, {}), true, actions);
        } else if (flow.servicePasses > 0) {
            this->reportOwnerToOtherService(key, flow.home, flow.balancer, actions);
        } else if (flow.home.isValid() && flow.home != this->settings.address) {
            this->sendFlowQueryReply(key, flow.home, true, actions);
        }
    }
    this->observeUpstreamPacket(now, key, flow, segment);
    if (segment.dataBytes > 0) {
        if (flow.isAwaitingAnswer && flow.requestsAtArrival != 0) {
            if (flow.place != RequestPlace::Extra) { // A full upstream may have shed it, which takes no time.
                this->processingTime.add(now - flow.awaitingSince, flow.requestsAtArrival, this->peers.self().slots);
            }
            this->answerLatencies.add(now - flow.awaitingSince);
        }
        this->setAwaitingAnswer(now, flow, false);
        flow.openingAge = {};
    }
    flow.hasUpstreamFinished = flow.hasUpstreamFinished || segment.isFinishing;
    if (segment.isReset || (flow.hasCallerFinished && flow.hasUpstreamFinished)) {
        flow.stage = FlowStage::Closed;
        this->setAwaitingAnswer(now, flow, false);
    }
    pushToCaller(actions, key, { packet.begin(), packet.end() });
}

/**
 * Logs a reset from the upstream. A reset that answers a probe only says that this upstream does not hold the flow; another one
 * may serve it. So the caller does not get the reset, and an agent that searches for the flow gets a reply that denies it. Upstreams
 * that are about to start answer probes by a reset.
 * @return False if the reset has to go to the caller.
 */
bool PacketAgent::handleUpstreamReset(TimePoint now, const FlowKey& key, const PacketFlow& flow, Actions& actions)
{
    const bool isProbeAnswer = flow.stage == FlowStage::Probing;
    this->events.log(EventLevel::Info, "upstream-reset",
        {
            { "flow", formatFlow(key) },
            { "passed_on", isProbeAnswer ? "false" : "true" },
            { "upstream", this->latestReport ? this->latestReport->id : "unknown" },
        });
    if (!isProbeAnswer) {
        return false;
    }
    if (flow.searcher.isValid()) {
        this->sendFlowQueryReply(key, flow.searcher, false, actions);
    }
    this->eraseFlow(key);
    this->cacheOwner(now, key, {});
    return true;
}

void PacketAgent::handleReturnedPacket(TimePoint now, const Segment& segment, std::span<const uint8_t> packet, Actions& actions)
{
    this->count.add(Counter::PacketsReturned);
    const FlowKey key = segment.flowOfCaller();
    const auto found = this->flows.find(key);
    Address home = this->settings.address;
    PacketFlow probed; ///< What the flow's entry says of the way of the packet, if it was a probe.
    this->events.log(EventLevel::Info, "packet-returned",
        {
            { "flow", formatFlow(key) },
            { "opening", segment.isOpening ? "true" : "false" },
            { "stage", found == this->flows.end() ? "unknown" : std::string(toString(found->second.stage)) },
        });
    if (found != this->flows.end()) {
        const FlowStage stage = found->second.stage;
        if (stage == FlowStage::Open && !segment.isOpening && isOfFlow(found->second, segment)) {
            this->resetFlow(key, found->second, "the upstream gave back a packet of an open flow", actions);
            this->eraseFlow(key);
            return;
        }
        const bool isAcceptedCopy = segment.isOpening && (stage == FlowStage::OpeningAnswered || stage == FlowStage::Open);
        if (stage == FlowStage::Closed || isAcceptedCopy) {
            // The upstream took the original of this copy and holds the flow; the balancer was told when the copy arrived.
            return;
        }
        const Address searcher = found->second.searcher;
        const Address balancer = found->second.balancer;
        home = found->second.home.isValid() && stage != FlowStage::Open ? found->second.home : home;
        probed = stage == FlowStage::Probing ? found->second : probed;
        this->eraseFlow(key);
        if (segment.isOpening) {
            this->refusalBackoff.onRefused(now);
            this->reportOutcome(now, key, OpeningResult::Refused, balancer, actions);
            return;
        }
        if (searcher.isValid()) {
            this->cacheOwner(now, key, {});
            this->sendFlowQueryReply(key, searcher, false, actions);
            return;
        }
    }
    if (segment.isOpening) {
        return; // The flow has expired here, so nobody waits for the outcome.
    }
    this->cacheOwner(now, key, {});
    ForwardedPacket forwarded { .packet = { .flow = key, .payload = { packet.begin(), packet.end() } }, .service = this->serviceHash, .home = home };
    forwarded.otherServices = std::move(probed.otherServices);
    forwarded.servicePasses = probed.servicePasses;
    forwarded.balancer = forwarded.otherServices.empty() && probed.servicePasses == 0 ? Address {} : probed.balancer;
    this->codec.clearReturned(forwarded.packet.payload);
    this->fillCandidates(forwarded);
    (void)markVisited(forwarded, this->settings.address);
    forwarded.hops = 1;
    this->forwardAlongCandidates(now, forwarded, actions);
}

/** Sends the caller a reset of its flow. @param reason Reason in the event. */
void PacketAgent::resetFlow(const FlowKey& key, const PacketFlow& flow, std::string_view reason, Actions& actions)
{
    this->count.add(Counter::FlowsReset);
    this->events.log(EventLevel::Info, "flow-reset",
        {
            { "flow", formatFlow(key) },
            { "reason", std::string(reason) },
            { "upstream", this->latestReport ? this->latestReport->id : "unknown" },
        });
    pushToCaller(actions, key, this->codec.makeReset(key, flow.lastCallerAcknowledgement));
}

} // namespace lavender
