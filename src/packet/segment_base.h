/** @file segment_base.h Header of an opaque packet, as far as the system reads it, and the codec interface for its bytes. */
#pragma once

#include "core/flow_timing.h"
#include "wire/message_type.h"

#include <cstdint>
#include <optional>
#include <span>

namespace lavender {

/** Header of one packet of a flow. The data that follows it is opaque to the system. */
struct Segment {
    Address source; ///< End that sent the packet.
    Address destination; ///< End that the packet is for.
    uint32_t sequence = 0; ///< Sequence number of the first data byte.
    uint32_t acknowledged = 0; ///< Next byte that the sender expects; in a caller's opening packet the number of copies sent before.
    uint16_t dataBytes = 0;
    bool isOpening = false; ///< SYN: opens a flow, or answers a packet that does.
    bool isAcknowledging = false; ///< ACK: the field acknowledged holds an acknowledgement number.
    bool isFinishing = false; ///< FIN: the sender closes its end.
    bool isReset = false; ///< RST: the sender ends the flow.
    bool isReturned = false; ///< The upstream returned the caller's packet: it does not hold the flow, or takes no new one.

    /** Key of the flow if a caller sent the packet. */
    FlowKey flowOfCaller() const { return { this->source, this->destination }; }
    /** Key of the flow if an upstream sent the packet. */
    FlowKey flowOfUpstream() const { return { this->destination, this->source }; }
};

/** One protocol of flows: the headers of its packets and its schedule. */
class SegmentCodec {
public:
    virtual ~SegmentCodec() = default;

    /** When the ends of these flows repeat their packets. */
    virtual const FlowTiming& timing() const = 0;

    /** Reads a header; none if the bytes are not one complete packet. */
    virtual std::optional<Segment> parse(std::span<const uint8_t> packet) const = 0;

    /** Makes a reset packet from the service's address to the caller. */
    virtual Bytes makeReset(const FlowKey& flow, uint32_t sequence) const = 0;

    /** Clears the mark of a returned packet, so that another upstream accepts it. */
    virtual void clearReturned(std::span<uint8_t> packet) const = 0;
};

} // namespace lavender
