/** @file packet_route.cpp Where a caller's packet goes: to the own upstream, to the flow's owner, or on along the candidates. */
#include "packet/packet_agent_base.h"

#include "agent/candidate_func.h"
#include "core/hash_func.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration traceTime = 10s; ///< Renewed by each packet that follows the trace.
    constexpr uint32_t acknowledgeWindow = 1U << 16U; ///< Of a first acknowledgement behind the upstream's number.
    constexpr size_t maximumHeld = 256; ///< Opening packets of 31 bytes.
    constexpr Duration holdTime = 400ms; ///< The time between a caller's first and last copies.
    constexpr Duration firstFetchPeriod = 100ms;

} // namespace

void PacketAgent::handle(TimePoint now, const ForwardedPacket& received, Actions& actions)
{
    this->count.add(Counter::PacketsReceived);
    if (received.service != this->serviceHash) {
        this->count.add(Counter::PacketsWrongService);
        return;
    }
    const std::optional<Segment> segment = this->codec.parse(received.packet.payload);
    if (!segment) {
        this->count.add(Counter::PayloadsMalformed);
        return;
    }
    ForwardedPacket forwarded = received;
    if (!markVisited(forwarded, this->settings.address)) {
        this->count.add(Counter::PacketsHopLimit);
        return;
    }
    ++forwarded.hops;
    const FlowKey& key = forwarded.packet.flow;
    if (const auto flow = this->flows.find(key); flow != this->flows.end() && this->handleKnown(now, flow->second, *segment, forwarded, actions)) {
        if (forwarded.asker.isValid()) {
            flow->second.asker = flow->second.stage == FlowStage::Probing ? forwarded.asker : Address {};
            this->answerAsker(key, forwarded.asker, flow->second.stage == FlowStage::Open, actions);
        }
        return;
    }
    if (forwarded.asker.isValid()) {
        this->probeFor(now, *segment, forwarded, actions);
        return;
    }
    if (segment->isOpening) {
        this->handleOpening(now, *segment, forwarded, actions);
        return;
    }
    if (const auto trace = this->traces.find(key); trace != this->traces.end() && trace->second.owner.isValid()) {
        const MemberRecord* owner = this->peers.find(trace->second.owner);
        if (!isVisited(forwarded, trace->second.owner) && (owner == nullptr || owner->liveness != Liveness::Gone)) {
            trace->second.expires = now + traceTime;
            this->forward(forwarded, trace->second.owner, actions);
            return;
        }
    }
    this->passOn(now, *segment, forwarded, actions);
}

/** @return False where the packet has to go elsewhere. */
bool PacketAgent::handleKnown(TimePoint now, PacketFlow& flow, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions)
{
    if (segment.isOpening) {
        if (flow.stage == FlowStage::Offered && this->isUpstreamSilent(now)) {
            this->forget(forwarded.packet.flow);
            return false;
        }
        flow.balancer = forwarded.balancer;
        this->deliver(now, flow, segment, forwarded.packet.payload, actions);
        return true;
    }
    switch (flow.stage) {
    case FlowStage::Offered:
        return false;
    case FlowStage::Answered:
        // Copies of one opening packet may have been answered by two upstreams: the caller's first number tells whom it chose.
        if (!segment.isAcknowledging || segment.acknowledged - flow.upstreamSequence - 1 >= acknowledgeWindow) {
            return false;
        }
        flow.stage = FlowStage::Open;
        break;
    case FlowStage::Probing:
        // A packet that was not given back is held: the upstream answers only those that call for it.
        if (this->isUpstreamSilent(now)) {
            return false;
        }
        break;
    case FlowStage::Open:
    case FlowStage::Ended:
        break;
    }
    this->deliver(now, flow, segment, forwarded.packet.payload, actions);
    return true;
}

