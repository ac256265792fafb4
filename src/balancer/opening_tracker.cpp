/** @file opening_tracker.cpp Offers, their answers, and agents that leave them unanswered. */
#include "balancer/opening_tracker.h"

#include "packet/segment_base.h"

#include <algorithm>
#include <bit>
#include <string>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration answerTimeout = 60ms; ///< Twenty crossings of zones; two agents in a row may fail before the caller's first copy.
    constexpr size_t busyOffers = 5; ///< Agents asked for a free slot before the shortest queue is taken.
    constexpr int placeOffers = 2; ///< Queues tried: the second where the first has filled since it was heard of.
    constexpr Duration loadAge = 30ms; ///< An upstream of 8 slots and 60 ms a request frees some four slots in that time.
    constexpr Duration loadMemory = 200ms; ///< Who was asked for the same opening is believed until the caller's first copy.
    constexpr Duration expiryPeriod = 1s; ///< Looking through some thousands of openings at every tick took a tenth of the processor time.
    constexpr Duration idleAge = 10s; ///< An owner is forgotten when its flow was not used for so long.
    constexpr Duration avoidTime = 3s; ///< Heartbeats decide from then on.
    constexpr Duration askPeriod = 200ms;
    constexpr Duration pauseThreshold = 300ms; ///< A tick this late means that the process stood still.

} // namespace

void OpeningTracker::sortAvoided(std::vector<Address>& candidates) const
{
    if (this->avoided.empty()) {
        return; // As for nearly every packet.
    }
    std::stable_partition(candidates.begin(), candidates.end(), [this](Address agent) { return !this->avoided.contains(agent); });
}

void OpeningTracker::arrange(TimePoint now, ForwardedPacket& forwarded)
{
    auto& list = forwarded.candidates;
    this->sortAvoided(list);
    const auto found = this->openings.find(forwarded.packet.flow);
    if (found == this->openings.end() || !found->second.owner.isValid()) {
        return;
    }
    found->second.lastUse = now;
    std::erase(list, found->second.owner);
    list.insert(list.begin(), found->second.owner);
}

void OpeningTracker::open(TimePoint now, ForwardedPacket forwarded, uint32_t copy, Actions& actions)
{
    Opening& opening = this->openings[forwarded.packet.flow];
    opening.lastUse = now;
    if (opening.owner.isValid() && !this->avoided.contains(opening.owner)) {
        actions.push_back(SendMessage { opening.owner, std::move(forwarded) });
        return;
    }
    if (opening.target.isValid()) {
        return; // A copy, while an agent still has the offer.
    }
    this->begin(now, opening, std::move(forwarded), copy, actions);
}

void OpeningTracker::begin(TimePoint now, Opening& opening, ForwardedPacket forwarded, uint32_t copy, Actions& actions)
{
    opening = { .packet = std::move(forwarded), .begunAt = now, .lastUse = now, .isPending = opening.isPending, .copy = copy, .copiesRefused = copy == 0 ? 0 : opening.copiesRefused, .wasUnanswered = copy != 0 && opening.wasUnanswered };
    this->sortAvoided(opening.packet.candidates);
    this->offerNext(now, opening, actions);
}

OpeningTracker::AgentLoad* OpeningTracker::recentLoad(TimePoint now, Address agent)
{
    const auto found = this->loads.find(agent);
    return found == this->loads.end() || now - found->second.heard >= loadAge ? nullptr : &found->second;
}

void OpeningTracker::offer(TimePoint now, Opening& opening, Address agent, Actions& actions)
{
    if (AgentLoad* load = this->recentLoad(now, agent); load != nullptr) {
        ++load->busy; // Until its answer says otherwise.
    }
    if (!std::exchange(opening.isPending, true)) {
        this->pending.push_back(opening.packet.packet.flow);
    }
    opening.target = agent;
    opening.offeredAt = now;
    ForwardedPacket packet = opening.packet;
    packet.candidates.clear(); // Whoever cannot take it says so to the balancer.
    packet.isPlaced = opening.isPlaced;
    actions.push_back(SendMessage { agent, std::move(packet) });
}

/** Asks the next candidate that may have a free slot. Those that do not answer come last, and only if no queue is known. */
bool OpeningTracker::askForSlot(TimePoint now, Opening& opening, Actions& actions)
{
    const auto& candidates = opening.packet.candidates;
    for (size_t index = 0; index < candidates.size(); ++index) {
        const uint32_t bit = 1U << index;
        const AgentLoad* load = this->recentLoad(now, candidates[index]);
        const bool isTaken = load != nullptr && load->busy >= std::min(load->slots, load->limit);
        opening.isFull = opening.isFull || (isTaken && load->limit != 0);
        if ((opening.asked & bit) != 0 || isTaken || (opening.isFull && this->avoided.contains(candidates[index]))) {
            continue;
        }
        opening.asked |= bit;
        ++opening.offers;
        this->offer(now, opening, candidates[index], actions);
        return true;
    }
    return false;
}

