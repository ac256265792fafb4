/** @file opening_tracker.cpp Judges agents by the openings that they leave unanswered. */
#include "balancer/opening_tracker.h"

#include <algorithm>
#include <string>

namespace lavender {

namespace {

    constexpr Duration answerTimeout = 150ms; ///< Less than the caller's first copy takes, 200 ms; far more than two crossings of zones.
    constexpr Duration openingAge = 4s; ///< The caller gives up after 1.4 s; a confirmed owner shortens the way of a short flow.
    constexpr Duration avoidTime = 3s; ///< Heartbeats decide from then on.
    constexpr Duration askPeriod = 200ms;
    constexpr Duration pauseThreshold = 300ms; ///< A tick this late means that the process stood still.

} // namespace

void OpeningTracker::arrange(TimePoint now, ForwardedPacket& forwarded)
{
    auto& list = forwarded.candidates;
    std::stable_partition(list.begin(), list.end(), [this](Address agent) { return !this->avoided.contains(agent); });
    const auto found = this->openings.find(forwarded.packet.flow);
    if (found != this->openings.end() && found->second.owner.isValid()) {
        const auto owner = std::find(list.begin(), list.end(), found->second.owner);
        if (owner != list.end()) {
            std::rotate(list.begin(), owner, owner + 1);
        } else {
            list.insert(list.begin(), found->second.owner);
        }
        return;
    }
    if (forwarded.packet.mark != PacketMark::Opening) {
        return;
    }
    Opening& opening = this->openings[forwarded.packet.flow];
    if (opening.target.isValid() && now - opening.sent >= answerTimeout) {
        opening.tried.push_back(opening.target);
    }
    std::stable_partition(list.begin(), list.end(), [&opening](Address agent) { return std::find(opening.tried.begin(), opening.tried.end(), agent) == opening.tried.end(); });
    opening.target = list.front();
    opening.sent = now;
    opening.isJudged = false;
}

void OpeningTracker::onOutcome(TimePoint now, const OpeningOutcome& outcome)
{
    this->avoided.erase(outcome.agent);
    const auto found = this->openings.find(outcome.flow);
    if (found == this->openings.end()) {
        return;
    }
    Opening& opening = found->second;
    this->avoided.erase(opening.target); // It passed the packet on.
    opening.isJudged = true;
    if (!outcome.isAccepted) {
        opening.target = {}; // The next copy may try it again.
        return;
    }
    opening.owner = outcome.agent;
    opening.sent = now;
}

std::vector<Address> OpeningTracker::tick(TimePoint now)
{
    const bool wasPaused = this->lastTick != TimePoint {} && now - this->lastTick > pauseThreshold;
    this->lastTick = now;
    for (auto& [flow, opening] : this->openings) {
        if (opening.isJudged || now - opening.sent < answerTimeout) {
            continue;
        }
        opening.isJudged = true;
        if (wasPaused || this->avoided.contains(opening.target)) {
            continue;
        }
        this->avoided[opening.target] = { now + avoidTime, {} };
        this->counters.add(Counter::AgentsAvoided);
        this->events.note(EventLevel::Info, "agent-avoided", { { "agent", formatAddress(opening.target) }, { "flow", formatFlow(flow) }, { "unanswered_ms", std::to_string(toMilliseconds(now - opening.sent)) } });
    }
    std::erase_if(this->openings, [now](const auto& entry) { return now - entry.second.sent >= openingAge; });
    std::vector<Address> asked;
    std::erase_if(this->avoided, [now](const auto& entry) { return now >= entry.second.until; });
    for (auto& [agent, avoidance] : this->avoided) {
        if (now - avoidance.asked >= askPeriod) {
            avoidance.asked = now;
            asked.push_back(agent);
        }
    }
    return asked;
}

} // namespace lavender
