/** @file readiness_gate.cpp Thresholds follow from what senders bear: the first retransmission comes after 200 ms. */
#include "balancer/readiness_gate.h"

namespace lavender {

namespace {

    constexpr Duration highBacklog = 100ms; ///< Half the time after which senders retransmit, since routers take up to 1 s to react.
    constexpr Duration lowBacklog = 20ms;
    constexpr Duration shortTime = 400ms; ///< A shorter backlog is over before routers react.
    constexpr Duration drawPeriod = 1s;
    constexpr uint32_t leaveChance = 250'000; ///< Of a million. With all of a zone short, about one in five is away at a time.
    constexpr Duration minimumAway = 1s; ///< Routers notice it only after two probes, 0.5 s apart.
    constexpr Duration maximumAway = 2s;
    constexpr Duration minimumStay = 4s; ///< Each change of the routers' set moves most flows to another balancer.

} // namespace

/** Draws whether to leave, at most once each drawPeriod. */
bool ReadinessGate::mayLeave(TimePoint now)
{
    if (now < this->nextDraw) {
        return false;
    }
    this->nextDraw = now + drawPeriod;
    return this->random.chance(leaveChance);
}

bool ReadinessGate::update(TimePoint now, Duration backlog)
{
    if (!this->ready) {
        const Duration away = now - this->changedAt;
        if (away < minimumAway || (backlog > lowBacklog && away < maximumAway)) {
            return false;
        }
        this->ready = true;
        this->isShort = false;
        this->changedAt = now;
        this->nextDraw = now + minimumStay;
        return true;
    }
    if (backlog >= highBacklog && !this->isShort) {
        this->isShort = true;
        this->shortSince = now;
    } else if (backlog <= lowBacklog) {
        this->isShort = false;
    }
    if (!this->isShort || now - this->shortSince < shortTime || !this->mayLeave(now)) {
        return false;
    }
    this->ready = false;
    this->changedAt = now;
    return true;
}

} // namespace lavender
