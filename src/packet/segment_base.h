/** @file segment_base.h Opaque packets: what the system reads of a header, and the codec that knows its bytes. */
#pragma once

#include "wire/message_type.h"

#include <cstdint>
#include <optional>
#include <span>

namespace lavender {

constexpr uint32_t lastOpeningCopy = 2; ///< Callers send an opening packet and, unanswered, two copies of it.

/** The header of one packet of a flow; the data behind it belongs to the two ends. */
struct Segment {
    Address source; ///< The end that wrote the packet.
    Address destination;
    uint32_t sequence = 0; ///< Sender's number of the first data byte.
    uint32_t acknowledged = 0; ///< Next byte that the sender expects; in a caller's opening packet the copies sent before.
    uint16_t dataBytes = 0;
    bool isOpening = false;
    bool isAcknowledging = false;
    bool isFinishing = false;
    bool isReset = false;
    bool isReturned = false; ///< An upstream gave the packet back: it does not hold the flow, or takes no new one.

    /** The flow, where a caller wrote the packet. */
    FlowKey flowOfCaller() const { return { this->source, this->destination }; }
    /** The flow, where an upstream wrote the packet. */
    FlowKey flowOfUpstream() const { return { this->destination, this->source }; }
};

/** Reads and writes the headers of one kind of packet. */
class SegmentCodec {
public:
    virtual ~SegmentCodec() = default;

    /** Reads a header; none where the bytes are no whole packet. */
    virtual std::optional<Segment> parse(std::span<const uint8_t> packet) const = 0;

    /** A reset from the service's address to the caller. */
    virtual Bytes makeReset(const FlowKey& flow, uint32_t sequence) const = 0;

    /** Makes a returned packet one that another upstream can take. */
    virtual void clearReturned(std::span<uint8_t> packet) const = 0;
};

} // namespace lavender
