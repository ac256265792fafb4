/** @file paced_sender.h Sends datagrams at the rate of the instance's link. */
#pragma once

#include "balancer/egress_pacer.h"
#include "daemon/process_base.h"

#include <functional>
#include <span>

namespace lavender {

/** Runs an EgressPacer on the main loop. */
class PacedSender {
public:
    using Send = std::function<void(Address to, std::span<const uint8_t> bytes)>;

    PacedSender(uint64_t bytesPerSecond, Counters& counters, Send send);

    /** Sends a packet of a flow now, or once the link has room for it. */
    void send(TimePoint now, QueuedPacket packet);

    /** Sends a datagram now, past those that wait. */
    void sendAtOnce(TimePoint now, Address to, std::span<const uint8_t> bytes);

    /** Time that the link needs for all that waits. */
    Duration backlog() const { return this->pacer.backlog(); }

private:
    void sendDue();

    EgressPacer pacer;
    Counters& counters;
    Send sendDatagram;
    LoopTimer timer; ///< Runs while packets wait.
    bool isTimerRunning = false;
};

} // namespace lavender
