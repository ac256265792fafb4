/** @file world.cpp Nodes and the carrier between them. */
#include "replay/world.h"

#include "core/hash_func.h"
#include "core/text_func.h"
#include "wire/codec_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration tickPeriod = 50ms;
    constexpr Duration callerTickPeriod = 10ms;
    constexpr Duration measurePeriod = 100ms;
    constexpr uint32_t callerHost = 0x0a000001;
    constexpr uint32_t balancerHosts = 0x0a630001;
    constexpr uint32_t agentHosts = 0x0a620001;
    constexpr uint32_t serviceHosts = 0x0a140001;
    constexpr uint16_t nodePort = 7000;
    constexpr std::string_view outside; ///< Zone of callers and of the store: no partition reaches them.

} // namespace

World::World(const Trace& trace, ReplayPolicy replayPolicy, uint64_t seed)
    : setup(trace.setup)
    , events(trace.events)
    , policy(std::move(replayPolicy))
    , random(seed)
    , callerRandom(hashPair(seed, 1))
    , store(queue)
    , model(callerHost, callerRandom)
{
    this->store.onRules = [this](const StoreValue& value) { this->noteRules(value); };
}

CallerSpec World::callerSpec(const nlohmann::json& fields) const
{
    const auto& services = this->setup["services"];
    const std::string name = fields["service"].get<std::string>();
    uint32_t index = 0;
    while (index < services.size() && services[index]["name"] != name) {
        ++index;
    }
    CallerSpec spec { .service = name, .address = { serviceHosts + index, 80 } };
    spec.period = std::chrono::milliseconds(fields.value("period_ms", 1000));
    spec.isRepeatable = fields.value("repeatable", false);
    spec.bodyBytes = fields.value("body_bytes", 100U);
    return spec;
}

void World::addBalancer(const std::string& name, const std::string& zone)
{
    const Address address { balancerHosts + static_cast<uint32_t>(this->balancers.size()), nodePort };
    const std::vector<Address> seeds { { balancerHosts, nodePort }, { balancerHosts + 1, nodePort }, { balancerHosts + 2, nodePort } };
    this->balancers.push_back(std::make_unique<BalancerNode>(name, address, zone, this->policy.steering, hashPair(this->random.below(1U << 30U), this->nextSeed++), seeds, this->queue, *this, this->store));
    this->byAddress[address] = this->balancers.back().get();
    this->tickNode(*this->balancers.back());
}

void World::addAgent(const std::string& name, bool isReturn)
{
    const auto& upstreams = this->setup["upstreams"];
    uint32_t index = 0;
    while (upstreams[index]["name"] != name) {
        ++index;
    }
    const auto& entry = upstreams[index];
    AgentNodeSpec spec { .name = name, .address = { agentHosts + index, nodePort }, .zone = entry["zone"], .service = entry["service"] };
    for (const auto& service : this->setup["services"]) {
        if (service["name"] == spec.service) {
            spec.slots = service["slots"].get<uint16_t>();
        }
    }
    spec.workTime = std::chrono::milliseconds(entry.value("work_ms", 20));
    spec.coldTime = std::chrono::milliseconds(entry.value("cold_ms", 0));
    spec.isCold = isReturn || entry.value("is_cold", false);
    spec.isChaining = this->policy.isChaining;
    spec.incarnation = static_cast<uint64_t>(toMilliseconds(this->queue.now())) + 1;
    spec.seed = hashPair(this->random.below(1U << 30U), this->nextSeed++);
    this->agents.push_back(std::make_unique<AgentNode>(spec, this->queue, *this, this->store));
    this->byAddress[spec.address] = this->agents.back().get();
    this->tickNode(*this->agents.back());
}

/** Ticks a node for as long as it lives; each node at its own moment. */
void World::tickNode(ReplayNode& node)
{
    this->queue.scheduleIn(this->random.jitter(tickPeriod), [this, &node] {
        if (!node.isAlive()) {
            return;
        }
        node.run([&node] { node.tick(); });
        const std::function<void()> again = [this, &node] { this->tickNode(node); };
        this->queue.scheduleIn(tickPeriod / 2, again);
    });
}

void World::tickCallers()
{
    std::vector<FlowPacket> out;
    this->model.tick(this->queue.now(), out);
    for (const FlowPacket& packet : out) {
        this->sprayPacket(packet);
    }
    this->queue.scheduleIn(callerTickPeriod, [this] { this->tickCallers(); });
}

/** The fabric: any live balancer may get any packet. */
void World::sprayPacket(const FlowPacket& packet)
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
    this->carry(outside, outside, false, 2 * this->faults.delay, [this, balancer, packet] { this->arrive(*balancer, packet); });
}

void World::carry(std::string_view fromZone, std::string_view toZone, bool isControl, Duration base, const std::function<void()>& function)
{
    const bool isCut = !fromZone.empty() && !toZone.empty() && this->isolated.contains(std::string(fromZone)) != this->isolated.contains(std::string(toZone));
    const int copies = this->random.chance(this->faults.duplicatePartsPerMillion) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const bool isLost = this->random.chance(isControl ? this->faults.controlLossPartsPerMillion : this->faults.lossPartsPerMillion);
        if (!isCut && !isLost) {
            this->queue.scheduleIn(base + this->random.jitter(this->faults.jitter), function);
        }
    }
}

