/** @file priority_reserve.cpp Limits by priority from recent arrivals. */
#include "packet/priority_reserve.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace lavender {

void PriorityReserve::Arrivals::add(TimePoint now)
{
    const int64_t bucket = now / (window / buckets);
    if (bucket - this->latest >= buckets) {
        this->counts = {};
    } else {
        for (int64_t skipped = this->latest + 1; skipped <= bucket; ++skipped) {
            this->counts[static_cast<size_t>(skipped % buckets)] = 0;
        }
    }
    this->latest = std::max(this->latest, bucket);
    ++this->counts[static_cast<size_t>(bucket % buckets)];
}

size_t PriorityReserve::Arrivals::count(TimePoint now) const
{
    const int64_t bucket = now / (window / buckets);
    size_t sum = 0;
    for (int64_t age = bucket - this->latest; age < buckets; ++age) {
        sum += this->counts[static_cast<size_t>((bucket - age) % buckets)];
    }
    return sum;
}

void PriorityReserve::recordArrival(TimePoint now, uint8_t priority)
{
    this->arrivals[priority].add(now);
}

void PriorityReserve::beginRequest(uint8_t priority)
{
    ++this->running[priority];
}

void PriorityReserve::endRequest(uint8_t priority)
{
    size_t& count = this->running[priority];
    count -= std::min<size_t>(count, 1);
}

void PriorityReserve::recordRefusal(TimePoint now, uint8_t priority)
{
    Refusals& entry = this->refusals.try_emplace(priority, Refusals { now, now }).first->second;
    entry.since = now - entry.latest < window ? entry.since : now;
    entry.latest = now;
}

size_t PriorityReserve::moreUrgentArrivals(TimePoint now, uint8_t priority) const
{
    return std::accumulate(this->arrivals.begin(), this->arrivals.lower_bound(priority), size_t { 0 },
        [now](size_t sum, const auto& entry) { return sum + entry.second.count(now); });
}

/** Slots that more urgent requests are expected to use beyond those that they use now. */
double PriorityReserve::expectedSlots(TimePoint now, uint8_t priority, Duration processingTime) const
{
    const auto seconds = [](Duration span) { return std::chrono::duration<double>(span).count(); };
    double sum = 0;
    for (auto entry = this->arrivals.begin(); entry != this->arrivals.lower_bound(priority); ++entry) {
        const auto found = this->running.find(entry->first);
        const double used = found == this->running.end() ? 0 : static_cast<double>(found->second);
        const double expected = static_cast<double>(entry->second.count(now)) * seconds(processingTime) / seconds(window);
        // By priority: surplus requests of one priority do not serve another's demand, or a less urgent opening could get the larger limit.
        sum += std::max(0.0, expected - used);
    }
    return sum;
}

bool PriorityReserve::isShareDue(TimePoint now, uint8_t priority) const
{
    const auto found = this->refusals.find(priority);
    return found != this->refusals.end() && now - found->second.since >= shareInterval && now - found->second.latest < window;
}

size_t PriorityReserve::limit(TimePoint now, uint8_t priority, const UpstreamRoom& room) const
{
    if (this->moreUrgentArrivals(now, priority) == 0 || this->isShareDue(now, priority)) {
        return room.limit;
    }
    const double expected = room.processingTime ? this->expectedSlots(now, priority, *room.processingTime) : 0;
    const double open = std::max(0.0, static_cast<double>(room.slots) - expected);
    return std::min(room.limit, static_cast<size_t>(std::ceil(open)));
}

std::optional<PriorityLimit> PriorityReserve::reportedLimit(TimePoint now, const UpstreamRoom& room) const
{
    const auto mostUrgent = std::find_if(this->arrivals.begin(), this->arrivals.end(), [now](const auto& entry) { return entry.second.count(now) > 0; });
    const bool isAnyShareDue = std::any_of(this->refusals.begin(), this->refusals.end(), [&](const auto& entry) { return this->isShareDue(now, entry.first); });
    if (mostUrgent == this->arrivals.end() || mostUrgent->first == leastUrgentPriority || isAnyShareDue) {
        return std::nullopt;
    }
    const auto from = static_cast<uint8_t>(mostUrgent->first + 1);
    return PriorityLimit { from, this->limit(now, from, room) };
}

} // namespace lavender
