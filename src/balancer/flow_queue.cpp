/** @file flow_queue.cpp Deficit round robin with two lists of flows. */
#include "balancer/flow_queue.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr size_t headerBytes = 28; ///< Headers of IP and UDP.
    constexpr int64_t quantum = maximumDatagramBytes + headerBytes; ///< Bytes of a flow in one round: a full packet, so that each turn sends at least one.

} // namespace

size_t bytesOnLink(size_t datagramBytes)
{
    return datagramBytes + headerBytes;
}

void FlowQueue::push(TimePoint now, QueuedPacket packet)
{
    const auto [entry, isNew] = this->flows.try_emplace(packet.flow);
    if (isNew) {
        entry->second.deficit = quantum;
        this->newFlows.push_back(packet.flow);
    }
    const size_t size = bytesOnLink(packet.bytes.size());
    packet.queuedAt = now;
    entry->second.packets.push_back(std::move(packet));
    entry->second.bytes += size;
    this->totalBytes += size;
    while (this->totalBytes > this->limits.bytes) {
        this->shrinkLongestFlow();
    }
}

/** Drops the newest packet: what the flow sent before it stays in order, and only that flow has to retransmit. */
void FlowQueue::shrinkLongestFlow()
{
    const auto longest = std::max_element(this->flows.begin(), this->flows.end(), [](const auto& left, const auto& right) {
        return left.second.bytes < right.second.bytes;
    });
    Flow& flow = longest->second;
    const size_t size = bytesOnLink(flow.packets.back().bytes.size());
    flow.packets.pop_back();
    flow.bytes -= size;
    this->totalBytes -= size;
    this->counters.add(Counter::PacketsQueueFull);
}

void FlowQueue::dropOutdated(TimePoint now, Flow& flow)
{
    while (!flow.packets.empty() && now - flow.packets.front().queuedAt > this->limits.age) {
        const size_t size = bytesOnLink(flow.packets.front().bytes.size());
        flow.packets.pop_front();
        flow.bytes -= size;
        this->totalBytes -= size;
        this->counters.add(Counter::PacketsOutdated);
    }
}

std::optional<QueuedPacket> FlowQueue::pop(TimePoint now)
{
    while (!this->newFlows.empty() || !this->oldFlows.empty()) {
        const bool isNew = !this->newFlows.empty();
        std::deque<FlowKey>& list = isNew ? this->newFlows : this->oldFlows;
        const FlowKey key = list.front();
        Flow& flow = this->flows.at(key);
        this->dropOutdated(now, flow);
        if (flow.deficit <= 0) {
            flow.deficit += quantum;
            list.pop_front();
            this->oldFlows.push_back(key);
            continue;
        }
        if (flow.packets.empty()) {
            list.pop_front();
            // A flow that sends one packet at a time is not new again before its turn in the round.
            if (isNew && !this->oldFlows.empty()) {
                this->oldFlows.push_back(key);
            } else {
                this->flows.erase(key);
            }
            continue;
        }
        QueuedPacket packet = std::move(flow.packets.front());
        const size_t size = bytesOnLink(packet.bytes.size());
        flow.packets.pop_front();
        flow.bytes -= size;
        flow.deficit -= static_cast<int64_t>(size);
        this->totalBytes -= size;
        return packet;
    }
    return std::nullopt;
}

Duration FlowQueue::longestWait(TimePoint now) const
{
    Duration longest {};
    for (const auto& [key, flow] : this->flows) {
        if (!flow.packets.empty()) {
            longest = std::max(longest, now - flow.packets.front().queuedAt);
        }
    }
    return longest;
}

} // namespace lavender