void PacketAgent::deliver(TimePoint now, PacketFlow& flow, const Segment& segment, const Bytes& packet, Actions& actions)
{
    flow.lastPacket = now;
    if (segment.isAcknowledging) {
        flow.callerAcknowledged = segment.acknowledged;
    }
    if (segment.dataBytes > 0 && flow.stage == FlowStage::Open) {
        this->setWaiting(now, flow, true);
        if (flow.busyAtRequest == 0) {
            flow.busyAtRequest = ++this->requests;
        }
    }
    flow.isCallerDone = flow.isCallerDone || segment.isFinishing;
    if (segment.isReset || (flow.isCallerDone && flow.isUpstreamDone)) {
        flow.stage = FlowStage::Ended;
        this->setWaiting(now, flow, false);
    }
    pushToUpstream(actions, packet);
}

/** Takes an opening packet, or tells the balancer why not. */
void PacketAgent::handleOpening(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions)
{
    if (!this->follower.hasAny()) {
        this->hold(now, forwarded, actions);
        return;
    }
    const Obstacle obstacle = this->obstacle(now, segment);
    const auto slots = static_cast<size_t>(this->peers.self().slots);
    if (obstacle == Obstacle::None && (this->waitingFlows < slots || forwarded.isPlaced)) {
        this->open(now, segment, forwarded, actions);
        return;
    }
    OpeningResult result = OpeningResult::Refused;
    if (obstacle == Obstacle::None) {
        result = OpeningResult::Busy;
    } else if (obstacle == Obstacle::QueueFull) {
        result = OpeningResult::Full;
    }
    this->count.add(Counter::FlowsRefused);
    this->events.note(EventLevel::Info, "opening-passed", { { "flow", formatFlow(forwarded.packet.flow) }, { "reason", std::string(toText(obstacle)) }, { "busy", std::to_string(this->waitingFlows) }, { "slots", std::to_string(slots) }, { "revision", std::to_string(this->follower.revision()) } });
    this->report(now, forwarded.packet.flow, result, forwarded.balancer, actions);
}

/** Tells the balancer what became of an opening, and what it may offer next. */
void PacketAgent::report(TimePoint now, const FlowKey& flow, OpeningResult result, Address balancer, Actions& actions) const
{
    if (!balancer.isValid()) {
        return;
    }
    const auto clamp = [](size_t number) { return static_cast<uint16_t>(std::min<size_t>(number, UINT16_MAX)); };
    const size_t limit = this->obstacle(now) == Obstacle::None ? this->queueLimit(flow.service) : 0;
    actions.push_back(SendMessage { balancer, OpeningOutcome { flow, this->settings.address, result, clamp(this->waitingFlows), this->peers.self().slots, clamp(limit) } });
}

/** Keeps an opening packet until the rules are here; they are asked for at once. */
void PacketAgent::hold(TimePoint now, const ForwardedPacket& forwarded, Actions& actions)
{
    if (forwarded.balancer.isValid() && now >= this->nextFetch) {
        this->nextFetch = now + firstFetchPeriod;
        actions.push_back(FetchSnapshot { forwarded.balancer, { .wantsMembers = true, .service = this->serviceHash } });
    }
    if (this->held.size() < maximumHeld) {
        this->held.push_back({ now, forwarded });
    }
}

/** Places what was held, unless the caller's next copy is due. */
void PacketAgent::releaseHeld(TimePoint now, Actions& actions)
{
    for (HeldOpening& opening : std::exchange(this->held, {})) {
        const std::optional<Segment> segment = this->codec.parse(opening.packet.packet.payload);
        if (segment && now - opening.since < holdTime) {
            this->handleOpening(now, *segment, opening.packet, actions);
        }
    }
}

void PacketAgent::open(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions)
{
    PacketFlow& flow = this->flows[forwarded.packet.flow];
    flow.offeredAt = now;
    flow.balancer = forwarded.balancer;
    flow.home = forwarded.home;
    this->traces.erase(forwarded.packet.flow);
    this->gate.noteOpening(now);
    if (this->unansweredSince == TimePoint {}) {
        this->unansweredSince = now;
    }
    this->count.add(Counter::FlowsOpened);
    this->setWaiting(now, flow, true);
    this->events.note(EventLevel::Info, "flow-placed", { { "flow", formatFlow(forwarded.packet.flow) }, { "hops", std::to_string(forwarded.hops) }, { "busy", std::to_string(this->waitingFlows) }, { "revision", std::to_string(this->follower.revision()) } });
    this->deliver(now, flow, segment, forwarded.packet.payload, actions);
}

