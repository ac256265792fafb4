/** @file rule_route.h Parser of the route rule. */
#pragma once

#include "config/rule_reader.h"

namespace lavender {

/** Parses a route rule after its keyword, and adds the route to the configuration. */
void parseRoute(LineReader& reader, Configuration& configuration);

} // namespace lavender
