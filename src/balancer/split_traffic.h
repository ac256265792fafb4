/** @file split_traffic.h Counts what a balancer sends to each service of a route that has several. */
#pragma once

#include "config/rule_type.h"
#include "core/metrics_func.h"

#include <map>
#include <utility>

namespace lavender {

/** Counts of the split routes of the rules in force, so that operators see whether flows divide as the weights say. */
class SplitTraffic {
public:
    /** Forgets routes that the rules in force do not split. */
    void update(const Configuration& configuration);

    /** Counts a packet that is sent to an agent of a service. */
    void add(Address route, uint64_t service, bool isOpening);

    /** The counts, with labels "route" and "service". */
    std::vector<LabelledCounter> series() const;

private:
    /** Counts of one service of one route. */
    struct Traffic {
        std::string service; ///< Its name.
        uint64_t openings = 0; ///< Opening packets, with their retransmissions.
        uint64_t packets = 0; ///< Other packets.
    };

    std::map<std::pair<Address, uint64_t>, Traffic> traffic; ///< By route and ServiceRule::nameHash.
};

} // namespace lavender
