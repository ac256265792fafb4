/** @file peer_lists.cpp Sends all records again only if the views still differ without a change to explain it. */
#include "balancer/peer_lists.h"

namespace lavender {

namespace {

    constexpr Duration replyTransitTime = 300ms; ///< Within this time after a list, the agent's announcements may have been sent before it arrived.
    constexpr Duration repeatPeriod = 1s; ///< Least time between two full lists, as between two regular announcements.
    constexpr Duration longestPartialTime = 10s; ///< A lost reply is made up for at the latest then, while members go on changing.
    constexpr Duration forgetTime = 60s;

} // namespace

std::vector<MemberRecord> PeerLists::recordsFor(TimePoint now, const Announce& announce, const MemberTable& table)
{
    const std::string& service = announce.record.service;
    Told& told = this->toldAgents[announce.record.address];
    const bool isKnown = told.incarnation == announce.record.incarnation;
    std::vector<MemberRecord> records = isKnown ? table.agentsOf(service, told.change) : table.agentsOf(service);
    const bool isUnexplained = records.empty() && now - told.at >= replyTransitTime && now - told.allAt >= repeatPeriod;
    if (!isKnown || isUnexplained || now - told.allAt >= longestPartialTime) {
        records = table.agentsOf(service);
        told.allAt = now;
    }
    told.incarnation = announce.record.incarnation;
    told.change = table.changeCount();
    if (records.empty()) {
        records.push_back(announce.record); // An empty list would say that the views agree.
    } else {
        told.at = now;
    }
    return records;
}

void PeerLists::expire(TimePoint now)
{
    std::erase_if(this->toldAgents, [now](const auto& entry) { return now - entry.second.at >= forgetTime && now - entry.second.allAt >= forgetTime; });
}

} // namespace lavender
