/** @file address_type.h IPv4 addresses with a port, and the flows between two of them. */
#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lavender {

/** An IPv4 address and port, both in host byte order. */
struct Address {
    uint32_t host = 0; ///< 127.0.0.1 is 0x7f000001.
    uint16_t port = 0; ///< 1..65535; 0 where there is none.

    constexpr auto operator<=>(const Address&) const = default;
    constexpr bool isValid() const { return this->host != 0 && this->port != 0; }
    /** Both parts in one integer, for hashing and for ordered output. */
    constexpr uint64_t packed() const { return uint64_t { this->host } << 16 | this->port; }
};

/** The two ends of a flow. */
struct FlowKey {
    Address caller; ///< Where the answers go.
    Address service; ///< The address that the caller sent to.

    constexpr auto operator<=>(const FlowKey&) const = default;
};

/**
 * Parses "127.0.0.1:80".
 * @return InvalidArgument with what was found and what was expected.
 */
absl::StatusOr<Address> parseAddress(std::string_view text);

/** Writes an address as "127.0.0.1:80". */
std::string formatAddress(Address address);

/** Writes a flow as "10.0.0.1:4000>10.0.0.2:80". */
std::string formatFlow(const FlowKey& flow);

} // namespace lavender

template <>
struct std::hash<lavender::Address> {
    size_t operator()(lavender::Address address) const noexcept { return address.packed() * 0x9E3779B97F4A7C15U; }
};

template <>
struct std::hash<lavender::FlowKey> {
    size_t operator()(const lavender::FlowKey& flow) const noexcept;
};
