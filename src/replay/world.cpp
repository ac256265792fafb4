/** @file world.cpp Nodes of the simulated world and the network between them. */
#include "replay/world.h"

#include "core/hash_func.h"
#include "core/text_func.h"
#include "wire/codec_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration tickPeriod = 50ms; ///< Mean time between the ticks of a node.
    constexpr Duration callerTickPeriod = 10ms;
    constexpr Duration measurePeriod = 100ms;
    constexpr uint32_t firstCallerHost = 0x0a000001;
    constexpr uint32_t firstBalancerHost = 0x0a630001;
    constexpr uint32_t firstAgentHost = 0x0a620001;
    constexpr uint32_t firstServiceHost = 0x0a140001;
    constexpr uint16_t nodePort = 7000; ///< Of balancers and agents.
    constexpr std::string_view unpartitioned; ///< Zone name of callers: partitions affect neither them nor the store.

} // namespace

World::World(const Trace& trace, ReplayPolicy replayPolicy, uint64_t seed)
    : setup(trace.setup)
    , events(trace.events)
    , policy(std::move(replayPolicy))
    , random(seed)
    , callerRandom(hashPair(seed, 1))
    , store(queue)
    , callerModel(firstCallerHost, callerRandom)
{
    this->store.onRules = [this](const StoreValue& value) { this->recordCommit(value); };
}

CallerSpec World::callerSpec(const nlohmann::json& fields) const
{
    const auto& services = this->setup["services"];
    const std::string name = fields["service"].get<std::string>();
    uint32_t index = 0;
    while (index < services.size() && services[index]["name"] != name) {
        ++index;
    }
    CallerSpec spec { .service = name, .address = { firstServiceHost + index, 80 } };
    spec.requestPeriod = std::chrono::milliseconds(fields.value("period_ms", 1000));
    spec.isIdempotent = fields.value("repeatable", false);
    spec.bodyBytes = fields.value("body_bytes", 100U);
    return spec;
}

void World::addBalancer(const std::string& name, const std::string& zone)
{
    const Address address { firstBalancerHost + static_cast<uint32_t>(this->balancers.size()), nodePort };
    const std::vector<Address> seeds { { firstBalancerHost, nodePort }, { firstBalancerHost + 1, nodePort }, { firstBalancerHost + 2, nodePort } };
    this->balancers.push_back(std::make_unique<BalancerNode>(
        name,
        address,
        zone,
        this->policy.steering,
        hashPair(this->random.below(1U << 30U), this->nextSeed++),
        seeds,
        this->queue,
        *this,
        this->store));
    this->nodesByAddress[address] = this->balancers.back().get();
    this->tickNode(*this->balancers.back());
}

void World::addAgent(const std::string& name, bool isRestart)
{
    const auto& upstreams = this->setup["upstreams"];
    uint32_t index = 0;
    while (upstreams[index]["name"] != name) {
        ++index;
    }
    const auto& entry = upstreams[index];
    AgentNodeSpec spec {
        .name = name,
        .address = { firstAgentHost + index, nodePort },
        .zone = entry["zone"],
        .service = entry["service"],
    };
    for (const auto& service : this->setup["services"]) {
        if (service["name"] == spec.service) {
            spec.slots = service["slots"].get<uint16_t>();
        }
    }
    spec.workTime = std::chrono::milliseconds(entry.value("work_ms", 20));
    spec.coldTime = std::chrono::milliseconds(entry.value("cold_ms", 0));
    spec.isCold = isRestart || entry.value("is_cold", false);
    spec.isChainingEnabled = this->policy.isChainingEnabled;
    spec.incarnation = static_cast<uint64_t>(toMilliseconds(this->queue.now())) + 1;
    spec.seed = hashPair(this->random.below(1U << 30U), this->nextSeed++);
    this->agents.push_back(std::make_unique<AgentNode>(spec, this->queue, *this, this->store));
    this->nodesByAddress[spec.address] = this->agents.back().get();
    this->tickNode(*this->agents.back());
}

