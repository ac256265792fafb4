/** @file rule_route.cpp Parses a route: its address, its service, and what its requests need. */
#include "config/rule_route.h"

#include "core/text_func.h"

namespace lavender {

namespace {

    constexpr uint32_t maximumRouteMilliseconds = 600'000;

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

void parseRoute(LineReader& reader, Configuration& configuration)
{
    const RulePosition addressPosition = reader.position();
    const std::optional<Address> address = reader.takeAddress();
    if (!address || !reader.takeKeyword("to")) {
        return;
    }
    const RulePosition namePosition = reader.position();
    const std::optional<std::string> name = reader.takeName("a service name");
    if (!name) {
        return;
    }
    const ServiceRule* service = configuration.findService(*name);
    if (service == nullptr) {
        reader.addFault(namePosition, concat("\"", *name, "\": expected the name of a service defined above"));
        return;
    }
    const ServiceId id = configuration.serviceByHash[service->nameHash];
    if (!configuration.serviceByAddress.emplace(*address, id).second) {
        reader.addFault(addressPosition,
            concat("address ", formatAddress(*address), " is already used by a service or route: expected an unused one"));
        return;
    }
    RouteRule& route = configuration.routes[*address];
    route.shares.push_back({ .service = id });
    parseRouteOptions(reader, route);
}

} // namespace lavender
