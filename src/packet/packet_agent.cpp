/** @file packet_agent.cpp Messages, upstream reports and periodic work of a PacketAgent. */
#include "packet/packet_agent_base.h"

#include "core/hash_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration minimumFetchInterval = 500ms; ///< Least time between two snapshot requests.
    constexpr uint16_t weightPerSlot = 100; ///< MemberRecord::weight counts hundredths of a slot.
    constexpr Duration minimumRestartTime = 150ms; ///< An agent that died takes at least this long to start again.
    constexpr Duration reportTimeout = 1s; ///< An upstream waits this long for the answer to a report.
    constexpr Duration maximumClockLead = 1h; ///< The time of day jumps by seconds; a report that says more is not of the own upstream.
    constexpr uint64_t maximumCountedReports = 16; ///< Later reports show no age: it would exceed the time for which flows are remembered.

    MemberRecord initialRecord(const PacketAgentSettings& settings)
    {
        const auto weight = static_cast<uint16_t>(settings.slots * weightPerSlot);
        return {
            .address = settings.address,
            .role = MemberRole::Agent,
            .zone = settings.zone,
            .service = settings.service,
            .incarnation = settings.incarnation,
            .version = 1,
            .state = MemberState::Cold,
            .slots = settings.slots,
            .weight = weight,
        };
    }

    /**
     * True if a deregistration of upstream @p id is by the lifetime of the latest report or by a later one. An upstream may start
     * again under its former id, and not every deregistration states the start time.
     */
    bool isLatestUpstream(std::string_view id, std::optional<uint64_t> started, const UpstreamReport& latest)
    {
        if (!started || !latest.started) {
            return id == latest.id;
        }
        return *started > *latest.started || (*started == *latest.started && id == latest.id);
    }

    /**
     * Longest time from an upstream's start to the arrival of its report of this number, if every report before it went without
     * an answer and each came late by a quarter of the period; none if the number says nothing. The first report has number 1.
     */
    std::optional<Duration> longestAge(uint64_t sequence, Duration reportPeriod)
    {
        if (sequence == 0 || sequence > maximumCountedReports) {
            return std::nullopt;
        }
        return static_cast<int64_t>(sequence) * (reportPeriod * 5 / 4 + reportTimeout);
    }

} // namespace

PacketAgent::PacketAgent(const PacketAgentSettings& settings, const SegmentCodec& codec, Random& random, EventSink& events)
    : settings(settings)
    , codec(codec)
    , events(events)
    , serviceHash(hashText(settings.service))
    , peers(initialRecord(settings), random)
    , directory(settings.address)
    , knownAgents({ settings.address, settings.incarnation })
    , holderCheck(hashText(settings.service), { settings.address, settings.incarnation })
    , lastTick(settings.startedAt)
{
    this->coldStartLimiter.blockOneWindow(settings.startedAt);
}

void PacketAgent::onMessage(TimePoint now, const Message& message, Actions& actions)
{
    if (const auto* forwarded = std::get_if<ForwardedPacket>(&message)) {
        this->handle(now, *forwarded, actions);
        this->releaseRequests(now, actions);
    } else if (const auto* query = std::get_if<FlowQuery>(&message)) {
        this->handle(now, *query, actions);
    } else if (const auto* queryReply = std::get_if<FlowQueryReply>(&message)) {
        this->handle(now, *queryReply, actions);
    } else if (const auto* registration = std::get_if<FlowRegistration>(&message)) {
        this->handle(now, *registration, actions);
    } else if (const auto* registrationReply = std::get_if<FlowRegistrationReply>(&message)) {
        this->onHeardFrom(now, { registrationReply->responder, registrationReply->incarnation });
        this->registrar.onReply(*registrationReply);
        this->releaseHeldOpenings(now, actions);
    } else if (const auto* directoryQuery = std::get_if<DirectoryQuery>(&message)) {
        this->handle(now, *directoryQuery, actions);
    } else if (const auto* directoryReply = std::get_if<DirectoryReply>(&message)) {
        this->handle(now, *directoryReply, actions);
    } else if (const auto* holdersQuery = std::get_if<HoldersQuery>(&message)) {
        this->handle(now, *holdersQuery, actions);
    } else if (const auto* holdersReply = std::get_if<HoldersReply>(&message)) {
        this->handle(now, *holdersReply, actions);
    } else if (const auto* left = std::get_if<AgentLeft>(&message)) {
        this->handle(now, *left);
    } else if (const auto* reply = std::get_if<AnnounceReply>(&message)) {
        this->peers.onReply(now, *reply, actions);
        this->introduce(now, actions);
        this->fetchNewerRules(now, reply->balancer, reply->revision, actions);
    }
}

