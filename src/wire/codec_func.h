/** @file codec_func.h Bytes to messages and back: the one place that knows the encapsulation. */
#pragma once

#include "wire/exchange_type.h"
#include "wire/message_type.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <span>

namespace lavender {

constexpr uint8_t wireVersion = 1; ///< Second byte of every message.

/** Writes a message. */
Bytes encodeMessage(const Message& message);

/** Reads a message; InvalidArgument where the bytes are cut, oversized, of another version, or have bytes left over. */
absl::StatusOr<Message> decodeMessage(std::span<const uint8_t> bytes);

/** Writes the payload of a flow's packet. */
Bytes encodeExchange(const Exchange& exchange);

/** Reads the payload of a flow's packet; errors as decodeMessage. */
absl::StatusOr<Exchange> decodeExchange(std::span<const uint8_t> bytes);

/** Turns messages into datagrams; another encapsulation is another implementation of this. */
class Encapsulation {
public:
    virtual ~Encapsulation() = default;
    virtual Bytes encode(const Message& message) const = 0;
    virtual absl::StatusOr<Message> decode(std::span<const uint8_t> bytes) const = 0;
};

/** The encapsulation by cereal that the daemons use. */
class CerealEncapsulation final : public Encapsulation {
public:
    Bytes encode(const Message& message) const override { return encodeMessage(message); }
    absl::StatusOr<Message> decode(std::span<const uint8_t> bytes) const override { return decodeMessage(bytes); }
};

} // namespace lavender
