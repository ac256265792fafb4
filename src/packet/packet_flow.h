/** @file packet_flow.h What an agent keeps of the flows that it carries or passed on. */
#pragma once

#include "core/address_type.h"
#include "core/time_type.h"

#include <cstdint>

namespace lavender {

/** How far a flow has come at this agent's upstream. */
enum class FlowStage : uint8_t {
    Offered, ///< The opening packet went to the upstream.
    Answered, ///< The upstream answered it; the caller may have chosen another one.
    Open, ///< The flow is here.
    Probing, ///< Unknown since a restart: the upstream was asked by a packet of the flow.
    Ended, ///< Both ends closed it, or one reset it.
};

/** One flow at this agent's upstream. */
struct PacketFlow {
    FlowStage stage = FlowStage::Offered;
    bool isWaiting = false; ///< The upstream owes an answer.
    uint32_t busyAtRequest = 0; ///< Requests at the upstream when the one came that it works on, itself included; 0 where it has none.
    bool isCallerDone = false; ///< The caller has closed its end.
    bool isUpstreamDone = false; ///< The upstream has closed its end.
    uint32_t upstreamSequence = 0; ///< Of the upstream's answer to the opening packet.
    uint32_t callerAcknowledged = 0; ///< Latest that the caller acknowledged.
    Address balancer; ///< Where the opening packet came in; not valid where unknown.
    Address home; ///< First choice of the balancer; told where the flow is if that is elsewhere.
    Address asker; ///< Agent that searches for the flow and waits for word of it; else not valid.
    TimePoint offeredAt {};
    TimePoint waitingSince {};
    TimePoint lastPacket {};
};

/** Where a flow went that is not at this agent. */
struct PacketTrace {
    Address owner; ///< Not valid: nowhere known, and not at the own upstream.
    TimePoint expires {};
};

} // namespace lavender
