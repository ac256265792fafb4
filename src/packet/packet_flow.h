/** @file packet_flow.h State that an agent keeps of opaque flows: those at its upstream and the owners of others. */
#pragma once

#include "core/address_type.h"
#include "core/time_type.h"
#include "wire/message_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace lavender {

/** State of a flow at this agent's upstream. */
enum class FlowStage : uint8_t {
    OpeningSent, ///< The opening packet was sent to the upstream.
    OpeningAnswered, ///< The upstream answered the opening packet; the caller may still have chosen another upstream's answer.
    Open, ///< The upstream holds the flow.
    Probing, ///< Unknown since a restart of this agent: a packet of it was sent to see whether the upstream holds it.
    Closed, ///< Both ends closed the flow, or one reset it.
};

/** Name of a stage in events. */
constexpr std::string_view toString(FlowStage stage)
{
    constexpr std::array<std::string_view, 5> names { "opening_sent", "opening_answered", "open", "probing", "closed" };
    return names[static_cast<size_t>(stage)];
}

/** Which place a flow's pending request takes at the upstream. */
enum class RequestPlace : uint8_t {
    None, ///< No request is pending, or it is not counted.
    Regular, ///< One of the places for which requests wait.
    Extra, ///< Beyond these places: the request could not wait any longer.
};

/** One flow at this agent's upstream. */
struct PacketFlow {
    FlowStage stage = FlowStage::OpeningSent;
    bool isAwaitingAnswer = false; ///< The flow was opened or its caller sent data, and the upstream has sent no data since.
    bool isUnclaimed = false; ///< The caller has not used the upstream's answer in time: the flow does not count against the connection limit.
    uint32_t callerEnd = 0; ///< Sequence number after the caller's latest data; data before it is a retransmission.
    bool isCallerEndKnown = false; ///< callerEnd holds a value.
    uint32_t requestsAtArrival = 0; ///< Requests at the upstream when the flow's pending one arrived, itself included; 0 if none is.
    RequestPlace place = RequestPlace::None; ///< Place of the pending request, where requests may be held.
    uint16_t requestPackets = 0; ///< Data packets of the latest request that were sent to the upstream, where requests may be held.
    std::optional<uint32_t> sentUpTo; ///< Sequence number after the data that was sent to the upstream; none if unknown.
    bool hasCallerFinished = false; ///< The caller has closed its end.
    bool hasUpstreamFinished = false; ///< The upstream has closed its end.
    uint32_t upstreamInitialSequence = 0; ///< Sequence number of the upstream's answer to the opening packet.
    std::optional<uint32_t> upstreamEnd; ///< Sequence number after the upstream's data so far; none if unknown.
    uint32_t lastCallerAcknowledgement = 0; ///< Acknowledgement number in the caller's latest packet that had one.
    Address balancer; ///< Balancer that the opening packet came through; not valid if unknown.
    Address home; ///< First agent on the way of the flow's packets; it is told the owner if that is another agent.
    Address searcher; ///< Agent that searches for the flow and waits for the result of the probe; not valid if there is none.
    std::vector<ServiceEntry> otherServices; ///< Of the packet that was sent as a probe: where it goes if the flow is not in this service.
    uint8_t servicePasses = 0; ///< Of the packet that was sent as a probe: times that it has passed to another service.
    Duration openingAge {}; ///< How long the caller had waited when it sent the opening packet that was taken; zero after the first answer.
    TimePoint createdAt {}; ///< When this entry was made: for an opening packet, a probe, or the upstream's first packet of a flow that was unknown here.
    TimePoint awaitingSince {}; ///< When isAwaitingAnswer was last set or cleared.
    TimePoint lastPacketAt {}; ///< When the latest packet of either end passed.
};

/** Cached owner of a flow that is not at this agent's upstream. */
struct CachedOwner {
    Address owner; ///< Not valid: unknown, but the flow is certainly not at the own upstream.
    TimePoint confirmedAt {}; ///< When the owner last reported.
    TimePoint expiresAt {};
};

} // namespace lavender
