/** @file node.h Simulated balancer and agent processes: the product's decision library with simulated surroundings. */
#pragma once

#include "agent/agent_base.h"
#include "balancer/balancer_base.h"
#include "replay/event_queue.h"
#include "replay/upstream_model.h"
#include "store/commit.h"
#include "store/follower.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lavender {

/** Carries out the actions that a node decides on. */
class ActionExecutor {
public:
    virtual ~ActionExecutor() = default;
    /** @param from Address of the node. */
    virtual void perform(Address from, const Action& action) = 0;
};

/** Simulated process: running, paused or dead. */
class ReplayNode {
public:
    ReplayNode(std::string name, Address address, std::string zone, EventQueue& queue, ActionExecutor& executor);
    virtual ~ReplayNode() = default;
    ReplayNode(const ReplayNode&) = delete;
    ReplayNode& operator=(const ReplayNode&) = delete;

    virtual void onMessage(const Message& message) = 0;
    virtual void onSnapshot(const Snapshot& snapshot) = 0;
    virtual Snapshot makeSnapshot(const SnapshotRequest& request) const = 0;
    virtual void tick() = 0;
    /** Revision of the rules in force at the node. */
    virtual Revision revision() const = 0;

    /** Runs @p function now, once the pause ends where the node is paused, or never where it is dead. */
    void runOrDefer(std::function<void()> function);
    /** Pauses the process: what runOrDefer takes waits until @p time. */
    void pauseUntil(TimePoint time);
    /** Ends the process at once. */
    void kill() { this->isDead = true; }

    /** True unless paused or dead. */
    bool isRunning() const { return !this->isDead && this->queue.now() >= this->pausedUntil; }
    /** True unless dead. */
    bool isAlive() const { return !this->isDead; }
    /** Start of the process, or end of its latest pause. */
    TimePoint runningSince() const { return this->resumedAt; }

    const std::string name;
    const Address address;
    const std::string zone;

protected:
    void performAll(const Actions& actions);

    EventQueue& queue;
    ActionExecutor& executor;

private:
    bool isDead = false;
    TimePoint pausedUntil {};
    TimePoint resumedAt; ///< Start of the process, or end of its latest pause.
};

/** Balancer process with the product's follower and seed finder on the simulated store. */
class BalancerNode final : public ReplayNode, public StoreFollower::Listener, public SeedFinder::Listener {
public:
    BalancerNode(
        std::string nodeName,
        Address nodeAddress,
        const std::string& nodeZone,
        std::string_view steering,
        uint64_t seed,
        std::vector<Address> seedAddresses,
        EventQueue& queue,
        ActionExecutor& executor,
        Store& store);

    void onMessage(const Message& message) override;
    void onSnapshot(const Snapshot& snapshot) override { this->balancer.onSnapshot(this->queue.now(), snapshot); }
    Snapshot makeSnapshot(const SnapshotRequest& request) const override { return this->balancer.makeSnapshot(request); }
    void tick() override;
    Revision revision() const override { return this->balancer.configuration().revision(); }
    /** Begins a graceful stop; the caller kills the node later. */
    void stop();

    void onRules(const StoredRules& rules) override;
    void onStoreState(bool /*isUp*/) override { }
    void onLeaseLapsed() override { }
    bool isWatcher() const override { return this->balancer.isWatcher(); }
    size_t balancerCount() const override { return this->balancer.gossip().balancers("").size() + 1; }
    void onSeeds(std::span<const Address> seeds) override;
    bool isAlone() const override { return this->balancer.gossip().balancers("").empty(); }

    const Balancer& state() const { return this->balancer; }

private:
    SeededRandom random;
    Balancer balancer;
    StoreFollower follower;
    SeedFinder seeds;
    std::vector<Address> configuredSeeds; ///< Seed addresses of the settings, used while it knows no other balancer.
    bool isStopping = false; ///< A graceful stop has begun: no more ticks.
};

/** Parameters of an AgentNode. */
struct AgentNodeSpec {
    std::string name;
    Address address;
    std::string zone;
    std::string service;
    uint16_t slots = 1; ///< Concurrent requests that the upstream takes when warm.
    Duration workTime = 20ms; ///< Time that the upstream needs for one request.
    Duration coldTime {}; ///< Busy time from cold to full capacity; 0: no cold start.
    bool isCold = true; ///< Whether the upstream is cold at the start.
    bool isChainingEnabled = true; ///< False: the agent never forwards packets to other agents, as under the naive and hash policies.
    uint64_t incarnation = 1; ///< Higher after each restart at the same address.
    uint64_t seed = 1; ///< Seed of the agent's random numbers.
};

/** Agent process with its simulated upstream. */
class AgentNode final : public ReplayNode, public SeedFinder::Listener {
public:
    AgentNode(AgentNodeSpec nodeSpec, EventQueue& queue, ActionExecutor& executor, Store& store);

    void onMessage(const Message& message) override;
    void onSnapshot(const Snapshot& snapshot) override;
    Snapshot makeSnapshot(const SnapshotRequest& /*request*/) const override { return {}; }
    void tick() override;
    Revision revision() const override { return this->agent.configuration().revision(); }

    /** Begins a graceful stop: the agent drains, leaves the membership and dies. */
    void drain();
    /** Sends a request to the upstream. */
    void handOver(const StartUpstreamRequest& request);
    /** Drops the result of a request; the upstream still finishes it. */
    void cancel(UpstreamRequestId id) { std::erase(this->openExchanges, id.value); }

    void onSeeds(std::span<const Address> found) override { this->agent.onSeeds(found); }
    bool isAlone() const override { return !this->agent.configuration().hasRules(); }

    const Agent& state() const { return this->agent; }
    UpstreamModel& upstream() { return this->model; }
    const UpstreamModel& upstream() const { return this->model; }
    bool isDraining() const { return this->drainStart.has_value(); }

    AgentNodeSpec spec;
    bool isUpstreamDown = false; ///< The upstream accepts no connections and fails its health check.
    bool isHealthSilent = false; ///< The health check gets no answer although the upstream works.
    uint64_t workAfterDrain = 0; ///< Requests that the upstream began later than 2 s after the drain began.
    uint64_t wrongService = 0; ///< Requests of another service that reached the upstream.

private:
    void finishExchange(UpstreamRequestId id, UpstreamOutcome outcome, const StartUpstreamRequest& request);
    /** Tells the agent every 500 ms whether the upstream is reachable. */
    void pollHealth();

    SeededRandom random;
    Agent agent;
    SeedFinder seeds;
    UpstreamModel model;
    std::vector<uint64_t> openExchanges; ///< Ids of the requests whose result the agent waits for.
    std::optional<TimePoint> drainStart; ///< When drain() was called.
    TimePoint nextHealthPoll {}; ///< Time of the next health check.
    bool hasLeft = false; ///< Whether the agent has left the membership after its drain.
};

} // namespace lavender
