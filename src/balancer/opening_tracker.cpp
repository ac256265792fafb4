/** @file opening_tracker.cpp Sends offers of opening packets and handles their outcomes and timeouts. */
#include "balancer/opening_tracker.h"

#include "packet/admission/opening_limit.h"
#include "packet/segment_base.h"

#include <algorithm>
#include <bit>
#include <string>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration offerTimeout = 60ms; ///< 20 trips between zones; offers to two agents can time out before the caller's first retransmission.
    constexpr size_t maximumSlotOffers = 5; ///< Agents that are offered an opening for a free slot before the shortest queue is tried.
    constexpr int maximumQueueOffers = 2; ///< Queues that are tried: a second one in case the first has filled since its agent reported.
    constexpr Duration loadLifetime = 30ms; ///< An upstream with 8 slots and 60 ms a request frees about four slots in this time.
    constexpr Duration expiryPeriod = 1s; ///< Scanning some thousands of openings in every tick took a tenth of the CPU time.
    constexpr Duration idleTimeout = 10s; ///< Without packets of a flow for this long, its owner is forgotten.
    constexpr Duration avoidanceTime = 3s; ///< After this, missed heartbeats decide about the agent.
    constexpr Duration announceRequestPeriod = 200ms; ///< Time between two requests for an announcement of an avoided agent.
    constexpr Duration pauseThreshold = 300ms; ///< A longer time between two ticks: the process was suspended, so timeouts say nothing about agents.

} // namespace

void OpeningTracker::moveAvoidedLast(std::vector<Address>& candidates) const
{
    if (this->avoided.empty()) {
        return; // Fast path: usually no agent is avoided.
    }
    std::stable_partition(candidates.begin(), candidates.end(), [this](Address agent) { return !this->avoided.contains(agent); });
}

void OpeningTracker::orderCandidates(TimePoint now, ForwardedPacket& forwarded, const MemberTable& members)
{
    auto& list = forwarded.candidates;
    this->moveAvoidedLast(list);
    const auto found = this->openings.find(forwarded.packet.flow);
    if (found == this->openings.end() || !found->second.owner.isValid() || found->second.packet.service != forwarded.service) {
        return;
    }
    found->second.lastUsedAt = now;
    // If two upstreams answered, the remembered owner may be the one that the caller did not choose: others find the flow then.
    const Member* owner = members.find(found->second.owner);
    if (this->avoided.contains(found->second.owner) || (owner != nullptr && owner->record.liveness == Liveness::Gone)) {
        return;
    }
    std::erase(list, found->second.owner);
    list.insert(list.begin(), found->second.owner);
}

void OpeningTracker::onOpening(TimePoint now, ForwardedPacket forwarded, uint32_t copy, Actions& actions, const OpeningNeeds& needs, Duration waited)
{
    Opening& opening = this->openings[forwarded.packet.flow];
    opening.lastUsedAt = now;
    if (opening.owner.isValid() && !this->avoided.contains(opening.owner) && opening.packet.service == forwarded.service) {
        actions.push_back(SendMessage { opening.owner, std::move(forwarded) });
        return;
    }
    if (opening.offeredTo.isValid()) {
        return; // A retransmission while the answer to an offer is due.
    }
    this->startOffers(now, opening, std::move(forwarded), copy, needs, waited, actions);
}

void OpeningTracker::startOffers(TimePoint now, Opening& opening, ForwardedPacket forwarded, uint32_t copy, const OpeningNeeds& needs, Duration waited, Actions& actions)
{
    // A retransmission keeps what is known of earlier copies. Copy 0 starts over: it is a new attempt from the same port.
    opening = {
        .packet = std::move(forwarded),
        .startedAt = now,
        .arrivedAfter = now - waited,
        .lastUsedAt = now,
        .isPending = opening.isPending,
        .copy = copy,
        .needs = needs,
        .refusedCopyMask = copy == 0 ? 0 : opening.refusedCopyMask,
        .hadTimeout = copy != 0 && opening.hadTimeout,
    };
    this->moveAvoidedLast(opening.packet.candidates);
    this->offerNext(now, opening, actions);
}

