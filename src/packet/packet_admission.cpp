/** @file packet_admission.cpp Whether the upstream takes a new flow now, and how many may wait for it. */
#include "packet/packet_agent_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration answerTimeout = 150ms; ///< An upstream answers an opening packet in less than a millisecond.
    constexpr size_t absenceProbes = 3; ///< A single one may be lost.
    constexpr Duration absenceTime = 300ms;
    constexpr Duration longestSilence = 1900ms; ///< The address of an upstream that ended may be another's after 2 s.
    constexpr size_t queueLimitHalves = 5; ///< Requests at the upstream, in halves of its slots, where no goal or no time of work is known.
    constexpr size_t longestQueue = 4; ///< Requests at the upstream, in times of its slots, whatever the goal: upstreams give back what is beyond that.
    constexpr Duration handshakeTime = 20ms; ///< Of a goal: three ways between caller and upstream, and the balancer's part.

} // namespace

bool PacketAgent::isUpstreamSilent(TimePoint now) const
{
    if (this->hasSaidGoodbye) {
        return true;
    }
    if (this->unansweredSince != TimePoint {} && now - this->unansweredSince >= answerTimeout) {
        return true;
    }
    const TimePoint heard = std::max({ this->reportedAt, this->lastUpstreamPacket, this->settings.startedAt });
    return now - heard >= std::min(this->settings.reportPeriod * 5 / 2, longestSilence);
}

/**
 * True where the upstream has shown no flow and sent no report since this process began, although it gave no answer to packets
 * or its report is overdue: there is none. One that lives gives back an unknown flow's packet in less than a millisecond.
 */
bool PacketAgent::isUpstreamAbsent(TimePoint now) const
{
    if (this->latestReport || this->hasUpstreamSpoken) {
        return false;
    }
    const bool isDeaf = this->lastUpstreamPacket == TimePoint {} && this->unansweredProbes >= absenceProbes && now - this->firstProbeAt >= absenceTime;
    return isDeaf || now - this->settings.startedAt >= this->settings.reportPeriod * 5 / 2;
}

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
    if (configuration.drained.contains(this->settings.address)) {
        return Obstacle::Draining;
    }
    if (this->isUpstreamSilent(now)) {
        return Obstacle::Silent;
    }
    if (this->refusals.isPaused(now)) {
        return Obstacle::Refusing;
    }
    if (this->flows.size() >= rule->connections) {
        return Obstacle::Connections;
    }
    return this->gate.mayOpen(now) ? Obstacle::None : Obstacle::Cold;
}

/** Fresh callers may wait a little; the work of those that have sent copies is late already and takes free slots only. */
PacketAgent::Obstacle PacketAgent::obstacle(TimePoint now, const Segment& opening) const
{
    const size_t limit = opening.acknowledged == 0 ? this->queueLimit(opening.flowOfCaller().service) : this->peers.self().slots;
    const bool isFull = this->waitingFlows >= limit;
    const Obstacle obstacle = this->obstacle(now);
    return obstacle == Obstacle::None && isFull ? Obstacle::QueueFull : obstacle;
}

/**
 * Requests at the upstream at which a fresh opening is no longer taken: it would be answered behind its goal, and so would all
 * that come after it, while its caller's next copy may find a shorter queue.
 */
size_t PacketAgent::queueLimit(Address service) const
{
    const size_t slots = this->peers.self().slots;
    const auto& goals = this->follower.current().latencyGoals;
    const auto goal = goals.find(service);
    const std::optional<Duration> work = this->workTime.mean();
    if (goal == goals.end() || !work) {
        return slots * queueLimitHalves / 2;
    }
    // Half of all requests take longer than the mean; a third more covers most of them.
    const Duration spare = goal->second - handshakeTime - *work * 4 / 3;
    if (spare < Duration::zero()) {
        // No upstream may be quick enough for the goal; one that was is left to the others' free slots, and measured by one request.
        return this->workTime.isSlow() ? 1 : slots * queueLimitHalves / 2;
    }
    const auto places = static_cast<size_t>(spare * static_cast<int64_t>(slots) / std::max<Duration>(*work, 1ms));
    return std::min(slots + places, slots * longestQueue);
}

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
