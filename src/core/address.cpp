/** @file address.cpp Parses and formats addresses. */
#include "core/address_type.h"

#include "core/hash_func.h"
#include "core/text_func.h"

#include <vector>

namespace lavender {

absl::StatusOr<Address> parseAddress(std::string_view text)
{
    const auto malformed = [text] { return absl::InvalidArgumentError(concat("\"", text, "\": expected A.B.C.D:PORT with port 1..65535")); };
    const std::vector<std::string_view> hostAndPort = splitText(text, ':');
    if (hostAndPort.size() != 2) {
        return malformed();
    }
    const std::vector<std::string_view> octets = splitText(hostAndPort[0], '.');
    if (octets.size() != 4) {
        return malformed();
    }
    Address address;
    for (std::string_view octet : octets) {
        uint32_t number = 0;
        if (octet.empty() || octet.size() > 3 || !parseNumber(octet, number) || number > 255) {
            return malformed();
        }
        address.host = address.host << 8 | number;
    }
    uint32_t port = 0;
    if (!parseNumber(hostAndPort[1], port) || port == 0 || port > 65535) {
        return malformed();
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
