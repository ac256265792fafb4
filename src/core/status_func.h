/** @file status_func.h Status of a process as JSON, for "lavenderctl status". */
#pragma once

#include "core/address_type.h"
#include "core/counter_type.h"
#include "core/revision_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavender {

/** Data of the status that a process reports. */
struct StatusView {
    std::string_view role; ///< "balancer" or "agent".
    Address address; ///< Address where other processes reach this one; its identity.
    std::string_view zone; ///< Availability zone of the process.
    std::string_view service; ///< Service of the agent's upstream; empty for a balancer.
    std::string_view state; ///< Name of the agent's MemberState; not written for a balancer.
    Revision revision; ///< Revision of the configuration in force.
    Duration revisionAge {}; ///< Time since that revision was put in force.
    std::vector<std::pair<std::string_view, uint64_t>> gauges; ///< Current values by name, such as open flows.
    const Counters* counters = nullptr;
};

/** Formats the status as one JSON object; counters that are zero are left out. */
std::string formatStatus(const StatusView& view);

} // namespace lavender
