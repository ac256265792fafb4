/** @file placement_model.h Agents of one service under a stream of new flows: how evenly do they end up loaded? */
#pragma once

#include "agent/agent_base.h"
#include "replay/event_queue.h"
#include "steer/steering_base.h"

#include <memory>
#include <string>
#include <vector>

namespace lavender {

/** A stream of flows over the agents of one service. */
struct PlacementScene {
    std::string steering = "product";
    uint32_t agents = 7;
    uint16_t slots = 5;
    double flowsPerSecond = 2800;
    Duration flowTime = 5s; ///< Mean life of a flow, exponential.
    bool hasRequests = false; ///< Each flow carries one request that takes its whole life.
    Duration newsDelay = 1500us; ///< Of load news between agents.
    bool hasNews = true;
    Duration duration = 30s;
    uint64_t seed = 1;
};

/** What came of it, after the first third. */
struct PlacementResult {
    double flowsMean = 0; ///< Highest over mean of the flows held: average over time.
    double flowsQuantile99 = 0;
    double slotsMean = 0; ///< Highest over the least possible highest of the slots in use: average over time.
    double movedShare = 0; ///< Flows that live at another agent than their home.
};

PlacementResult runPlacement(const PlacementScene& scene);

} // namespace lavender
