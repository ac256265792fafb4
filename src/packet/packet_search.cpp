/** @file packet_search.cpp The last resort for a flow without a known owner: all agents of the service are asked, twice. */
#include "packet/packet_agent_base.h"

#include <utility>

namespace lavender {

namespace {

    constexpr size_t maximumSearches = 1024;
    constexpr Duration acquaintanceTime = 1s; ///< With a balancer in agreement for so long, an agent knows all others: they announce themselves each 100 ms until they are known.
    constexpr Duration lossMemory = 5s; ///< A member declared gone that lately may be back with the flow; later its callers have given it up.

} // namespace

void PacketAgent::beginSearch(TimePoint now, const ForwardedPacket& forwarded, Actions& actions)
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
    search.asked = now;
    search.waiting = this->peersWithFlows();
    this->events.note(EventLevel::Info, "flow-searched", { { "flow", formatFlow(key) }, { "hops", std::to_string(forwarded.hops) }, { "peers", std::to_string(this->peers.others().size()) } });
    this->askPeers(key, search, actions);
    this->endRound(now, FlowKey(key), actions);
}

/** Agents without an upstream hold no flow; one that vanishes would keep every search waiting. */
std::set<Address> PacketAgent::peersWithFlows() const
{
    std::set<Address> result;
    for (const MemberRecord& peer : this->peers.others()) {
        if (peer.state != MemberState::Vacant) {
            result.insert(peer.address);
        }
    }
    return result;
}

void PacketAgent::askPeers(const FlowKey& flow, const Search& search, Actions& actions)
{
    for (Address peer : search.waiting) {
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
        reply.owner = stage == FlowStage::Open || stage == FlowStage::Ended ? this->settings.address : Address {};
        reply.isUnsure = stage == FlowStage::Answered || stage == FlowStage::Probing;
    } else {
        reply.isUnsure = this->isUnsureOf(now, query.flow);
    }
    actions.push_back(SendMessage { query.asker, reply });
}

void PacketAgent::handle(TimePoint now, const FlowQueryReply& reply, Actions& actions)
{
    const auto found = this->searches.find(reply.flow);
    if (found == this->searches.end()) {
        if (reply.owner.isValid() && reply.owner != this->settings.address && !this->flows.contains(reply.flow)) {
            this->remember(now, reply.flow, reply.owner); // A flow that was opened elsewhere than at its home, this agent.
        }
        return;
    }
    Search& search = found->second;
    if (reply.isUnsure) {
        if (search.probed.insert(reply.responder).second) {
            ForwardedPacket question = search.packet;
            question.asker = this->settings.address;
            actions.push_back(SendMessage { reply.responder, std::move(question) });
        }
        return;
    }
    if (!reply.owner.isValid()) {
        search.waiting.erase(reply.responder);
        this->endRound(now, reply.flow, actions);
        return;
    }
    ForwardedPacket forwarded = std::move(search.packet);
    this->searches.erase(found);
    this->remember(now, reply.flow, reply.owner);
    this->forward(forwarded, reply.owner, actions);
}

/** An agent that has just joined may hold the flow and not be known here: a balancer is asked for news before the second round. */
void PacketAgent::endRound(TimePoint now, const FlowKey& flow, Actions& actions)
{
    Search& search = this->searches[flow];
    if (!search.waiting.empty()) {
        return;
    }
    if (search.isSecondRound) {
        this->concludeSearch(now, flow, actions);
    } else if (!search.firstRoundEnd) {
        search.firstRoundEnd = now;
        this->peers.askForNews();
    }
}

void PacketAgent::beginSecondRound(TimePoint now, const FlowKey& flow, Search& search, Actions& actions)
{
    search.isSecondRound = true;
    search.asked = now;
    search.probed.clear();
    search.waiting = this->peersWithFlows();
    this->askPeers(flow, search, actions);
}

/** Only an agent that knows all others may end a flow, and only while none of them is out of reach. */
bool PacketAgent::mayDeclareLost(TimePoint now) const
{
    const std::optional<TimePoint> since = this->peers.synchronizedSince();
    return since && now - *since >= acquaintanceTime && !this->peers.hasLost(now, lossMemory);
}

/** Every agent of the service has said that its upstream does not hold the flow. */
void PacketAgent::concludeSearch(TimePoint now, const FlowKey& flow, Actions& actions)
{
    const ForwardedPacket packet = std::move(this->searches[flow].packet);
    this->searches.erase(flow);
    const bool maySay = this->mayDeclareLost(now);
    const std::optional<Segment> segment = this->codec.parse(packet.packet.payload);
    this->count.add(Counter::FlowsLost);
    this->events.note(EventLevel::Info, "flow-lost", { { "flow", formatFlow(flow) }, { "peers", std::to_string(this->peers.others().size()) }, { "reset", maySay ? "true" : "false" } });
    if (maySay && segment && !segment->isReset) {
        pushToCaller(actions, flow, this->codec.makeReset(flow, segment->acknowledged));
    }
}

} // namespace lavender
