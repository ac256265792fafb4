/** @file packet_agent.cpp Events, tick and state of an agent that carries opaque packets. */
#include "packet/packet_agent_base.h"

#include "core/hash_func.h"
#include "core/status_func.h"
#include "core/text_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration fetchPeriod = 500ms;
    constexpr Duration expiryPeriod = 500ms;
    constexpr Duration unopenedAge = 2s; ///< A caller gives an opening up after 1.4 s.
    constexpr Duration probeAge = 3s;
    constexpr Duration endedAge = 3s; ///< Twice the longest time between two retransmissions.
    constexpr Duration idleMargin = 20s; ///< Kept beyond the age at which a flow may be forgotten.
    constexpr Duration longestWork = 15s; ///< A flow that waits for longer no longer counts as busy.
    constexpr Duration searchPeriod = 300ms;
    constexpr Duration searchAge = 1500ms;
    constexpr double searchesPerSecond = 200;
    constexpr double searchBurst = 400;
    constexpr uint16_t weightPerSlot = 100;
    constexpr Duration restartTime = 150ms; ///< An agent that died is back no sooner.

    MemberRecord selfRecord(const PacketAgentSettings& settings)
    {
        const auto weight = static_cast<uint16_t>(settings.slots * weightPerSlot);
        return { .address = settings.address, .role = MemberRole::Agent, .zone = settings.zone, .service = settings.service, .incarnation = settings.incarnation, .version = 1, .state = MemberState::Cold, .slots = settings.slots, .weight = weight };
    }

} // namespace

PacketAgent::PacketAgent(const PacketAgentSettings& settings, const SegmentCodec& codec, Random& random, EventSink& events)
    : settings(settings)
    , codec(codec)
    , events(events)
    , serviceHash(hashText(settings.service))
    , peers(selfRecord(settings), random)
    , lastTick(settings.startedAt)
{
    this->gate.assumeUsedUp(settings.startedAt);
}

void PacketAgent::onMessage(TimePoint now, const Message& message, Actions& actions)
{
    if (const auto* forwarded = std::get_if<ForwardedPacket>(&message)) {
        this->handle(now, *forwarded, actions);
    } else if (const auto* query = std::get_if<FlowQuery>(&message)) {
        this->handle(now, *query, actions);
    } else if (const auto* queryReply = std::get_if<FlowQueryReply>(&message)) {
        this->handle(now, *queryReply, actions);
    } else if (const auto* reply = std::get_if<AnnounceReply>(&message)) {
        this->peers.onReply(now, *reply, actions);
        this->noteRevision(now, reply->balancer, reply->revision, actions);
    }
}

void PacketAgent::noteRevision(TimePoint now, Address balancer, Revision revision, Actions& actions)
{
    if (revision <= this->follower.revision() || now < this->nextFetch) {
        return;
    }
    this->nextFetch = now + fetchPeriod;
    const Revision have = this->mustFetchWhole ? 0 : this->follower.revision();
    actions.push_back(FetchSnapshot { balancer, { .have = have, .wantsMembers = !this->follower.hasAny(), .service = this->serviceHash } });
}

void PacketAgent::onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions)
{
    for (const MemberRecord& record : snapshot.members) {
        this->peers.learn(now, record);
    }
    if (snapshot.revision == 0) {
        return;
    }
    const absl::Status status = this->follower.offer(now, snapshot.revision, snapshot.rules);
    this->mustFetchWhole = absl::IsDataLoss(status);
    if (!status.ok()) {
        this->count.add(absl::IsAlreadyExists(status) ? Counter::ConfigurationsOld : Counter::ConfigurationsRefused);
        return;
    }
    this->count.add(Counter::ConfigurationsAccepted);
    this->applyConfiguration(now);
    this->releaseHeld(now, actions);
}

void PacketAgent::applyConfiguration(TimePoint now)
{
    const Configuration& configuration = this->follower.current();
    const ServiceRule* rule = configuration.findService(this->settings.service);
    this->gate.setRate(rule == nullptr ? std::nullopt : rule->coldOpeningsPerSecond);
    this->events.note(EventLevel::Info, "rules-in-force", { { "revision", std::to_string(configuration.revision) }, { "cold_openings_per_s", rule != nullptr && rule->coldOpeningsPerSecond ? std::to_string(*rule->coldOpeningsPerSecond) : "unlimited" }, { "zone_draining", configuration.isZoneDraining(this->settings.zone) ? "true" : "false" } });
    const bool isZoneDraining = configuration.isZoneDraining(this->settings.zone);
    if (this->wasZoneDraining && !isZoneDraining) {
        // Upstreams of a zone that returns may be cold before they say so.
        this->gate.distrust(now);
    }
    this->wasZoneDraining = isZoneDraining;
    this->refreshTable();
}

