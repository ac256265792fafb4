/** @file address_type.h IPv4 addresses with a port, and flows between two such addresses. */
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
    uint16_t port = 0; ///< 1..65535; 0 if not set.

    constexpr auto operator<=>(const Address&) const = default;
    /** True if both host and port are set. */
    constexpr bool isValid() const { return this->host != 0 && this->port != 0; }
    /** Host and port in one integer, as input for hashes. */
    constexpr uint64_t packed() const { return uint64_t { this->host } << 16 | this->port; }
};

/** Identifies a flow by the addresses of its two ends. */
struct FlowKey {
    Address caller; ///< Address that the caller sends from and receives answers at.
    Address service; ///< Address that the caller sends to.

    constexpr auto operator<=>(const FlowKey&) const = default;
};

/**
 * Parses an address such as "127.0.0.1:80".
 * @return The address, or InvalidArgument that tells what was found and what is expected.
 */
absl::StatusOr<Address> parseAddress(std::string_view text);

/** Formats an address as "127.0.0.1:80". */
std::string formatAddress(Address address);

/** Formats a flow as "10.0.0.1:4000>10.0.0.2:80": caller, then service. */
std::string formatFlow(const FlowKey& flow);

} // namespace lavender

template <>
struct std::hash<lavender::Address> {
    /** Fibonacci hashing: the factor is 2^64 divided by the golden ratio. */
    size_t operator()(lavender::Address address) const noexcept { return address.packed() * 0x9E3779B97F4A7C15U; }
};

template <>
struct std::hash<lavender::FlowKey> {
    size_t operator()(const lavender::FlowKey& flow) const noexcept;
};