/** Fetches the rules from a balancer that has a newer revision, at most once in each minimumFetchInterval. */
void PacketAgent::fetchNewerRules(TimePoint now, Address balancer, const Revision& revision, Actions& actions)
{
    if (revision <= this->follower.revision() || now < this->nextFetch) {
        return;
    }
    this->nextFetch = now + minimumFetchInterval;
    const Revision have = this->needsFullRules ? Revision {} : this->follower.revision();
    actions.push_back(FetchSnapshot { balancer, { .knownRevision = have, .includeMembers = !this->follower.hasRules(), .service = this->serviceHash } });
}

void PacketAgent::onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions)
{
    for (const MemberRecord& record : snapshot.members) {
        this->peers.mergeRecord(now, record);
    }
    if (!snapshot.revision.isValid()) {
        return;
    }
    const absl::Status status = this->follower.applyIfNewer(now, snapshot.revision, snapshot.rules);
    this->needsFullRules = absl::IsDataLoss(status);
    if (!status.ok()) {
        this->count.add(absl::IsAlreadyExists(status) ? Counter::ConfigurationsOld : Counter::ConfigurationsRefused);
        return;
    }
    this->count.add(Counter::ConfigurationsAccepted);
    this->applyConfiguration(now);
    this->releaseHeldOpenings(now, actions);
}

void PacketAgent::applyConfiguration(TimePoint now)
{
    const Configuration& configuration = this->follower.current();
    const ServiceRule* rule = configuration.findService(this->settings.service);
    (void)this->routeHistory.update(now, configuration);
    this->coldStartLimiter.setRate(rule == nullptr ? std::nullopt : rule->coldOpeningsPerSecond);
    this->events.log(EventLevel::Info, "rules-in-force",
        {
            { "revision", formatRevision(configuration.revision) },
            { "cold_openings_per_s", rule != nullptr && rule->coldOpeningsPerSecond ? std::to_string(*rule->coldOpeningsPerSecond) : "unlimited" },
            { "zone_draining", configuration.isZoneDraining(this->settings.zone) ? "true" : "false" },
        });
    const bool isZoneDraining = configuration.isZoneDraining(this->settings.zone);
    if (this->wasZoneDraining && !isZoneDraining) {
        // Upstreams of an availability zone that comes back into use may be cold before their next report says so.
        this->coldStartLimiter.assumeCold(now);
    }
    this->wasZoneDraining = isZoneDraining;
    this->holdsRequests = this->settings.holdsRequests && this->doRulesHoldRequests();
    this->updateTable();
}

bool PacketAgent::onUpstreamReport(TimePoint now, const UpstreamReport& report)
{
    const auto drop = [&](std::string_view reason) {
        this->count.add(Counter::ReportsDropped);
        this->events.log(EventLevel::Warning, "report-dropped",
            {
                { "upstream", report.id },
                { "reason", std::string(reason) },
                { "sequence", std::to_string(report.sequence) },
                { "held", this->latestReport ? this->latestReport->id : "none" },
            });
        return false;
    };
    const uint64_t ownTime = this->settings.incarnation + static_cast<uint64_t>(toMilliseconds(now - this->settings.startedAt));
    if (report.started.value_or(0) > ownTime + static_cast<uint64_t>(toMilliseconds(maximumClockLead))) {
        return drop("from the future");
    }
    if (this->latestReport && isSameLifetime(report, *this->latestReport)) {
        if (report.sequence <= this->latestReport->sequence) {
            return drop("an earlier report that arrived late");
        }
    } else if (this->latestReport && !isLaterLifetime(report, *this->latestReport)) {
        return drop("from an earlier lifetime");
    } else {
        this->beginUpstreamLifetime(now, report);
    }
    const bool wasDraining = this->latestReport && this->latestReport->isDraining;
    if (report.isDraining != wasDraining) {
        this->events.log(EventLevel::Info, "upstream-draining",
            {
                { "upstream", report.id },
                { "draining", report.isDraining ? "true" : "false" },
                { "flows", std::to_string(this->flows.size()) },
            });
    }
    this->latestReport = report;
    this->latestReportAt = now;
    this->unansweredSince = TimePoint {};
    this->hasDeregistered = false;
    this->isUpstreamKnownEnded = false;
    this->coldStartLimiter.onReport(now, report.coldLeft);
    this->updateOwnRecord(now);
    return true;
}

