/** @file agent_search.cpp The last resort for a flow without a known owner: all agents of the service are asked. */
#include "agent/agent_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr double searchesPerSecond = 200;
    constexpr double searchBurst = 400;
    constexpr size_t maximumSearches = 1024;
    constexpr int maximumRedirections = 8;
    constexpr Duration askPeriod = 300ms;
    constexpr Duration zoneOutNoticeTime = 5s;
    constexpr Duration learningTime = 5s; ///< A new agent may not know all others before.
    constexpr Duration cutMemory = 60s;
    constexpr Duration searchTime = 10s; ///< Ends without a word to the caller where agents stay silent.

} // namespace

void Agent::beginSearch(TimePoint now, const ForwardedPacket& forwarded, Actions& actions)
{
    const FlowKey& key = forwarded.packet.flow;
    if (const auto running = this->searches.find(key); running != this->searches.end()) {
        running->second.packet = forwarded;
        return;
    }
    if (this->searchTokens < 1 || this->searches.size() >= maximumSearches) {
        this->count.add(Counter::SearchesLimited);
        return;
    }
    this->searchTokens -= 1;
    this->count.add(Counter::Searches);
    Search& search = this->searches[key];
    search.packet = forwarded;
    search.begun = now;
    this->askEveryone(now, key, search, actions);
}

void Agent::askEveryone(TimePoint now, const FlowKey& flow, Search& search, Actions& actions)
{
    for (const MemberRecord& peer : this->peers.others()) {
        if (this->mayReceive(peer.address)) {
            search.waiting.insert(peer.address);
        }
    }
    this->askWaiting(now, flow, search, actions);
}

void Agent::askWaiting(TimePoint now, const FlowKey& flow, Search& search, Actions& actions)
{
    search.asked = now;
    for (Address peer : search.waiting) {
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
    } else if (const auto trace = this->traces.find(query.flow); trace != this->traces.end() && trace->second.kind == TraceKind::Elsewhere) {
        const bool isUseful = trace->second.owner.isValid() && trace->second.owner != query.asker && this->mayReceive(trace->second.owner);
        reply.owner = isUseful ? trace->second.owner : Address {};
    }
    actions.push_back(SendMessage { query.asker, reply });
}

void Agent::handle(TimePoint now, const FlowQueryReply& reply, Actions& actions)
{
    const auto found = this->searches.find(reply.flow);
    if (found == this->searches.end()) {
        return;
    }
    if (!reply.owner.isValid()) {
        found->second.waiting.erase(reply.responder);
        this->finishSearch(now, reply.flow, actions);
        return;
    }
    // Only the owner's own word ends the search: another agent's may be older than what it points at.
    if (reply.owner != reply.responder) {
        Search& search = found->second;
        search.waiting.erase(reply.responder);
        if (this->mayReceive(reply.owner) && reply.owner != this->settings.address && ++search.redirections <= maximumRedirections) {
            search.waiting.insert(reply.owner);
            actions.push_back(SendMessage { reply.owner, FlowQuery { this->serviceHash, reply.flow, this->settings.address } });
        }
        this->finishSearch(now, reply.flow, actions);
        return;
    }
    ForwardedPacket forwarded = std::move(found->second.packet);
    this->searches.erase(found);
    this->remember(now, reply.flow, TraceKind::Elsewhere, reply.owner);
    this->forward(forwarded, reply.owner, actions);
}

/** Saying 'lost' ends a flow: only an agent that can know says it, the others leave the caller to try again. */
bool Agent::maySayLost(TimePoint now) const
{
    const std::optional<TimePoint> since = this->peers.synchronizedSince();
    if (!since || now - *since < learningTime || this->peers.isMinority(now, cutMemory)) {
        return false;
    }
    // While agents of a zone that went out may not have heard of it, the flow can be theirs: they tell its caller themselves.
    const Configuration& configuration = this->follower.current();
    return configuration.zonesOut.empty() || now - this->follower.inForceSince() >= zoneOutNoticeTime;
}

void Agent::finishSearch(TimePoint now, const FlowKey& flow, Actions& actions)
{
    const auto found = this->searches.find(flow);
    const bool isOpen = found == this->searches.end() || !found->second.waiting.empty();
    if (isOpen || !this->maySayLost(now)) {
        return;
    }
    // A flow that moved from one agent to another between their two answers was missed by both: ask again.
    if (found->second.round == 1) {
        if (now - found->second.begun >= askPeriod) {
            found->second.round = 2;
            this->askEveryone(now, flow, found->second, actions);
        }
        if (!found->second.waiting.empty() || found->second.round == 1) {
            return;
        }
    }
    // Every agent that could hold the flow has said twice that it does not.
    this->searches.erase(found);
    this->count.add(Counter::FlowsLost);
    this->notify(flow, { .event = FlowEvent::Lost, .zone = this->settings.zone }, actions);
}

void Agent::tickSearches(TimePoint now, Actions& actions)
{
    const double elapsed = std::chrono::duration<double>(now - this->lastTick).count();
    this->searchTokens = std::min(this->searchTokens + elapsed * searchesPerSecond, searchBurst);
    std::vector<FlowKey> answered;
    for (auto& [flow, search] : this->searches) {
        std::erase_if(search.waiting, [this](Address peer) { return !this->mayReceive(peer); });
        if (search.waiting.empty()) {
            answered.push_back(flow);
        } else if (now - search.asked >= askPeriod) {
            this->askWaiting(now, flow, search, actions);
        }
    }
    std::sort(answered.begin(), answered.end());
    for (const FlowKey& flow : answered) {
        this->finishSearch(now, flow, actions);
    }
    std::erase_if(this->searches, [now](const auto& entry) { return now - entry.second.begun >= searchTime; });
}

} // namespace lavender