bool PacketAgent::onUpstreamReport(TimePoint now, const UpstreamReport& fresh)
{
    const auto drop = [&](std::string_view reason) {
        this->count.add(Counter::ReportsDropped);
        this->events.note(EventLevel::Warning, "report-dropped", { { "upstream", fresh.id }, { "reason", std::string(reason) }, { "sequence", std::to_string(fresh.sequence) }, { "held", this->latestReport ? this->latestReport->id : "none" } });
        return false;
    };
    if (this->latestReport && isSameLifetime(fresh, *this->latestReport)) {
        if (fresh.sequence <= this->latestReport->sequence) {
            return drop("an earlier report that arrived late");
        }
    } else if (this->latestReport && !isLaterLifetime(fresh, *this->latestReport)) {
        return drop("from an earlier lifetime");
    } else {
        this->beginLifetime(now, fresh);
    }
    const bool wasDraining = this->latestReport && this->latestReport->isDraining;
    if (fresh.isDraining != wasDraining) {
        this->events.note(EventLevel::Info, "upstream-draining", { { "upstream", fresh.id }, { "draining", fresh.isDraining ? "true" : "false" }, { "flows", std::to_string(this->flows.size()) } });
    }
    this->latestReport = fresh;
    this->reportedAt = now;
    this->unansweredSince = TimePoint {};
    this->hasSaidGoodbye = false;
    this->gate.onReport(now, fresh.coldLeft);
    this->refreshSelf(now);
    return true;
}

void PacketAgent::beginLifetime(TimePoint now, const UpstreamReport& fresh)
{
    this->firstReportAt = now;
    this->firstColdLeft = fresh.coldLeft;
    this->refusals.reset();
    this->workTime.reset();
    this->events.note(EventLevel::Info, "upstream-started", { { "upstream", fresh.id }, { "started", fresh.started ? std::to_string(*fresh.started) : "unknown" }, { "cold_ms", std::to_string(toMilliseconds(fresh.coldLeft)) }, { "before", this->latestReport ? this->latestReport->id : "none" } });
}

void PacketAgent::onUpstreamGoodbye(TimePoint /*now*/, std::optional<uint64_t> started)
{
    const bool isEarlier = started && this->latestReport && this->latestReport->started && *started < *this->latestReport->started;
    if (isEarlier) {
        this->count.add(Counter::ReportsDropped);
        return;
    }
    this->events.note(EventLevel::Info, "upstream-ended", { { "upstream", this->latestReport ? this->latestReport->id : "unknown" }, { "flows", std::to_string(this->flows.size()) } });
    this->hasSaidGoodbye = true;
}

/**
 * True where the upstream began no earlier than this process: all its flows are known here. What is left of the cold time
 * tells its age whatever the time of day does; its start time tells a new lifetime from one that became cold again.
 */
bool PacketAgent::beganWithUpstream() const
{
    const ServiceRule* rule = this->follower.current().findService(this->settings.service);
    if (rule == nullptr || !rule->warmUp || !this->latestReport || !this->latestReport->started || this->firstColdLeft == Duration::zero()) {
        return false;
    }
    const TimePoint began = this->firstReportAt - (*rule->warmUp - this->firstColdLeft);
    const auto slack = static_cast<uint64_t>(toMilliseconds(restartTime));
    return began + restartTime >= this->settings.startedAt && *this->latestReport->started + slack >= this->settings.incarnation;
}

bool PacketAgent::mayHoldUnknown(TimePoint now) const
{
    return now - this->settings.startedAt < this->settings.flowAge && !this->beganWithUpstream() && !this->isUpstreamAbsent(now);
}

void PacketAgent::refreshSelf(TimePoint now)
{
    const Obstacle obstacle = this->obstacle(now);
    MemberState state = MemberState::Ready;
    if (this->isUpstreamAbsent(now)) {
        state = MemberState::Vacant;
    } else if (obstacle == Obstacle::Stopping || obstacle == Obstacle::Draining) {
        state = MemberState::Draining;
    } else if (obstacle == Obstacle::Silent || obstacle == Obstacle::OtherService) {
        state = MemberState::Shedding;
    }
    const uint16_t slots = this->latestReport ? this->latestReport->slots : this->settings.slots;
    this->peers.setSelf(state, static_cast<uint16_t>(slots * weightPerSlot), slots);
    const bool isBelief = obstacle != Obstacle::Cold && obstacle != Obstacle::Connections && obstacle != Obstacle::Refusing;
    if (isBelief && obstacle != this->loggedObstacle) {
        this->events.note(EventLevel::Info, "admission-changed", { { "obstacle", std::string(toText(obstacle)) }, { "before", std::string(toText(this->loggedObstacle)) }, { "report_age_ms", std::to_string(toMilliseconds(now - this->reportedAt)) }, { "revision", std::to_string(this->follower.revision()) } });
        this->loggedObstacle = obstacle;
    }
}

