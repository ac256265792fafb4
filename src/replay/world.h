/** @file world.h Discrete-event simulation of one fleet: balancers, agents, callers and the store over a seeded simulated network. */
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

/** Policy under test: the product's, or a simpler one to compare with. */
struct ReplayPolicy {
    std::string steering = "product"; ///< Name of the balancers' steering: product, naive or hash.
    bool isChainingEnabled = true; ///< Whether agents forward packets to other agents.
};

/** Packet loss, duplication and delay of the simulated network. */
struct LinkFaults {
    uint32_t lossPartsPerMillion = 0; ///< Loss of the flows' packets.
    uint32_t controlLossPartsPerMillion = 0; ///< Loss of all other datagrams.
    uint32_t duplicatePartsPerMillion = 0; ///< Duplication of all datagrams.
    Duration delay = 1500us; ///< One-way delay between two processes; twice that from and to callers.
    Duration jitter = 300us; ///< Upper limit of the random delay added to each datagram; causes reordering.
};

/** Measurements taken during a replay. */
struct WorldMeasures {
    std::map<std::string, std::vector<double>> imbalance; ///< By service: most flows at one agent over their mean, one sample every 100 ms.
    std::map<std::string, Duration> timeToLastPacket; ///< By zone: time from the rule that took it out to the latest packet into it.
    Duration revisionLag {}; ///< Longest time that a running balancer lacked a committed revision.
    FaultRecord twoOwners; ///< Flows with more than one owner; counted again in every sample, 100 ms apart.
    FaultRecord revisionReverts; ///< Nodes whose revision went back or was never committed; counted again in every sample.
    uint64_t packetsFromBalancers = 0; ///< Packets of open flows sent by balancers.
    uint64_t packetsFromAgents = 0; ///< Packets of open flows forwarded by agents to other agents.
};

/** Simulated world of one replay. */
class World final : public ActionExecutor {
public:
    World(const Trace& trace, ReplayPolicy policy, uint64_t seed);

    /** Runs the simulation to the end of the trace, and on until the callers have closed their flows. */
    void run();

    void perform(Address from, const Action& action) override;

    /** Prints every message about @p flow to standard error; formatFlow gives its form. */
    void watchFlow(std::string flow) { this->watchedFlow = std::move(flow); }

    const CallerTally& callers() const { return this->callerModel.tally(); }
    const WorldMeasures& measures() const { return this->measured; }
    const std::vector<std::unique_ptr<AgentNode>>& agentNodes() const { return this->agents; }
    const std::vector<std::unique_ptr<BalancerNode>>& balancerNodes() const { return this->balancers; }
    const FakeStore& platformStore() const { return this->store; }
    /** Zones that committed rules have taken out at any time. */
    const std::set<std::string>& zonesEverOut() const { return this->everOutZones; }

private:
    /** Committed revision of the rules. */
    struct Commit {
        StorePosition position;
        TimePoint at {}; ///< When the store wrote it.
    };

    // world_event.cpp
    void applyEvent(const TraceEvent& event);
    void applyNodeEvent(const TraceEvent& event);
    void commitRules(const RuleCommand& command);
    void addFlows(const TraceEvent& event);
    /** Text of the rules for the services and upstreams of the setup. */
    std::string setupRules() const;

    // world.cpp
    void addBalancer(const std::string& name, const std::string& zone);
    /** @param isRestart The upstream starts cold, whatever the setup says. */
    void addAgent(const std::string& name, bool isRestart);
    void tickNode(ReplayNode& node);
    void tickCallers();
    void sendToAnyBalancer(const FlowPacket& packet);
    /** Sends a message between nodes over the simulated network. */
    void sendMessage(Address from, Address to, const Message& message);
    /** Hands an arrived message to a node; a paused one gets it after its pause. */
    void deliverMessage(ReplayNode& node, const Message& message);
    void fetchSnapshot(Address from, const FetchSnapshot& action);
    /**
     * Simulates the path of one datagram: loss, duplication, jitter and partitions.
     * @param isControl Not a packet of a flow: controlLossPartsPerMillion applies.
     * @param arrival Runs for each copy that arrives.
     */
    void transmit(std::string_view fromZone, std::string_view toZone, bool isControl, Duration delay, const std::function<void()>& arrival);
    ReplayNode* findNode(Address address);
    AgentNode* findAgent(std::string_view name);
    BalancerNode* findBalancer(std::string_view name);
    /** Reads the callers' parameters from a line of the trace. */
    CallerSpec callerSpec(const nlohmann::json& fields) const;

    // world_measure.cpp
    void measureAll();
    void measureImbalance();
    void measureOwners();
    void measureRevisions();
    /** Keeps a committed revision and the zones that its rules take out. */
    void recordCommit(const StoreValue& value);
    /** Updates timeToLastPacket where the agent's zone is out. */
    void recordPacketIntoZone(const AgentNode& agent);
    /** Prints a message to standard error where it is about the watched flow. */
    void logWatchedFlow(std::string_view from, std::string_view to, const Message& message) const;

    nlohmann::json setup;
    std::vector<TraceEvent> events;
    ReplayPolicy policy;
    SeededRandom random; ///< Random numbers of the network, the ticks and the seeds of the nodes.
    SeededRandom callerRandom; ///< Random numbers of the callers.
    EventQueue queue;
    FakeStore store;
    CallerModel callerModel;
    LinkFaults link;
    std::set<std::string> isolatedZones; ///< Partition: processes of these zones and the others do not reach each other.
    std::vector<std::unique_ptr<BalancerNode>> balancers; ///< Dead ones included.
    std::vector<std::unique_ptr<AgentNode>> agents; ///< Dead ones included; a restarted upstream has a new node.
    std::map<Address, ReplayNode*> nodesByAddress; ///< Latest node at each address.
    std::vector<Commit> commits; ///< In the order of revisions.
    std::map<std::string, TimePoint> outZonesSince; ///< Zones that the latest rules take out, with the time of the commit that did.
    std::set<std::string> everOutZones; ///< Zones that any committed rules took out.
    std::map<const ReplayNode*, Revision> highestRevision; ///< Highest revision seen in each node.
    WorldMeasures measured;
    std::string watchedFlow; ///< Flow whose messages are printed, as formatFlow writes it; empty: none.
    uint64_t nextSeed = 1; ///< Makes the seeds of nodes and the ids of rule changes unique.
};

} // namespace lavender
