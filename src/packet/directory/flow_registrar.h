/** @file flow_registrar.h Registers the flows of one owner with the agents of the service's flow directory. */
#pragma once

#include "core/action_type.h"
#include "packet/directory/directory_members.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace lavender {

/** Who registers flows, as it stands in each message. */
struct RegistrarIdentity {
    uint64_t service = 0; ///< hashText of the service's name.
    Address owner;
    uint64_t incarnation = 0; ///< Of the owner.
    bool knowsAllFlows = false; ///< The owner's upstream can hold no flow that the owner does not know.
    bool isJudged = false; ///< The owner can tell whether it knows all flows; until then its messages do not count as complete.
    bool operator==(const RegistrarIdentity&) const = default;
};

/**
 * Keeps the directory's agents informed of the flows of one owner. Each agent gets a flow once, and all that concern it after
 * it or the owner has started; messages without a reply are repeated. The first message to each introduces the owner, before it has any flow.
 */
class FlowRegistrar {
public:
    /** Takes a change of the members, after which flows may belong to other agents. */
    void onMembersChanged(TimePoint now, const DirectoryMembers& members, Address self);

    /** Registers a flow that the owner's upstream holds. */
    void add(TimePoint now, const RegistrarIdentity& identity, const DirectoryMembers& members, const FlowKey& flow, Actions& actions);
    /** Forgets a flow. Its entries expire. */
    void remove(const FlowKey& flow) { this->flows.erase(flow); }

    /** Handles the reply of a directory agent, or its request for a registration. */
    void onReply(const FlowRegistrationReply& reply);

    /** Handles any message of an agent: registrations that it has not confirmed for long are due at once, as it is in reach again. */
    void onHeardFrom(Address agent);

    /** Sends what is due. */
    void tick(TimePoint now, const RegistrarIdentity& identity, Actions& actions);

    /** What other agents are known, and know of the owner. */
    struct Introductions {
        size_t agents = 0; ///< Agents that have been heard of from others than the roster.
        size_t replies = 0; ///< Those of them that have replied to a message of this process.
    };
    Introductions introductions() const;

    /** Registrations that wait for a reply. */
    size_t pendingCount() const;

private:
    /** Registrations with one agent. */
    struct Channel {
        uint64_t incarnation = 0; ///< Of the agent.
        std::vector<FlowKey> pending; ///< Flows that the agent has not confirmed, in the order of their registration.
        size_t flowsInMessage = 0; ///< The latest message holds so many flows of the front of @c pending.
        uint32_t number = 0; ///< Of the latest message.
        bool isStatementDue = true; ///< The agent has not confirmed that it knows all flows that concern it.
        bool wasComplete = false; ///< The latest message said so.
        bool hasReplied = false; ///< To any message of the owner, whose existence it knows therefore.
        int unanswered = 0; ///< Messages in a row without a reply.
        TimePoint sentAt {};
    };

    void restart(Channel& channel, Address agent);
    void send(TimePoint now, const RegistrarIdentity& identity, Address agent, Channel& channel, Actions& actions);
    void refresh(TimePoint now);

    std::map<Address, Channel> channels; ///< By directory agent.
    std::unordered_map<FlowKey, std::vector<Address>> flows; ///< The owner's flows and the agents that each is registered with.
    RegistrarIdentity stated; ///< Identity of the latest statements.
    TimePoint nextRefresh {};
};

} // namespace lavender
