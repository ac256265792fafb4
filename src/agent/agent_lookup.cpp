/** @file agent_lookup.cpp Lookups: the first agent on a packet's way makes sure that the packet reaches the flow's owner. */
#include "agent/agent_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration reportTimeout = 60ms; ///< 20 trips; a search can end before the caller's first retransmission.
    constexpr Duration confirmationTime = 1s; ///< A pointer that its owner confirmed within this time is followed without a lookup.
    constexpr Duration pauseThreshold = 300ms; ///< A longer time between two ticks: the process was suspended, so reports may wait in its socket.
    constexpr size_t maximumLookups = 1024; ///< Limits memory, as each holds a packet. Retransmissions of further flows start again.

} // namespace

/**
 * Keeps a packet that is about to be forwarded until the owner reports. A running lookup keeps its time, so that further packets
 * do not delay the search. Openings have no lookup: their owner may not exist yet.
 */
void Agent::beginLookup(TimePoint now, ForwardedPacket& forwarded)
{
    const FlowKey& key = forwarded.packet.flow;
    const bool isFirst = forwarded.hops == 1;
    if (!isFirst || forwarded.packet.mark == PacketMark::Opening || this->searches.contains(key)) {
        return;
    }
    if (const auto foreign = this->foreignFlows.find(key); foreign != this->foreignFlows.end() && foreign->second.owner.isValid()
        && foreign->second.confirmedAt != TimePoint {} && now - foreign->second.confirmedAt < confirmationTime) {
        return;
    }
    if (const auto running = this->lookups.find(key); running != this->lookups.end()) {
        running->second.packet = forwarded;
    } else if (this->lookups.size() < maximumLookups) {
        this->lookups[key] = { forwarded, now };
        forwarded.searcher = this->settings.address;
    }
}

/** Tells the first agent on a packet's way, if it asked for it, that this agent takes care of the packet: as the owner, else with mayHoldFlow. */
void Agent::reportToFirstAgent(const ForwardedPacket& forwarded, FlowQueryReply reply, Actions& actions) const
{
    if (forwarded.searcher.isValid() && forwarded.searcher != this->settings.address) {
        reply.flow = forwarded.packet.flow;
        reply.responder = this->settings.address;
        actions.push_back(SendMessage { forwarded.searcher, reply });
    }
}

/**
 * Ends a lookup: the owner reports, the flow has ended at the sender, or the sender has begun a search. A denial does not: it belongs
 * to an earlier search.
 */
void Agent::handleLookupReport(TimePoint now, const FlowQueryReply& reply)
{
    if (!reply.owner.isValid() && !reply.mayHoldFlow) {
        return;
    }
    // Without a running lookup the report may be older than a move of the flow.
    if (this->lookups.erase(reply.flow) != 0 && reply.owner.isValid() && reply.owner == reply.responder) {
        this->rememberConfirmed(now, reply.flow, reply.owner);
    }
}

void Agent::rememberConfirmed(TimePoint now, const FlowKey& flow, Address owner)
{
    this->remember(now, flow, ForeignFlowKind::OwnedElsewhere, owner);
    this->foreignFlows[flow].confirmedAt = now;
}

/**
 * Begins a search for each flow whose owner has not reported in time. It declares no flow lost: the packet may still be on its
 * way, the flow may have ended at an agent whose report was lost, and a silent owner may only be cut off.
 */
void Agent::tickLookups(TimePoint now, Actions& actions)
{
    const bool wasPaused = now - this->lastTick > pauseThreshold;
    std::vector<FlowKey> overdue;
    for (auto& [flow, lookup] : this->lookups) {
        if (wasPaused) {
            lookup.startedAt = now;
        } else if (now - lookup.startedAt >= reportTimeout) {
            overdue.push_back(flow);
        }
    }
    std::sort(overdue.begin(), overdue.end());
    for (const FlowKey& flow : overdue) {
        if (!this->maySearch()) {
            break; // The lookups that are left stay until the limits allow their searches.
        }
        const auto node = this->lookups.extract(flow);
        this->beginSearch(now, node.mapped().packet, false, actions);
    }
}

} // namespace lavender
