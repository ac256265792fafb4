/** @file route_history.h The services that a flow may be at: those of its route now, and those that the route had before. */
#pragma once

#include "core/time_type.h"
#include "steer/route_choice.h"

#include <deque>
#include <map>
#include <vector>

namespace lavender {

/**
 * Remembers how routes divided their flows before the rules changed: a flow stays at the service that took its opening packet, also
 * if the rules in force choose another one for new flows or do not name it any more.
 */
class RouteHistory {
public:
    /** Takes rules that have come into force. @return Addresses whose services or weights differ from the rules before; none the first time. */
    std::vector<Address> update(TimePoint now, const Configuration& configuration);

    /** Service that the rules in force choose for a new flow; nullopt if they have none. */
    std::optional<uint64_t> serviceForOpening(const FlowKey& flow) const;

    /** Services that an open flow may be at, the likeliest first; at most maximumRouteServices. */
    std::vector<uint64_t> servicesFor(TimePoint now, const FlowKey& flow) const;

    /** Number of services that flows to an address may be at. */
    size_t serviceCount(TimePoint now, Address address) const;

private:
    /** Services of a route in earlier rules. */
    struct FormerServices {
        std::vector<WeightedService> services;
        TimePoint replacedAt {}; ///< When later rules came into force.
    };

    /** What is known of one route. */
    struct Route {
        std::vector<WeightedService> services; ///< By the rules in force; empty if they do not have the route.
        std::deque<FormerServices> former; ///< Latest first.
    };

    /** All services of a route, each once: those of the rules in force, then former ones. */
    static std::vector<uint64_t> allServices(TimePoint now, const Route& route);

    std::map<Address, Route> routes;
    bool hasRules = false; ///< update() has been called.
};

} // namespace lavender