OpeningTracker::AgentLoad* OpeningTracker::recentLoad(TimePoint now, Address agent)
{
    const auto found = this->loads.find(agent);
    return found == this->loads.end() || now - found->second.reportedAt >= loadLifetime ? nullptr : &found->second;
}

void OpeningTracker::sendOffer(TimePoint now, Opening& opening, Address agent, Actions& actions)
{
    if (AgentLoad* load = this->recentLoad(now, agent); load != nullptr) {
        ++load->busy; // Counts the offer as accepted until the outcome replaces the load.
    }
    if (!std::exchange(opening.isPending, true)) {
        this->pending.push_back(opening.packet.packet.flow);
    }
    this->outliers.onOffer(opening.packet.service, agent);
    opening.offeredTo = agent;
    opening.offeredAt = now;
    ForwardedPacket packet = opening.packet;
    packet.candidates.clear(); // The agent must not forward the packet: if it cannot accept it, it tells the balancer.
    packet.isPlaced = opening.isQueueOffer;
    actions.push_back(SendMessage { agent, std::move(packet) });
}

/**
 * Offers the packet to the next candidate that may have a free slot. Avoided agents come last, and get an offer only while
 * no busy agent is known whose queue could be used instead. Outliers that have had their trials get one only if asked for.
 * @return False if no candidate is left.
 */
bool OpeningTracker::offerFreeSlot(TimePoint now, Opening& opening, bool includesHeldBack, Actions& actions)
{
    const auto& candidates = opening.packet.candidates;
    for (size_t index = 0; index < candidates.size(); ++index) {
        const uint32_t bit = 1U << index;
        const AgentLoad* load = this->recentLoad(now, candidates[index]);
        const bool hasNoFreeSlot = load != nullptr && load->busy >= std::min(load->slots, load->limitFor(this->timing, opening));
        opening.hasBusyAgent = opening.hasBusyAgent || (hasNoFreeSlot && load->limit != 0);
        if ((opening.slotOfferMask & bit) != 0 || hasNoFreeSlot || (opening.hasBusyAgent && this->avoided.contains(candidates[index]))) {
            continue;
        }
        if (!includesHeldBack && this->outliers.isHeldBack(opening.packet.service, candidates[index])) {
            continue;
        }
        opening.slotOfferMask |= bit;
        ++opening.slotOffers;
        this->sendOffer(now, opening, candidates[index], actions);
        return true;
    }
    return false;
}

/** Offers the packet to the candidate with the shortest known queue. @return False if none is left or enough were tried. */
bool OpeningTracker::offerQueuePlace(TimePoint now, Opening& opening, Actions& actions)
{
    const auto& candidates = opening.packet.candidates;
    const AgentLoad* shortest = nullptr;
    size_t shortestIndex = 0;
    for (size_t index = 0; index < candidates.size(); ++index) {
        const auto known = this->loads.find(candidates[index]);
        const bool hadSlotOffer = (opening.slotOfferMask & 1U << index) != 0;
        const AgentLoad* load = hadSlotOffer && known != this->loads.end() ? &known->second : this->recentLoad(now, candidates[index]);
        const bool isUsable = load != nullptr && load->busy < load->limitFor(this->timing, opening) && !isOverTimeout(*load, opening.needs) && (opening.queueOfferMask & 1U << index) == 0
            && !this->avoided.contains(candidates[index]) && !this->outliers.isAside(opening.packet.service, candidates[index]);
        // Compares busy / slots, the requests per slot, without a division.
        if (isUsable && (shortest == nullptr || load->busy * shortest->slots < shortest->busy * load->slots)) {
            shortest = load;
            shortestIndex = index;
        }
    }
    if (shortest == nullptr || std::popcount(opening.queueOfferMask) >= maximumQueueOffers) {
        return false;
    }
    opening.queueOfferMask |= 1U << shortestIndex;
    opening.isQueueOffer = true;
    this->sendOffer(now, opening, candidates[shortestIndex], actions);
    return true;
}

