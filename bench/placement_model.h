/** @file placement_model.h Simulation of one service's agents under random new flows, to measure the imbalance of their load. */
#pragma once

#include "agent/agent_base.h"
#include "replay/event_queue.h"
#include "steer/steering_base.h"

#include <memory>
#include <string>
#include <vector>

namespace lavender {

/** Parameters of one simulation. */
struct PlacementScenario {
    std::string steering = "product"; ///< Name of the steering, as for makeSteering().
    uint32_t agents = 7; ///< Number of agents, each with its own upstream.
    uint16_t slots = 5; ///< Slots of each upstream.
    double flowsPerSecond = 2800; ///< Mean rate of new flows over all agents; intervals are exponentially distributed.
    Duration meanFlowTime = 5s; ///< Mean lifetime of a flow, exponentially distributed.
    bool hasRequests = false; ///< Each flow carries one request that takes the whole lifetime of the flow.
    Duration loadReportDelay = 1500us; ///< Delay of LoadReport messages between agents.
    bool areLoadReportsDelivered = true; ///< If false, LoadReport messages are dropped.
    Duration duration = 30s; ///< Simulated time, of which the first third is not sampled.
    uint64_t seed = 1;
};

/** Figures of one simulation. Imbalance is sampled after the first third of the duration. */
struct PlacementResult {
    double flowImbalanceMean = 0; ///< Imbalance (maximum over mean) of open flows per agent, averaged over time.
    double flowImbalanceP99 = 0; ///< 99th percentile over time of the imbalance of open flows per agent.
    double slotImbalanceMean = 0; ///< Maximum of slots in use over the lowest maximum possible with the same total, averaged over time.
    double remoteFlowShare = 0; ///< Share of flows whose owner is not their home, so that packets need one more hop.
};

/** Runs one simulation. */
PlacementResult runPlacement(const PlacementScenario& scenario);

} // namespace lavender
