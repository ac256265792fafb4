/** @file address.cpp Parsing and printing of addresses. */
#include "core/address_type.h"

#include "core/hash_func.h"
#include "core/text_func.h"

#include <vector>

namespace lavender {

absl::StatusOr<Address> parseAddress(std::string_view text)
{
    const auto fault = [text] { return absl::InvalidArgumentError(concat("\"", text, "\": expected A.B.C.D:PORT with port 1..65535")); };
    const std::vector<std::string_view> halves = splitText(text, ':');
    if (halves.size() != 2) {
        return fault();
    }
    const std::vector<std::string_view> bytes = splitText(halves[0], '.');
    if (bytes.size() != 4) {
        return fault();
    }
    Address address;
    for (std::string_view byte : bytes) {
        uint32_t number = 0;
        if (byte.empty() || byte.size() > 3 || !parseNumber(byte, number) || number > 255) {
            return fault();
        }
        address.host = address.host << 8 | number;
    }
    uint32_t port = 0;
    if (!parseNumber(halves[1], port) || port == 0 || port > 65535) {
        return fault();
    }
    address.port = static_cast<uint16_t>(port);
    return address;
}

std::string formatAddress(Address address)
{
    return concat(address.host >> 24, ".", address.host >> 16 & 255, ".", address.host >> 8 & 255, ".", address.host & 255, ":", address.port);
}

std::string formatFlow(const FlowKey& flow)
{
    return concat(formatAddress(flow.caller), ">", formatAddress(flow.service));
}

} // namespace lavender

size_t std::hash<lavender::FlowKey>::operator()(const lavender::FlowKey& flow) const noexcept
{
    return lavender::hashFlow(flow);
}