/** True where the own upstream may hold a flow that began before this process. */
bool PacketAgent::isUnsureOf(TimePoint now, const FlowKey& flow) const
{
    return this->mayHoldUnknown(now) && !this->hasSaidGoodbye && !this->flows.contains(flow) && !this->traces.contains(flow);
}

void PacketAgent::probe(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions)
{
    PacketFlow& flow = this->flows[forwarded.packet.flow];
    flow.stage = FlowStage::Probing;
    flow.offeredAt = now;
    flow.asker = forwarded.asker;
    this->count.add(Counter::FlowsProbed);
    this->firstProbeAt = this->unansweredProbes++ == 0 ? now : this->firstProbeAt;
    this->deliver(now, flow, segment, forwarded.packet.payload, actions);
}

/** Another agent searches for the flow: what the own upstream does with the packet tells whether it is here. */
void PacketAgent::probeFor(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions)
{
    const FlowKey& key = forwarded.packet.flow;
    if (this->isUnsureOf(now, key)) {
        this->probe(now, segment, forwarded, actions);
    } else if (!this->flows.contains(key)) {
        this->answerAsker(key, forwarded.asker, false, actions);
    }
}

void PacketAgent::answerAsker(const FlowKey& flow, Address asker, bool isHere, Actions& actions) const
{
    actions.push_back(SendMessage { asker, FlowQueryReply { flow, this->settings.address, isHere ? this->settings.address : Address {} } });
}

/** Sends a packet of an unknown flow on; after a restart the own upstream may hold it. */
void PacketAgent::passOn(TimePoint now, const Segment& segment, ForwardedPacket& forwarded, Actions& actions)
{
    const FlowKey& key = forwarded.packet.flow;
    if (this->isUnsureOf(now, key) && !segment.isReset) {
        this->probe(now, segment, forwarded, actions);
        return;
    }
    if (!this->forwardToNext(forwarded, actions)) {
        this->beginSearch(now, forwarded, actions);
    }
}

bool PacketAgent::forwardToNext(ForwardedPacket& forwarded, Actions& actions)
{
    const auto next = std::find_if(forwarded.candidates.begin(), forwarded.candidates.end(), [&](Address agent) {
        const MemberRecord* record = this->peers.find(agent);
        return !isVisited(forwarded, agent) && (record == nullptr || record->liveness != Liveness::Gone);
    });
    if (next == forwarded.candidates.end()) {
        return false;
    }
    this->forward(forwarded, Address(*next), actions);
    return true;
}

void PacketAgent::forward(ForwardedPacket& forwarded, Address to, Actions& actions)
{
    if (forwarded.hops >= maximumHops) {
        this->count.add(Counter::PacketsHopLimit);
        return;
    }
    (void)candidateIndex(forwarded, to);
    this->count.add(Counter::Chained);
    actions.push_back(SendMessage { to, forwarded });
}

void PacketAgent::remember(TimePoint now, const FlowKey& flow, Address owner)
{
    this->traces[flow] = { owner, now + traceTime };
}

void PacketAgent::fillCandidates(ForwardedPacket& forwarded) const
{
    if (this->table.isEmpty()) {
        return;
    }
    const BucketChoice& choice = this->table.choose(hashFlow(forwarded.packet.flow));
    const auto add = [&](uint16_t index) {
        if (index != BucketChoice::none) {
            (void)candidateIndex(forwarded, this->table.members()[index].address);
        }
    };
    add(choice.home);
    add(choice.second);
    std::for_each(choice.ranked.begin(), choice.ranked.end(), add);
}

} // namespace lavender
