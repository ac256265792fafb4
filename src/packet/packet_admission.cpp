/** @file packet_admission.cpp Admission of new flows: whether one is taken now, and how long the upstream's queue may be. */
#include "packet/packet_agent_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration openingAnswerTimeout = 150ms; ///< A working upstream answers an opening packet in less than 1 ms.
    constexpr size_t minimumUnansweredProbes = 3; ///< Probes without any answer until the upstream counts as absent; a single one may be lost.
    constexpr Duration minimumUnansweredTime = 300ms; ///< From the first probe until an upstream without any answer counts as absent.
    constexpr Duration addressReuseMargin = 100ms; ///< An upstream counts as silent this long before another may have its address.

} // namespace

/** True if the upstream has shut down, leaves opening packets unanswered, or has sent no report and no packet for too long. */
bool PacketAgent::isUpstreamSilent(TimePoint now) const
{
    if (this->hasDeregistered) {
        return true;
    }
    if (this->unansweredSince != TimePoint {} && now - this->unansweredSince >= openingAnswerTimeout) {
        return true;
    }
    const TimePoint lastSignOfLife = std::max({ this->latestReportAt, this->lastUpstreamPacket, this->settings.startedAt });
    return now - lastSignOfLife >= std::min<Duration>(this->settings.reportPeriod * 5 / 2, this->codec.timing().addressReuseTime - addressReuseMargin);
}

/** True if no upstream has answered probes since this process started. A working one returns the packet of an unknown flow in less than 1 ms. */
bool PacketAgent::areProbesUnanswered(TimePoint now) const
{
    const bool isNothingHeard = !this->latestReport && this->lastUpstreamPacket == TimePoint {};
    return isNothingHeard && this->probesSent >= minimumUnansweredProbes && now - this->firstProbeAt >= minimumUnansweredTime;
}

/**
 * True if there is no upstream beside this agent: since this process started it has shown no flow and sent no report, and
 * either it has not answered probes or its first report is overdue.
 */
bool PacketAgent::isUpstreamAbsent(TimePoint now) const
{
    const bool isNoneKnown = !this->latestReport && !this->hasUpstreamSentOwnPacket;
    return isNoneKnown && (this->areProbesUnanswered(now) || now - this->settings.startedAt >= this->settings.reportPeriod * 5 / 2);
}

/** Why no new flow is admitted now, whatever the length of the queue. */
PacketAgent::Obstacle PacketAgent::obstacle(TimePoint now) const
{
    const Configuration& configuration = this->follower.current();
    const ServiceRule* rule = configuration.findService(this->settings.service);
    if (this->isStopping) {
        return Obstacle::Stopping;
    }
    if (this->latestReport && (this->latestReport->isDraining || this->latestReport->service != this->settings.service)) {
        return this->latestReport->isDraining ? Obstacle::Draining : Obstacle::OtherService;
    }
    if (configuration.isZoneDraining(this->settings.zone) || configuration.isZoneOut(this->settings.zone)) {
        return Obstacle::ZoneDraining;
    }
    if (rule == nullptr) {
        return Obstacle::NoRules;
    }
    if (configuration.drainedAgents.contains(this->settings.address)) {
        return Obstacle::Draining;
    }
    if (this->isUpstreamSilent(now)) {
        return Obstacle::Silent;
    }
    if (this->refusalBackoff.isPaused(now)) {
        return Obstacle::Refusing;
    }
    if (this->flows.size() - this->unclaimedFlows >= rule->connections) {
        return Obstacle::Connections;
    }
    return this->coldStartLimiter.mayOpen(now) ? Obstacle::None : Obstacle::Cold;
}

/** Why this opening packet is not admitted now. */
PacketAgent::Obstacle PacketAgent::obstacle(TimePoint now, const Segment& opening) const
{
    const Address service = opening.flowOfCaller().service;
    const size_t limit = this->openingLimits(service).ofCopy(opening.acknowledged);
    const Obstacle obstacle = this->obstacle(now);
    if (obstacle != Obstacle::None) {
        return obstacle;
    }
    if (this->flowsAwaitingAnswer >= limit) {
        return Obstacle::QueueFull;
    }
    return Obstacle::None;
}

/**
 * What bounds the upstream's queue for openings.
 * @param service Address of the service that the caller opened the flow to.
 */
OpeningLimits PacketAgent::openingLimits(Address service) const
{
    const RouteRule* route = this->findRoute(service);
    OpeningLimits limits {
        .timing = this->codec.timing(),
        .slots = this->peers.self().slots,
        .processing = this->processingTime.mean(),
        .hasSlowedDown = this->processingTime.hasSlowedDown(),
    };
    if (route != nullptr) {
        limits.goal = route->latencyGoal;
        limits.timeout = route->timeout;
    }
    return limits;
}

/** Counts an admitted opening by the priority of its route; without a route it is of the most urgent one. */
void PacketAgent::countTaken(const Segment& opening)
{
    constexpr uint8_t lastCountedPriority = 3; // Less urgent ones are counted together with it.
    const RouteRule* route = this->findRoute(opening.flowOfCaller().service);
    const uint8_t priority = route == nullptr ? uint8_t { 0 } : std::min(route->priority, lastCountedPriority);
    this->count.add(static_cast<Counter>(static_cast<uint8_t>(Counter::OpeningsTakenPriority0) + priority)); // The others follow it.
}

/** Name of an obstacle in events. */
std::string_view PacketAgent::toText(Obstacle obstacle)
{
    switch (obstacle) {
    case Obstacle::None:
        return "none";
    case Obstacle::Stopping:
        return "agent_stopping";
    case Obstacle::Draining:
        return "upstream_draining";
    case Obstacle::OtherService:
        return "upstream_of_other_service";
    case Obstacle::ZoneDraining:
        return "zone_draining";
    case Obstacle::NoRules:
        return "no_rules";
    case Obstacle::Silent:
        return "upstream_silent";
    case Obstacle::Refusing:
        return "upstream_refusing";
    case Obstacle::Connections:
        return "connections_full";
    case Obstacle::QueueFull:
        return "queue_full";
    case Obstacle::Cold:
        return "upstream_cold";
    }
    return "unknown";
}

} // namespace lavender
