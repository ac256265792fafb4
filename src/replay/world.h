/** @file world.h A replay: balancers, agents, callers and the store over one seeded carrier in virtual time. */
#pragma once

#include "replay/caller_model.h"
#include "replay/event_queue.h"
#include "replay/fake_store.h"
#include "replay/node.h"
#include "replay/trace_type.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lavender {

/** Which decisions a replay uses. */
struct ReplayPolicy {
    std::string steering = "product"; ///< Of the balancers.
    bool isChaining = true; ///< Of the agents.
};

/** How the carrier treats datagrams. */
struct LinkFaults {
    uint32_t lossPartsPerMillion = 0;
    uint32_t controlLossPartsPerMillion = 0; ///< Of all but the flows' packets.
    uint32_t duplicatePartsPerMillion = 0;
    Duration delay = 1500us; ///< One way between any two processes; to callers twice as long.
    Duration jitter = 300us; ///< On top, at random: reorders.
};

/** Measures that a replay takes while it runs. */
struct WorldMeasures {
    std::map<std::string, std::vector<double>> imbalance; ///< By service: maximum over mean of flows held, one sample each 100 ms.
    std::map<std::string, Duration> quiet; ///< By zone: latest packet that came in after the rule took it out, counted from the rule.
    Duration inForce {}; ///< Longest time that a running balancer lacked an accepted revision.
    FaultRecord twoOwners;
    FaultRecord reverts;
    uint64_t fromBalancers = 0; ///< Mid-flow packets that balancers sent.
    uint64_t fromAgents = 0; ///< Mid-flow packets that agents passed on.
};

/** One replay. */
class World final : public Carrier {
public:
    World(const Trace& trace, ReplayPolicy policy, uint64_t seed);

    /** Runs the trace to its end. */
    void run();

    void perform(Address from, const Action& action) override;

    /** Prints every message about a flow to standard error. */
    void watchFlow(std::string flow) { this->watched = std::move(flow); }

    const CallerTally& callers() const { return this->model.tally(); }
    const WorldMeasures& measures() const { return this->measure; }
    const std::vector<std::unique_ptr<AgentNode>>& agentNodes() const { return this->agents; }
    const std::vector<std::unique_ptr<BalancerNode>>& balancerNodes() const { return this->balancers; }
    const FakeStore& platformStore() const { return this->store; }
    const std::set<std::string>& zonesEverOut() const { return this->outEver; }

private:
    struct Commit {
        Revision revision = 0;
        TimePoint at {};
    };

    // world_event.cpp
    void applyEvent(const TraceEvent& event);
    void applyNodeEvent(const TraceEvent& event);
    void changeRules(const RuleCommand& command);
    void addFlows(const TraceEvent& event);
    std::string setupRules() const;

    // world.cpp
    void addBalancer(const std::string& name, const std::string& zone);
    void addAgent(const std::string& name, bool isReturn);
    void tickNode(ReplayNode& node);
    void tickCallers();
    void sprayPacket(const FlowPacket& packet);
    void deliver(Address from, Address to, const Message& message);
    void arrive(ReplayNode& node, const Message& message);
    void fetch(Address from, const FetchSnapshot& action);
    void carry(std::string_view fromZone, std::string_view toZone, bool isControl, Duration base, const std::function<void()>& function);
    ReplayNode* findNode(Address address);
    AgentNode* findAgent(std::string_view name);
    BalancerNode* findBalancer(std::string_view name);
    CallerSpec callerSpec(const nlohmann::json& fields) const;

    // world_measure.cpp
    void measureAll();
    void measureImbalance();
    void measureOwners();
    void measureRevisions();
    void noteRules(const StoreValue& value);
    void notePacketInto(const AgentNode& agent);
    void showMessage(std::string_view from, std::string_view to, const Message& message) const;

    nlohmann::json setup;
    std::vector<TraceEvent> events;
    ReplayPolicy policy;
    SeededRandom random;
    SeededRandom callerRandom;
    EventQueue queue;
    FakeStore store;
    CallerModel model;
    LinkFaults faults;
    std::set<std::string> isolated; ///< Zones that hear only each other.
    std::vector<std::unique_ptr<BalancerNode>> balancers;
    std::vector<std::unique_ptr<AgentNode>> agents;
    std::map<Address, ReplayNode*> byAddress;
    std::vector<Commit> commits;
    std::map<std::string, TimePoint> outSince; ///< Zones that are out now, by the committed rules.
    std::set<std::string> outEver;
    std::map<const ReplayNode*, Revision> seenRevision;
    WorldMeasures measure;
    std::string watched; ///< As formatFlow writes it; empty for none.
    uint64_t nextSeed = 1;
};

} // namespace lavender
