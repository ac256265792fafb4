/** @file packet_return.cpp Packets from the upstream: its own go to the caller, those that it gave back go on. */
#include "packet/packet_agent_base.h"

#include "agent/candidate_func.h"
#include "core/text_func.h"

#include <utility>

namespace lavender {

void PacketAgent::onUpstreamPacket(TimePoint now, std::span<const uint8_t> packet, Actions& actions)
{
    const std::optional<Segment> segment = this->codec.parse(packet);
    if (!segment) {
        this->count.add(Counter::PayloadsMalformed);
        return;
    }
    this->lastUpstreamPacket = now;
    this->unansweredSince = TimePoint {};
    if (segment->isReturned) {
        this->handleReturned(now, *segment, packet, actions);
    } else {
        this->handleFromUpstream(now, *segment, packet, actions);
    }
}

void PacketAgent::handleFromUpstream(TimePoint now, const Segment& segment, std::span<const uint8_t> packet, Actions& actions)
{
    const FlowKey key = segment.flowOfUpstream();
    const auto [found, isUnknown] = this->flows.try_emplace(key);
    PacketFlow& flow = found->second;
    if (segment.isReset && this->takeDenial(now, key, flow, actions)) {
        return;
    }
    this->hasUpstreamSpoken = true;
    flow.lastPacket = now;
    if (isUnknown) {
        // This process began after the flow.
        flow.offeredAt = now;
        flow.stage = FlowStage::Open;
        this->traces.erase(key);
    }
    if (segment.isOpening) {
        if (isUnknown || flow.stage == FlowStage::Offered || flow.stage == FlowStage::Probing) {
            flow.stage = FlowStage::Answered;
            flow.upstreamSequence = segment.sequence;
            this->refusals.reset();
            this->handshakes.add(now - flow.offeredAt);
            this->report(now, key, OpeningResult::Accepted, flow.balancer, actions);
            if (flow.home.isValid() && flow.home != this->settings.address) {
                this->answerAsker(key, flow.home, true, actions);
            }
        }
    } else if (flow.stage == FlowStage::Probing) {
        flow.stage = FlowStage::Open;
        if (flow.asker.isValid()) {
            this->answerAsker(key, std::exchange(flow.asker, {}), true, actions);
        }
    }
    if (segment.dataBytes > 0) {
        if (flow.isWaiting && flow.busyAtRequest != 0) {
            this->workTime.add(now - flow.waitingSince, flow.busyAtRequest, this->peers.self().slots);
            this->answers.add(now - flow.waitingSince);
        }
        this->setWaiting(now, flow, false);
    }
    flow.isUpstreamDone = flow.isUpstreamDone || segment.isFinishing;
    if (segment.isReset || (flow.isCallerDone && flow.isUpstreamDone)) {
        flow.stage = FlowStage::Ended;
        this->setWaiting(now, flow, false);
    }
    pushToCaller(actions, key, { packet.begin(), packet.end() });
}

/**
 * True where a reset only says that the upstream does not know the flow that it was asked for: another one may serve it. Upstreams
 * that are about to start answer so.
 */
bool PacketAgent::takeDenial(TimePoint now, const FlowKey& key, const PacketFlow& flow, Actions& actions)
{
    const bool isAsked = flow.stage == FlowStage::Probing;
    this->events.note(EventLevel::Info, "upstream-reset", { { "flow", formatFlow(key) }, { "passed_on", isAsked ? "false" : "true" }, { "upstream", this->latestReport ? this->latestReport->id : "unknown" } });
    if (!isAsked) {
        return false;
    }
    if (flow.asker.isValid()) {
        this->answerAsker(key, flow.asker, false, actions);
    }
    this->forget(key);
    this->remember(now, key, {});
    return true;
}

void PacketAgent::handleReturned(TimePoint now, const Segment& segment, std::span<const uint8_t> packet, Actions& actions)
{
    this->count.add(Counter::PacketsReturned);
    const FlowKey key = segment.flowOfCaller();
    const auto found = this->flows.find(key);
    if (found != this->flows.end()) {
        const FlowStage stage = found->second.stage;
        if (stage == FlowStage::Open && !segment.isOpening) {
            this->resetFlow(key, found->second, "the upstream gave back a packet of an open flow", actions);
            this->forget(key);
            return;
        }
        if (stage == FlowStage::Ended) {
            return;
        }
        const Address asker = found->second.asker;
        const Address balancer = found->second.balancer;
        this->forget(key);
        if (segment.isOpening) {
            this->refusals.onRefused(now);
            this->report(now, key, OpeningResult::Refused, balancer, actions);
            return;
        }
        if (asker.isValid()) {
            this->remember(now, key, {});
            this->answerAsker(key, asker, false, actions);
            return;
        }
    }
    if (segment.isOpening) {
        return; // Nobody waits for it any more.
    }
    this->remember(now, key, {});
    ForwardedPacket forwarded { .packet = { .flow = key, .payload = { packet.begin(), packet.end() } }, .service = this->serviceHash };
    this->codec.clearReturned(forwarded.packet.payload);
    this->fillCandidates(forwarded);
    (void)markVisited(forwarded, this->settings.address);
    forwarded.hops = 1;
    if (!this->forwardToNext(forwarded, actions)) {
        this->beginSearch(now, forwarded, actions);
    }
}

void PacketAgent::resetFlow(const FlowKey& key, const PacketFlow& flow, std::string_view reason, Actions& actions)
{
    this->count.add(Counter::FlowsReset);
    this->events.note(EventLevel::Info, "flow-reset", { { "flow", formatFlow(key) }, { "reason", std::string(reason) }, { "upstream", this->latestReport ? this->latestReport->id : "unknown" } });
    pushToCaller(actions, key, this->codec.makeReset(key, flow.callerAcknowledged));
}

} // namespace lavender
