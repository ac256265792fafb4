/** @file directory_members.h Which agents of a service keep the directory entry of a flow, by rendezvous hashing. */
#pragma once

#include "core/address_type.h"
#include "core/time_type.h"
#include "member/member_table.h"
#include "member/roster.h"

#include <array>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace lavender {

/** The agents that keep a flow's entry: the one that ranks first, and the best of another availability zone. Unused places are not valid. */
using DirectoryAgents = std::array<Address, 2>;

/** An agent of the service as seen by its directory. */
struct DirectoryMember {
    Address address;
    std::string zone;
    uint64_t incarnation = 0;
    TimePoint since {}; ///< When it became known here, or known again after it was gone.
    TimePoint goneAt {}; ///< When it was found to be gone; zero while it is not.
    bool hasLeft = false; ///< It had announced that it has no upstream, or leaves: none of its flows of that time is open.
    bool isExpected = false; ///< Only the roster names it so far.
};

/** Agents of one service. All agents compute the same ranks from the same members; views may differ for the settling time. */
class DirectoryMembers {
public:
    static constexpr Duration settlingTime = 3s; ///< By then all agents know of a change: three announcements.

    /** Takes the members of a table that are agents with an upstream. */
    void update(TimePoint now, const MemberTable& table);

    /** Takes the agents of a roster: they are members, until they are heard of or turn out to be gone. */
    void expect(TimePoint now, const RosterAgents& roster);

    /** Regards agents of the roster as gone that nobody has heard of for too long. @return True if there were any. */
    bool dropUnheard(TimePoint now);

    /** The agents that keep a flow's entry now. */
    DirectoryAgents agentsOf(const FlowKey& flow) const;

    /** The agents that a flow is registered with: those of agentsOf() and, while members are new, those that others may still regard as such. */
    std::vector<Address> registrationTargets(TimePoint now, const FlowKey& flow) const;

    /** True if @p agent is one of the flow's agents also for those who have not heard yet that a member is gone. */
    bool isSettled(TimePoint now, const FlowKey& flow, Address agent) const;

    /** All agents, and those that are gone for less than a minute. */
    const std::map<Address, DirectoryMember>& all() const { return this->members; }
    /** Number of changes to the set of present agents, by which flows are ranked; at least 1 once there is one. */
    uint64_t ranking() const { return this->rankingChanges; }
    /** An agent; null if it is unknown here. */
    const DirectoryMember* find(Address agent) const;

private:
    template <typename Predicate>
    DirectoryAgents rank(const FlowKey& flow, const Predicate& isCounted) const;

    std::map<Address, DirectoryMember> members;
    uint64_t rankingChanges = 0;
};

} // namespace lavender
