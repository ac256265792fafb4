/** @file directory_members.cpp Rendezvous ranks of a service's agents, stable while members come and go. */
#include "packet/directory/directory_members.h"

#include "core/hash_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration longestStart = 5s; ///< An agent that starts later than the others by more than this holds no proof up: callers have given up by then.
    constexpr Duration goneKeepTime = 1min; ///< Entries of an agent that is gone name it for as long.

    bool isPresent(const DirectoryMember& member) { return member.goneAt == TimePoint {}; }

} // namespace

void DirectoryMembers::update(TimePoint now, const MemberTable& table)
{
    for (const auto& [address, member] : table.all()) {
        const MemberRecord& record = member.record;
        // An agent without an upstream keeps no entries either: as a rule its process ends soon.
        const bool isAbsent = record.liveness == Liveness::Gone || record.state == MemberState::NoUpstream;
        const auto found = this->members.find(address);
        if (record.role != MemberRole::Agent || (found == this->members.end() && isAbsent)) {
            continue;
        }
        DirectoryMember& known = this->members[address];
        if (found == this->members.end() || (!isPresent(known) && !isAbsent)) {
            known = { .address = address, .zone = record.zone, .since = now };
            ++this->rankingChanges;
        }
        known.incarnation = record.incarnation;
        known.isExpected = false;
        if (isAbsent && isPresent(known)) {
            known.goneAt = now;
            known.hasLeft = record.state == MemberState::NoUpstream;
            ++this->rankingChanges;
        }
    }
    std::erase_if(this->members, [now](const auto& entry) { return !isPresent(entry.second) && now - entry.second.goneAt >= goneKeepTime; });
}

void DirectoryMembers::expect(TimePoint now, const RosterAgents& roster)
{
    for (const auto& [address, zone] : roster) {
        if (!this->members.contains(address)) {
            this->members[address] = { .address = address, .zone = zone, .since = now, .isExpected = true };
            ++this->rankingChanges;
        }
    }
}

bool DirectoryMembers::dropUnheard(TimePoint now)
{
    bool isAnyDropped = false;
    for (auto& [address, member] : this->members) {
        if (member.isExpected && isPresent(member) && now - member.since >= longestStart) {
            member.goneAt = now;
            ++this->rankingChanges;
            isAnyDropped = true;
        }
    }
    return isAnyDropped;
}

/** Ranks the members for which @p isCounted holds. The second agent is in another zone: a zone that is lost or cut off takes only one entry with it. */
template <typename Predicate>
DirectoryAgents DirectoryMembers::rank(const FlowKey& flow, const Predicate& isCounted) const
{
    const uint64_t hash = hashFlow(flow);
    const auto bestOf = [&](const auto& isCandidate) {
        const DirectoryMember* best = nullptr;
        uint64_t bestScore = 0;
        for (const auto& [address, member] : this->members) {
            const uint64_t score = hashPair(hash, address.packed());
            if ((best == nullptr || score > bestScore) && isCounted(member) && isCandidate(member)) {
                best = &member;
                bestScore = score;
            }
        }
        return best;
    };
    const DirectoryMember* first = bestOf([](const DirectoryMember& /*member*/) { return true; });
    if (first == nullptr) {
        return {};
    }
    const DirectoryMember* second = bestOf([first](const DirectoryMember& member) { return member.zone != first->zone; });
    if (second == nullptr) {
        second = bestOf([first](const DirectoryMember& member) { return &member != first; });
    }
    return { first->address, second == nullptr ? Address {} : second->address };
}

DirectoryAgents DirectoryMembers::agentsOf(const FlowKey& flow) const
{
    return this->rank(flow, isPresent);
}

std::vector<Address> DirectoryMembers::registrationTargets(TimePoint now, const FlowKey& flow) const
{
    const DirectoryAgents present = this->agentsOf(flow);
    const DirectoryAgents longKnown = this->rank(flow, [now](const DirectoryMember& member) { return isPresent(member) && now - member.since >= settlingTime; });
    std::vector<Address> targets;
    for (Address agent : { present[0], present[1], longKnown[0], longKnown[1] }) {
        if (agent.isValid() && std::find(targets.begin(), targets.end(), agent) == targets.end()) {
            targets.push_back(agent);
        }
    }
    return targets;
}

bool DirectoryMembers::isSettled(TimePoint now, const FlowKey& flow, Address agent) const
{
    const DirectoryAgents agents = this->rank(flow, [now](const DirectoryMember& member) { return isPresent(member) || now - member.goneAt < settlingTime; });
    return std::find(agents.begin(), agents.end(), agent) != agents.end();
}

const DirectoryMember* DirectoryMembers::find(Address agent) const
{
    const auto found = this->members.find(agent);
    return found == this->members.end() ? nullptr : &found->second;
}

} // namespace lavender
