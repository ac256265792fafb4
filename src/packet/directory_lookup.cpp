/** @file directory_lookup.cpp Questions to the directory agents of a flow, and when their answers suffice. */
#include "packet/directory_lookup.h"

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
    return !question.agent.isValid() || (question.finding && *question.finding != DirectoryFinding::Pending);
}

bool DirectoryLookups::begin(TimePoint now, uint64_t service, const DirectoryAgents& agents, Address self, const ForwardedPacket& packet, Actions& actions)
{
    const FlowKey& flow = packet.packet.flow;
    if (const auto found = this->lookups.find(flow); found != this->lookups.end()) {
        found->second.packet = packet;
        return true;
    }
    if (this->lookups.size() >= maximumLookups || !agents.front().isValid()) {
        return false;
    }
    Lookup& lookup = this->lookups[flow];
    lookup.packet = packet;
    lookup.startedAt = now;
    lookup.askedAt = now;
    for (size_t index = 0; index < agents.size(); ++index) {
        lookup.questions[index].agent = agents[index];
        if (agents[index].isValid() && agents[index] != self) {
            actions.push_back(SendMessage { agents[index], DirectoryQuery { service, flow, self } });
        }
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
    const bool areAllAnswered = std::all_of(questions.begin(), questions.end(), isAnswered);
    const bool isOverdue = now - lookup.startedAt >= patience && (has(DirectoryFinding::Gone) || !has(DirectoryFinding::Pending));
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

std::vector<DirectoryResult> DirectoryLookups::tick(TimePoint now, uint64_t service, Address self, Actions& actions)
{
    std::vector<DirectoryResult> results;
    for (auto entry = this->lookups.begin(); entry != this->lookups.end();) {
        Lookup& lookup = entry->second;
        if (const std::optional<DirectoryFinding> finding = conclude(now, lookup)) {
            results.push_back({ *finding, std::move(lookup.uncertain), std::move(lookup.packet), now - lookup.startedAt });
            entry = this->lookups.erase(entry);
            continue;
        }
        if (now - lookup.askedAt >= repeatPeriod) {
            lookup.askedAt = now;
            for (const Question& question : lookup.questions) {
                if (question.agent.isValid() && question.agent != self && !question.finding) {
                    actions.push_back(SendMessage { question.agent, DirectoryQuery { service, entry->first, self } });
                }
            }
        }
        ++entry;
    }
    return results;
}

} // namespace lavender
