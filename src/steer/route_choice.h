/** @file route_choice.h Divides the new flows of a route among its services by weight. */
#pragma once

#include "config/rule_type.h"
#include "core/address_type.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lavender {

/** One service of a route, named as on the wire, so that it can be compared between revisions of the rules. */
struct WeightedService {
    uint64_t service = 0; ///< ServiceRule::nameHash.
    uint32_t weight = 1; ///< Share of the route's new flows, relative to the other weights; 0: none.

    bool operator==(const WeightedService&) const = default;
};

/** The services that callers reach at an address; empty if the rules have no such address. */
std::vector<WeightedService> servicesAt(const Configuration& configuration, Address address);

/**
 * Chooses the service of a new flow by weighted rendezvous hashing: all processes with the same weights choose alike, and a change of
 * weights moves no more flows than it must.
 * @return ServiceRule::nameHash; nullopt if no service has a weight above 0.
 */
std::optional<uint64_t> chooseService(std::span<const WeightedService> services, const FlowKey& flow);

} // namespace lavender
