/** @file directory_lookup.h Lookups of unknown flows in the service's flow directory, as the agent that looks them up sees them. */
#pragma once

#include "core/action_type.h"
#include "packet/directory/directory_members.h"

#include <array>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lavender {

/** How a lookup ended. */
struct DirectoryResult {
    DirectoryFinding finding = DirectoryFinding::Unknown; ///< Never Pending.
    std::vector<Address> agents; ///< Listed: owners. Gone: agents that could hold the flow without knowing it.
    ForwardedPacket packet; ///< Latest packet of the flow.
    Duration duration {}; ///< Since the lookup began.
};

/** The service's directory as the agent that looks flows up sees it now. */
struct DirectoryView {
    uint64_t service = 0; ///< hashText of the service's name.
    Address self;
    const DirectoryMembers& members;
    bool isConfirmed = false; ///< A balancer has confirmed the members, or the roster names them. Before that nobody is asked.
    std::span<const Address> startingAgents; ///< Agents that have not registered their flows since they started.
};

/**
 * Asks the two directory agents of a flow, and others if the ranks change. One that lists the flow ends the lookup at once. That the
 * flow is gone needs both to say so, but one whose answer does not come does not hold the caller up unless it is starting.
 */
class DirectoryLookups {
public:
    /** Begins a lookup, or renews the packet of the one that runs. @return False if there are too many, or nobody can be asked. */
    bool begin(TimePoint now, const DirectoryView& view, const ForwardedPacket& packet, Actions& actions);

    /** Handles an answer. @return The result if this ends the lookup. */
    std::optional<DirectoryResult> onReply(TimePoint now, const DirectoryReply& reply);

    /** Repeats questions and ends overdue lookups. @return Their results. */
    std::vector<DirectoryResult> tick(TimePoint now, const DirectoryView& view, Actions& actions);

    /** Flows that this agent is to look up in its own part of the directory, since the last call. */
    std::vector<FlowKey> takeOwnQuestions() { return std::exchange(this->ownQuestions, {}); }

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
        uint64_t ranking = 0; ///< DirectoryMembers::ranking() by which @c questions were chosen.
        TimePoint startedAt {};
        std::optional<TimePoint> firstAskedAt; ///< None while the members are not confirmed.
        TimePoint askedAt {};
        bool isHeldUp = false; ///< An agent that is starting has not answered.
    };

    static bool isAnswered(const Question& question);
    static std::optional<DirectoryFinding> conclude(TimePoint now, const Lookup& lookup);
    static void chooseAgents(Lookup& lookup, const FlowKey& flow, const DirectoryMembers& members);
    void ask(TimePoint now, const DirectoryView& view, const FlowKey& flow, Lookup& lookup, Actions& actions);

    std::unordered_map<FlowKey, Lookup> lookups;
    std::vector<FlowKey> ownQuestions;
};

} // namespace lavender