/** Ticks a node until it dies. Jitter keeps the nodes out of step. */
void World::tickNode(ReplayNode& node)
{
    this->queue.scheduleIn(this->random.jitter(tickPeriod), [this, &node] {
        if (!node.isAlive()) {
            return;
        }
        node.runOrDefer([&node] { node.tick(); });
        const std::function<void()> again = [this, &node] { this->tickNode(node); };
        this->queue.scheduleIn(tickPeriod / 2, again);
    });
}

void World::tickCallers()
{
    std::vector<FlowPacket> out;
    this->callerModel.tick(this->queue.now(), out);
    for (const FlowPacket& packet : out) {
        this->sendToAnyBalancer(packet);
    }
    this->queue.scheduleIn(callerTickPeriod, [this] { this->tickCallers(); });
}

/** Routes a caller's packet as the network in front of the balancers does: to any live balancer, at random. */
void World::sendToAnyBalancer(const FlowPacket& packet)
{
    std::vector<BalancerNode*> live;
    for (const auto& balancer : this->balancers) {
        if (balancer->isAlive()) {
            live.push_back(balancer.get());
        }
    }
    if (live.empty()) {
        return;
    }
    BalancerNode* balancer = live[this->random.below(static_cast<uint32_t>(live.size()))];
    this->transmit(unpartitioned, unpartitioned, false, 2 * this->link.delay, [this, balancer, packet] { this->deliverMessage(*balancer, packet); });
}

void World::transmit(std::string_view fromZone, std::string_view toZone, bool isControl, Duration delay, const std::function<void()>& arrival)
{
    const bool isPartitioned = !fromZone.empty() && !toZone.empty()
        && this->isolatedZones.contains(std::string(fromZone)) != this->isolatedZones.contains(std::string(toZone));
    const int copies = this->random.chance(this->link.duplicatePartsPerMillion) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const bool isLost = this->random.chance(isControl ? this->link.controlLossPartsPerMillion : this->link.lossPartsPerMillion);
        if (!isPartitioned && !isLost) {
            this->queue.scheduleIn(delay + this->random.jitter(this->link.jitter), arrival);
        }
    }
}

ReplayNode* World::findNode(Address address)
{
    const auto found = this->nodesByAddress.find(address);
    return found == this->nodesByAddress.end() ? nullptr : found->second;
}

AgentNode* World::findAgent(std::string_view name)
{
    const auto found = std::find_if(this->agents.rbegin(), this->agents.rend(), [name](const auto& node) { return node->name == name; });
    return found == this->agents.rend() ? nullptr : found->get();
}

BalancerNode* World::findBalancer(std::string_view name)
{
    const auto found = std::find_if(this->balancers.rbegin(), this->balancers.rend(), [name](const auto& node) { return node->name == name; });
    return found == this->balancers.rend() ? nullptr : found->get();
}

void World::deliverMessage(ReplayNode& node, const Message& message)
{
    node.runOrDefer([&node, message] { node.onMessage(message); });
}

void World::sendMessage(Address from, Address to, const Message& message)
{
    const ReplayNode* sender = this->findNode(from);
    const auto* forwarded = std::get_if<ForwardedPacket>(&message);
    if (forwarded != nullptr && forwarded->packet.mark == PacketMark::Established) {
        const bool isFromBalancer = dynamic_cast<const BalancerNode*>(sender) != nullptr;
        ++(isFromBalancer ? this->measured.packetsFromBalancers : this->measured.packetsFromAgents);
    }
    ReplayNode* target = this->findNode(to);
    if (target == nullptr || sender == nullptr) {
        return;
    }
    this->logWatchedFlow(sender->name, target->name, message);
    // Encoded and decoded as on a socket, so that only what the wire format carries arrives.
    const absl::StatusOr<Message> decoded = decodeMessage(encodeMessage(message));
    if (!decoded.ok()) {
        return;
    }
    this->transmit(sender->zone, target->zone, forwarded == nullptr, this->link.delay, [this, to, arrived = *decoded] {
        ReplayNode* receiver = this->findNode(to);
        if (receiver == nullptr) {
            return;
        }
        if (const auto* agent = dynamic_cast<const AgentNode*>(receiver); agent != nullptr && std::holds_alternative<ForwardedPacket>(arrived)) {
            this->recordPacketIntoZone(*agent);
        }
        this->deliverMessage(*receiver, arrived);
    });
}

