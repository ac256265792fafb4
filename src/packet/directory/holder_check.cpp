/** @file holder_check.cpp Rounds of queries to all agents of a service. */
#include "packet/directory/holder_check.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration repeatPeriod = 50ms; ///< A query or answer may be lost; 16 trips between zones and back.
    constexpr uint32_t goneQuestions = 6; ///< Then an agent that was found gone is not waited for: it holds a round up for 0.35 s, less than the 0.4 s for a dead flow.
    constexpr Duration silenceMemory = 1s; ///< An agent that was silent longer ago may be back in reach.
    constexpr Duration longestCheck = 1200ms; ///< Then the caller's next retransmission begins another.
    constexpr Duration timePerAgent = 1500us; ///< Least time between two rounds for each agent that is asked; limits queries to some 670 a second.
    constexpr size_t maximumFlows = 4096; ///< Limits memory; the callers' retransmissions ask again.

} // namespace

bool HolderCheck::begin(TimePoint now, const FlowKey& flow)
{
    if (this->waiting.size() >= maximumFlows) {
        return false;
    }
    this->erase(flow);
    this->waiting.emplace(flow, Question { now, {} });
    return true;
}

void HolderCheck::erase(const FlowKey& flow)
{
    this->waiting.erase(flow);
    this->asked.erase(flow);
}

void HolderCheck::ask(Address agent, const KnownAgents& known, Actions& actions) const
{
    HoldersQuery query { .service = this->service, .searcher = this->self, .round = this->round, .agentsDigest = known.digest() };
    for (const auto& [flow, question] : this->asked) {
        query.flows.push_back(flow);
    }
    actions.push_back(SendMessage { agent, std::move(query) });
}

std::vector<HolderFinding> HolderCheck::beginRound(TimePoint now, const KnownAgents& known, Actions& actions)
{
    if (!this->asked.empty() || this->waiting.empty() || now < this->nextRound) {
        return {};
    }
    while (!this->waiting.empty() && this->asked.size() < maximumFlowsPerHoldersQuery) {
        this->asked.insert(this->waiting.extract(this->waiting.begin()));
    }
    ++this->round;
    this->beganAt = now;
    this->askedAt = now;
    this->nextRound = now + timePerAgent * static_cast<int64_t>(known.all().size());
    this->answered.clear();
    this->listed.clear();
    this->pending.clear();
    this->askKnown(known, actions);
    return this->endRoundIfOver(now, known);
}

/** Asks the known agents that have not been asked in this round. Some may have become known since it began. */
void HolderCheck::askKnown(const KnownAgents& known, Actions& actions)
{
    for (const auto& [agent, state] : known.all()) {
        if (!this->answered.contains(agent) && this->pending.insert(agent).second) {
            this->ask(agent, known, actions);
        }
    }
}

/** Counts a question that has waited for its answer. */
void HolderCheck::countSilence(TimePoint now, Address agent)
{
    Silence& silence = this->silences[agent];
    silence.questions = now - silence.lastAt < silenceMemory ? silence.questions + 1 : 1;
    silence.lastAt = now;
}

bool HolderCheck::isSilent(TimePoint now, Address agent) const
{
    const auto found = this->silences.find(agent);
    return found != this->silences.end() && found->second.questions >= goneQuestions && now - found->second.lastAt < silenceMemory;
}

/** False for agents that were found gone, or have left since. */
bool HolderCheck::isRequired(Address agent, const KnownAgents& known) const
{
    const auto state = known.all().find(agent);
    if (state != known.all().end()) {
        return state->second.isRequired;
    }
    const auto other = this->listed.find(agent);
    return other != this->listed.end() && known.isNew(other->second);
}

/**
 * An agent that was found gone may have been out of reach only, or be slow, and hold the flow: its silence counts by questions, one of them
 * in this round. A tick counts one at most, and answers are read between ticks, so a pause of this process counts as one question.
 */