/** Takes the shortest queue that is known. */
bool OpeningTracker::askForPlace(TimePoint now, Opening& opening, Actions& actions)
{
    const auto& candidates = opening.packet.candidates;
    const AgentLoad* shortest = nullptr;
    size_t choice = 0;
    for (size_t index = 0; index < candidates.size(); ++index) {
        const auto known = this->loads.find(candidates[index]);
        const bool isAsked = (opening.asked & 1U << index) != 0;
        const AgentLoad* load = isAsked && known != this->loads.end() ? &known->second : this->recentLoad(now, candidates[index]);
        const bool hasPlace = load != nullptr && load->busy < load->limit && (opening.placed & 1U << index) == 0 && !this->avoided.contains(candidates[index]);
        // Queues in parts of the slots that work them off.
        if (hasPlace && (shortest == nullptr || load->busy * shortest->slots < shortest->busy * load->slots)) {
            shortest = load;
            choice = index;
        }
    }
    if (shortest == nullptr || std::popcount(opening.placed) >= placeOffers) {
        return false;
    }
    opening.placed |= 1U << choice;
    opening.isPlaced = true;
    this->offer(now, opening, candidates[choice], actions);
    return true;
}

void OpeningTracker::offerNext(TimePoint now, Opening& opening, Actions& actions)
{
    const bool mayAsk = !opening.isPlaced && opening.offers < busyOffers;
    if (mayAsk && this->askForSlot(now, opening, actions)) {
        return;
    }
    if (this->askForPlace(now, opening, actions)) {
        return;
    }
    if (!opening.isPlaced && this->askForSlot(now, opening, actions)) {
        return; // Nobody has a queue so far: the others too.
    }
    this->refuse(opening);
}

void OpeningTracker::refuse(Opening& opening)
{
    constexpr uint32_t allCopies = (1U << (lastOpeningCopy + 1)) - 1;
    opening.target = {};
    if (opening.isFull && opening.copy <= lastOpeningCopy) {
        opening.copiesRefused |= 1U << opening.copy;
    }
    const bool isHopeless = opening.isFull && opening.copiesRefused == allCopies && !opening.wasUnanswered;
    this->refused.push_back({ opening.packet.packet, opening.isFull, isHopeless });
}

void OpeningTracker::onOutcome(TimePoint now, const OpeningOutcome& outcome, Actions& actions)
{
    this->avoided.erase(outcome.agent);
    this->loads[outcome.agent] = { outcome.busy, outcome.slots, outcome.limit, now };
    const auto found = this->openings.find(outcome.flow);
    if (found == this->openings.end()) {
        return;
    }
    Opening& opening = found->second;
    if (outcome.result == OpeningResult::Accepted) {
        this->latencies.add(now - opening.begunAt);
        opening.owner = outcome.agent;
        opening.target = {};
        opening.lastUse = now;
        opening.packet.packet.payload.clear();
        return;
    }
    opening.isFull = opening.isFull || outcome.result != OpeningResult::Refused;
    if (outcome.agent == opening.target) {
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
        opening.isPending = opening.target.isValid();
        if (!opening.isPending) {
            continue;
        }
        this->pending.push_back(flow);
        if (now - opening.offeredAt < answerTimeout) {
            continue;
        }
        if (!wasPaused && !this->avoided.contains(opening.target)) {
            this->avoided[opening.target] = { now + avoidTime, {} };
            this->counters.add(Counter::AgentsAvoided);
            this->events.note(EventLevel::Info, "agent-avoided", { { "agent", formatAddress(opening.target) }, { "flow", formatFlow(flow) }, { "unanswered_ms", std::to_string(toMilliseconds(now - opening.offeredAt)) } });
        }
        this->loads.erase(opening.target);
        opening.wasUnanswered = true;
        this->offerNext(now, opening, actions);
    }
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryPeriod;
        std::erase_if(this->openings, [now](const auto& entry) { return now - entry.second.lastUse >= idleAge; });
    }
    std::erase_if(this->avoided, [now](const auto& entry) { return now >= entry.second.until; });
    std::erase_if(this->loads, [now](const auto& entry) { return now - entry.second.heard >= loadMemory; });
    std::vector<Address> asked;
    for (auto& [agent, avoidance] : this->avoided) {
        if (now - avoidance.asked >= askPeriod) {
            avoidance.asked = now;
            asked.push_back(agent);
        }
    }
    return asked;
}

} // namespace lavender
