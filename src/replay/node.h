/** @file node.h The processes of a replay: the product's own decisions between fakes. */
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

/** What carries the actions of a node out. */
class Carrier {
public:
    virtual ~Carrier() = default;
    virtual void perform(Address from, const Action& action) = 0;
};

/** One process: it lives, stands still, or is dead. */
class ReplayNode {
public:
    ReplayNode(std::string name, Address address, std::string zone, EventQueue& queue, Carrier& carrier);
    virtual ~ReplayNode() = default;
    ReplayNode(const ReplayNode&) = delete;
    ReplayNode& operator=(const ReplayNode&) = delete;

    virtual void onMessage(const Message& message) = 0;
    virtual void onSnapshot(const Snapshot& snapshot) = 0;
    virtual Snapshot makeSnapshot(const SnapshotAsk& ask) const = 0;
    virtual void tick() = 0;
    virtual Revision revision() const = 0;

    /** Runs @p function now, or when the node goes on, or never if it is dead. */
    void run(std::function<void()> function);
    void pauseUntil(TimePoint moment);
    void die() { this->isDead = true; }

    bool isRunning() const { return !this->isDead && this->queue.now() >= this->pausedUntil; }
    bool isAlive() const { return !this->isDead; }
    TimePoint runningSince() const { return this->since; }

    const std::string name;
    const Address address;
    const std::string zone;

protected:
    void performAll(const Actions& actions);

    EventQueue& queue;
    Carrier& carrier;

private:
    bool isDead = false;
    TimePoint pausedUntil {};
    TimePoint since;
};

/** A balancer with the store's fake behind it. */
class BalancerNode final : public ReplayNode, public StoreFollower::Listener, public SeedFinder::Listener {
public:
    BalancerNode(std::string nodeName, Address nodeAddress, const std::string& nodeZone, std::string_view steering, uint64_t seed, std::vector<Address> configuredSeeds, EventQueue& queue, Carrier& carrier, Store& store);

    void onMessage(const Message& message) override;
    void onSnapshot(const Snapshot& snapshot) override { this->balancer.onSnapshot(this->queue.now(), snapshot); }
    Snapshot makeSnapshot(const SnapshotAsk& ask) const override { return this->balancer.makeSnapshot(ask); }
    void tick() override;
    Revision revision() const override { return this->balancer.configuration().revision(); }
    void stop();

    void onRules(Revision revision, Revision readAt, std::string_view rules) override;
    void onStoreState(bool /*isUp*/) override { }
    void onLeaseLapsed() override { }
    bool isWatcher() const override { return this->balancer.isWatcher(); }
    bool hasRules() const override { return this->balancer.configuration().hasAny(); }
    size_t balancerCount() const override { return this->balancer.gossip().balancers("").size() + 1; }
    void onSeeds(std::span<const Address> seeds) override;
    bool isAlone() const override { return this->balancer.gossip().balancers("").empty(); }

    const Balancer& state() const { return this->balancer; }

private:
    SeededRandom random;
    Balancer balancer;
    StoreFollower follower;
    SeedFinder seeds;
    std::vector<Address> configured; ///< Seeds of the settings.
    bool isStopping = false;
};

/** What an agent's node is made of. */
struct AgentNodeSpec {
    std::string name;
    Address address;
    std::string zone;
    std::string service;
    uint16_t slots = 1;
    Duration workTime = 20ms;
    Duration coldTime {};
    bool isCold = true;
    bool isChaining = true; ///< False for the naive versions.
    uint64_t incarnation = 1;
    uint64_t seed = 1;
};

/** An agent with its upstream. */
class AgentNode final : public ReplayNode, public SeedFinder::Listener {
public:
    AgentNode(AgentNodeSpec nodeSpec, EventQueue& queue, Carrier& carrier, Store& store);

    void onMessage(const Message& message) override;
    void onSnapshot(const Snapshot& snapshot) override;
    Snapshot makeSnapshot(const SnapshotAsk& /*ask*/) const override { return {}; }
    void tick() override;
    Revision revision() const override { return this->agent.configuration().revision(); }

    /** The agent's part of a graceful stop. */
    void drain();
    /** An action for the upstream. */
    void handOver(const HandOver& request);
    void cancel(HandOverId id) { std::erase(this->open, id.value); }

    void onSeeds(std::span<const Address> found) override { this->agent.onSeeds(found); }
    bool isAlone() const override { return !this->agent.configuration().hasAny(); }

    const Agent& state() const { return this->agent; }
    UpstreamModel& upstream() { return this->model; }
    const UpstreamModel& upstream() const { return this->model; }
    bool isDraining() const { return this->drainedAt.has_value(); }

    AgentNodeSpec spec;
    bool isUpstreamDown = false;
    bool isHealthLying = false; ///< The health endpoint stays silent though the upstream works.
    uint64_t workAfterDrain = 0;
    uint64_t wrongService = 0;

private:
    void finishExchange(HandOverId id, UpstreamOutcome outcome, const HandOver& request);
    void readHealth();

    SeededRandom random;
    Agent agent;
    SeedFinder seeds;
    UpstreamModel model;
    std::vector<uint64_t> open; ///< Exchanges whose result the agent waits for.
    std::optional<TimePoint> drainedAt;
    TimePoint nextHealth {};
    bool hasLeft = false;
};

} // namespace lavender