bool HolderCheck::isRoundOver(TimePoint now, const KnownAgents& known) const
{
    const bool hasRepeated = this->askedAt > this->beganAt;
    return std::all_of(this->pending.begin(), this->pending.end(), [&](Address agent) {
        const bool wasFoundGone = known.all().contains(agent);
        return !this->isRequired(agent, known) && (!wasFoundGone || (hasRepeated && this->isSilent(now, agent)));
    });
}

std::vector<HolderFinding> HolderCheck::endRoundIfOver(TimePoint now, const KnownAgents& known)
{
    std::vector<HolderFinding> findings;
    if (this->asked.empty() || !this->isRoundOver(now, known)) {
        return findings;
    }
    for (auto& [flow, question] : std::exchange(this->asked, {})) {
        findings.push_back({ flow, HolderFinding::Verdict::Denied, std::move(question.uncertain) });
    }
    return findings;
}

std::vector<HolderFinding> HolderCheck::onReply(TimePoint now, const HoldersReply& reply, const KnownAgents& known, Actions& actions)
{
    const Address responder = reply.responder.agent;
    this->silences.erase(responder);
    const bool isOfThisRound = !this->asked.empty() && reply.round == this->round && reply.searcherIncarnation == this->self.incarnation;
    if (!isOfThisRound || this->pending.erase(responder) == 0) {
        return {};
    }
    this->answered.insert(responder);
    std::vector<HolderFinding> findings;
    for (const FlowKey& flow : reply.held) {
        if (this->asked.erase(flow) != 0) {
            findings.push_back({ flow, HolderFinding::Verdict::Held, { responder } });
        }
    }
    for (const FlowKey& flow : reply.uncertain) {
        if (const auto question = this->asked.find(flow); question != this->asked.end()) {
            question->second.uncertain.push_back(responder);
        }
    }
    for (const AgentIncarnation& agent : reply.agents) {
        if (known.isNew(agent) && !this->answered.contains(agent.agent) && this->pending.insert(agent.agent).second) {
            this->listed[agent.agent] = agent;
            this->ask(agent.agent, known, actions);
        }
    }
    this->askKnown(known, actions);
    std::vector<HolderFinding> denied = this->endRoundIfOver(now, known);
    findings.insert(findings.end(), std::make_move_iterator(denied.begin()), std::make_move_iterator(denied.end()));
    return findings;
}

/** Ends the checks of flows that have waited for too long. */
void HolderCheck::giveUp(TimePoint now, std::vector<HolderFinding>& findings)
{
    const std::vector<Address> missing(this->pending.begin(), this->pending.end());
    for (auto* flows : { &this->waiting, &this->asked }) {
        std::erase_if(*flows, [&](const auto& entry) {
            const bool isOverdue = now - entry.second.since >= longestCheck;
            if (isOverdue) {
                findings.push_back({ entry.first, HolderFinding::Verdict::Unanswered, missing });
            }
            return isOverdue;
        });
    }
}

std::vector<HolderFinding> HolderCheck::tick(TimePoint now, const KnownAgents& known, Actions& actions)
{
    if (!this->asked.empty()) {
        this->askKnown(known, actions);
    }
    std::vector<HolderFinding> findings = this->endRoundIfOver(now, known);
    this->giveUp(now, findings);
    if (!this->asked.empty() && now - this->askedAt >= repeatPeriod) {
        this->askedAt = now;
        for (Address agent : this->pending) {
            this->countSilence(now, agent);
            this->ask(agent, known, actions);
        }
        std::erase_if(this->silences, [now](const auto& entry) { return now - entry.second.lastAt >= silenceMemory; });
    }
    std::vector<HolderFinding> atOnce = this->beginRound(now, known, actions);
    findings.insert(findings.end(), std::make_move_iterator(atOnce.begin()), std::make_move_iterator(atOnce.end()));
    return findings;
}

} // namespace lavender
