/** @file packet_priority.cpp What a PacketAgent tells its PriorityReserve, and logs of it. */
#include "packet/packet_agent_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr uint8_t lastCountedPriority = 3; ///< Less urgent ones are counted together with it.

    /** The counter of a priority. @param first Counter of priority 0; the others follow it. */
    Counter counterOf(Counter first, uint8_t priority)
    {
        return static_cast<Counter>(static_cast<uint8_t>(first) + std::min(priority, lastCountedPriority));
    }

} // namespace

/** Priority of the route at this address; the most urgent if there is no route, as at a service's own address. */
uint8_t PacketAgent::priorityOf(Address service) const
{
    const auto& routes = this->follower.current().routes;
    const auto route = routes.find(service);
    return route == routes.end() ? uint8_t { 0 } : route->second.priority;
}

/** The upstream's room. @param limit Requests from which on no opening is admitted, whatever its priority. */
UpstreamRoom PacketAgent::room(size_t limit) const
{
    return { .slots = this->peers.self().slots, .limit = limit, .processingTime = this->processingTime.mean() };
}

/** Updates the reserve and the counters by the result of an opening. */
void PacketAgent::recordOpening(TimePoint now, const Segment& opening, OpeningResult result, Obstacle obstacle)
{
    const uint8_t priority = this->priorityOf(opening.flowOfCaller().service);
    if (obstacle == Obstacle::Reserved) {
        this->logReserved(now, opening.flowOfCaller());
        this->priorityReserve.recordRefusal(now, priority);
        this->count.add(counterOf(Counter::OpeningsReservedPriority0, priority));
    }
    if (result == OpeningResult::Accepted) {
        this->priorityReserve.recordAdmission(priority);
        this->count.add(counterOf(Counter::OpeningsTakenPriority0, priority));
    }
    // A busy agent is offered the opening again if no other takes it; a retransmission was counted at its original.
    const bool isNewArrival = result == OpeningResult::Accepted || (result == OpeningResult::Full && opening.acknowledged == 0);
    if (this->settings.reservesByPriority && isNewArrival) {
        this->priorityReserve.recordArrival(now, priority);
    }
}

/** Logs an opening that is refused for the sake of more urgent ones, with all inputs of the decision. */
void PacketAgent::logReserved(TimePoint now, const FlowKey& flow) const
{
    const uint8_t priority = this->priorityOf(flow.service);
    const size_t limit = this->openingLimits(flow.service).ofOriginal();
    const std::optional<Duration> processingTime = this->processingTime.mean();
    this->events.log(EventLevel::Info, "opening-reserved",
        {
            { "flow", formatFlow(flow) },
            { "priority", std::to_string(priority) },
            { "busy", std::to_string(this->flowsAwaitingAnswer) },
            { "slots", std::to_string(this->peers.self().slots) },
            { "limit", std::to_string(this->priorityReserve.limit(now, priority, this->room(limit))) },
            { "queue_limit", std::to_string(limit) },
            { "more_urgent_arrivals", std::to_string(this->priorityReserve.moreUrgentArrivals(now, priority)) },
            { "window_ms", std::to_string(toMilliseconds(PriorityReserve::window)) },
            { "processing_ms", processingTime ? std::to_string(toMilliseconds(*processingTime)) : "unknown" },
        });
}

} // namespace lavender
