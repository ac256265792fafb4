/** @file agent_search.cpp Searches for a flow's owner by querying all agents of the service if no candidate knows it. */
#include "agent/agent_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr double searchesPerSecond = 200; ///< Refill rate of the token bucket.
    constexpr double searchBurst = 400; ///< Size of the token bucket.
    constexpr size_t maximumSearches = 1024; ///< Searches at one time.
    constexpr int maximumRedirects = 8; ///< Redirects that one search follows.
    constexpr Duration queryPeriod = 300ms; ///< Pending queries are sent again, and the second round begins, after this time.
    constexpr Duration zoneOutPropagationTime = 5s; ///< Agents of a zone that was taken out may lack the new rules for this long.
    constexpr Duration membershipSettleTime = 5s; ///< Since the first synchronization; before, a new agent may not know all others.
    constexpr Duration recentLossTime = 60s; ///< Agents lost within this time count as possibly cut off by a network partition.
    constexpr Duration searchTimeout = 10s; ///< A search without a result, as when agents do not reply, ends after this time without a notice to the caller.

} // namespace

bool Agent::maySearch() const
{
    return this->searchTokens >= 1 && this->searches.size() < maximumSearches;
}

void Agent::beginSearch(TimePoint now, const ForwardedPacket& forwarded, bool mayDeclareLost, Actions& actions)
{
    const FlowKey& key = forwarded.packet.flow;
    if (const auto running = this->searches.find(key); running != this->searches.end()) {
        running->second.packet = forwarded;
        running->second.mayDeclareLost |= mayDeclareLost;
        this->reportToFirstAgent(forwarded, { .mayHoldFlow = true }, actions); // One search is enough.
        return;
    }
    if (!this->maySearch()) {
        this->count.add(Counter::SearchesLimited);
        return;
    }
    this->searchTokens -= 1;
    this->count.add(Counter::Searches);
    this->lookups.erase(key);
    this->reportToFirstAgent(forwarded, { .mayHoldFlow = true }, actions);
    Search& search = this->searches[key];
    search.packet = forwarded;
    search.mayDeclareLost = mayDeclareLost;
    search.startedAt = now;
    this->queryAllAgents(now, key, search, actions);
}

void Agent::queryAllAgents(TimePoint now, const FlowKey& flow, Search& search, Actions& actions)
{
    for (const MemberRecord& peer : this->peers.otherAgents()) {
        if (this->isUsableAgent(peer.address)) {
            search.pending.insert(peer.address);
        }
    }
    this->queryPendingAgents(now, flow, search, actions);
}

void Agent::queryPendingAgents(TimePoint now, const FlowKey& flow, Search& search, Actions& actions)
{
    search.queriedAt = now;
    for (Address peer : search.pending) {
        actions.push_back(SendMessage { peer, FlowQuery { this->serviceHash, flow, this->settings.address } });
    }
}

void Agent::handle(const FlowQuery& query, Actions& actions)
{
    if (query.service != this->serviceHash) {
        this->count.add(Counter::PacketsWrongService);
        return;
    }
    FlowQueryReply reply { .flow = query.flow, .responder = this->settings.address };
    if (this->flows.contains(query.flow)) {
        reply.owner = this->settings.address;
    } else if (const auto foreign = this->foreignFlows.find(query.flow);
               foreign != this->foreignFlows.end() && foreign->second.kind == ForeignFlowKind::OwnedElsewhere) {
        const bool isUsableOwner = foreign->second.owner.isValid() && foreign->second.owner != query.searcher
            && this->isUsableAgent(foreign->second.owner);
        reply.owner = isUsableOwner ? foreign->second.owner : Address {};
    }
    actions.push_back(SendMessage { query.searcher, reply });
}

void Agent::handle(TimePoint now, const FlowQueryReply& reply, Actions& actions)
{
    const auto found = this->searches.find(reply.flow);
    if (found == this->searches.end()) {
        this->handleLookupReport(now, reply);
        return;
    }
    if (!reply.owner.isValid()) {
        found->second.pending.erase(reply.responder);
        this->finishSearch(now, reply.flow, actions);
        return;
    }
    // Only a reply of the owner itself ends the search: another agent's pointer may be out of date.
    if (reply.owner != reply.responder) {
        Search& search = found->second;
        search.pending.erase(reply.responder);
        if (this->isUsableAgent(reply.owner) && reply.owner != this->settings.address && ++search.redirects <= maximumRedirects) {
            search.pending.insert(reply.owner);
            actions.push_back(SendMessage { reply.owner, FlowQuery { this->serviceHash, reply.flow, this->settings.address } });
        }
        this->finishSearch(now, reply.flow, actions);
        return;
    }
    ForwardedPacket forwarded = std::move(found->second.packet);
    this->searches.erase(found);
    this->rememberConfirmed(now, reply.flow, reply.owner);
    this->forward(forwarded, reply.owner, actions);
}

/**
 * True if this agent knows the membership well enough to declare a flow lost, which ends the flow. Otherwise no notice is
 * sent, and the caller retries.
 */
bool Agent::canDeclareLost(TimePoint now) const
{
    const std::optional<TimePoint> since = this->peers.synchronizedSince();
    if (!since || now - *since < membershipSettleTime || this->peers.isLikelyMinority(now, recentLossTime)) {
        return false;
    }
    // Agents of a zone that was taken out may not have the new rules yet and may still own the flow; they notify its caller
    // themselves.
    const Configuration& configuration = this->follower.current();
    return configuration.zonesOut.empty() || now - this->follower.inForceSince() >= zoneOutPropagationTime;
}

void Agent::finishSearch(TimePoint now, const FlowKey& flow, Actions& actions)
{
    const auto found = this->searches.find(flow);
    if (found == this->searches.end() || !found->second.pending.empty()) {
        return;
    }
    if (!found->second.mayDeclareLost) {
        this->searches.erase(found); // The caller's next retransmission begins again.
        return;
    }
    if (!this->canDeclareLost(now)) {
        return;
    }
    // A flow that moved between the replies of its old and its new owner is missed by both, hence a second round.
    if (found->second.round == 1) {
        if (now - found->second.startedAt >= queryPeriod) {
            found->second.round = 2;
            this->queryAllAgents(now, flow, found->second, actions);
        }
        if (!found->second.pending.empty() || found->second.round == 1) {
            return;
        }
    }
    // Every agent that could own the flow has replied twice that it does not.
    this->searches.erase(found);
    this->count.add(Counter::FlowsLost);
    this->notify(flow, { .event = FlowEvent::Lost, .zone = this->settings.zone }, actions);
}

void Agent::tickSearches(TimePoint now, Actions& actions)
{
    const double elapsed = std::chrono::duration<double>(now - this->lastTick).count();
    this->searchTokens = std::min(this->searchTokens + elapsed * searchesPerSecond, searchBurst);
    std::vector<FlowKey> completed;
    for (auto& [flow, search] : this->searches) {
        std::erase_if(search.pending, [this](Address peer) { return !this->isUsableAgent(peer); });
        if (search.pending.empty()) {
            completed.push_back(flow);
        } else if (now - search.queriedAt >= queryPeriod) {
            this->queryPendingAgents(now, flow, search, actions);
        }
    }
    std::sort(completed.begin(), completed.end());
    for (const FlowKey& flow : completed) {
        this->finishSearch(now, flow, actions);
    }
    std::erase_if(this->searches, [now](const auto& entry) { return now - entry.second.startedAt >= searchTimeout; });
}

} // namespace lavender
