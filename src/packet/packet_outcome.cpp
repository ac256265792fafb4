/** @file packet_outcome.cpp What an agent's packets show of how its upstream's requests end. */
#include "packet/packet_agent_base.h"

namespace lavender {

/** Observes data of a caller on an open flow. A retransmission begins no request: its own may have been answered already. */
void PacketAgent::observeRequestPart(TimePoint now, PacketFlow& flow, const Segment& segment)
{
    const uint32_t end = segment.sequence + segment.dataBytes;
    if (flow.isCallerEndKnown && static_cast<int32_t>(end - flow.callerEnd) <= 0) {
        this->outcomeWindow.onRetransmission(now, segment.flowOfCaller());
        return;
    }
    flow.callerEnd = end;
    flow.isCallerEndKnown = true;
    this->outcomeWindow.onRequestPart(now, segment.flowOfCaller(), segment.dataBytes, flow.requestsAtArrival);
}

/**
 * Observes a packet of the upstream. It may close its end after its answer or after its caller; before that it breaks the request off.
 * Packets arrive in any order: the close may overtake the answer, and its sequence number shows the data that is still to come.
 */
void PacketAgent::observeUpstreamPacket(TimePoint now, const FlowKey& key, PacketFlow& flow, const Segment& segment)
{
    if (segment.isOpening && flow.stage == FlowStage::OpeningAnswered) {
        flow.upstreamEnd = segment.sequence + 1;
    }
    if (flow.stage != FlowStage::Open) {
        return;
    }
    if (segment.isReset) {
        if (!flow.hasCallerFinished) {
            this->outcomeWindow.onBrokenOff(now, key);
        }
        return;
    }
    const uint32_t end = segment.sequence + segment.dataBytes;
    const bool hasNewData = flow.upstreamEnd ? static_cast<int32_t>(end - *flow.upstreamEnd) > 0 : segment.dataBytes > 0;
    if (hasNewData) {
        flow.upstreamEnd = end;
        this->outcomeWindow.onAnswer(now, key, this->peers.self().slots);
    } else if (segment.isFinishing && !flow.hasCallerFinished && flow.upstreamEnd) {
        this->outcomeWindow.onBrokenOff(now, key);
    } else if (segment.isFinishing && !flow.upstreamEnd) {
        this->outcomeWindow.forget(key); // Whether data comes before the close is not known.
    }
}

/** Counts requests that the upstream leaves without an answer; the lowest processing time so far is the usual one. */
void PacketAgent::tickOutcomes(TimePoint now)
{
    this->outcomeWindow.tick(now, this->processingTime.usual(), this->peers.self().slots);
}

} // namespace lavender
