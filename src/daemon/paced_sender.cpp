/** @file paced_sender.cpp Packets that wait are sent by a timer; a packet that need not wait is sent in the call. */
#include "daemon/paced_sender.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration shortestPause = 2ms; ///< Limits the wake-ups of a full link.

} // namespace

PacedSender::PacedSender(uint64_t bytesPerSecond, Counters& counters, Send send)
    : pacer(bytesPerSecond, counters)
    , counters(counters)
    , sendDatagram(std::move(send))
{
}

void PacedSender::send(TimePoint now, QueuedPacket packet)
{
    if (!this->isTimerRunning && this->pacer.hasRoom(now)) {
        this->sendAtOnce(now, packet.to, packet.bytes);
        return;
    }
    this->pacer.push(now, std::move(packet));
    if (!this->isTimerRunning) {
        this->sendDue();
    }
}

void PacedSender::sendAtOnce(TimePoint now, Address to, std::span<const uint8_t> bytes)
{
    this->pacer.charge(now, bytes.size());
    this->sendDatagram(to, bytes);
}

void PacedSender::sendDue()
{
    this->isTimerRunning = false;
    const TimePoint now = MonotonicClock().now();
    while (const std::optional<QueuedPacket> packet = this->pacer.pop(now)) {
        this->counters.add(Counter::PacketsDelayed);
        this->sendDatagram(packet->to, packet->bytes);
    }
    if (const std::optional<Duration> pause = this->pacer.nextDeparture(now)) {
        this->isTimerRunning = true;
        this->timer.startOnce(std::max(*pause, shortestPause), [this] { this->sendDue(); });
    }
}

} // namespace lavender
