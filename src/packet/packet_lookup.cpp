/** @file packet_lookup.cpp Lookups: the first agent on the way of an unknown flow's packet makes sure that it reaches the owner. */
#include "packet/packet_agent_base.h"

namespace lavender {

namespace {

    constexpr Duration noticeTimeout = 60ms; ///< 20 trips between zones; a search can end before the caller's first retransmission.
    constexpr size_t maximumLookups = 1024; ///< Limits memory, as each holds a packet. Retransmissions of further flows start again.

} // namespace

/** Keeps the packet until the owner reports. A running lookup keeps its time, so that further packets do not delay the search. */
void PacketAgent::beginLookup(TimePoint now, const ForwardedPacket& forwarded)
{
    const FlowKey& key = forwarded.packet.flow;
    const auto found = this->lookups.find(key);
    if (found != this->lookups.end()) {
        found->second.packet = forwarded;
    } else if (this->lookups.size() < maximumLookups && !this->searches.contains(key)) {
        this->lookups[key] = { forwarded, now };
    }
}

/** Ends all looking for a flow that turns out to be at the own upstream. */
void PacketAgent::forgetElsewhere(const FlowKey& flow)
{
    this->ownerCache.erase(flow);
    this->lookups.erase(flow);
    this->searches.erase(flow);
}

/**
 * Handles a notice on a flow that this agent does not search for: its owner reports, another agent on the way probes its upstream,
 * or another agent has begun a search.
 */
void PacketAgent::handleLookupNotice(TimePoint now, const FlowQueryReply& reply)
{
    if (reply.mayHoldFlow) {
        if (const auto found = this->lookups.find(reply.flow); found != this->lookups.end()) {
            found->second.lastNoticeAt = now;
        }
        return;
    }
    this->lookups.erase(reply.flow);
    if (reply.owner.isValid() && reply.owner != this->settings.address && !this->flows.contains(reply.flow)) {
        this->cacheOwner(now, reply.flow, reply.owner);
    }
}

/** Begins a search for each flow whose packet has been without a notice for too long. */
void PacketAgent::tickLookups(TimePoint now, Actions& actions)
{
    std::vector<FlowKey> overdue;
    for (const auto& [flow, lookup] : this->lookups) {
        if (now - lookup.lastNoticeAt >= noticeTimeout) {
            overdue.push_back(flow);
        }
    }
    for (const FlowKey& flow : overdue) {
        const auto node = this->lookups.extract(flow);
        this->beginSearch(now, node.mapped().packet, actions);
    }
}

} // namespace lavender
