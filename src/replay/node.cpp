/** @file node.cpp Simulated balancer and agent processes. */
#include "replay/node.h"

#include "replay/caller_model.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration upstreamConnectTime = 200us; ///< Time to connect, or to have a connection refused.
    constexpr Duration healthPollPeriod = 500ms;
    constexpr Duration drainGrace = 2s; ///< Requests begun later than this after the start of a drain count as work after drain.
    constexpr Duration leaveLinger = 3s; ///< Time from leaving the membership to the end of the process.

} // namespace

ReplayNode::ReplayNode(std::string nodeName, Address nodeAddress, std::string nodeZone, EventQueue& queue, ActionExecutor& executor)
    : name(std::move(nodeName))
    , address(nodeAddress)
    , zone(std::move(nodeZone))
    , queue(queue)
    , executor(executor)
    , resumedAt(queue.now())
{
}

void ReplayNode::runOrDefer(std::function<void()> function)
{
    if (this->isDead) {
        return;
    }
    if (this->queue.now() < this->pausedUntil) {
        this->queue.schedule(this->pausedUntil, [this, function = std::move(function)] { this->runOrDefer(function); });
        return;
    }
    function();
}

void ReplayNode::pauseUntil(TimePoint time)
{
    this->pausedUntil = time;
    this->resumedAt = time;
}

void ReplayNode::performAll(const Actions& actions)
{
    for (const Action& action : actions) {
        this->executor.perform(this->address, action);
    }
}

BalancerNode::BalancerNode(
    std::string nodeName,
    Address nodeAddress,
    const std::string& nodeZone,
    std::string_view steering,
    uint64_t seed,
    std::vector<Address> seedAddresses,
    EventQueue& queue,
    ActionExecutor& executor,
    Store& store)
    : ReplayNode(std::move(nodeName), nodeAddress, nodeZone, queue, executor)
    , random(seed)
    , balancer({ nodeAddress, nodeZone, static_cast<uint64_t>(toMilliseconds(queue.now())) + 1 }, makeSteering(steering, nodeZone), random)
    , follower(store, queue, random, { nodeAddress, nodeZone }, *this)
    , seeds(store, queue, random, nodeZone, *this)
    , configuredSeeds(std::move(seedAddresses))
{
}

void BalancerNode::onMessage(const Message& message)
{
    Actions actions;
    this->balancer.onMessage(this->queue.now(), message, actions);
    this->performAll(actions);
}

void BalancerNode::tick()
{
    if (this->isStopping) {
        return;
    }
    Actions actions;
    this->balancer.tick(this->queue.now(), actions);
    if (this->isAlone()) {
        this->balancer.onSeeds(this->queue.now(), this->configuredSeeds, actions);
    }
    this->performAll(actions);
    this->follower.tick();
    this->seeds.tick();
}

void BalancerNode::stop()
{
    this->isStopping = true;
    Actions actions;
    this->balancer.beginStop(this->queue.now(), actions);
    this->performAll(actions);
    this->follower.stop();
}

void BalancerNode::onRules(const StoredRules& rules)
{
    this->runOrDefer([this, revision = rules.revision, readAt = rules.readAt, text = std::string(rules.text)] {
        (void)this->balancer.onConfiguration(this->queue.now(), { revision, readAt, text });
    });
}

void BalancerNode::onSeeds(std::span<const Address> found)
{
    Actions actions;
    this->balancer.onSeeds(this->queue.now(), found, actions);
    this->performAll(actions);
}

AgentNode::AgentNode(AgentNodeSpec nodeSpec, EventQueue& queue, ActionExecutor& executor, Store& store)
    : ReplayNode(nodeSpec.name, nodeSpec.address, nodeSpec.zone, queue, executor)
    , spec(std::move(nodeSpec))
    , random(spec.seed)
    , agent({ spec.address, spec.zone, spec.service, spec.incarnation, spec.slots, spec.isChainingEnabled }, random)
    , seeds(store, queue, random, spec.zone, *this)
    , model(spec.slots, spec.coldTime, spec.isCold)
{
}

void AgentNode::onMessage(const Message& message)
{
    Actions actions;
    this->agent.onMessage(this->queue.now(), message, actions);
    this->performAll(actions);
}

void AgentNode::onSnapshot(const Snapshot& snapshot)
{
    Actions actions;
    this->agent.onSnapshot(this->queue.now(), snapshot, actions);
    this->performAll(actions);
}

void AgentNode::tick()
{
    Actions actions;
    this->agent.tick(this->queue.now(), actions);
    if (this->agent.isDrained() && !this->hasLeft) {
        this->hasLeft = true;
        this->agent.leave(this->queue.now(), actions);
        this->queue.scheduleIn(leaveLinger, [this] { this->kill(); });
    }
    this->performAll(actions);
    this->seeds.tick();
    this->pollHealth();
}

void AgentNode::drain()
{
    this->drainStart = this->queue.now();
    this->agent.beginStop();
}

void AgentNode::pollHealth()
{
    if (this->queue.now() < this->nextHealthPoll) {
        return;
    }
    this->nextHealthPoll = this->queue.now() + healthPollPeriod;
    this->agent.onUpstreamHealth(this->queue.now(), { .isReachable = !this->isUpstreamDown && !this->isHealthSilent, .incarnation = 0 });
}

void AgentNode::handOver(const StartUpstreamRequest& request)
{
    this->openExchanges.push_back(request.id.value);
    if (this->isUpstreamDown) {
        this->queue.scheduleIn(upstreamConnectTime, [this, request] { this->finishExchange(request.id, UpstreamOutcome::Unreachable, request); });
        return;
    }
    this->queue.scheduleIn(upstreamConnectTime, [this, request] {
        if (!this->isAlive()) {
            return;
        }
        this->wrongService += request.key.starts_with(this->spec.service + "-") ? 0 : 1;
        this->workAfterDrain += this->drainStart && this->queue.now() - *this->drainStart > drainGrace ? 1 : 0;
        if (!this->model.begin(this->queue.now(), request.key, request.attempt)) {
            this->finishExchange(request.id, UpstreamOutcome::Failed, request);
            return;
        }
        this->queue.scheduleIn(this->spec.workTime, [this, request] {
            this->model.finish(this->queue.now());
            this->finishExchange(request.id, UpstreamOutcome::Answered, request);
        });
    });
}

void AgentNode::finishExchange(UpstreamRequestId id, UpstreamOutcome outcome, const StartUpstreamRequest& request)
{
    this->runOrDefer([this, id, outcome, request] {
        if (std::erase(this->openExchanges, id.value) == 0) {
            return;
        }
        UpstreamResult result { .id = id, .outcome = outcome };
        if (outcome == UpstreamOutcome::Answered) {
            const std::string answer = expectedAnswer(this->spec.service, request.key, std::string(request.body.begin(), request.body.end()));
            result.answer.assign(answer.begin(), answer.end());
        }
        Actions actions;
        this->agent.onUpstreamResult(this->queue.now(), result, actions);
        this->performAll(actions);
    });
}

} // namespace lavender
