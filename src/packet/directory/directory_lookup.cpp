/** @file directory_lookup.cpp Questions to the directory agents of a flow, and when their answers suffice. */
#include "packet/directory/directory_lookup.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration repeatPeriod = 60ms; ///< A question or answer may be lost; 20 trips between zones.
    constexpr Duration patience = 100ms; ///< A directory agent without an answer for so long does not hold the caller up any more.
    constexpr Duration longestLookup = 1500ms; ///< A pending one ends then; the caller's next retransmission begins another.
    constexpr size_t maximumLookups = 4096; ///< Limits memory, as each holds a packet.

} // namespace

bool DirectoryLookups::isAnswered(const Question& question)
{
    return !question.agent.isValid() || question.finding == DirectoryFinding::Gone || question.finding == DirectoryFinding::Unknown;
}

/** Chooses whom to ask by the present ranks; answers of agents that are asked further on stay. */
void DirectoryLookups::chooseAgents(Lookup& lookup, const FlowKey& flow, const DirectoryMembers& members)
{
    lookup.ranking = members.ranking();
    const DirectoryAgents agents = members.agentsOf(flow);
    const std::array<Question, 2> earlier = lookup.questions;
    for (size_t index = 0; index < agents.size(); ++index) {
        const auto same = std::find_if(earlier.begin(), earlier.end(), [&](const Question& question) { return question.agent == agents[index]; });
        lookup.questions[index] = same == earlier.end() ? Question { agents[index], std::nullopt } : *same;
    }
}

/** Asks the agents that have not answered, or did not keep the flow's entry when they were asked. */
void DirectoryLookups::ask(TimePoint now, const DirectoryView& view, const FlowKey& flow, Lookup& lookup, Actions& actions)
{
    lookup.firstAskedAt = lookup.firstAskedAt.value_or(now);
    lookup.askedAt = now;
    for (const Question& question : lookup.questions) {
        if (!question.agent.isValid() || (question.finding && question.finding != DirectoryFinding::KeptElsewhere)) {
            continue;
        }
        if (question.agent == view.self) {
            this->ownQuestions.push_back(flow);
        } else {
            actions.push_back(SendMessage { question.agent, DirectoryQuery { view.service, flow, view.self } });
        }
    }
}

bool DirectoryLookups::begin(TimePoint now, const DirectoryView& view, const ForwardedPacket& packet, Actions& actions)
{
    const FlowKey& flow = packet.packet.flow;
    if (const auto found = this->lookups.find(flow); found != this->lookups.end()) {
        found->second.packet = packet;
        return true;
    }
    if (this->lookups.size() >= maximumLookups || (view.isConfirmed && view.members.all().empty())) {
        return false;
    }
    Lookup& lookup = this->lookups[flow];
    lookup.packet = packet;
    lookup.startedAt = now;
    if (view.isConfirmed) {
        chooseAgents(lookup, flow, view.members);
        this->ask(now, view, flow, lookup, actions);
    }
    return true;
}

/** Decides whether the answers so far end a lookup. @return None as long as they do not. */
std::optional<DirectoryFinding> DirectoryLookups::conclude(TimePoint now, const Lookup& lookup)
{
    const auto& questions = lookup.questions;
    const auto has = [&questions](DirectoryFinding finding) {
        return std::any_of(questions.begin(), questions.end(), [finding](const Question& question) { return question.finding == finding; });
    };
    const bool areAllAnswered = lookup.firstAskedAt && std::all_of(questions.begin(), questions.end(), isAnswered);
    const bool isAnswerExpected = has(DirectoryFinding::Pending) || has(DirectoryFinding::KeptElsewhere) || lookup.isHeldUp;
    const bool isOverdue = lookup.firstAskedAt && now - *lookup.firstAskedAt >= patience && (has(DirectoryFinding::Gone) || !isAnswerExpected);
    if (areAllAnswered || isOverdue || now - lookup.startedAt >= longestLookup) {
        return has(DirectoryFinding::Gone) ? DirectoryFinding::Gone : DirectoryFinding::Unknown;
    }
    return std::nullopt;
}

std::optional<DirectoryResult> DirectoryLookups::onReply(TimePoint now, const DirectoryReply& reply)
{
    const auto found = this->lookups.find(reply.flow);
    if (found == this->lookups.end()) {
        return std::nullopt;
    }
    Lookup& lookup = found->second;
    const auto question = std::find_if(lookup.questions.begin(), lookup.questions.end(), [&reply](const Question& asked) { return asked.agent == reply.responder; });
    if (question == lookup.questions.end()) {
        return std::nullopt;
    }
    question->finding = reply.finding;
    DirectoryResult result { .finding = reply.finding, .agents = reply.agents, .duration = now - lookup.startedAt };
    if (reply.finding != DirectoryFinding::Listed) {
        if (reply.finding == DirectoryFinding::Gone) {
            lookup.uncertain.insert(lookup.uncertain.end(), reply.agents.begin(), reply.agents.end());
        }
        const std::optional<DirectoryFinding> finding = conclude(now, lookup);
        if (!finding) {
            return std::nullopt;
        }
        result.finding = *finding;
        result.agents = std::move(lookup.uncertain);
    }
    result.packet = std::move(lookup.packet);
    this->lookups.erase(found);
    return result;
}

std::vector<DirectoryResult> DirectoryLookups::tick(TimePoint now, const DirectoryView& view, Actions& actions)
{
    const auto isStarting = [&view](const Question& question) {
        return !question.finding && std::find(view.startingAgents.begin(), view.startingAgents.end(), question.agent) != view.startingAgents.end();
    };
    std::vector<DirectoryResult> results;
    for (auto entry = this->lookups.begin(); entry != this->lookups.end();) {
        Lookup& lookup = entry->second;
        const bool isRankingNew = view.isConfirmed && lookup.ranking != view.members.ranking();
        if (isRankingNew) {
            chooseAgents(lookup, entry->first, view.members);
        }
        lookup.isHeldUp = std::any_of(lookup.questions.begin(), lookup.questions.end(), isStarting);
        if (const std::optional<DirectoryFinding> finding = conclude(now, lookup)) {
            results.push_back({ *finding, std::move(lookup.uncertain), std::move(lookup.packet), now - lookup.startedAt });
            entry = this->lookups.erase(entry);
            continue;
        }
        if (view.isConfirmed && (isRankingNew || now - lookup.askedAt >= repeatPeriod)) {
            this->ask(now, view, entry->first, lookup, actions);
        }
        ++entry;
    }
    return results;
}

} // namespace lavender
