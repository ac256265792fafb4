/** @file packet_flow.cpp Table of the flows at an agent's upstream: waiting flows are counted, idle ones expire. */
#include "packet/packet_agent_base.h"

namespace lavender {

namespace {

    constexpr Duration expiryPeriod = 500ms;
    constexpr Duration claimTime = 100ms; ///< Ten times the way to a caller and back. A lost packet comes again after 200 ms and takes a place then.
    constexpr Duration latePacketTime = 600ms; ///< A flow outlives the last packet that its ends send by as much; packets may be late.
    constexpr Duration probeTimeout = 3s; ///< For the upstream's answer to a probe.
    constexpr Duration idleTimeoutMargin = 20s; ///< Idle flows are kept for this long beyond flowIdleTimeout.
    constexpr Duration requestTimeout = 15s; ///< A request without an answer for this long no longer counts against slots and queue.

} // namespace

/** Starts or ends a flow's wait for the upstream's answer, and adjusts the counts of waiting flows and requests. */
void PacketAgent::setAwaitingAnswer(TimePoint now, PacketFlow& flow, bool isAwaiting)
{
    if (flow.isAwaitingAnswer != isAwaiting) {
        flow.isAwaitingAnswer = isAwaiting;
        this->flowsAwaitingAnswer = isAwaiting ? this->flowsAwaitingAnswer + 1 : this->flowsAwaitingAnswer - 1;
    }
    if (!isAwaiting && flow.requestsAtArrival != 0) {
        flow.requestsAtArrival = 0;
        --this->pendingRequests;
        this->setPlace(flow, RequestPlace::None);
    }
    flow.awaitingSince = now;
}

/** Counts or no longer counts a flow as one whose caller has not used the upstream's answer in time. */
void PacketAgent::setUnclaimed(PacketFlow& flow, bool isUnclaimed)
{
    if (flow.isUnclaimed != isUnclaimed) {
        flow.isUnclaimed = isUnclaimed;
        this->unclaimedFlows = isUnclaimed ? this->unclaimedFlows + 1 : this->unclaimedFlows - 1;
    }
}

/** Erases a flow, if known, and no longer counts it as waiting. */
void PacketAgent::eraseFlow(const FlowKey& key)
{
    const auto found = this->flows.find(key);
    if (found != this->flows.end()) {
        this->setAwaitingAnswer(found->second.awaitingSince, found->second, false);
        this->setUnclaimed(found->second, false);
        this->registrar.remove(key);
        this->dropHeldRequest(found->second.lastPacketAt, key);
        this->outcomeWindow.forget(key);
        this->flows.erase(found);
    }
}

/**
 * Gives back the places of flows whose caller has not sent its request in time. Callers that have given up claim nothing, and a few of
 * them fill the queue of an upstream that does nothing. A caller that is late may still use its flow; its request takes a place then.
 */
void PacketAgent::releaseUnusedPlaces(TimePoint now)
{
    while (!this->placesToClaim.empty() && now - this->placesToClaim.front().first >= claimTime) {
        const FlowKey key = this->placesToClaim.front().second;
        this->placesToClaim.pop_front();
        const auto found = this->flows.find(key);
        if (found == this->flows.end() || !found->second.isAwaitingAnswer || found->second.requestsAtArrival != 0 || this->requestQueue.isHeld(key)) {
            continue;
        }
        this->count.add(Counter::PlacesUnused);
        this->setAwaitingAnswer(now, found->second, false);
        this->setUnclaimed(found->second, found->second.stage == FlowStage::OpeningAnswered);
    }
}

void PacketAgent::expireFlows(TimePoint now)
{
    if (now < this->nextExpiry) {
        return;
    }
    this->nextExpiry = now + expiryPeriod;
    std::erase_if(this->ownerCache, [now](const auto& entry) { return entry.second.expiresAt <= now; });
    std::vector<FlowKey> expired;
    for (auto& [key, flow] : this->flows) {
        if (flow.isAwaitingAnswer && now - flow.awaitingSince >= requestTimeout) {
            this->setAwaitingAnswer(now, flow, false);
        }
        this->expirePlace(now, key, flow);
        const FlowTiming& timing = this->codec.timing();
        const bool isExpired = (flow.stage == FlowStage::OpeningSent && now - flow.createdAt >= timing.openingTimeout + latePacketTime)
            || (flow.stage == FlowStage::OpeningAnswered && now - flow.lastPacketAt >= timing.answerRepeatTime + timing.longestRetransmission + latePacketTime)
            || (flow.stage == FlowStage::Probing && now - flow.lastPacketAt >= probeTimeout)
            || (flow.stage == FlowStage::Closed && now - flow.lastPacketAt >= timing.longestRetransmission * 2)
            || now - flow.lastPacketAt >= this->settings.flowIdleTimeout + idleTimeoutMargin;
        if (isExpired) {
            expired.push_back(key);
        }
        if (isExpired && flow.stage != FlowStage::Closed) {
            this->events.log(EventLevel::Info, "flow-expired",
                {
                    { "flow", formatFlow(key) },
                    { "stage", std::string(toString(flow.stage)) },
                    { "idle_ms", std::to_string(toMilliseconds(now - flow.lastPacketAt)) },
                });
        }
    }
    for (const FlowKey& key : expired) {
        this->eraseFlow(key);
    }
    this->count.add(Counter::FlowsExpired, expired.size());
}

} // namespace lavender