void PacketAgent::beginUpstreamLifetime(TimePoint now, const UpstreamReport& report)
{
    this->firstReportAt = now;
    this->firstReport = report;
    this->refusalBackoff.reset();
    this->processingTime.reset();
    this->resetPlaces();
    this->outcomeWindow.reset();
    this->events.log(EventLevel::Info, "upstream-started",
        {
            { "upstream", report.id },
            { "started", report.started ? std::to_string(*report.started) : "unknown" },
            { "cold_ms", std::to_string(toMilliseconds(report.coldLeft)) },
            { "sequence", std::to_string(report.sequence) },
            { "agent_age_ms", std::to_string(toMilliseconds(now - this->settings.startedAt)) },
            { "agent_started", std::to_string(this->settings.incarnation) },
            { "before", this->latestReport ? this->latestReport->id : "none" },
        });
}

void PacketAgent::onUpstreamDeregistered(TimePoint /*now*/, std::string_view id, std::optional<uint64_t> started)
{
    if (this->latestReport && !isLatestUpstream(id, started, *this->latestReport)) {
        this->count.add(Counter::ReportsDropped);
        this->events.log(EventLevel::Warning, "report-dropped",
            {
                { "upstream", std::string(id) },
                { "reason", "a deregistration of another lifetime" },
                { "held", this->latestReport->id },
            });
        return;
    }
    this->events.log(EventLevel::Info, "upstream-ended",
        {
            { "upstream", this->latestReport ? this->latestReport->id : "unknown" },
            { "flows", std::to_string(this->flows.size()) },
        });
    this->hasDeregistered = true;
}

void PacketAgent::onUpstreamEnded()
{
    this->events.log(EventLevel::Info, "upstream-ended",
        {
            { "upstream", this->latestReport ? this->latestReport->id : "unknown" },
            { "flows", std::to_string(this->flows.size()) },
            { "reason", "no_listener" },
        });
    this->isUpstreamKnownEnded = true;
}

/**
 * True if the upstream started no earlier than this process: then this agent knows all its flows. Two values that show its age
 * must agree, one that does not depend on the time of day, which may jump, and the start time, which tells a new lifetime from
 * an upstream that became cold again or was suspended between two reports. The first is the remaining cold time, or the number
 * of reports: an upstream that has sent few cannot be old.
 */
bool PacketAgent::isUpstreamYoungerThanAgent() const
{
    if (!this->latestReport || !this->firstReport.started || this->firstReport.service != this->settings.service) {
        return false;
    }
    const auto slack = static_cast<uint64_t>(toMilliseconds(minimumRestartTime));
    if (*this->firstReport.started + slack < this->settings.incarnation) {
        return false;
    }
    const TimePoint earliestStart = this->settings.startedAt - minimumRestartTime;
    const ServiceRule* rule = this->follower.current().findService(this->settings.service);
    const bool isColdTimeKnown = rule != nullptr && rule->warmUp && this->firstReport.coldLeft != Duration::zero();
    if (isColdTimeKnown && this->firstReportAt - (*rule->warmUp - this->firstReport.coldLeft) >= earliestStart) {
        return true;
    }
    const std::optional<Duration> age = longestAge(this->firstReport.sequence, this->settings.reportPeriod);
    return age && this->firstReportAt - *age >= earliestStart;
}

