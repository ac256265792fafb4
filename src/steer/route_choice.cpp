/** @file route_choice.cpp Weighted rendezvous hashing over the services of a route. */
#include "steer/route_choice.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace lavender {

namespace {

    /** Score of a service for a flow. A service has the highest score with a probability proportional to its weight. */
    double score(const WeightedService& service, uint64_t flowHash)
    {
        // The upper 53 bits of the hash, the precision of a double, as a uniform number between 0 and 1.
        constexpr double scale = 1.0 / (1ULL << 53U);
        const uint64_t hash = hashPair(flowHash, service.service) >> 11U;
        const double uniform = (static_cast<double>(hash) + 0.5) * scale;
        return -static_cast<double>(service.weight) / std::log(uniform);
    }

} // namespace

std::vector<WeightedService> servicesAt(const Configuration& configuration, Address address)
{
    std::vector<WeightedService> services;
    if (const auto route = configuration.routes.find(address); route != configuration.routes.end()) {
        for (const RouteShare& share : route->second.shares) {
            services.push_back({ configuration.services[share.service.value].nameHash, share.weight });
        }
    } else if (const auto own = configuration.serviceByAddress.find(address); own != configuration.serviceByAddress.end()) {
        services.push_back({ configuration.services[own->second.value].nameHash });
    }
    return services;
}

std::optional<uint64_t> chooseService(std::span<const WeightedService> services, const FlowKey& flow)
{
    if (services.size() == 1 && services.front().weight > 0) {
        return services.front().service; // Fast path: most routes have one service.
    }
    const uint64_t flowHash = hashFlow(flow);
    const WeightedService* best = nullptr;
    double bestScore = 0;
    for (const WeightedService& service : services) {
        if (service.weight == 0) {
            continue;
        }
        const double ownScore = score(service, flowHash);
        // Equal scores are decided by the name, not by the order in the rules.
        if (best == nullptr || ownScore > bestScore || (ownScore == bestScore && service.service > best->service)) {
            best = &service;
            bestScore = ownScore;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->service);
}

} // namespace lavender
