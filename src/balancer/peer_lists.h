/** @file peer_lists.h Selects the agents of a service that a reply to an announcement lists: those that changed since the last reply. */
#pragma once

#include "core/address_type.h"
#include "core/time_type.h"
#include "member/member_table.h"
#include "wire/message_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lavender {

/**
 * Remembers what each announcing agent was told of the other agents of its service.
 *
 * An agent whose view differs needs the records that it lacks. Listing all of them costs the square of the service's size whenever
 * a member changes; agents that start announce themselves ten times a second, and their views differ until all have started.
 */
class PeerLists {
public:
    /** Records to send to an agent whose digest differs from that of @p table; never empty. */
    std::vector<MemberRecord> recordsFor(TimePoint now, const Announce& announce, const MemberTable& table);

    /** Forgets agents that have not announced themselves for long. */
    void expire(TimePoint now);

private:
    /** What one agent was told. */
    struct Told {
        uint64_t incarnation = 0; ///< Of the agent: one that has started again knows nothing.
        uint64_t change = 0; ///< Change of the table through which the agent was told all.
        TimePoint at {}; ///< When it was last told anything.
        TimePoint allAt {}; ///< When it was last sent all records.
    };

    std::map<Address, Told> toldAgents; ///< By agent.
};

} // namespace lavender