void OpeningTracker::offerNext(TimePoint now, Opening& opening, Actions& actions)
{
    const bool mayOfferSlot = !opening.isQueueOffer && opening.slotOffers < maximumSlotOffers;
    if (mayOfferSlot && this->offerFreeSlot(now, opening, false, actions)) {
        return;
    }
    if (this->offerQueuePlace(now, opening, actions)) {
        return;
    }
    if (!opening.isQueueOffer && this->offerFreeSlot(now, opening, false, actions)) {
        return; // No queue can be used: tries further agents beyond maximumSlotOffers.
    }
    if (!opening.isQueueOffer && !opening.hasBusyAgent && this->offerFreeSlot(now, opening, true, actions)) {
        return; // No other agent takes new flows at present, however few it has.
    }
    this->refuse(now, opening);
}

void OpeningTracker::refuse(TimePoint now, Opening& opening)
{
    constexpr uint32_t allCopies = (1U << (FlowTiming::lastOpeningCopy + 1)) - 1;
    opening.offeredTo = {};
    if (opening.hasBusyAgent && opening.copy <= FlowTiming::lastOpeningCopy) {
        opening.refusedCopyMask |= 1U << opening.copy;
    }
    const bool areCopiesExhausted = opening.hasBusyAgent && opening.refusedCopyMask == allCopies && !opening.hadTimeout;
    const Duration age = now - opening.arrivedAfter;
    const bool mayNextCopyBePlaced = this->timing.mayNextCopyBeSent(opening.copy, age); // By another balancer.
    this->refused.push_back({ opening.packet.packet, opening.hasBusyAgent, areCopiesExhausted, opening.copy + 1, opening.hadTimeout, age, !mayNextCopyBePlaced && this->isUnservable(opening) });
}

uint16_t OpeningTracker::AgentLoad::limitFor(const FlowTiming& timing, const Opening& opening) const
{
    const bool isLastCopy = opening.copy == FlowTiming::lastOpeningCopy;
    return isLastCopy && timing.isLastChance(opening.copy, opening.needs.timeout) ? this->lastChanceLimit : this->limit;
}

std::optional<Duration> OpeningTracker::AgentLoad::answerTime() const
{
    if (this->processingTime == Duration::zero() || this->slots == 0) {
        return std::nullopt;
    }
    const int64_t requests = std::max<int64_t>(this->busy + 1, this->slots);
    return this->processingTime * requests / this->slots;
}

/** True if the agent's upstream is known to answer one more request only after the route's timeout. */
bool OpeningTracker::isOverTimeout(const AgentLoad& load, const OpeningNeeds& needs)
{
    const std::optional<Duration> answerTime = load.answerTime();
    return needs.timeout && answerTime && *answerTime > *needs.timeout;
}

/**
 * True if a refused opening can be reset with certainty that it was not accepted and to no loss of the caller: this balancer saw
 * all copies refused, and the upstream of every candidate would answer only after the route's timeout. An agent that takes no
 * flow for another reason than its load, or whose load is unknown, may serve the next copy.
 */
bool OpeningTracker::isUnservable(const Opening& opening) const
{
    if (!opening.needs.timeout || opening.hadTimeout || opening.copy > FlowTiming::lastOpeningCopy) {
        return false;
    }
    const uint32_t copiesSoFar = (1U << (opening.copy + 1)) - 1;
    if (opening.refusedCopyMask != copiesSoFar) {
        return false;
    }
    const auto& candidates = opening.packet.candidates;
    return std::all_of(candidates.begin(), candidates.end(), [&](Address agent) {
        const auto found = this->loads.find(agent);
        return found != this->loads.end() && found->second.limit != 0 && isOverTimeout(found->second, opening.needs);
    });
}

std::optional<uint64_t> OpeningTracker::serviceOf(const FlowKey& flow) const
{
    const auto found = this->openings.find(flow);
    return found == this->openings.end() || !found->second.owner.isValid() ? std::nullopt : std::optional(found->second.packet.service);
}

