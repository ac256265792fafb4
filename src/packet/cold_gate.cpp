/** @file cold_gate.cpp Counts openings in a sliding window. */
#include "packet/cold_gate.h"

#include <algorithm>

namespace lavender {

namespace {

    /** A report that was on its way when the doubt arose may be older than it. */
    constexpr Duration reportTransit = 100ms;
    constexpr size_t minimumOpenings = 2; ///< A cold upstream is tried even where the rules say 0.

} // namespace

void ColdGate::onReport(TimePoint now, Duration coldLeft)
{
    if (!this->isTrusted && now - this->distrustedAt < reportTransit && this->distrustedAt != TimePoint {}) {
        return;
    }
    this->isTrusted = true;
    this->coldUntil = now + coldLeft;
}

void ColdGate::distrust(TimePoint now)
{
    this->isTrusted = false;
    this->distrustedAt = now;
}

bool ColdGate::mayOpen(TimePoint now) const
{
    if (!this->rate || !this->isCold(now)) {
        return true;
    }
    if (now < this->blockedUntil) {
        return false;
    }
    const auto first = std::find_if(this->recent.begin(), this->recent.end(), [now](TimePoint opened) { return now - opened < window; });
    return static_cast<size_t>(this->recent.end() - first) < std::max<size_t>(*this->rate, minimumOpenings);
}

void ColdGate::noteOpening(TimePoint now)
{
    while (!this->recent.empty() && now - this->recent.front() >= window) {
        this->recent.pop_front();
    }
    this->recent.push_back(now);
}

} // namespace lavender
