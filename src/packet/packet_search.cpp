/** @file packet_search.cpp Search for a flow's owner when no candidate is left: queries all agents of the service in two rounds. */
#include "packet/packet_agent_base.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr size_t maximumSearches = 1024;
    constexpr Duration queryPeriod = 300ms; ///< Time between two queries of a search, and least time between its two rounds.
    constexpr Duration searchTimeout = 1500ms; ///< A search without a result ends then, without a reset to the caller.
    constexpr Duration probeRepeatTime = 60ms; ///< 20 trips between zones.
    constexpr double searchesPerSecond = 200; ///< Refill rate of the token bucket.
    constexpr double searchBurst = 400; ///< Capacity of the token bucket.
    /** An agent knows all others this long after a balancer first confirmed its view: each announces itself every 100 ms until known. */
    constexpr Duration minimumSynchronizedTime = 1s;
    /** A member declared gone within this time may come back with the flow; after it the callers have given their flows up. */
    constexpr Duration lostMemberWindow = 5s;

} // namespace

/** True if the limits allow one more search now. */
bool PacketAgent::maySearch() const
{
    return this->searchTokens >= 1 && this->searches.size() < maximumSearches;
}

/**
 * Begins a search. One for a lookup only asks for the owner: the packet is on its way along the candidates still, and each probe is a packet at
 * an upstream that most likely does not hold the flow.
 */
void PacketAgent::beginSearch(TimePoint now, const ForwardedPacket& forwarded, bool isLookup, Actions& actions)
{
    const FlowKey& key = forwarded.packet.flow;
    if (const auto running = this->searches.find(key); running != this->searches.end()) {
        running->second.packet = forwarded;
        running->second.isPacketSent = false;
        if (running->second.isConfirming) {
            this->renewConfirmation(now, running->second);
            return;
        }
        if (isLookup || !running->second.isLookup || !this->maySearch()) {
            return;
        }
        this->searches.erase(running);
    }
    if (!this->maySearch()) {
        this->count.add(Counter::SearchesLimited);
        this->events.log(EventLevel::Info, "packet-dropped",
            {
                { "flow", formatFlow(key) },
                { "reason", "search_limit" },
                { "searches", std::to_string(this->searches.size()) },
            });
        return;
    }
    this->searchTokens -= 1;
    this->count.add(Counter::Searches);
    Search& search = this->searches[key];
    search.packet = forwarded;
    search.isLookup = isLookup;
    search.startedAt = now;
    search.lastQueryAt = now;
    search.pendingPeers = this->peersWithUpstream();
    this->events.log(EventLevel::Info, "flow-searched",
        {
            { "flow", formatFlow(key) },
            { "hops", std::to_string(forwarded.hops) },
            { "peers", std::to_string(this->peers.otherAgents().size()) },
        });
    if (forwarded.home.isValid() && forwarded.home != this->settings.address) {
        // Not a denial: the first agent may still search for the flow later.
        actions.push_back(SendMessage { forwarded.home, FlowQueryReply { .flow = key, .responder = this->settings.address, .mayHoldFlow = true } });
    }
    this->queryPeers(key, search, actions);
    this->endRoundIfComplete(now, FlowKey(key), actions);
}

/** Agents to query: all but those without an upstream. They hold no flow, and one that disappears would delay every search. */
std::set<Address> PacketAgent::peersWithUpstream() const
{
    std::set<Address> result;
    for (const MemberRecord& peer : this->peers.otherAgents()) {
        if (peer.state != MemberState::NoUpstream) {
            result.insert(peer.address);
        }
    }
    return result;
}

void PacketAgent::queryPeers(const FlowKey& flow, const Search& search, Actions& actions)
{
    for (Address peer : search.pendingPeers) {
        actions.push_back(SendMessage { peer, FlowQuery { this->serviceHash, flow, this->settings.address } });
    }
}

void PacketAgent::handle(TimePoint now, const FlowQuery& query, Actions& actions)
{
    if (query.service != this->serviceHash) {
        this->count.add(Counter::PacketsWrongService);
        return;
    }
    const auto flow = this->flows.find(query.flow);
    FlowQueryReply reply { .flow = query.flow, .responder = this->settings.address };
    if (flow != this->flows.end()) {
        const FlowStage stage = flow->second.stage;
        reply.owner = stage == FlowStage::Open || stage == FlowStage::Closed ? this->settings.address : Address {};
        reply.mayHoldFlow = stage == FlowStage::OpeningAnswered || stage == FlowStage::Probing;
    } else {
        reply.mayHoldFlow = this->mayUpstreamHold(now, query.flow);
    }
    actions.push_back(SendMessage { query.searcher, reply });
}

