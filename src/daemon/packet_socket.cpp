/** @file packet_socket.cpp Converts received bytes to the packet type of the library. */
#include "daemon/packet_socket.h"

namespace lavender {

std::optional<FlowPacket> parseCallerPacket(const SegmentCodec& codec, std::span<const uint8_t> bytes)
{
    const std::optional<Segment> segment = codec.parse(bytes);
    if (!segment || segment->isReturned) {
        return std::nullopt;
    }
    return FlowPacket {
        .flow = segment->flowOfCaller(),
        .mark = segment->isOpening ? PacketMark::Opening : PacketMark::Established,
        .payload = { bytes.begin(), bytes.end() },
    };
}

} // namespace lavender
