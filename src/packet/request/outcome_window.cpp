/** @file outcome_window.cpp Buckets of the sliding window, and requests without an answer. */
#include "packet/request/outcome_window.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration bucketTime = 200ms; ///< With six buckets, the window covers 1.0 to 1.2 s.
    constexpr Duration checkPeriod = 50ms; ///< Time between two checks for overdue requests.
    constexpr Duration pauseThreshold = 200ms; ///< A longer time between two checks: this process was suspended, and answers may wait in its socket.
    constexpr int overdueFactor = 4; ///< Multiple of the usual time from which on a request is overdue; a cold upstream takes 1.6 times as long.
    constexpr Duration shortestOverdueTime = 300ms; ///< A lost packet delays an answer by 200 ms, the first interval of retransmissions.
    constexpr Duration overdueTimeIfUnknown = 1s; ///< Without a usual time.
    constexpr size_t maximumPending = 4096; ///< Limits memory; further requests are not observed.

    /** Adds one without overflow. */
    void increment(uint16_t& number) { number = static_cast<uint16_t>(std::min(number + 1, UINT16_MAX)); }

    /** Number of the bucket that @p now falls into. */
    int64_t bucketNumber(TimePoint now) { return now / bucketTime; }

} // namespace

void OutcomeWindow::onRequestPart(TimePoint now, const FlowKey& flow, uint16_t bytes, size_t busy)
{
    const auto found = this->pending.find(flow);
    if (found == this->pending.end()) {
        if (this->pending.size() < maximumPending) {
            this->pending[flow] = { .since = now, .busy = busy, .longestPart = bytes };
        }
        return;
    }
    Pending& request = found->second;
    // The last part of a longer request is rarely of full length; a caller that is cut off has often sent full parts only.
    request.isInTransfer = bytes >= request.longestPart;
    request.longestPart = std::max(request.longestPart, bytes);
    request.since = now;
}

void OutcomeWindow::onRetransmission(TimePoint now, const FlowKey& flow)
{
    if (const auto found = this->pending.find(flow); found != this->pending.end()) {
        found->second.since = now;
    }
}

void OutcomeWindow::onAnswer(TimePoint now, const FlowKey& flow, size_t slots)
{
    const auto found = this->pending.find(flow);
    if (found == this->pending.end()) {
        return;
    }
    const Pending request = found->second;
    this->pending.erase(found);
    if (request.isCounted) {
        return;
    }
    Bucket& bucket = this->bucketAt(now);
    increment(bucket.finished);
    // A request that finds all slots taken first waits (busy - slots) / slots processing times.
    bucket.processing += (now - request.since) * static_cast<int64_t>(slots) / static_cast<int64_t>(std::max({ request.busy, slots, size_t { 1 } }));
    increment(this->goodInARow);
}

void OutcomeWindow::onBrokenOff(TimePoint now, const FlowKey& flow)
{
    const auto found = this->pending.find(flow);
    if (found == this->pending.end()) {
        return;
    }
    if (!found->second.isCounted) {
        this->countFailure(now);
    }
    this->pending.erase(found);
}

void OutcomeWindow::tick(TimePoint now, std::optional<Duration> usual, size_t slots)
{
    const Duration sinceLastTick = now - this->lastTick;
    if (sinceLastTick < checkPeriod) {
        return;
    }
    const Duration pause = this->lastTick != TimePoint {} && sinceLastTick > pauseThreshold ? sinceLastTick : Duration::zero();
    this->lastTick = now;
    for (auto& [flow, request] : this->pending) {
        request.since = std::min(now, request.since + pause);
        const auto waiting = static_cast<int64_t>(std::max({ request.busy, slots, size_t { 1 } }));
        const Duration expected = usual ? *usual * overdueFactor * waiting / static_cast<int64_t>(std::max<size_t>(slots, 1)) : overdueTimeIfUnknown;
        if (!request.isCounted && !request.isInTransfer && now - request.since >= std::max(expected, shortestOverdueTime)) {
            request.isCounted = true;
            this->countFailure(now);
        }
    }
}

RequestOutcomes OutcomeWindow::counts(TimePoint now) const
{
    RequestOutcomes result { .goodInARow = this->goodInARow };
    const int64_t oldest = bucketNumber(now) - static_cast<int64_t>(bucketCount);
    uint32_t finished = 0;
    uint32_t failed = 0;
    Duration processing {};
    for (const Bucket& bucket : this->buckets) {
        if (bucket.number > oldest) {
            finished += bucket.finished;
            failed += bucket.failed;
            processing += bucket.processing;
        }
    }
    result.finished = static_cast<uint16_t>(std::min<uint32_t>(finished, UINT16_MAX));
    result.failed = static_cast<uint16_t>(std::min<uint32_t>(failed, UINT16_MAX));
    if (finished > 0) {
        result.processingUs = static_cast<uint32_t>(std::min<int64_t>((processing / static_cast<int64_t>(finished)).count(), UINT32_MAX));
    }
    return result;
}

/** The bucket of the present span of time, emptied if it holds an earlier one. */
OutcomeWindow::Bucket& OutcomeWindow::bucketAt(TimePoint now)
{
    const int64_t number = bucketNumber(now);
    Bucket& bucket = this->buckets[static_cast<size_t>(number) % bucketCount];
    if (bucket.number != number) {
        bucket = { .number = number };
    }
    return bucket;
}

void OutcomeWindow::countFailure(TimePoint now)
{
    increment(this->bucketAt(now).failed);
    this->goodInARow = 0;
}

} // namespace lavender
