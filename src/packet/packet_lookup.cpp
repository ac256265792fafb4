/** @file packet_lookup.cpp Lookups: the first agent on the way of an unknown flow's packet makes sure that it reaches the owner. */
#include "packet/packet_agent_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration reportTimeout = 60ms; ///< 20 trips between zones; a search can end before the caller's first retransmission. Each notice extends it.
    constexpr Duration pauseThreshold = 300ms; ///< A longer time between two ticks: the process was suspended, so reports may wait in its socket.
    constexpr size_t maximumLookups = 1024; ///< Limits memory, as each holds a packet. Retransmissions of further flows start again.

} // namespace

/** Keeps the packet until the owner reports. A running lookup keeps its time, so that further packets do not delay the search. */
void PacketAgent::beginLookup(TimePoint now, const ForwardedPacket& forwarded, bool isDirectoryAsked)
{
    const FlowKey& key = forwarded.packet.flow;
    const auto found = this->lookups.find(key);
    if (found != this->lookups.end()) {
        found->second.packet = forwarded;
        found->second.isDirectoryAsked = found->second.isDirectoryAsked || isDirectoryAsked;
    } else if (this->lookups.size() < maximumLookups && !this->searches.contains(key)) {
        this->lookups[key] = { forwarded, now + reportTimeout, isDirectoryAsked };
    }
}

/** Ends all looking for a flow that turns out to be at the own upstream. */
void PacketAgent::forgetElsewhere(const FlowKey& flow)
{
    this->ownerCache.erase(flow);
    this->lookups.erase(flow);
    this->searches.erase(flow);
    this->directoryLookups.erase(flow);
    this->holderCheck.erase(flow);
}

/**
 * Handles a notice on a flow that this agent does not search for: the flow's owner reports, or another agent on the way probes its
 * upstream or has begun a search. A denial says nothing here: it may belong to an earlier search.
 */
void PacketAgent::handleLookupNotice(TimePoint now, const FlowQueryReply& reply)
{
    if (reply.owner.isValid()) {
        this->lookups.erase(reply.flow);
        if (reply.owner != this->settings.address && !this->flows.contains(reply.flow)) {
            this->cacheOwner(now, reply.flow, reply.owner);
        }
    } else if (const auto found = this->lookups.find(reply.flow); reply.mayHoldFlow && found != this->lookups.end()) {
        found->second.dueAt = std::max(found->second.dueAt, now + reportTimeout);
    }
}

/** Looks each flow up whose owner has not reported in time: in the directory, else by a search as far as the limits of searches allow. */
void PacketAgent::tickLookups(TimePoint now, Actions& actions)
{
    const bool wasPaused = now - this->lastTick > pauseThreshold;
    std::vector<FlowKey> overdue;
    for (auto& [flow, lookup] : this->lookups) {
        if (wasPaused) {
            lookup.dueAt = std::max(lookup.dueAt, now + reportTimeout);
        } else if (now >= lookup.dueAt) {
            overdue.push_back(flow);
        }
    }
    for (const FlowKey& flow : overdue) {
        const Lookup& lookup = this->lookups[flow];
        if (!lookup.isDirectoryAsked && this->lookUpInDirectory(now, lookup.packet, actions)) {
            this->lookups.erase(flow);
            continue;
        }
        if (!this->maySearch()) {
            break;
        }
        const auto node = this->lookups.extract(flow);
        this->beginSearch(now, node.mapped().packet, true, actions);
    }
}

} // namespace lavender
