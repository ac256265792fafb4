/** @file holder_check.h Asks all agents of a service whether they hold flows that seem to be gone, before the flows are reset. */
#pragma once

#include "core/action_type.h"
#include "packet/directory/known_agents.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace lavender {

/** What the agents have said of one flow. */
struct HolderFinding {
    enum class Verdict : uint8_t {
        Denied, ///< Every agent that may hold the flow has denied it after the check began, but for @c uncertain.
        Held, ///< The first of @c agents holds it.
        Unanswered, ///< Some agent has not answered: nothing is known.
    };

    FlowKey flow;
    Verdict verdict = Verdict::Unanswered;
    std::vector<Address> agents; ///< Denied: agents that may hold the flow without knowing it. Unanswered: those that are missing.
};

/**
 * Checks flows in rounds: one query to each agent for all flows that wait. A round is over when each agent that is known, here or to any
 * agent that has answered, has answered this round. Two kinds are not waited for: those that have said that they leave, and those that balancers
 * have found gone and that leave several questions in a row unanswered. An agent that is cut off with its flows may be among the latter.
 */
class HolderCheck {
public:
    /** @param service hashText of the service's name. */
    HolderCheck(uint64_t service, AgentIncarnation self)
        : service(service)
        , self(self)
    {
    }

    /** Adds a flow to the next round, also if it is in the present one: a later packet of it has come. @return False if too many wait. */
    bool begin(TimePoint now, const FlowKey& flow);

    /** Handles an answer. @return What is known now. */
    std::vector<HolderFinding> onReply(TimePoint now, const HoldersReply& reply, const KnownAgents& known, Actions& actions);

    /** Begins a round if it is time, repeats queries, gives up flows that have waited for too long. @return What is known now. */
    std::vector<HolderFinding> tick(TimePoint now, const KnownAgents& known, Actions& actions);

    /** Begins a round if flows wait and the limit on messages allows it; ends it if nobody else is known. */
    std::vector<HolderFinding> beginRound(TimePoint now, const KnownAgents& known, Actions& actions);

    /** Forgets a flow that has turned up. */
    void erase(const FlowKey& flow);

    /** Rounds begun so far. */
    uint32_t roundCount() const { return this->round; }

private:
    struct Question {
        TimePoint since {};
        std::vector<Address> uncertain;
    };

    /** Questions in a row that an agent has not answered, in this round and in those just before. */
    struct Silence {
        uint32_t questions = 0;
        TimePoint lastAt {}; ///< When the last of them had waited for its answer.
    };

    void ask(Address agent, const KnownAgents& known, Actions& actions) const;
    void askKnown(const KnownAgents& known, Actions& actions);
    void countSilence(TimePoint now, Address agent);
    bool isSilent(TimePoint now, Address agent) const;
    bool isRequired(Address agent, const KnownAgents& known) const;
    bool isRoundOver(TimePoint now, const KnownAgents& known) const;
    std::vector<HolderFinding> endRoundIfOver(TimePoint now, const KnownAgents& known);
    void giveUp(TimePoint now, std::vector<HolderFinding>& findings);

    uint64_t service;
    AgentIncarnation self;
    std::unordered_map<FlowKey, Question> waiting; ///< Flows for the next round.
    std::unordered_map<FlowKey, Question> asked; ///< Flows of the present round; none while no round runs.
    std::set<Address> pending; ///< Agents without an answer in this round.
    std::set<Address> answered; ///< Agents that have answered this round.
    std::map<Address, AgentIncarnation> listed; ///< Agents of this round that only others know.
    std::map<Address, Silence> silences; ///< Of agents that have left questions unanswered.
    uint32_t round = 0;
    TimePoint beganAt {};
    TimePoint askedAt {};
    TimePoint nextRound {}; ///< Earliest time of the next round.
};

} // namespace lavender
