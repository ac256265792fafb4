/** @file flow_queue.h Packets that wait for a link or a processor, served fairly by flow. */
#pragma once

#include "core/address_type.h"
#include "core/counter_type.h"
#include "core/time_type.h"
#include "wire/message_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace lavender {

/** A datagram of a flow that waits. */
struct QueuedPacket {
    FlowKey flow;
    Address to; ///< Where it is sent; not valid for a datagram that was received.
    Bytes bytes; ///< The whole datagram.
    TimePoint queuedAt {}; ///< When it was queued.
};

/** Bounds of a FlowQueue. */
struct FlowQueueLimits {
    size_t bytes = 0; ///< Bytes that may wait, headers of IP and UDP included.
    Duration age {}; ///< A packet that has waited for longer is dropped when its turn comes.
};

/** Bytes that a datagram takes on a link: its content and the headers of IP and UDP. */
size_t bytesOnLink(size_t datagramBytes);

/**
 * Deficit round robin over flows, in which a flow that had nothing waiting is served before the others (as in FQ-CoDel). So an
 * opening, an acknowledgement or a request of one packet passes the bulk data of other flows, and the packets of one
 * flow keep their order. For some thousand packets.
 */
class FlowQueue {
public:
    FlowQueue(FlowQueueLimits limits, Counters& counters)
        : limits(limits)
        , counters(counters)
    {
    }

    /** Adds a packet. Over the limit of bytes, the newest packets of the flow with the most waiting bytes are dropped and counted. */
    void push(TimePoint now, QueuedPacket packet);

    /** Takes the packet that is next, if one waits. Packets over the limit of age are dropped and counted. */
    std::optional<QueuedPacket> pop(TimePoint now);

    /** Time that the packet at the head of a flow has waited, of the flow where that is longest; zero if nothing waits. */
    Duration longestWait(TimePoint now) const;

    size_t bytes() const { return this->totalBytes; }
    bool isEmpty() const { return this->totalBytes == 0; }

private:
    /** Waiting packets of one flow. */
    struct Flow {
        std::deque<QueuedPacket> packets; ///< In order of arrival.
        size_t bytes = 0; ///< Of all packets, on the link.
        int64_t deficit = 0; ///< Bytes that the flow may still send in this round.
    };

    void shrinkLongestFlow();
    void dropOutdated(TimePoint now, Flow& flow);

    FlowQueueLimits limits;
    Counters& counters;
    std::unordered_map<FlowKey, Flow> flows; ///< The flows that are listed in newFlows or oldFlows.
    std::deque<FlowKey> newFlows; ///< Flows of which nothing waited lately; served first, for one quantum.
    std::deque<FlowKey> oldFlows; ///< The other flows, in the order of the round.
    size_t totalBytes = 0; ///< Of all flows, on the link.
};

} // namespace lavender