void PacketAgent::handle(TimePoint now, const FlowQueryReply& reply, Actions& actions)
{
    if (reply.isOtherService) {
        this->lookups.erase(reply.flow);
        this->searches.erase(reply.flow);
        return;
    }
    const auto found = this->searches.find(reply.flow);
    if (found == this->searches.end()) {
        this->handleLookupNotice(now, reply);
        return;
    }
    Search& search = found->second;
    if (reply.mayHoldFlow && search.isLookup) {
        return; // Is asked again: by then its upstream may have answered a probe.
    }
    if (reply.mayHoldFlow) {
        if (search.probedPeers.insert(reply.responder).second) {
            this->sendProbeRequest(search, reply.responder, actions);
        }
        return;
    }
    if (!reply.owner.isValid()) {
        search.pendingPeers.erase(reply.responder);
        this->endRoundIfComplete(now, reply.flow, actions);
        return;
    }
    this->events.log(EventLevel::Info, "flow-found",
        {
            { "flow", formatFlow(reply.flow) },
            { "owner", formatAddress(reply.owner) },
            { "search_ms", std::to_string(toMilliseconds(now - search.startedAt)) },
        });
    ForwardedPacket forwarded = std::move(search.packet);
    const bool hasPacket = search.isPacketSent && search.source == SearchSource::DirectoryEntry;
    this->searches.erase(found);
    this->cacheOwner(now, reply.flow, reply.owner);
    if (!hasPacket) {
        this->forward(forwarded, reply.owner, actions);
    }
}

/** Sends an agent the packet of the flow that is searched for; the agent delivers it, or its upstream shows whether it holds the flow. */
void PacketAgent::sendProbeRequest(const Search& search, Address agent, Actions& actions) const
{
    ForwardedPacket request = search.packet;
    request.searcher = this->settings.address;
    actions.push_back(SendMessage { agent, std::move(request) });
}

/** Sends the packet once more to the agents named by the directory that have not answered: it, or the answer, may be lost. */
void PacketAgent::repeatProbeRequests(TimePoint now, Search& search, Actions& actions) const
{
    const bool hasProbes = search.source != SearchSource::AllAgents || search.isConfirming;
    if (!hasProbes || search.isRepeated || now - search.lastQueryAt < probeRepeatTime) {
        return;
    }
    search.isRepeated = true;
    search.isPacketSent = true;
    for (Address agent : search.pendingPeers) {
        this->sendProbeRequest(search, agent, actions);
    }
}

/**
 * Ends the round if all queried agents have denied the flow. An agent that joined recently may hold it and be unknown here, so
 * the first round ends by asking a balancer for the current members.
 */
void PacketAgent::endRoundIfComplete(TimePoint now, const FlowKey& flow, Actions& actions)
{
    Search& search = this->searches[flow];
    if (!search.pendingPeers.empty() || (search.isConfirming && !search.isConfirmed) || this->endBriefSearch(flow, actions)) {
        return;
    }
    if (search.isConfirmed) {
        this->endLostFlow(now, flow, this->isDenied(now, flow), actions);
        return;
    }
    if (search.isLookup) {
        this->searches.erase(flow); // The caller's next retransmission begins again.
        return;
    }
    if (search.isSecondRound && !this->wereAllAsked(search)) {
        this->beginSecondRound(now, flow, search, actions);
    } else if (search.isSecondRound) {
        this->declareFlowLost(now, flow, actions);
    } else if (!search.firstRoundEndedAt) {
        search.firstRoundEndedAt = now;
        this->peers.announceSoon();
    }
}

/** False if an agent has become known since the second round began: it may have come back with the flow. */
bool PacketAgent::wereAllAsked(const Search& search) const
{
    const std::set<Address> known = this->peersWithUpstream();
    return search.source != SearchSource::AllAgents || std::includes(search.askedPeers.begin(), search.askedPeers.end(), known.begin(), known.end());
}

void PacketAgent::beginSecondRound(TimePoint now, const FlowKey& flow, Search& search, Actions& actions)
{
    search.isSecondRound = true;
    search.lastQueryAt = now;
    search.probedPeers.clear();
    search.pendingPeers = this->peersWithUpstream();
    search.askedPeers = search.pendingPeers;
    this->queryPeers(flow, search, actions);
}

/** True if a balancer has confirmed this agent's view of the service for at least @p time. */
bool PacketAgent::isSynchronizedFor(TimePoint now, Duration time) const
{
    const std::optional<TimePoint> since = this->peers.synchronizedSince();
    return since && now - *since >= time;
}

/** True if an agent of the roster has not been heard of since this process started: its process may be starting beside a living upstream. */
bool PacketAgent::isRosterAgentMissing(TimePoint now) const
{
    const auto isUnknown = [this](const auto& entry) { return this->peers.find(entry.first) == nullptr; };
    return now - this->settings.startedAt < lostMemberWindow && std::any_of(this->roster.begin(), this->roster.end(), isUnknown);
}

