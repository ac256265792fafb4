/** @file upstream_model.h Simulated upstream of tests, replays and stand-ins: slots, cold start, and a record of what it ran. */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace lavender {

/**
 * Upstream with a limited number of concurrent requests and a cold start.
 * Cold, it takes one request at a time; its capacity grows to all slots over coldTime, only while it has work.
 * A request beyond its capacity fails, and the upstream is cold again.
 */
class UpstreamModel {
public:
    /**
     * @param slots Concurrent requests at full capacity.
     * @param coldTime Busy time from cold to full capacity; 0: no cold start.
     */
    UpstreamModel(uint16_t slots, Duration coldTime, bool isCold)
        : slots(slots)
        , coldTime(coldTime)
        , capacity(isCold && coldTime > Duration {} ? 1.0 : slots)
    {
    }

    /** Starts a request. @return False where it exceeds the capacity: the exchange fails. */
    bool begin(TimePoint now, const std::string& key, uint32_t attempt)
    {
        this->updateCapacity(now);
        ++this->runs[key + "/" + std::to_string(attempt)];
        ++this->keys[key];
        if (this->running + 1U > this->bears()) {
            ++this->overloads;
            this->capacity = 1;
            return false;
        }
        ++this->running;
        this->highest = std::max(this->highest, this->running);
        return true;
    }

    /** Ends a request that begin() accepted. */
    void finish(TimePoint now)
    {
        this->updateCapacity(now);
        --this->running;
    }

    /** Makes the upstream cold without any notification, as a restart or an emptied cache does. */
    void becomeCold() { this->capacity = 1; }

    /** Concurrent requests that the upstream takes at present. */
    uint16_t bears() const { return static_cast<uint16_t>(this->capacity); }
    /** Requests running now. */
    uint16_t inFlight() const { return this->running; }

    std::map<std::string, uint64_t> runs; ///< Requests received by "KEY/ATTEMPT", failed ones included.
    std::map<std::string, uint64_t> keys; ///< Requests received by idempotency key, failed ones included.
    uint64_t overloads = 0; ///< Requests beyond the capacity.
    uint16_t highest = 0; ///< Most requests that ran at once.

private:
    /** Grows the capacity by the busy time since the latest update. */
    void updateCapacity(TimePoint now)
    {
        if (this->running > 0 && this->coldTime > Duration {}) {
            const double fraction = std::chrono::duration<double>(now - this->updatedAt) / std::chrono::duration<double>(this->coldTime);
            this->capacity = std::min<double>(this->capacity + (this->slots - 1) * fraction, this->slots);
        }
        this->updatedAt = now;
    }

    uint16_t slots;
    Duration coldTime;
    double capacity; ///< Concurrent requests taken now, with a fraction.
    uint16_t running = 0; ///< Requests running now.
    TimePoint updatedAt {}; ///< Time of the latest updateCapacity.
};

} // namespace lavender
