/** @file packet_socket.h Receiving opaque packets of callers and sending packets back to callers. */
#pragma once

#include "core/action_type.h"
#include "daemon/udp_socket.h"
#include "packet/segment_base.h"

#include <memory>

namespace lavender {

/** Sends opaque packets to callers: to the host of each caller, at one port that is the same for all. */
class CallerSender {
public:
    CallerSender(UdpSocket& socket, uint16_t port)
        : socket(socket)
        , port(port)
    {
    }

    void send(const FlowPacket& packet) { this->socket.send({ packet.flow.caller.host, this->port }, packet.payload); }

private:
    UdpSocket& socket;
    uint16_t port;
};

/** Parses a packet that a caller sent. @return Nothing if @p bytes are not a packet, or are a caller's packet that the upstream returned. */
std::optional<FlowPacket> parseCallerPacket(const SegmentCodec& codec, std::span<const uint8_t> bytes);

} // namespace lavender
