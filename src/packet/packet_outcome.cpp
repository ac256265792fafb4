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

/** Observes a packet of the upstream. It may close its end after its answer or after its caller; before that it breaks the request off. */
void PacketAgent::observeUpstreamPacket(TimePoint now, const FlowKey& key, const PacketFlow& flow, const Segment& segment)
{
    if (flow.stage != FlowStage::Open) {
        return;
    }
    if (segment.dataBytes > 0) {
        this->outcomeWindow.onAnswer(now, key, this->peers.self().slots);
    } else if ((segment.isReset || segment.isFinishing) && !flow.hasCallerFinished) {
        this->outcomeWindow.onBrokenOff(now, key);
    }
}

/** Counts requests that the upstream leaves without an answer; the lowest processing time so far is the usual one. */
void PacketAgent::tickOutcomes(TimePoint now)
{
    this->outcomeWindow.tick(now, this->processingTime.usual(), this->peers.self().slots);
}

} // namespace lavender
