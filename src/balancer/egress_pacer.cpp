/** @file egress_pacer.cpp The queue in front of a link is bounded by the time that it takes on the link. */
#include "balancer/egress_pacer.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration retransmissionTime = 200ms; ///< A sender repeats a packet after this time, so one that waits for longer helps nobody.
    constexpr Duration burstTime = 10ms; ///< Time that an idle link may be ahead of; covers the granularity of timers.
    constexpr uint64_t maximumQueueBytes = 4 << 20; ///< Limits memory on fast links.

    size_t queueBytes(uint64_t bytesPerSecond)
    {
        return std::min(bytesPerSecond * retransmissionTime.count() / Duration(1s).count(), maximumQueueBytes);
    }

} // namespace

EgressPacer::EgressPacer(uint64_t bytesPerSecond, Counters& counters)
    : bytesPerSecond(bytesPerSecond)
    , queue({ queueBytes(bytesPerSecond), retransmissionTime }, counters)
{
}

EgressPacer::Nanoseconds EgressPacer::timeOnLink(size_t bytes) const
{
    return Nanoseconds(bytes * Nanoseconds(1s).count() / this->bytesPerSecond);
}

std::optional<QueuedPacket> EgressPacer::pop(TimePoint now)
{
    if (this->linkFreeAt > now) {
        return std::nullopt;
    }
    std::optional<QueuedPacket> packet = this->queue.pop(now);
    if (packet) {
        this->charge(now, packet->bytes.size());
    }
    return packet;
}

void EgressPacer::charge(TimePoint now, size_t datagramBytes)
{
    this->linkFreeAt = std::max<Nanoseconds>(this->linkFreeAt, now - burstTime) + this->timeOnLink(bytesOnLink(datagramBytes));
}

std::optional<Duration> EgressPacer::nextDeparture(TimePoint now) const
{
    if (this->queue.isEmpty()) {
        return std::nullopt;
    }
    return std::max<Duration>(std::chrono::ceil<Duration>(this->linkFreeAt) - now, Duration {});
}

Duration EgressPacer::backlog() const
{
    return std::chrono::duration_cast<Duration>(this->timeOnLink(this->queue.bytes()));
}

} // namespace lavender
