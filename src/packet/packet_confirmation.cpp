/** @file packet_confirmation.cpp Before a packet agent resets a flow, all agents of its service have to deny it in answer to a question. */
#include "packet/packet_agent_base.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration leaveNoticePeriod = 300ms; ///< A notice may be lost; the process goes on for some of these periods.

} // namespace

/** Asks all agents whether they hold a flow that seems to be gone; its search goes on until the result. */
void PacketAgent::confirmLoss(TimePoint now, const FlowKey& flow, Actions& actions)
{
    Search& search = this->searches[flow];
    search.isConfirming = true;
    search.isSecondRound = true;
    search.pendingPeers.clear();
    const bool isNobodyKnown = this->agentsToAsk(now).all().empty() && !this->isSynchronized();
    if (isNobodyKnown || !this->holderCheck.begin(now, flow)) {
        this->endLostFlow(now, flow, false, actions);
        return;
    }
    this->handleFindings(now, this->holderCheck.beginRound(now, this->agentsToAsk(now), actions), actions);
}

/** A later packet of the flow has come, perhaps of a flow that was opened after the question: what was said before counts no more. */
void PacketAgent::renewConfirmation(TimePoint now, Search& search)
{
    if (search.isConfirming) {
        search.isConfirmed = false;
        search.pendingPeers.clear();
        (void)this->holderCheck.begin(now, search.packet.packet.flow);
    }
}

void PacketAgent::handle(TimePoint now, const HoldersQuery& query, Actions& actions)
{
    if (query.service != this->serviceHash) {
        this->count.add(Counter::PacketsWrongService);
        return;
    }
    this->onHeardFrom(now, query.searcher);
    HoldersReply reply { .responder = { this->settings.address, this->peers.self().incarnation }, .searcherIncarnation = query.searcher.incarnation, .round = query.round };
    for (const FlowKey& flow : query.flows) {
        const auto own = this->flows.find(flow);
        const std::optional<FlowStage> stage = own == this->flows.end() ? std::nullopt : std::optional(own->second.stage);
        if (stage == FlowStage::Open || stage == FlowStage::Closed) {
            reply.held.push_back(flow);
        } else if (stage == FlowStage::OpeningAnswered || !this->isDenied(now, flow)) {
            reply.uncertain.push_back(flow); // An answered opening: the packet shows whether its caller has chosen this upstream.
        }
    }
    if (const KnownAgents& known = this->agentsToAsk(now); query.agentsDigest != known.digest()) {
        reply.agents = known.latest(maximumAgentsPerHoldersReply);
    }
    actions.push_back(SendMessage { query.searcher.agent, std::move(reply) });
}

/**
 * True if a flow with a packet that does not fit the state here is not at the own upstream. An opening that the upstream has not answered, or
 * whose answer the caller does not acknowledge, is none of an open flow, if this agent saw the whole flow.
 */
bool PacketAgent::isDenied(TimePoint now, const FlowKey& flow) const
{
    const auto own = this->flows.find(flow);
    if (own == this->flows.end()) {
        return !this->mayUpstreamHold(now, flow);
    }
    const bool isHalfOpen = own->second.stage == FlowStage::OpeningSent || own->second.stage == FlowStage::OpeningAnswered;
    return isHalfOpen && !this->mayUpstreamHoldUnknownFlows(now);
}

void PacketAgent::handle(TimePoint now, const HoldersReply& reply, Actions& actions)
{
    this->onHeardFrom(now, reply.responder);
    this->handleFindings(now, this->holderCheck.onReply(now, reply, this->agentsToAsk(now), actions), actions);
}

void PacketAgent::handle(TimePoint now, const AgentLeft& left)
{
    if (left.service == this->serviceHash) {
        this->knownAgents.onLeft(now, left.sender);
    }
}

/** The agents that have to deny a flow before it is reset, as far as they are known now. */
const KnownAgents& PacketAgent::agentsToAsk(TimePoint now)
{
    this->knownAgents.update(now, this->peers.table(), this->directoryMembers);
    return this->knownAgents;
}

void PacketAgent::handleFindings(TimePoint now, std::span<const HolderFinding> findings, Actions& actions)
{
    this->count.add(Counter::HolderRounds, this->holderCheck.roundCount() - this->count.get(Counter::HolderRounds));
    for (const HolderFinding& finding : findings) {
        this->handleFinding(now, finding, actions);
    }
}

void PacketAgent::handleFinding(TimePoint now, const HolderFinding& finding, Actions& actions)
{
    const auto found = this->searches.find(finding.flow);
    if (found == this->searches.end() || !found->second.isConfirming) {
        return;
    }
    Search& search = found->second;
    if (!this->isDenied(now, finding.flow)) {
        this->searches.erase(found); // It may be here; the caller's next copy is delivered or probed.
        return;
    }
    switch (finding.verdict) {
    case HolderFinding::Verdict::Unanswered:
        this->count.add(Counter::LossesUnconfirmed);
        this->events.log(EventLevel::Info, "loss-unconfirmed",
            {
                { "flow", formatFlow(finding.flow) },
                { "missing", std::to_string(finding.agents.size()) },
                { "first_missing", finding.agents.empty() ? "none" : formatAddress(finding.agents.front()) },
            });
        this->endLostFlow(now, finding.flow, false, actions);
        return;
    case HolderFinding::Verdict::Held: {
        this->count.add(Counter::LossesRefuted);
        this->events.log(EventLevel::Info, "flow-found",
            {
                { "flow", formatFlow(finding.flow) },
                { "owner", formatAddress(finding.agents.front()) },
                { "search_ms", std::to_string(toMilliseconds(now - search.startedAt)) },
                { "proof", std::string(toText(search.source)) },
            });
        ForwardedPacket packet = std::move(search.packet);
        this->searches.erase(found);
        this->cacheOwner(now, finding.flow, finding.agents.front());
        this->forward(packet, finding.agents.front(), actions);
        return;
    }
    case HolderFinding::Verdict::Denied:
        search.isConfirmed = true;
        search.lastQueryAt = now;
        search.isRepeated = false;
        search.pendingPeers = std::set<Address>(finding.agents.begin(), finding.agents.end());
        search.probedPeers = search.pendingPeers;
        for (Address agent : search.pendingPeers) {
            this->sendProbeRequest(search, agent, actions);
        }
        this->endRoundIfComplete(now, FlowKey(finding.flow), actions);
        return;
    }
}

void PacketAgent::tickConfirmations(TimePoint now, Actions& actions)
{
    this->handleFindings(now, this->holderCheck.tick(now, this->agentsToAsk(now), actions), actions);
    if (this->hasLeft() && now >= this->nextLeaveNotice) {
        this->announceLeave(now, actions);
    }
}

/** Tells all agents that this one holds no flow and ends: whoever asks it later does not wait for an answer. */
void PacketAgent::announceLeave(TimePoint now, Actions& actions)
{
    this->nextLeaveNotice = now + leaveNoticePeriod;
    for (const auto& [agent, state] : this->knownAgents.all()) {
        actions.push_back(SendMessage { agent, AgentLeft { this->serviceHash, { this->settings.address, this->peers.self().incarnation } } });
    }
}

} // namespace lavender