ReplayNode* World::findNode(Address address)
{
    const auto found = this->byAddress.find(address);
    return found == this->byAddress.end() ? nullptr : found->second;
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

void World::arrive(ReplayNode& node, const Message& message)
{
    node.run([&node, message] { node.onMessage(message); });
}

void World::deliver(Address from, Address to, const Message& message)
{
    const ReplayNode* sender = this->findNode(from);
    const auto* forwarded = std::get_if<ForwardedPacket>(&message);
    if (forwarded != nullptr && forwarded->packet.mark == PacketMark::Middle) {
        const bool isFromBalancer = dynamic_cast<const BalancerNode*>(sender) != nullptr;
        ++(isFromBalancer ? this->measure.fromBalancers : this->measure.fromAgents);
    }
    ReplayNode* target = this->findNode(to);
    if (target == nullptr || sender == nullptr) {
        return;
    }
    this->showMessage(sender->name, target->name, message);
    // Through the codec, as on a socket.
    const absl::StatusOr<Message> decoded = decodeMessage(encodeMessage(message));
    if (!decoded.ok()) {
        return;
    }
    this->carry(sender->zone, target->zone, forwarded == nullptr, this->faults.delay, [this, to, arrived = *decoded] {
        ReplayNode* receiver = this->findNode(to);
        if (receiver == nullptr) {
            return;
        }
        if (const auto* agent = dynamic_cast<const AgentNode*>(receiver); agent != nullptr && std::holds_alternative<ForwardedPacket>(arrived)) {
            this->notePacketInto(*agent);
        }
        this->arrive(*receiver, arrived);
    });
}

void World::fetch(Address from, const FetchSnapshot& action)
{
    const ReplayNode* asker = this->findNode(from);
    const ReplayNode* source = this->findNode(action.from);
    if (asker == nullptr || source == nullptr) {
        return;
    }
    const bool isCut = this->isolated.contains(asker->zone) != this->isolated.contains(source->zone);
    if (isCut) {
        return;
    }
    // TCP: no loss, two round trips.
    this->queue.scheduleIn(3 * this->faults.delay, [this, from, action] {
        ReplayNode* asked = this->findNode(action.from);
        asked->run([this, asked, from, ask = action.ask] {
            this->queue.scheduleIn(this->faults.delay, [this, from, snapshot = asked->makeSnapshot(ask)] {
                ReplayNode* receiver = this->findNode(from);
                receiver->run([receiver, snapshot] { receiver->onSnapshot(snapshot); });
            });
        });
    });
}

void World::perform(Address from, const Action& action)
{
    if (const auto* send = std::get_if<SendMessage>(&action)) {
        this->deliver(from, send->to, send->message);
    } else if (const auto* back = std::get_if<SendToCaller>(&action)) {
        this->showMessage(this->findNode(from)->name, "caller", back->packet);
        this->carry(outside, outside, false, 2 * this->faults.delay, [this, packet = back->packet] {
            std::vector<FlowPacket> out;
            this->model.onPacket(this->queue.now(), packet, out);
            for (const FlowPacket& answer : out) {
                this->sprayPacket(answer);
            }
        });
    } else if (const auto* handOver = std::get_if<HandOver>(&action)) {
        dynamic_cast<AgentNode&>(*this->findNode(from)).handOver(*handOver);
    } else if (const auto* cancel = std::get_if<CancelHandOver>(&action)) {
        dynamic_cast<AgentNode&>(*this->findNode(from)).cancel(cancel->id);
    } else if (const auto* ask = std::get_if<FetchSnapshot>(&action)) {
        this->fetch(from, *ask);
    }
}

void World::run()
{
    this->changeRules({ .kind = RuleCommandKind::Replace, .text = this->setupRules(), .who = "setup" });
    this->queue.runUntil(100ms);
    for (const auto& balancer : this->setup["balancers"]) {
        this->addBalancer(balancer["name"], balancer["zone"]);
    }
    for (const auto& upstream : this->setup["upstreams"]) {
        this->addAgent(upstream["name"], false);
    }
    this->tickCallers();
    const TimePoint end = std::chrono::milliseconds(this->setup["end_ms"].get<int64_t>());
    this->model.endAt(end);
    for (const TraceEvent& event : this->events) {
        this->queue.schedule(event.at, [this, &event] { this->applyEvent(event); });
    }
    constexpr Duration startTime = 3s; ///< Processes find each other before the measuring begins.
    for (TimePoint at = startTime; at < end; at += measurePeriod) {
        this->queue.schedule(at, [this] { this->measureAll(); });
    }
    constexpr Duration windDown = 25s; ///< Callers close what is open.
    this->queue.runUntil(end);
    for (TimePoint at = end; at < end + windDown && !this->model.isDone(this->queue.now()); at += measurePeriod) {
        this->queue.runUntil(at + measurePeriod);
    }
}

} // namespace lavender
