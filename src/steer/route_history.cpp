/** @file route_history.cpp Compares the routes of successive rules, and lists the services of a flow. */
#include "steer/route_history.h"

#include "wire/message_type.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration formerServicesTime = 1h; ///< Longer than a flow may be open.
    constexpr size_t maximumFormer = 8; ///< Former lists of services of one route; limits memory.
    /** Balancers keep the owners of flows in use for this long, so a flow that is unknown to them was opened before a later change. */
    constexpr Duration ownerKeepTime = 10s;

    bool isRemembered(TimePoint now, TimePoint replacedAt)
    {
        return now - replacedAt < formerServicesTime;
    }

    void addOnce(std::vector<uint64_t>& list, uint64_t service)
    {
        if (std::find(list.begin(), list.end(), service) == list.end()) {
            list.push_back(service);
        }
    }

} // namespace

std::vector<Address> RouteHistory::update(TimePoint now, const Configuration& configuration)
{
    std::vector<Address> changed;
    const auto replace = [&](Address address, Route& route, std::vector<WeightedService> services) {
        if (route.services == services) {
            return;
        }
        if (this->hasRules) {
            changed.push_back(address);
        }
        if (!route.services.empty()) {
            route.former.push_front({ std::move(route.services), now });
        }
        route.services = std::move(services);
    };
    for (const auto& [address, service] : configuration.serviceByAddress) {
        replace(address, this->routes[address], servicesAt(configuration, address));
    }
    for (auto& [address, route] : this->routes) {
        if (!configuration.serviceByAddress.contains(address)) {
            replace(address, route, {});
        }
        std::erase_if(route.former, [now](const FormerServices& former) { return !isRemembered(now, former.replacedAt); });
        route.former.resize(std::min(route.former.size(), maximumFormer));
    }
    std::erase_if(this->routes, [](const auto& entry) { return entry.second.services.empty() && entry.second.former.empty(); });
    this->hasRules = true;
    return changed;
}

std::optional<uint64_t> RouteHistory::serviceForOpening(const FlowKey& flow) const
{
    const auto route = this->routes.find(flow.service);
    return route == this->routes.end() ? std::nullopt : chooseService(route->second.services, flow);
}

std::vector<uint64_t> RouteHistory::allServices(TimePoint now, const Route& route)
{
    std::vector<uint64_t> all;
    for (const WeightedService& service : route.services) {
        addOnce(all, service.service);
    }
    for (const FormerServices& former : route.former) {
        for (const WeightedService& service : former.services) {
            if (isRemembered(now, former.replacedAt)) {
                addOnce(all, service.service);
            }
        }
    }
    return all;
}

/** The choice of the rules in force first, unless they are so new that flows unknown to the balancer were opened before them. */
std::vector<uint64_t> RouteHistory::servicesFor(TimePoint now, const FlowKey& flow) const
{
    const auto found = this->routes.find(flow.service);
    if (found == this->routes.end()) {
        return {};
    }
    const Route& route = found->second;
    std::vector<uint64_t> services;
    const auto addChoice = [&](std::span<const WeightedService> choices) {
        if (const std::optional<uint64_t> choice = chooseService(choices, flow)) {
            addOnce(services, *choice);
        }
    };
    if (!route.former.empty() && now - route.former.front().replacedAt < ownerKeepTime) {
        addChoice(route.former.front().services);
    }
    addChoice(route.services);
    for (const FormerServices& former : route.former) {
        if (isRemembered(now, former.replacedAt)) {
            addChoice(former.services);
        }
    }
    for (uint64_t service : RouteHistory::allServices(now, route)) {
        addOnce(services, service);
    }
    services.resize(std::min(services.size(), maximumRouteServices));
    return services;
}

size_t RouteHistory::serviceCount(TimePoint now, Address address) const
{
    const auto found = this->routes.find(address);
    return found == this->routes.end() ? 0 : RouteHistory::allServices(now, found->second).size();
}

} // namespace lavender
