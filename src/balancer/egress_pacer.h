/** @file egress_pacer.h Paces what a balancer sends to the rate of its link, so that packets wait where their order is chosen. */
#pragma once

#include "balancer/flow_queue.h"

#include <chrono>
#include <optional>
#include <utility>

namespace lavender {

/** Generic cell rate algorithm in front of a link: a packet waits only while the link is still busy with those before it. */
class EgressPacer {
public:
    /** @param bytesPerSecond Rate of the link; more than 0. */
    EgressPacer(uint64_t bytesPerSecond, Counters& counters);

    /** Queues a packet of a flow. */
    void push(TimePoint now, QueuedPacket packet) { this->queue.push(now, std::move(packet)); }

    /** True if nothing waits and the link has room, so that a packet need not be queued. */
    bool hasRoom(TimePoint now) const { return this->queue.isEmpty() && this->linkFreeAt <= now; }

    /** Takes the next packet if the link has room for it. */
    std::optional<QueuedPacket> pop(TimePoint now);

    /** Accounts for a datagram that was sent past the queue, such as a message of the membership. */
    void charge(TimePoint now, size_t datagramBytes);

    /** Time from now until the link has room again; none if nothing waits. */
    std::optional<Duration> nextDeparture(TimePoint now) const;

    /** Time that the link needs for all that waits. */
    Duration backlog() const;

private:
    using Nanoseconds = std::chrono::nanoseconds;

    Nanoseconds timeOnLink(size_t bytes) const;

    uint64_t bytesPerSecond;
    Nanoseconds linkFreeAt {}; ///< When the link has sent all that left here.
    FlowQueue queue;
};

} // namespace lavender
