/** @file packet_directory.cpp A packet agent's part in the flow directory of its service: as an owner, as a directory agent and as a searcher. */
#include "packet/packet_agent_base.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration pauseThreshold = 300ms; ///< A longer time between two ticks: the process was suspended, so messages may wait in its socket.
    /** Without a roster: by then all agents that start together know each other, as each announces itself every 100 ms. */
    constexpr Duration minimumSynchronizedTime = 500ms;
    constexpr Duration commonStartTime = 5s; ///< Agents that start within this time of each other have lost their memory together.
    constexpr Duration judgingTime = 300ms; ///< By then an upstream that has started with its agent has reported, and rules tell its cold time.
    constexpr Duration registrationRequestPeriod = 300ms; ///< Time between two requests to agents that have not registered their flows.
    constexpr Duration halfIntroductionTime = 300ms; ///< Later one agent that knows of this process suffices: most of the others may have ended with the earlier one.
    constexpr Duration introductionTime = 1s; ///< So long after balancers have heard of this process they have named it to all agents, which announce themselves each second.
    constexpr Duration registrationTime = 100ms; ///< Within this time after its opening, a second owner may not be listed yet.

} // namespace

RegistrarIdentity PacketAgent::registrarIdentity(TimePoint now) const
{
    const bool isJudged = (this->latestReport && this->follower.hasRules()) || this->hasUpstreamSentOwnPacket || now - this->settings.startedAt >= judgingTime;
    return { this->serviceHash, this->settings.address, this->peers.self().incarnation, !this->mayUpstreamHoldUnknownFlows(now), isJudged };
}

/** Registers a flow that the upstream holds. */
void PacketAgent::registerFlow(TimePoint now, const FlowKey& flow, Actions& actions)
{
    if (this->settings.hasFlowDirectory) {
        this->registrar.add(now, this->registrarIdentity(now), this->directoryMembers, flow, actions);
    }
}

void PacketAgent::onRoster(TimePoint now, const Roster& stored)
{
    const auto agents = stored.find(this->settings.service);
    if (agents == stored.end() || agents->second == this->roster) {
        return;
    }
    this->roster = agents->second;
    this->directoryMembers.expect(now, this->roster);
    this->directoryChangeCount = 0;
    this->events.log(EventLevel::Info, "roster-read",
        {
            { "agents", std::to_string(this->roster.size()) },
            { "agent_age_ms", std::to_string(toMilliseconds(now - this->settings.startedAt)) },
        });
}

/** Logs when the agents of the service have all registered their flows here, and when that no longer holds. */
void PacketAgent::logDirectoryState(TimePoint now)
{
    if (this->directory.isComplete() == this->wasDirectoryComplete) {
        return;
    }
    this->wasDirectoryComplete = this->directory.isComplete();
    this->events.log(EventLevel::Info, "directory-changed",
        {
            { "complete", this->wasDirectoryComplete ? "true" : "false" },
            { "unregistered", std::to_string(this->directory.unregisteredOwners().size()) },
            { "members", std::to_string(this->directoryMembers.all().size()) },
            { "roster", std::to_string(this->roster.size()) },
            { "agent_age_ms", std::to_string(toMilliseconds(now - this->settings.startedAt)) },
        });
}

/** True if this agent knows some agents of the directory: by the roster, or from a balancer that has confirmed its view. */
bool PacketAgent::mayAskDirectory() const
{
    return this->isSynchronized() || !this->roster.empty();
}

/**
 * True if this agent knows all agents that may hold a flow of the service, once those have registered their flows. Whoever remembers
 * more than the roster, which may be old, has confirmed the view, or nobody does as all have started just now. Without a roster
 * time has to pass.
 */
bool PacketAgent::isViewComplete(TimePoint now) const
{
    if (this->roster.empty()) {
        return this->isSynchronizedFor(now, minimumSynchronizedTime);
    }
    const auto commonStart = static_cast<uint64_t>(toMilliseconds(commonStartTime));
    const uint64_t incarnation = this->peers.self().incarnation;
    return this->isSynchronized() || this->directory.haveAllStartedSince(incarnation - std::min(incarnation, commonStart));
}

DirectoryView PacketAgent::directoryView() const
{
    return { this->serviceHash, this->settings.address, this->directoryMembers, this->mayAskDirectory(), this->directory.unregisteredOwners() };
}

