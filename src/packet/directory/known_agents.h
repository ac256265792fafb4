/** @file known_agents.h Which agents of a service may hold flows, by all that one process has heard. */
#pragma once

#include "core/time_type.h"
#include "member/member_table.h"
#include "packet/directory/directory_members.h"
#include "wire/message_type.h"

#include <map>
#include <vector>

namespace lavender {

/**
 * The agents that have to be asked before a flow counts as gone: the members that balancers and the roster name, and those that have
 * spoken for themselves, whom balancers may name later. An agent drops out only if it has said that it leaves, or if balancers have found it gone.
 */
class KnownAgents {
public:
    struct Agent {
        uint64_t incarnation = 0; ///< 0 if only the roster names it.
        bool isRequired = true; ///< False: found to be gone, so that no answer is waited for, though it may come back with its flows.
    };

    explicit KnownAgents(AgentIncarnation self)
        : self(self)
    {
    }

    /** Handles a message that an agent sent itself. */
    void onMessageFrom(TimePoint now, const AgentIncarnation& agent);

    /** Handles the word of an agent that it holds no flow and that its process ends. */
    void onLeft(TimePoint now, const AgentIncarnation& agent);

    /** Takes the members of a table and those that only the roster names. Cheap if nothing has changed. */
    void update(TimePoint now, const MemberTable& table, const DirectoryMembers& members);

    /** All agents that may hold flows, without this one. */
    const std::map<Address, Agent>& all() const { return this->agents; }

    /** True if another process's list names an agent that has to be asked and is not among all(). */
    bool isNew(const AgentIncarnation& listed) const;

    /** Digest of the addresses of the required agents and this one. */
    uint64_t digest() const { return this->addressDigest; }

    /** The required agents and this one, those that started last first. */
    std::vector<AgentIncarnation> latest(size_t most) const;

private:
    /** What an agent has last said of itself. */
    struct Word {
        uint64_t incarnation = 0;
        TimePoint lastAt {};
        uint64_t leftIncarnation = 0; ///< Latest incarnation that has left.
    };

    void rebuild(TimePoint now, const MemberTable& table, const DirectoryMembers& members);
    static bool isLaterThanTable(const Word& word, const Member* member);

    AgentIncarnation self;
    std::map<Address, Word> words;
    std::map<Address, Agent> agents;
    uint64_t addressDigest = 0;
    bool isStale = true; ///< An agent has said something new.
    uint64_t tableChange = 0; ///< Change count of the table at the last rebuild.
    uint64_t memberChange = 0; ///< DirectoryMembers::ranking() at the last rebuild.
    TimePoint nextRebuild {}; ///< When something may have expired.
};

} // namespace lavender
