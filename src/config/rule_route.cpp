/** @file rule_route.cpp Parses a route: its address, its services, and what its requests need. */
#include "config/rule_route.h"

#include "core/text_func.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lavender {

namespace {

    constexpr uint32_t maximumRouteMilliseconds = 600'000;

    /** Parses a service's name. @return False if a fault was added. */
    bool parseShare(LineReader& reader, const Configuration& configuration, RouteRule& route)
    {
        const RulePosition position = reader.position();
        const std::optional<std::string> name = reader.takeName("a service name");
        if (!name) {
            return false;
        }
        const ServiceRule* service = configuration.findService(*name);
        if (service == nullptr) {
            reader.addFault(position, concat("\"", *name, "\": expected the name of a service defined above"));
            return false;
        }
        const ServiceId id = configuration.serviceByHash.at(service->nameHash);
        if (std::any_of(route.shares.begin(), route.shares.end(), [id](const RouteShare& share) { return share.service == id; })) {
            reader.addFault(position, concat("\"", *name, "\" stands twice: expected each service once"));
            return false;
        }
        route.shares.push_back({ .service = id });
        return true;
    }

    /** Parses the services of a route: one name, or names each with a weight. @return False if a fault was added. */
    bool parseShares(LineReader& reader, const Configuration& configuration, RouteRule& route)
    {
        const RulePosition position = reader.position();
        if (!parseShare(reader, configuration, route)) {
            return false;
        }
        if (!reader.isNextNumber()) {
            return true;
        }
        const std::optional<uint32_t> first = reader.takeNumber(0, maximumRouteWeight);
        if (!first) {
            return false;
        }
        route.shares.back().weight = *first;
        uint64_t sum = *first;
        while (!reader.isAtEnd() && !isRouteOption(reader.nextWord())) {
            if (!parseShare(reader, configuration, route)) {
                return false;
            }
            const std::optional<uint32_t> weight = reader.takeNumber(0, maximumRouteWeight);
            if (!weight) {
                return false;
            }
            route.shares.back().weight = *weight;
            sum += *weight;
        }
        if (sum == 0) {
            reader.addFault(position, "all weights are 0: expected one above 0");
        }
        return sum != 0;
    }

    void parseRouteOptions(LineReader& reader, RouteRule& route)
    {
        while (!reader.isAtEnd()) {
            const std::optional<Word> option = reader.takeAnyWord("an option");
            std::optional<uint32_t> number;
            if (option->text == "goal") {
                number = reader.takeNumber(1, maximumRouteMilliseconds);
                route.latencyGoal = std::chrono::milliseconds(number.value_or(1));
            } else if (option->text == "timeout") {
                number = reader.takeNumber(1, maximumRouteMilliseconds);
                route.timeout = std::chrono::milliseconds(number.value_or(1));
            } else if (option->text == "priority") {
                number = reader.takeNumber(0, UINT8_MAX);
                route.priority = static_cast<uint8_t>(number.value_or(0));
            } else {
                reader.addFault(option->position, concat("\"", option->text, "\": expected \"goal\", \"timeout\" or \"priority\""));
            }
            if (!number.has_value()) {
                return;
            }
        }
    }

} // namespace

bool isRouteOption(std::string_view word)
{
    constexpr std::array<std::string_view, 3> options { "goal", "timeout", "priority" };
    return std::find(options.begin(), options.end(), word) != options.end();
}

void parseRoute(LineReader& reader, Configuration& configuration)
{
    const RulePosition addressPosition = reader.position();
    const std::optional<Address> address = reader.takeAddress();
    if (!address || !reader.takeKeyword("to")) {
        return;
    }
    RouteRule route;
    if (!parseShares(reader, configuration, route)) {
        return;
    }
    if (!configuration.serviceByAddress.emplace(*address, route.shares.front().service).second) {
        reader.addFault(addressPosition,
            concat("address ", formatAddress(*address), " is already used by a service or route: expected an unused one"));
        return;
    }
    parseRouteOptions(reader, route);
    configuration.routes[*address] = std::move(route);
}

} // namespace lavender