/** Registers the own flows with the present members. */
void PacketAgent::updateRegistrations(TimePoint now, Actions& actions)
{
    if (this->directoryMembers.dropUnheard(now) || this->directoryChangeCount != this->peers.changeCount()) {
        this->directoryChangeCount = this->peers.changeCount();
        this->directoryMembers.update(now, this->peers.table());
        this->registrar.onMembersChanged(now, this->directoryMembers, this->settings.address);
    }
    this->registrar.tick(now, this->registrarIdentity(now), actions);
}

/** Handles that another agent's process has sent a message: it lives and is in reach. */
void PacketAgent::onHeardFrom(TimePoint now, const AgentIncarnation& agent)
{
    this->knownAgents.onMessageFrom(now, agent);
    this->registrar.onHeardFrom(agent.agent);
}

/**
 * True once enough other agents know of this process that whoever asks all agents for a flow hears of it: any two halves of the agents have one in
 * common, and each names those that it knows. Before that the process takes no new flow.
 */
bool PacketAgent::isKnownToOthers(TimePoint now)
{
    if (this->isIntroduced || !this->settings.hasFlowDirectory) {
        return true;
    }
    const Duration age = now - this->settings.startedAt;
    const auto [agents, replies] = this->registrar.introductions();
    const bool isAlone = agents == 0 && this->isSynchronized();
    const bool isKnownToMost = replies != 0 && (replies * 2 >= agents || age >= halfIntroductionTime);
    this->isIntroduced = isAlone || isKnownToMost || this->isSynchronizedFor(now, introductionTime);
    return this->isIntroduced;
}

/** Introduces this process to agents that it has just heard of, without waiting for the next tick. */
void PacketAgent::introduce(TimePoint now, Actions& actions)
{
    if (!this->isKnownToOthers(now)) {
        this->updateRegistrations(now, actions);
    }
}

void PacketAgent::tickDirectory(TimePoint now, Actions& actions)
{
    if (!this->settings.hasFlowDirectory) {
        return;
    }
    if (now - this->lastTick > pauseThreshold) {
        this->directory.onPause();
        this->directoryLookups.clear();
    }
    this->updateRegistrations(now, actions);
    this->directory.setKnowsAllFlows(!this->mayUpstreamHoldUnknownFlows(now));
    for (const DirectoryAnswer& answer : this->directory.tick(now, this->directoryMembers, this->isViewComplete(now))) {
        this->sendDirectoryAnswer(now, answer, actions);
    }
    for (DirectoryResult& result : this->directoryLookups.tick(now, this->directoryView(), actions)) {
        this->handleDirectoryResult(now, result, actions);
    }
    this->answerOwnQuestions(now, actions);
    this->logDirectoryState(now);
    this->requestRegistrations(now, actions);
    std::erase_if(this->ownerDenials, [now, window = this->codec.timing().longestRetransmission * 2](const auto& entry) { return now - entry.second >= window; });
}

/** Asks agents that have not registered their flows here, as they may not know yet that this process has started again. */
void PacketAgent::requestRegistrations(TimePoint now, Actions& actions)
{
    if (now < this->nextRegistrationRequest) {
        return;
    }
    this->nextRegistrationRequest = now + registrationRequestPeriod;
    for (Address owner : this->directory.unregisteredOwners()) {
        actions.push_back(SendMessage { owner, FlowRegistrationReply { .responder = this->settings.address, .incarnation = this->peers.self().incarnation } });
    }
}

void PacketAgent::handle(TimePoint now, const FlowRegistration& registration, Actions& actions)
{
    if (registration.service != this->serviceHash || !this->settings.hasFlowDirectory) {
        this->count.add(Counter::PacketsWrongService);
        return;
    }
    this->onHeardFrom(now, { registration.owner, registration.incarnation });
    if (this->directory.onRegistration(now, registration)) {
        actions.push_back(SendMessage { registration.owner, FlowRegistrationReply { this->settings.address, this->peers.self().incarnation, registration.number } });
    }
}

void PacketAgent::handle(TimePoint now, const DirectoryQuery& query, Actions& actions)
{
    if (query.service != this->serviceHash || !this->settings.hasFlowDirectory) {
        this->count.add(Counter::PacketsWrongService);
        return;
    }
    this->askOwnDirectory(now, query.flow, query.searcher, actions);
}

/** Answers a lookup from the own flows and the own part of the directory, now or later. */
void PacketAgent::askOwnDirectory(TimePoint now, const FlowKey& flow, Address searcher, Actions& actions)
{
    const auto own = this->flows.find(flow);
    const bool isHere = own != this->flows.end() && own->second.stage != FlowStage::OpeningSent && own->second.stage != FlowStage::Probing;
    if (isHere && searcher != this->settings.address) {
        this->sendDirectoryAnswer(now, { flow, searcher, DirectoryFinding::Listed, { this->settings.address } }, actions);
    } else if (const std::optional<DirectoryAnswer> answer = this->directory.ask(now, this->directoryMembers, flow, searcher)) {
        this->sendDirectoryAnswer(now, *answer, actions);
    }
}

