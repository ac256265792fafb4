/** @file directory_lookup.h Lookups of unknown flows in the service's flow directory, as the agent that looks them up sees them. */
#pragma once

#include "core/action_type.h"
#include "packet/directory_members.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lavender {

/** How a lookup ended. */
struct DirectoryResult {
    DirectoryFinding finding = DirectoryFinding::Unknown; ///< Never Pending.
    std::vector<Address> agents; ///< Listed: owners. Gone: agents that could hold the flow without knowing it.
    ForwardedPacket packet; ///< Latest packet of the flow.
    Duration duration {}; ///< Since the lookup began.
};

/**
 * Asks the two directory agents of a flow. One that lists the flow ends the lookup at once. That the flow is gone needs both to say
 * so, but one whose answer does not come does not hold the caller up.
 */
class DirectoryLookups {
public:
    /** Begins a lookup, or renews the packet of the one that runs. @return False if there are too many, or nobody can be asked. */
    bool begin(TimePoint now, uint64_t service, const DirectoryAgents& agents, Address self, const ForwardedPacket& packet, Actions& actions);

    /** Handles an answer. @return The result if this ends the lookup. */
    std::optional<DirectoryResult> onReply(TimePoint now, const DirectoryReply& reply);

    /** Repeats questions and ends overdue lookups. @return Their results. */
    std::vector<DirectoryResult> tick(TimePoint now, uint64_t service, Address self, Actions& actions);

    /** Forgets all lookups, as after a suspension of the process. */
    void clear() { this->lookups.clear(); }
    void erase(const FlowKey& flow) { this->lookups.erase(flow); }
    bool contains(const FlowKey& flow) const { return this->lookups.contains(flow); }

private:
    struct Question {
        Address agent;
        std::optional<DirectoryFinding> finding; ///< None before the first answer.
    };

    struct Lookup {
        ForwardedPacket packet;
        std::array<Question, 2> questions;
        std::vector<Address> uncertain; ///< Agents named with a finding Gone.
        TimePoint startedAt {};
        TimePoint askedAt {};
    };

    static bool isAnswered(const Question& question);
    static std::optional<DirectoryFinding> conclude(TimePoint now, const Lookup& lookup);

    std::unordered_map<FlowKey, Lookup> lookups;
};

} // namespace lavender
