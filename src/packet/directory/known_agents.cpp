/** @file known_agents.cpp Joins what balancers, the roster and the agents themselves say of a service's agents. */
#include "packet/directory/known_agents.h"

#include "core/hash_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration wordLifetime = 5s; ///< An agent that runs announces itself each second, so balancers name it long before.
    constexpr Duration goneAskTime = 1min; ///< An agent that was found gone is asked for as long, in case it was only out of reach.
    constexpr Duration rebuildPeriod = 500ms; ///< Much shorter than the times after which something expires.

} // namespace

void KnownAgents::onMessageFrom(TimePoint now, const AgentIncarnation& agent)
{
    if (agent.agent == this->self.agent) {
        return;
    }
    Word& word = this->words[agent.agent];
    if (agent.incarnation < word.incarnation || agent.incarnation <= word.leftIncarnation) {
        return; // From an earlier process.
    }
    const auto known = this->agents.find(agent.agent);
    this->isStale = this->isStale || known == this->agents.end() || !known->second.isRequired || agent.incarnation != word.incarnation;
    word.incarnation = agent.incarnation;
    word.lastAt = now;
}

void KnownAgents::onLeft(TimePoint now, const AgentIncarnation& agent)
{
    Word& word = this->words[agent.agent];
    word.leftIncarnation = std::max(word.leftIncarnation, agent.incarnation);
    word.lastAt = now;
    this->isStale = true;
}

/** True if an agent has spoken since balancers last named it or found it gone. One that has announced its leave still answers for a moment. */
bool KnownAgents::isLaterThanTable(const Word& word, const Member* member)
{
    if (member == nullptr || word.incarnation > member->record.incarnation) {
        return true;
    }
    return member->record.state != MemberState::NoUpstream && word.lastAt > member->changedAt;
}

void KnownAgents::update(TimePoint now, const MemberTable& table, const DirectoryMembers& members)
{
    if (this->isStale || this->tableChange != table.changeCount() || this->memberChange != members.ranking() || now >= this->nextRebuild) {
        this->rebuild(now, table, members);
        this->isStale = false;
        this->tableChange = table.changeCount();
        this->memberChange = members.ranking();
        this->nextRebuild = now + rebuildPeriod;
    }
}

void KnownAgents::rebuild(TimePoint now, const MemberTable& table, const DirectoryMembers& members)
{
    std::map<Address, Agent> found;
    for (const auto& [address, member] : table.all()) {
        const MemberRecord& record = member.record;
        if (address == this->self.agent || record.role != MemberRole::Agent) {
            continue;
        }
        const bool isGone = record.liveness == Liveness::Gone;
        if (!isGone || now - member.changedAt < goneAskTime) {
            found[address] = { record.incarnation, !isGone };
        }
    }
    for (const auto& [address, member] : members.all()) {
        if (address != this->self.agent && member.isExpected && member.goneAt == TimePoint {}) {
            found.try_emplace(address, Agent {});
        }
    }
    std::erase_if(this->words, [now](const auto& entry) { return now - entry.second.lastAt >= goneAskTime; });
    for (const auto& [address, word] : this->words) {
        const auto known = found.find(address);
        if (known != found.end() && known->second.incarnation <= word.leftIncarnation) {
            found.erase(known);
        }
        if (word.incarnation > word.leftIncarnation && now - word.lastAt < wordLifetime && isLaterThanTable(word, table.find(address))) {
            found[address] = { word.incarnation };
        }
    }
    this->agents = std::move(found);
    this->addressDigest = hashPair(0, this->self.agent.packed());
    for (const auto& [address, agent] : this->agents) {
        this->addressDigest ^= agent.isRequired ? hashPair(0, address.packed()) : 0;
    }
}

bool KnownAgents::isNew(const AgentIncarnation& listed) const
{
    const auto word = this->words.find(listed.agent);
    const bool hasLeft = word != this->words.end() && listed.incarnation <= word->second.leftIncarnation;
    return listed.agent != this->self.agent && !hasLeft && !this->agents.contains(listed.agent);
}

std::vector<AgentIncarnation> KnownAgents::latest(size_t most) const
{
    std::vector<AgentIncarnation> result { this->self };
    for (const auto& [address, agent] : this->agents) {
        if (agent.isRequired) {
            result.push_back({ address, agent.incarnation });
        }
    }
    std::stable_sort(result.begin() + 1, result.end(), [](const AgentIncarnation& left, const AgentIncarnation& right) { return left.incarnation > right.incarnation; });
    result.resize(std::min(result.size(), most));
    return result;
}

} // namespace lavender
