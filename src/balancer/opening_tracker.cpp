/** @file opening_tracker.cpp Offers, their answers, and agents that leave them unanswered. */
#include "balancer/opening_tracker.h"

#include <algorithm>
#include <string>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration answerTimeout = 60ms; ///< Twenty crossings of zones; two agents in a row may fail before the caller's first copy.
    constexpr size_t busyOffers = 5; ///< Agents asked for a free slot before the shortest queue is taken.
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

void OpeningTracker::open(TimePoint now, ForwardedPacket forwarded, Actions& actions)
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
    this->begin(now, opening, std::move(forwarded), actions);
}

void OpeningTracker::begin(TimePoint now, Opening& opening, ForwardedPacket forwarded, Actions& actions)
{
    opening = { .packet = std::move(forwarded), .begunAt = now, .lastUse = now };
    this->sortAvoided(opening.packet.candidates);
    this->offerNext(now, opening, actions);
}

void OpeningTracker::offer(TimePoint now, Opening& opening, Address agent, Actions& actions)
{
    opening.target = agent;
    opening.offeredAt = now;
    ForwardedPacket packet = opening.packet;
    packet.candidates.clear(); // Whoever cannot take it says so to the balancer.
    packet.isPlaced = opening.isPlaced;
    actions.push_back(SendMessage { agent, std::move(packet) });
}

void OpeningTracker::offerNext(TimePoint now, Opening& opening, Actions& actions)
{
    const auto& candidates = opening.packet.candidates;
    const bool mayGoOn = !opening.isPlaced && opening.offers < candidates.size() && !(opening.fallback.isValid() && opening.offers >= busyOffers);
    if (mayGoOn) {
        this->offer(now, opening, candidates[opening.offers++], actions);
        return;
    }
    if (opening.fallback.isValid() && !opening.isPlaced) {
        opening.isPlaced = true;
        this->offer(now, opening, opening.fallback, actions);
        return;
    }
    opening.target = {};
    this->refused.push_back({ opening.packet.packet, opening.isFull });
}

void OpeningTracker::onOutcome(TimePoint now, const OpeningOutcome& outcome, Actions& actions)
{
    this->avoided.erase(outcome.agent);
    const auto found = this->openings.find(outcome.flow);
    if (found == this->openings.end()) {
        return;
    }
    Opening& opening = found->second;
    switch (outcome.result) {
    case OpeningResult::Accepted:
        this->latencies.add(now - opening.begunAt);
        opening.owner = outcome.agent;
        opening.target = {};
        opening.lastUse = now;
        opening.packet.packet.payload.clear();
        return;
    case OpeningResult::Busy:
        if (!opening.fallback.isValid() || outcome.queue < opening.fallbackQueue) {
            opening.fallback = outcome.agent;
            opening.fallbackQueue = outcome.queue;
        }
        break;
    case OpeningResult::Full:
        opening.isFull = true;
        break;
    case OpeningResult::Refused:
        break;
    }
    if (outcome.agent == opening.target) {
        this->offerNext(now, opening, actions);
    }
}

std::vector<Address> OpeningTracker::tick(TimePoint now, Actions& actions)
{
    const bool wasPaused = this->lastTick != TimePoint {} && now - this->lastTick > pauseThreshold;
    this->lastTick = now;
    for (auto& [flow, opening] : this->openings) {
        if (!opening.target.isValid() || now - opening.offeredAt < answerTimeout) {
            continue;
        }
        if (!wasPaused && !this->avoided.contains(opening.target)) {
            this->avoided[opening.target] = { now + avoidTime, {} };
            this->counters.add(Counter::AgentsAvoided);
            this->events.note(EventLevel::Info, "agent-avoided", { { "agent", formatAddress(opening.target) }, { "flow", formatFlow(flow) }, { "unanswered_ms", std::to_string(toMilliseconds(now - opening.offeredAt)) } });
        }
        if (opening.fallback == opening.target) {
            opening.fallback = {};
        }
        this->offerNext(now, opening, actions);
    }
    std::erase_if(this->openings, [now](const auto& entry) { return now - entry.second.lastUse >= idleAge; });
    std::erase_if(this->avoided, [now](const auto& entry) { return now >= entry.second.until; });
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
