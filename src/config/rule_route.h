/** @file rule_route.h Parser of the route rule. */
#pragma once

#include "config/rule_reader.h"

namespace lavender {

constexpr uint32_t maximumRouteWeight = 1'000'000; ///< Highest weight of one service of a route.

/** True for a word that begins an option of a route: a service with such a name can only stand first. */
bool isRouteOption(std::string_view word);

/** Parses a route rule after its keyword, and adds the route to the configuration. */
void parseRoute(LineReader& reader, Configuration& configuration);

} // namespace lavender
