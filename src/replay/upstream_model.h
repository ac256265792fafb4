/** @file upstream_model.h An upstream as tests and replays play it: slots, a cold start, and a count of what it ran. */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace lavender {

/** Cold, it bears one request, and gains its slots over the time in which it has work; given more, it breaks and is cold again. */
class UpstreamModel {
public:
    UpstreamModel(uint16_t slots, Duration coldTime, bool isCold)
        : slots(slots)
        , coldTime(coldTime)
        , warmth(isCold && coldTime > Duration {} ? 1.0 : slots)
    {
    }

    /** A request arrives. @return False where it is one too many: the exchange breaks. */
    bool begin(TimePoint now, const std::string& key, uint32_t attempt)
    {
        this->warmUp(now);
        ++this->runs[key + "/" + std::to_string(attempt)];
        ++this->keys[key];
        if (this->running + 1U > this->bears()) {
            ++this->overloads;
            this->warmth = 1;
            return false;
        }
        ++this->running;
        this->highest = std::max(this->highest, this->running);
        return true;
    }

    /** A request ends. */
    void finish(TimePoint now)
    {
        this->warmUp(now);
        --this->running;
    }

    /** Starts anew without a word. */
    void becomeCold() { this->warmth = 1; }

    uint16_t bears() const { return static_cast<uint16_t>(this->warmth); }
    uint16_t inFlight() const { return this->running; }

    std::map<std::string, uint64_t> runs; ///< By "KEY/ATTEMPT".
    std::map<std::string, uint64_t> keys; ///< By key.
    uint64_t overloads = 0;
    uint16_t highest = 0; ///< Most requests at once.

private:
    void warmUp(TimePoint now)
    {
        if (this->running > 0 && this->coldTime > Duration {}) {
            const double share = std::chrono::duration<double>(now - this->warmedAt) / std::chrono::duration<double>(this->coldTime);
            this->warmth = std::min<double>(this->warmth + (this->slots - 1) * share, this->slots);
        }
        this->warmedAt = now;
    }

    uint16_t slots;
    Duration coldTime;
    double warmth;
    uint16_t running = 0;
    TimePoint warmedAt {};
};

} // namespace lavender
