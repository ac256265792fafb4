/** @file codec_func.h Encodes and decodes messages; no other code knows their encapsulation. */
#pragma once

#include "wire/exchange_type.h"
#include "wire/message_type.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>

namespace lavender {

constexpr uint8_t wireVersion = 4; ///< First byte of every message and of every payload.

/** Encodes a message between processes of the system. */
Bytes encodeMessage(const Message& message);

/**
 * Decodes a message.
 * @return The message, or InvalidArgument if the bytes are truncated, have trailing bytes, are of another wire version or kind,
 * or hold a value or list beyond its limit.
 */
absl::StatusOr<Message> decodeMessage(std::span<const uint8_t> bytes);

/** Encodes the payload of a flow's packet. */
Bytes encodePayload(const FlowPayload& payload);

/** Decodes the payload of a flow's packet. @return The same errors as decodeMessage. */
absl::StatusOr<FlowPayload> decodePayload(std::span<const uint8_t> bytes);

/** Converts messages to datagrams and back. A different datagram format is added as another implementation. */
class Encapsulation {
public:
    virtual ~Encapsulation() = default;
    virtual Bytes encode(const Message& message) const = 0;
    virtual absl::StatusOr<Message> decode(std::span<const uint8_t> bytes) const = 0;
};

/** The datagram format of the daemons: encodeMessage and decodeMessage. */
class CerealEncapsulation final : public Encapsulation {
public:
    Bytes encode(const Message& message) const override { return encodeMessage(message); }
    absl::StatusOr<Message> decode(std::span<const uint8_t> bytes) const override { return decodeMessage(bytes); }
};

} // namespace lavender