void PacketAgent::sendDirectoryAnswer(TimePoint now, const DirectoryAnswer& answer, Actions& actions)
{
    const DirectoryReply reply { answer.flow, this->settings.address, answer.finding, answer.agents };
    if (answer.searcher == this->settings.address) {
        this->handle(now, reply, actions);
    } else {
        actions.push_back(SendMessage { answer.searcher, reply });
    }
}

void PacketAgent::handle(TimePoint now, const DirectoryReply& reply, Actions& actions)
{
    if (std::optional<DirectoryResult> result = this->directoryLookups.onReply(now, reply)) {
        this->handleDirectoryResult(now, *result, actions);
    }
}

/** Answers the lookups of this agent for which it is a directory agent itself. */
void PacketAgent::answerOwnQuestions(TimePoint now, Actions& actions)
{
    for (const FlowKey& flow : this->directoryLookups.takeOwnQuestions()) {
        this->askOwnDirectory(now, flow, this->settings.address, actions);
    }
}

/**
 * Looks the owner of a packet's flow up in the directory. While all processes start at once, as after a loss of power, a search of all
 * agents ends without a result and keeps them from starting; so an agent that started with its upstream waits until it knows the others.
 * @return False if that is not possible now.
 */
bool PacketAgent::lookUpInDirectory(TimePoint now, const ForwardedPacket& forwarded, Actions& actions)
{
    const FlowKey& flow = forwarded.packet.flow;
    if (!this->settings.hasFlowDirectory || (!this->mayAskDirectory() && this->mayUpstreamHoldUnknownFlows(now))) {
        return false;
    }
    if (const auto running = this->searches.find(flow); running != this->searches.end() && running->second.source != SearchSource::AllAgents) {
        running->second.packet = forwarded;
        running->second.isPacketSent = false;
        this->renewConfirmation(now, running->second);
        return true;
    }
    const bool isRunning = this->directoryLookups.contains(flow);
    if (!this->directoryLookups.begin(now, this->directoryView(), forwarded, actions)) {
        return false;
    }
    this->count.add(Counter::DirectoryLookups, isRunning ? 0 : 1);
    this->answerOwnQuestions(now, actions);
    return true;
}

void PacketAgent::handleDirectoryResult(TimePoint now, DirectoryResult& result, Actions& actions)
{
    const FlowKey flow = result.packet.packet.flow;
    if (this->flows.contains(flow) && result.finding != DirectoryFinding::Listed) {
        return; // It turned out to be here.
    }
    if (result.finding == DirectoryFinding::Unknown) {
        this->count.add(Counter::DirectoryUnknown);
        this->forwardWithoutDirectory(now, result.packet, actions);
        return;
    }
    std::set<Address> agents(result.agents.begin(), result.agents.end());
    std::erase_if(agents, [this](Address agent) {
        // One that was without an upstream may have one by now: who named it here has heard of it later.
        const MemberRecord* record = this->peers.find(agent);
        return agent == this->settings.address || (record != nullptr && record->liveness == Liveness::Gone && record->state == MemberState::NoUpstream);
    });
    const bool isListed = result.finding == DirectoryFinding::Listed;
    if (agents.empty() && isListed) {
        this->forwardWithoutDirectory(now, result.packet, actions);
        return;
    }
    Search& search = this->searches[flow];
    search = { .packet = std::move(result.packet), .pendingPeers = std::move(agents), .startedAt = now - result.duration, .lastQueryAt = now };
    search.source = isListed ? SearchSource::DirectoryEntry : SearchSource::DirectoryProof;
    search.isSecondRound = true; // The directory knows all members, so one round is enough.
    search.probedPeers = search.pendingPeers;
    search.isPacketSent = true;
    if (search.pendingPeers.empty()) {
        this->declareFlowLost(now, flow, actions);
        return;
    }
    for (Address agent : search.pendingPeers) {
        this->sendProbeRequest(search, agent, actions);
    }
}

/**
 * True if a flow may be reset since the owners that the directory lists have denied it. A second owner may not be listed yet when
 * they are first asked, so it takes two denials.
 */
bool PacketAgent::isDeniedAgain(TimePoint now, const FlowKey& flow)
{
    const auto [denial, isFirst] = this->ownerDenials.try_emplace(flow, now);
    return !isFirst && now - denial->second >= registrationTime;
}

} // namespace lavender