void World::fetchSnapshot(Address from, const FetchSnapshot& action)
{
    const ReplayNode* requester = this->findNode(from);
    const ReplayNode* source = this->findNode(action.from);
    if (requester == nullptr || source == nullptr) {
        return;
    }
    const bool isPartitioned = this->isolatedZones.contains(requester->zone) != this->isolatedZones.contains(source->zone);
    if (isPartitioned) {
        return;
    }
    // Snapshots use TCP: no loss, and two round trips. The connection and the request take three one-way delays.
    this->queue.scheduleIn(3 * this->link.delay, [this, from, action] {
        ReplayNode* asked = this->findNode(action.from);
        asked->runOrDefer([this, asked, from, request = action.request] {
            this->queue.scheduleIn(this->link.delay, [this, from, snapshot = asked->makeSnapshot(request)] {
                ReplayNode* receiver = this->findNode(from);
                receiver->runOrDefer([receiver, snapshot] { receiver->onSnapshot(snapshot); });
            });
        });
    });
}

void World::perform(Address from, const Action& action)
{
    if (const auto* send = std::get_if<SendMessage>(&action)) {
        this->sendMessage(from, send->to, send->message);
    } else if (const auto* back = std::get_if<SendToCaller>(&action)) {
        this->logWatchedFlow(this->findNode(from)->name, "caller", back->packet);
        this->transmit(unpartitioned, unpartitioned, false, 2 * this->link.delay, [this, packet = back->packet] {
            std::vector<FlowPacket> out;
            this->callerModel.onPacket(this->queue.now(), packet, out);
            for (const FlowPacket& answer : out) {
                this->sendToAnyBalancer(answer);
            }
        });
    } else if (const auto* handOver = std::get_if<StartUpstreamRequest>(&action)) {
        dynamic_cast<AgentNode&>(*this->findNode(from)).handOver(*handOver);
    } else if (const auto* cancel = std::get_if<CancelUpstreamRequest>(&action)) {
        dynamic_cast<AgentNode&>(*this->findNode(from)).cancel(cancel->id);
    } else if (const auto* fetch = std::get_if<FetchSnapshot>(&action)) {
        this->fetchSnapshot(from, *fetch);
    }
}

void World::run()
{
    this->commitRules({ .kind = RuleCommandKind::Replace, .text = this->setupRules(), .who = "setup" });
    this->queue.runUntil(100ms);
    for (const auto& balancer : this->setup["balancers"]) {
        this->addBalancer(balancer["name"], balancer["zone"]);
    }
    for (const auto& upstream : this->setup["upstreams"]) {
        this->addAgent(upstream["name"], false);
    }
    this->tickCallers();
    const TimePoint end = std::chrono::milliseconds(this->setup["end_ms"].get<int64_t>());
    this->callerModel.endAt(end);
    for (const TraceEvent& event : this->events) {
        this->queue.schedule(event.at, [this, &event] { this->applyEvent(event); });
    }
    constexpr Duration measureStart = 3s; ///< Time for the processes to discover each other before measurements begin.
    for (TimePoint at = measureStart; at < end; at += measurePeriod) {
        this->queue.schedule(at, [this] { this->measureAll(); });
    }
    constexpr Duration closeTimeout = 25s; ///< Time for the callers to finish their requests and close their flows.
    this->queue.runUntil(end);
    for (TimePoint at = end; at < end + closeTimeout && !this->callerModel.isDone(this->queue.now()); at += measurePeriod) {
        this->queue.runUntil(at + measurePeriod);
    }
}

} // namespace lavender