/** True if the upstream may hold flows that it opened before this process started and that this agent does not know. */
bool PacketAgent::mayUpstreamHoldUnknownFlows(TimePoint now) const
{
    return now - this->settings.startedAt < this->settings.flowIdleTimeout && !this->isUpstreamYoungerThanAgent() && !this->hasUpstreamEnded(now);
}

/** Updates the member record that this agent announces, and logs a change of the admission obstacle. */
void PacketAgent::updateOwnRecord(TimePoint now)
{
    const Obstacle obstacle = this->obstacle(now);
    MemberState state = MemberState::Ready;
    const bool isOverdue = this->isUpstreamAbsent(now); // It may only be late: its first flows are registered before balancers have passed on another state.
    if (this->areProbesUnanswered(now)) {
        state = MemberState::NoUpstream;
    } else if (isOverdue || obstacle == Obstacle::Silent || obstacle == Obstacle::OtherService) {
        state = MemberState::Shedding;
    } else if (obstacle == Obstacle::Stopping || obstacle == Obstacle::Draining) {
        state = MemberState::Draining;
    }
    const uint16_t slots = this->latestReport ? this->latestReport->slots : this->settings.slots;
    this->peers.setSelf(state, static_cast<uint16_t>(slots * weightPerSlot), slots);
    // Obstacles that change with single openings are not logged.
    const bool isLogged = obstacle != Obstacle::Cold && obstacle != Obstacle::Connections && obstacle != Obstacle::Refusing;
    if (isLogged && obstacle != this->loggedObstacle) {
        this->events.log(EventLevel::Info, "admission-changed",
            {
                { "obstacle", std::string(toText(obstacle)) },
                { "before", std::string(toText(this->loggedObstacle)) },
                { "report_age_ms", std::to_string(toMilliseconds(now - this->latestReportAt)) },
                { "revision", formatRevision(this->follower.revision()) },
            });
        this->loggedObstacle = obstacle;
    }
}

/** Computes the bucket table anew if members or rules have changed. */
void PacketAgent::updateTable()
{
    if (this->tableChangeCount == this->peers.changeCount() && this->tableRevision == this->follower.revision()) {
        return;
    }
    this->tableChangeCount = this->peers.changeCount();
    this->tableRevision = this->follower.revision();
    const ServiceRule* rule = this->follower.current().findService(this->settings.service);
    this->table = rule == nullptr ? BucketTable() : BucketTable(bucketMembers(this->peers.allAgents(), *rule, this->follower.current()));
}

void PacketAgent::tick(TimePoint now, Actions& actions)
{
    this->updateOwnRecord(now);
    this->updateTable();
    this->tickDirectory(now, actions);
    this->tickLookups(now, actions);
    this->tickConfirmations(now, actions);
    this->releaseHeldOpenings(now, actions);
    this->tickSearches(now, actions);
    this->tickHeldRequests(now, actions);
    this->peers.tick(now, this->follower.revision(), actions);
    this->releaseUnusedPlaces(now);
    this->expireFlows(now);
    this->tickOutcomes(now);
    this->lastTick = now;
}

/**
 * True if there is no upstream any more, so that all its flows have ended. One that only shows no sign of life may still hold flows.
 * So may another one than that which deregistered, if none has reported to this process.
 */
bool PacketAgent::hasUpstreamEnded(TimePoint now) const
{
    return this->isUpstreamKnownEnded || (this->hasDeregistered && this->latestReport) || this->isUpstreamAbsent(now);
}

/**
 * An agent that stops beside a living upstream does not leave: the process that takes over serves the upstream's open flows, and
 * other agents must not take them for ended in the meantime.
 */
void PacketAgent::beginStop(TimePoint now, Actions& actions)
{
    this->isStopping = true;
    this->releaseAllRequests(now, actions);
    this->updateOwnRecord(now);
    if (!this->hasUpstreamEnded(now)) {
        this->peers.tick(now, this->follower.revision(), actions);
        return;
    }
    this->events.log(EventLevel::Info, "agent-left", { { "flows", std::to_string(this->flows.size()) } });
    this->peers.leave(now, this->follower.revision(), actions);
    this->announceLeave(now, actions);
}

} // namespace lavender