void OpeningTracker::learnOwner(TimePoint now, const OpeningOutcome& outcome)
{
    Opening& opening = this->openings[outcome.flow];
    if (opening.offeredTo.isValid()) {
        return; // The caller opens the flow anew from the same port.
    }
    opening.packet.packet.flow = outcome.flow;
    opening.packet.service = outcome.service;
    opening.owner = outcome.agent;
    opening.lastUsedAt = now;
}

void OpeningTracker::onOutcome(TimePoint now, const OpeningOutcome& outcome, Actions& actions)
{
    this->avoided.erase(outcome.agent);
    this->loads[outcome.agent] = { outcome.busy, outcome.slots, outcome.limit, now, std::chrono::milliseconds(outcome.processingMs), outcome.lastChanceLimit };
    const auto found = this->openings.find(outcome.flow);
    if (found == this->openings.end()) {
        return;
    }
    Opening& opening = found->second;
    this->outliers.onReport(now, opening.packet.service, outcome.agent, outcome.requests);
    if (outcome.result == OpeningResult::Accepted) {
        if (!opening.owner.isValid()) {
            this->outliers.onPlaced(opening.packet.service);
        }
        this->placementHistogram.add(now - opening.startedAt);
        opening.owner = outcome.agent;
        opening.packet.service = outcome.service; // Not that of an offer made since, if the rules have changed between copies.
        opening.offeredTo = {};
        opening.lastUsedAt = now;
        opening.packet.packet.payload.clear();
        return;
    }
    opening.hasBusyAgent = opening.hasBusyAgent || outcome.result != OpeningResult::Refused;
    if (outcome.agent == opening.offeredTo && outcome.result == OpeningResult::OtherRules) {
        this->refuse(now, opening); // So would all agents of the service. The caller's next copy goes where later rules send it.
    } else if (outcome.agent == opening.offeredTo) {
        this->offerNext(now, opening, actions);
    }
}

std::vector<Address> OpeningTracker::tick(TimePoint now, Actions& actions)
{
    const bool wasPaused = this->lastTick != TimePoint {} && now - this->lastTick > pauseThreshold;
    this->lastTick = now;
    for (const FlowKey& flow : std::exchange(this->pending, {})) {
        const auto found = this->openings.find(flow);
        if (found == this->openings.end()) {
            continue;
        }
        Opening& opening = found->second;
        opening.isPending = opening.offeredTo.isValid();
        if (!opening.isPending) {
            continue;
        }
        this->pending.push_back(flow);
        if (now - opening.offeredAt < offerTimeout) {
            continue;
        }
        if (!wasPaused && !this->avoided.contains(opening.offeredTo)) {
            this->avoided[opening.offeredTo] = { now + avoidanceTime, {} };
            this->counters.add(Counter::AgentsAvoided);
            this->events.log(EventLevel::Info, "agent-avoided",
                {
                    { "agent", formatAddress(opening.offeredTo) },
                    { "flow", formatFlow(flow) },
                    { "unanswered_ms", std::to_string(toMilliseconds(now - opening.offeredAt)) },
                });
        }
        this->loads.erase(opening.offeredTo);
        opening.hadTimeout = true;
        this->offerNext(now, opening, actions);
    }
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryPeriod;
        this->outliers.expire(now);
        std::erase_if(this->openings, [now](const auto& entry) { return now - entry.second.lastUsedAt >= idleTimeout; });
    }
    std::erase_if(this->avoided, [now](const auto& entry) { return now >= entry.second.until; });
    std::erase_if(this->loads, [now, lifetime = this->timing.openingCopies[1]](const auto& entry) { return now - entry.second.reportedAt >= lifetime; });
    std::vector<Address> agentsToAsk;
    for (auto& [agent, avoidance] : this->avoided) {
        if (now - avoidance.announceRequestedAt >= announceRequestPeriod) {
            avoidance.announceRequestedAt = now;
            agentsToAsk.push_back(agent);
        }
    }
    return agentsToAsk;
}

} // namespace lavender
