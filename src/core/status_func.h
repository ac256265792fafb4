/** @file status_func.h The state of a process as JSON, for lavenderctl status. */
#pragma once

#include "core/address_type.h"
#include "core/counter_type.h"
#include "core/strong_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavender {

/** What a process says of itself. */
struct StatusView {
    std::string_view role; ///< "balancer" or "agent".
    Address address;
    std::string_view zone;
    std::string_view service; ///< Empty for a balancer.
    std::string_view state; ///< Of the upstream; empty for a balancer.
    Revision revision = 0;
    Duration revisionAge {}; ///< How long the revision has been in force.
    std::vector<std::pair<std::string_view, uint64_t>> numbers; ///< Present sizes.
    const Counters* counters = nullptr;
};

/** Writes the view as one JSON object; counters at zero are left out. */
std::string formatStatus(const StatusView& view);

} // namespace lavender