void PacketAgent::refreshTable()
{
    if (this->tableAt == this->peers.changeCount() && this->tableRevision == this->follower.revision()) {
        return;
    }
    this->tableAt = this->peers.changeCount();
    this->tableRevision = this->follower.revision();
    const ServiceRule* rule = this->follower.current().findService(this->settings.service);
    this->table = rule == nullptr ? BucketTable() : BucketTable(bucketMembers(this->peers.everyone(), *rule, this->follower.current()));
}

void PacketAgent::setWaiting(TimePoint now, PacketFlow& flow, bool isWaiting)
{
    if (flow.isWaiting != isWaiting) {
        flow.isWaiting = isWaiting;
        this->waitingFlows = isWaiting ? this->waitingFlows + 1 : this->waitingFlows - 1;
    }
    if (!isWaiting && flow.busyAtRequest != 0) {
        flow.busyAtRequest = 0;
        --this->requests;
    }
    flow.waitingSince = now;
}

void PacketAgent::forget(const FlowKey& key)
{
    const auto found = this->flows.find(key);
    if (found != this->flows.end()) {
        this->setWaiting(found->second.waitingSince, found->second, false);
        this->flows.erase(found);
    }
}

void PacketAgent::expireFlows(TimePoint now)
{
    if (now < this->nextExpiry) {
        return;
    }
    this->nextExpiry = now + expiryPeriod;
    std::erase_if(this->traces, [now](const auto& entry) { return entry.second.expires <= now; });
    std::vector<FlowKey> expired;
    for (auto& [key, flow] : this->flows) {
        if (flow.isWaiting && now - flow.waitingSince >= longestWork) {
            this->setWaiting(now, flow, false);
        }
        const bool isUnopened = flow.stage == FlowStage::Offered || flow.stage == FlowStage::Answered;
        const bool isOver = (isUnopened && now - flow.offeredAt >= unopenedAge)
            || (flow.stage == FlowStage::Probing && now - flow.lastPacket >= probeAge)
            || (flow.stage == FlowStage::Ended && now - flow.lastPacket >= endedAge)
            || now - flow.lastPacket >= this->settings.flowAge + idleMargin;
        if (isOver) {
            expired.push_back(key);
        }
    }
    for (const FlowKey& key : expired) {
        this->forget(key);
    }
    this->count.add(Counter::FlowsExpired, expired.size());
}

void PacketAgent::tickSearches(TimePoint now, Actions& actions)
{
    const double elapsed = std::chrono::duration<double>(now - this->lastTick).count();
    this->searchTokens = std::min(this->searchTokens + elapsed * searchesPerSecond, searchBurst);
    std::vector<FlowKey> answered;
    for (auto& [flow, search] : this->searches) {
        const bool isRoundDue = search.firstRoundEnd && !search.isSecondRound && now - *search.firstRoundEnd >= searchPeriod;
        if (isRoundDue && this->peers.agreedAt() > *search.firstRoundEnd) {
            this->beginSecondRound(now, flow, search, actions);
        } else if (now - search.asked >= searchPeriod) {
            search.asked = now;
            this->askPeers(flow, search, actions);
        }
        if (search.isSecondRound && search.waiting.empty()) {
            answered.push_back(flow);
        }
    }
    for (const FlowKey& flow : answered) {
        this->concludeSearch(now, flow, actions);
    }
    const size_t before = this->searches.size();
    std::erase_if(this->searches, [now](const auto& entry) { return now - entry.second.begun >= searchAge; });
    this->count.add(Counter::FlowsLost, before - this->searches.size());
}

void PacketAgent::tick(TimePoint now, Actions& actions)
{
    this->refreshSelf(now);
    this->refreshTable();
    this->tickSearches(now, actions);
    this->peers.tick(now, this->follower.revision(), actions);
    this->expireFlows(now);
    this->lastTick = now;
}

void PacketAgent::beginStop(TimePoint now, Actions& actions)
{
    this->isStopping = true;
    this->refreshSelf(now);
    this->peers.tick(now, this->follower.revision(), actions);
}

MetricsView PacketAgent::metrics() const
{
    return { .counters = &this->count, .gauges = { { "flows", this->flows.size() }, { "requests_in_flight", this->waitingFlows }, { "revision", this->follower.revision() } }, .histograms = { { "handshake", &this->handshakes }, { "answer", &this->answers } } };
}

std::string PacketAgent::status(TimePoint now, uint64_t droppedDatagrams) const
{
    StatusView view { .role = "agent", .address = this->settings.address, .zone = this->settings.zone, .service = this->settings.service, .state = toString(this->peers.self().state), .revision = this->follower.revision(), .counters = &this->count };
    view.revisionAge = now - this->follower.inForceSince();
    view.numbers = {
        { "flows", this->flows.size() },
        { "in_flight", this->waitingFlows },
        { "slots", this->peers.self().slots },
        { "datagrams_dropped", droppedDatagrams },
        { "peers", this->peers.others().size() },
        { "report_age_ms", static_cast<uint64_t>(toMilliseconds(now - this->reportedAt)) },
    };
    return formatStatus(view);
}

} // namespace lavender
