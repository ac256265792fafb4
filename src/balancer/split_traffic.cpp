/** @file split_traffic.cpp Counts by route and service; their number is bounded by the rules. */
#include "balancer/split_traffic.h"

#include "core/text_func.h"

#include <algorithm>

namespace lavender {

void SplitTraffic::update(const Configuration& configuration)
{
    std::map<std::pair<Address, uint64_t>, Traffic> kept;
    for (const auto& [address, route] : configuration.routes) {
        if (route.shares.size() < 2) {
            continue;
        }
        for (const RouteShare& share : route.shares) {
            const ServiceRule& service = configuration.services[share.service.value];
            const std::pair key { address, service.nameHash };
            kept[key] = this->traffic[key];
            kept[key].service = service.name;
        }
    }
    this->traffic = std::move(kept);
}

void SplitTraffic::add(Address route, uint64_t service, bool isOpening)
{
    const auto found = this->traffic.find({ route, service });
    if (found != this->traffic.end()) {
        ++(isOpening ? found->second.openings : found->second.packets);
    }
}

std::vector<LabelledCounter> SplitTraffic::series() const
{
    std::vector<LabelledCounter> result;
    const auto addSeries = [&](std::string_view name, uint64_t Traffic::*value) {
        for (const auto& [key, entry] : this->traffic) {
            result.push_back({ name, concat("route=\"", formatAddress(key.first), "\",service=\"", entry.service, "\""), entry.*value });
        }
    };
    addSeries("route_openings", &Traffic::openings);
    addSeries("route_packets", &Traffic::packets);
    return result;
}

} // namespace lavender
