/** @file flow_directory.h The part of a service's flow directory that one agent keeps: who owns a flow, and whether nobody seems to. */
#pragma once

#include "packet/directory/directory_members.h"
#include "wire/message_type.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace lavender {

/** Answer to an agent that looks a flow up. */
struct DirectoryAnswer {
    FlowKey flow;
    Address searcher;
    DirectoryFinding finding = DirectoryFinding::Unknown;
    std::vector<Address> agents; ///< Listed: the owners. Gone: agents that may hold flows which they do not know.
};

/**
 * Keeps the flows that owners register here, and answers lookups.
 *
 * That a flow is not listed suggests that it is gone if every agent of the service has registered all its flows since this process
 * started, and if this agent has been one of the flow's directory agents for long enough that owners know it. It is no proof, as agents may be
 * unknown here and registrations on their way: before a flow is reset all agents are asked (HolderCheck).
 */
class FlowDirectory {
public:
    explicit FlowDirectory(Address self)
        : self(self)
    {
    }

    /** Takes flows that an owner registers. @return False if there is no room for them, or if they are from an earlier lifetime of the owner. */
    bool onRegistration(TimePoint now, const FlowRegistration& registration);

    /** States whether the own upstream may hold flows that this agent does not know. */
    void setKnowsAllFlows(bool knowsAll) { this->knowsAllFlows = knowsAll; }

    /** Handles a suspension of the process: owners may have registered flows in vain. They register all again. */
    void onPause();

    /** Answers a lookup at once if it can be answered, or with Pending if that takes longer than a moment. None: the answer follows. */
    std::optional<DirectoryAnswer> ask(TimePoint now, const DirectoryMembers& members, const FlowKey& flow, Address searcher);

    /** Answers the lookups that are due. @param isViewComplete This agent knows all members of the service. */
    std::vector<DirectoryAnswer> tick(TimePoint now, const DirectoryMembers& members, bool isViewComplete);

    /** Agents that had not registered their flows at the last tick, since they or this process started. */
    const std::vector<Address>& unregisteredOwners() const { return this->unregistered; }

    /** True if all agents of the service had registered their flows here at the last tick. */
    bool isComplete() const { return this->isViewComplete && this->unregistered.empty(); }

    /** True if all agents that have registered their flows started at @p incarnation or later. */
    bool haveAllStartedSince(uint64_t incarnation) const;

    size_t flowCount() const { return this->entries.size(); }

private:
    /** One owner of a flow. Two upstreams may have answered copies of its opening. */
    struct Entry {
        Address owner;
        uint64_t incarnation = 0; ///< Of the owner.
        TimePoint registeredAt {};
    };

    /** What an owner last stated of all its flows. */
    struct Statement {
        uint64_t incarnation = 0; ///< Of the owner.
        bool knowsAllFlows = false;
    };

    /** A lookup without an answer yet. */
    struct Question {
        FlowKey flow;
        Address searcher; ///< The agent that asked last.
        TimePoint askedAt {};
    };

    bool isValid(TimePoint now, const DirectoryMembers& members, const Entry& entry) const;
    std::vector<Address> ownersOf(TimePoint now, const DirectoryMembers& members, const FlowKey& flow) const;
    void reviewOwners(const DirectoryMembers& members);
    std::optional<DirectoryAnswer> decide(TimePoint now, const DirectoryMembers& members, const Question& question) const;
    void expire(TimePoint now);

    Address self;
    bool knowsAllFlows = false; ///< Of the own upstream.
    bool isViewComplete = false;
    std::unordered_map<FlowKey, std::vector<Entry>> entries;
    std::map<Address, Statement> statements; ///< By owner.
    std::unordered_map<FlowKey, Question> questions;
    std::vector<Address> unregistered; ///< Agents without a statement of their present lifetime, at the last tick.
    std::vector<Address> uncertain; ///< Agents that may hold flows which they do not know, at the last tick.
    TimePoint nextExpiry {};
};

} // namespace lavender