/** True if a flow that was denied may be reset. */
bool PacketAgent::mayReset(TimePoint now, const FlowKey& flow, SearchSource source)
{
    switch (source) {
    case SearchSource::AllAgents:
        return this->isSynchronizedFor(now, minimumSynchronizedTime) && !this->peers.hasRecentlyLostAgents(now, lostMemberWindow) && !this->isRosterAgentMissing(now);
    case SearchSource::DirectoryEntry:
        return this->isDeniedAgain(now, flow);
    case SearchSource::DirectoryProof:
        return true;
    }
    return false;
}

/** Name of a search's source in events. */
std::string_view PacketAgent::toText(SearchSource source)
{
    switch (source) {
    case SearchSource::AllAgents:
        return "all_agents";
    case SearchSource::DirectoryEntry:
        return "listed_owners";
    case SearchSource::DirectoryProof:
        return "directory";
    }
    return "unknown";
}

/** Ends a search in which nobody was found to hold the flow; resets the flow if this agent may. Where agents keep a directory, all are asked once more. */
void PacketAgent::declareFlowLost(TimePoint now, const FlowKey& flow, Actions& actions)
{
    const ForwardedPacket packet = this->searches[flow].packet;
    const SearchSource source = this->searches[flow].source;
    if (this->passToNextService(packet, actions)) {
        this->searches.erase(flow);
        return;
    }
    const bool mayReset = this->mayReset(now, flow, source) && this->wereAllServicesAsked(now, packet);
    if (mayReset && this->settings.hasFlowDirectory) {
        this->confirmLoss(now, flow, actions);
        return;
    }
    this->endLostFlow(now, flow, mayReset, actions);
}

/** Ends the search for a flow that nobody was found to hold. @param mayReset The caller is told. */
void PacketAgent::endLostFlow(TimePoint now, const FlowKey& flow, bool mayReset, Actions& actions)
{
    const auto search = this->searches.extract(flow);
    const ForwardedPacket& packet = search.mapped().packet;
    const SearchSource source = search.mapped().source;
    const Duration duration = now - search.mapped().startedAt;
    const std::optional<Segment> segment = this->codec.parse(packet.packet.payload);
    this->count.add(Counter::FlowsLost);
    this->events.log(EventLevel::Info, "flow-lost",
        {
            { "flow", formatFlow(flow) },
            { "peers", std::to_string(this->peers.otherAgents().size()) },
            { "proof", std::string(toText(source)) },
            { "search_ms", std::to_string(toMilliseconds(duration)) },
            { "reset", mayReset ? "true" : "false" },
        });
    if (mayReset && segment && !segment->isReset) {
        pushToCaller(actions, flow, this->codec.makeReset(flow, segment->acknowledged));
    }
}

void PacketAgent::tickSearches(TimePoint now, Actions& actions)
{
    const double elapsed = std::chrono::duration<double>(now - this->lastTick).count();
    this->searchTokens = std::min(this->searchTokens + elapsed * searchesPerSecond, searchBurst);
    this->endOverdueBriefSearches(now, actions);
    std::vector<FlowKey> deniedByAll;
    for (auto& [flow, search] : this->searches) {
        this->repeatProbeRequests(now, search, actions);
        if (search.isConfirming) {
            continue;
        }
        const bool isRoundDue = search.firstRoundEndedAt && !search.isSecondRound && now - *search.firstRoundEndedAt >= queryPeriod;
        if (isRoundDue && this->peers.lastSynchronizedAt() > *search.firstRoundEndedAt) {
            this->beginSecondRound(now, flow, search, actions);
        } else if (now - search.lastQueryAt >= queryPeriod) {
            search.lastQueryAt = now;
            this->queryPeers(flow, search, actions);
        }
        if (search.isSecondRound && search.pendingPeers.empty()) {
            deniedByAll.push_back(flow);
        }
    }
    for (const FlowKey& flow : deniedByAll) {
        this->endRoundIfComplete(now, flow, actions);
    }
    for (const auto& [flow, search] : this->searches) {
        if (now - search.startedAt >= searchTimeout) {
            this->count.add(Counter::FlowsLost, search.isLookup ? 0 : 1);
            this->events.log(EventLevel::Info, "search-timed-out",
                {
                    { "flow", formatFlow(flow) },
                    { "pending", std::to_string(search.pendingPeers.size()) },
                    { "first_pending", search.pendingPeers.empty() ? "none" : formatAddress(*search.pendingPeers.begin()) },
                    { "by", std::string(toText(search.source)) },
                    { "round", search.isSecondRound ? "2" : "1" },
                });
        }
    }
    std::erase_if(this->searches, [now](const auto& entry) { return now - entry.second.startedAt >= searchTimeout; });
}

} // namespace lavender
