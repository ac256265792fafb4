/** @file flow_directory.cpp Entries, statements of their owners, and answers to lookups. */
#include "packet/directory/flow_directory.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration longestWait = 1200ms; ///< Then the searcher has to find the flow in another way, while its caller still waits.
    constexpr Duration entryLifetime = 90s; ///< Owners register open flows again well before.
    constexpr Duration lostOwnerTime = 5s; ///< A member declared gone within this time may come back with its flows.
    constexpr Duration expiryPeriod = 1s;
    constexpr size_t maximumEntries = 65'536; ///< Limits memory.
    constexpr size_t maximumQuestions = 4096; ///< Limits memory; the callers' retransmissions ask again.
    constexpr size_t maximumOwners = 3; ///< Of one flow: each copy of its opening may have been answered.

} // namespace

bool FlowDirectory::onRegistration(TimePoint now, const FlowRegistration& registration)
{
    Statement& statement = this->statements[registration.owner];
    if (registration.incarnation < statement.incarnation || this->entries.size() + registration.flows.size() > maximumEntries) {
        return false;
    }
    for (const FlowKey& flow : registration.flows) {
        std::vector<Entry>& owners = this->entries[flow];
        std::erase_if(owners, [&registration](const Entry& entry) { return entry.owner == registration.owner; });
        if (owners.size() >= maximumOwners) {
            owners.erase(owners.begin());
        }
        owners.push_back({ registration.owner, registration.incarnation, now });
    }
    if (registration.isComplete) {
        statement = { registration.incarnation, registration.knowsAllFlows };
    }
    return true;
}

bool FlowDirectory::haveAllStartedSince(uint64_t incarnation) const
{
    return std::all_of(this->statements.begin(), this->statements.end(), [incarnation](const auto& entry) { return entry.second.incarnation >= incarnation; });
}

void FlowDirectory::onPause()
{
    this->statements.clear();
    this->questions.clear();
}

/** False if the owner has ended, or another upstream has started beside it since. */
bool FlowDirectory::isValid(TimePoint now, const DirectoryMembers& members, const Entry& entry) const
{
    if (now - entry.registeredAt >= entryLifetime) {
        return false;
    }
    const DirectoryMember* owner = members.find(entry.owner);
    const bool isOlderThanNews = owner != nullptr && owner->goneAt != TimePoint {} && entry.registeredAt <= owner->goneAt;
    if (isOlderThanNews && (owner->hasLeft || now - owner->goneAt >= lostOwnerTime)) {
        return false; // A later registration is the owner's own word: its upstream came late, or it was out of reach.
    }
    const auto statement = this->statements.find(entry.owner);
    const bool isFromEarlierLifetime = statement != this->statements.end() && statement->second.incarnation > entry.incarnation;
    return !isFromEarlierLifetime || !statement->second.knowsAllFlows;
}

/** The owners of a flow, the latest first. */
std::vector<Address> FlowDirectory::ownersOf(TimePoint now, const DirectoryMembers& members, const FlowKey& flow) const
{
    std::vector<Address> owners;
    if (const auto found = this->entries.find(flow); found != this->entries.end()) {
        for (auto entry = found->second.rbegin(); entry != found->second.rend(); ++entry) {
            if (this->isValid(now, members, *entry)) {
                owners.push_back(entry->owner);
            }
        }
    }
    return owners;
}

/** Finds the agents that have not registered their flows, and those whose upstream is older than they are. */
void FlowDirectory::reviewOwners(const DirectoryMembers& members)
{
    this->unregistered.clear();
    this->uncertain.clear();
    if (!this->knowsAllFlows) {
        this->uncertain.push_back(this->self);
    }
    for (const auto& [address, member] : members.all()) {
        if (address == this->self || member.goneAt != TimePoint {}) {
            continue;
        }
        const auto statement = this->statements.find(address);
        if (statement == this->statements.end() || statement->second.incarnation < member.incarnation) {
            this->unregistered.push_back(address);
        } else if (!statement->second.knowsAllFlows) {
            this->uncertain.push_back(address);
        }
    }
}

/** Decides on one lookup. @return None as long as it has to wait. */
std::optional<DirectoryAnswer> FlowDirectory::decide(TimePoint now, const DirectoryMembers& members, const Question& question) const
{
    DirectoryAnswer answer { .flow = question.flow, .searcher = question.searcher, .finding = DirectoryFinding::Listed };
    answer.agents = this->ownersOf(now, members, question.flow);
    if (!answer.agents.empty()) {
        return answer;
    }
    answer.finding = DirectoryFinding::Unknown;
    if (this->uncertain.size() > maximumCandidates) {
        return answer;
    }
    if (!members.isSettled(now, question.flow, this->self)) {
        answer.finding = DirectoryFinding::KeptElsewhere;
        return answer;
    }
    if (!this->isComplete()) {
        return now - question.askedAt < longestWait ? std::nullopt : std::optional(answer);
    }
    answer.finding = DirectoryFinding::Gone;
    answer.agents = this->uncertain;
    return answer;
}

std::optional<DirectoryAnswer> FlowDirectory::ask(TimePoint now, const DirectoryMembers& members, const FlowKey& flow, Address searcher)
{
    const Question question { flow, searcher, now };
    if (std::optional<DirectoryAnswer> answer = this->decide(now, members, question)) {
        return answer;
    }
    const auto found = this->questions.find(flow);
    if (found != this->questions.end()) {
        found->second.searcher = searcher;
    } else if (this->questions.size() < maximumQuestions) {
        this->questions.emplace(flow, question);
    } else {
        return DirectoryAnswer { .flow = flow, .searcher = searcher };
    }
    return this->isComplete() ? std::nullopt : std::optional(DirectoryAnswer { .flow = flow, .searcher = searcher, .finding = DirectoryFinding::Pending });
}

std::vector<DirectoryAnswer> FlowDirectory::tick(TimePoint now, const DirectoryMembers& members, bool isViewCompleteNow)
{
    this->isViewComplete = isViewCompleteNow;
    this->reviewOwners(members);
    std::vector<DirectoryAnswer> answers;
    std::erase_if(this->questions, [&](const auto& entry) {
        std::optional<DirectoryAnswer> answer = this->decide(now, members, entry.second);
        if (answer) {
            answers.push_back(std::move(*answer));
        }
        return answer.has_value();
    });
    this->expire(now);
    return answers;
}

void FlowDirectory::expire(TimePoint now)
{
    if (now < this->nextExpiry) {
        return;
    }
    this->nextExpiry = now + expiryPeriod;
    std::erase_if(this->entries, [now](const auto& entry) {
        return std::all_of(entry.second.begin(), entry.second.end(), [now](const Entry& owner) { return now - owner.registeredAt >= entryLifetime; });
    });
}

} // namespace lavender
