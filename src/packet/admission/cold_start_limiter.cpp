/** @file cold_start_limiter.cpp Counts openings in a sliding window. */
#include "packet/admission/cold_start_limiter.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration reportTransitTime = 100ms; ///< A report that arrives this soon after assumeCold may have been sent before it.
    constexpr size_t minimumOpenings = 2; ///< Per window even if the rules say 0: otherwise a cold upstream would never be tried.

} // namespace

void ColdStartLimiter::onReport(TimePoint now, Duration coldLeft)
{
    if (!this->isReportCurrent && now - this->assumedColdAt < reportTransitTime && this->assumedColdAt != TimePoint {}) {
        return;
    }
    this->isReportCurrent = true;
    this->coldUntil = now + coldLeft;
}

void ColdStartLimiter::assumeCold(TimePoint now)
{
    this->isReportCurrent = false;
    this->assumedColdAt = now;
}

bool ColdStartLimiter::mayOpen(TimePoint now) const
{
    if (!this->rate || !this->isCold(now)) {
        return true;
    }
    if (now < this->blockedUntil) {
        return false;
    }
    const auto first = std::find_if(this->recentOpenings.begin(), this->recentOpenings.end(), [now](TimePoint opened) { return now - opened < window; });
    return static_cast<size_t>(this->recentOpenings.end() - first) < std::max<size_t>(*this->rate, minimumOpenings);
}

void ColdStartLimiter::recordOpening(TimePoint now)
{
    while (!this->recentOpenings.empty() && now - this->recentOpenings.front() >= window) {
        this->recentOpenings.pop_front();
    }
    this->recentOpenings.push_back(now);
}

} // namespace lavender
