/** @file agent.cpp Event handling and tick of the agent; its member record, load messages and status. */
#include "agent/agent_base.h"

#include "core/hash_func.h"
#include "core/status_func.h"

#include <algorithm>
#include <cmath>

namespace lavender {

namespace {

    constexpr Duration fetchPeriod = 500ms; ///< Least time between two fetches of a snapshot.
    constexpr Duration loadPeriod = 200ms; ///< Least time between two load messages.
    constexpr Duration loadRefresh = 2s; ///< Unchanged load is sent again after this time.
    constexpr Duration weightPeriod = 1s; ///< Least time between two announcements of a changed weight.
    constexpr Duration expiryPeriod = 1s; ///< Least time between two scans for expired flows.
    constexpr Duration flowIdleTime = 1h; ///< A flow without a packet for this long expires, unless it has requests or is moving.
    constexpr Duration endResendPeriod = 300ms;
    constexpr int endResendCount = 6;
    constexpr Duration unconfirmedEndTime = 2s; ///< A caller retransmits several times within it; one that lacks a notice for longer is unlikely.
    constexpr uint16_t weightPerSlot = 100; ///< MemberRecord::weight counts hundredths of a slot.
    constexpr int failedHealthReadLimit = 3; ///< Consecutive failed readings after which the upstream counts as down.
    constexpr Duration recentAnswerTime = 2s; ///< An upstream that answered within this time is up, whatever its health endpoint reports.

    bool acceptsNewFlows(MemberState state) { return state == MemberState::Cold || state == MemberState::Ready; }

    MemberRecord initialRecord(const AgentSettings& settings)
    {
        return {
            .address = settings.address,
            .role = MemberRole::Agent,
            .zone = settings.zone,
            .service = settings.service,
            .incarnation = settings.incarnation,
            .version = 1,
            .state = MemberState::Cold,
            .slots = settings.slots,
            .weight = weightPerSlot,
        };
    }

    /** True if the open flows changed by more than 1%, or the requests in flight or their limit changed at all. */
    bool hasLoadChanged(const LoadReport& sent, const LoadReport& load)
    {
        const uint32_t difference = sent.openFlows > load.openFlows
            ? sent.openFlows - load.openFlows
            : load.openFlows - sent.openFlows;
        return difference * 100 > sent.openFlows || sent.inFlight != load.inFlight || sent.limit != load.limit;
    }

} // namespace

Agent::Agent(const AgentSettings& settings, Random& random)
    : settings(settings)
    , serviceHash(hashText(settings.service))
    , random(random)
    , requests(settings.service, this->flows, random, this->count)
    , peers(initialRecord(settings), random)
{
    this->requests.admission().configure(settings.slots, ServiceRule().ramp);
}

void Agent::onMessage(TimePoint now, const Message& message, Actions& actions)
{
    if (const auto* forwarded = std::get_if<ForwardedPacket>(&message)) {
        this->handle(now, *forwarded, actions);
    } else if (const auto* query = std::get_if<FlowQuery>(&message)) {
        this->handle(*query, actions);
    } else if (const auto* queryReply = std::get_if<FlowQueryReply>(&message)) {
        this->handle(now, *queryReply, actions);
    } else if (const auto* move = std::get_if<FlowMove>(&message)) {
        this->handle(now, *move, actions);
    } else if (const auto* moveReply = std::get_if<FlowMoveReply>(&message)) {
        this->handle(now, *moveReply);
    } else if (const auto* report = std::get_if<LoadReport>(&message)) {
        this->peers.onLoadReport(now, *report);
    } else if (const auto* reply = std::get_if<AnnounceReply>(&message)) {
        this->handle(now, *reply, actions);
    }
}

void Agent::handle(TimePoint now, const AnnounceReply& reply, Actions& actions)
{
    this->peers.onReply(now, reply, actions);
    this->fetchNewerRules(now, reply.balancer, reply.revision, actions);
}

void Agent::fetchNewerRules(TimePoint now, Address balancer, const Revision& revision, Actions& actions)
{
    if (revision <= this->follower.revision() || now < this->nextFetch) {
        return;
    }
    this->nextFetch = now + fetchPeriod;
    actions.push_back(FetchSnapshot {
        balancer,
        {
            .knownRevision = this->needsFullRules ? Revision {} : this->follower.revision(),
            .includeMembers = !this->follower.hasRules(),
            .service = this->serviceHash,
        },
    });
}

void Agent::onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions)
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
    this->applyConfiguration(now, actions);
}

void Agent::applyConfiguration(TimePoint now, Actions& actions)
{
    const ServiceRule* rule = this->follower.current().findService(this->settings.service);
    if (rule != nullptr) {
        this->requests.admission().configure(std::min(rule->slots, this->settings.slots), rule->ramp);
    }
    if (this->isZoneOut() && !this->wasZoneOut) {
        this->giveUpFlows(now, actions);
        this->lookups.clear();
        this->searches.clear();
        this->beginResendingEnds(now);
    }
    if (!this->isZoneOut() && this->wasZoneOut) {
        this->requests.admission().onColdStart();
        std::erase_if(this->foreignFlows, [](const auto& entry) { return entry.second.kind == ForeignFlowKind::OwnedElsewhere; });
    }
    this->wasZoneOut = this->isZoneOut();
    this->updateOwnRecord(now);
    this->updateTable();
}

void Agent::giveUpFlows(TimePoint now, Actions& actions)
{
    std::vector<FlowKey> ended;
    for (auto& [key, flow] : this->flows) {
        if (flow.movingTo.isValid()) {
            continue; // The other agent may already own the flow and run its requests, so the move is completed.
        }
        ForeignFlow& tombstone = this->remember(now, key, ForeignFlowKind::GivenUp, {});
        tombstone.mayHaveRun = this->requests.endFlow(now, flow, VerdictReason::ZoneOut, actions);
        tombstone.mayHaveRun.raiseWatermark(maximumNoticeRequests);
        this->notifyEnd(key, tombstone, actions);
        this->count.add(Counter::FlowsGivenUp);
        ended.push_back(key);
    }
    std::for_each(ended.begin(), ended.end(), [this](const FlowKey& key) { this->flows.erase(key); });
    if (!ended.empty()) {
        this->beginResendingEnds(now);
    }
}

void Agent::beginResendingEnds(TimePoint now)
{
    this->unconfirmedEnds.clear();
    for (const auto& [key, foreign] : this->foreignFlows) {
        const bool isTombstone = foreign.kind != ForeignFlowKind::OwnedElsewhere;
        if (isTombstone && foreign.expires >= now + tombstoneRetention - unconfirmedEndTime) {
            this->unconfirmedEnds.push_back(key);
        }
    }
    this->endResendsLeft = endResendCount;
    this->nextEndResend = now + endResendPeriod;
}

void Agent::resendEnds(TimePoint now, Actions& actions)
{
    if (this->endResendsLeft == 0 || now < this->nextEndResend) {
        return;
    }
    for (const FlowKey& key : this->unconfirmedEnds) {
        const auto tombstone = this->foreignFlows.find(key);
        if (tombstone != this->foreignFlows.end() && tombstone->second.kind != ForeignFlowKind::OwnedElsewhere) {
            this->notifyEnd(key, tombstone->second, actions);
        }
    }
    this->nextEndResend = now + endResendPeriod;
    if (--this->endResendsLeft == 0) {
        this->unconfirmedEnds.clear();
    }
}

void Agent::onUpstreamResult(TimePoint now, const UpstreamResult& result, Actions& actions)
{
    this->requests.onUpstreamResult(now, result, actions);
}

void Agent::onUpstreamHealth(TimePoint now, const UpstreamHealth& health)
{
    // Health readings may only lower the load on the upstream. The admission limit is raised by completed requests alone.
    this->failedHealthReads = health.isReachable ? 0 : this->failedHealthReads + 1;
    const bool isAnswering = this->requests.lastAnswerTime() != TimePoint {}
        && now - this->requests.lastAnswerTime() < recentAnswerTime;
    this->isUpstreamDown = this->failedHealthReads >= failedHealthReadLimit && !isAnswering;
    if (!health.isReachable) {
        return;
    }
    this->isUpstreamDraining = health.isDraining;
    if (health.incarnation != 0 && health.incarnation != this->upstreamIncarnation) {
        if (this->upstreamIncarnation != 0) {
            this->requests.admission().onColdStart();
        }
        this->upstreamIncarnation = health.incarnation;
    }
}

bool Agent::isLeaving() const
{
    return this->isStopping || this->isUpstreamDraining || this->follower.current().drainedAgents.contains(this->settings.address);
}

void Agent::updateOwnRecord(TimePoint now)
{
    const AdmissionLimiter& limiter = this->requests.admission();
    const MemberRecord& own = this->peers.self();
    MemberState state = limiter.isWarm() ? MemberState::Ready : MemberState::Cold;
    if (this->isUpstreamDown) {
        state = MemberState::Shedding;
    }
    if (this->isLeaving()) {
        state = MemberState::Draining;
    }
    const auto weight = static_cast<uint16_t>(limiter.limit() * weightPerSlot);
    const bool isStateChange = acceptsNewFlows(state) != acceptsNewFlows(own.state);
    const bool isDue = now - this->lastAnnouncedChange >= weightPeriod;
    if (state == own.state && weight == own.weight && limiter.maximum() == own.slots) {
        return;
    }
    if (isStateChange || isDue) {
        // An agent that accepts no new flows keeps its weight: its buckets must rank as before, so that its flows are found.
        this->peers.setSelf(state, acceptsNewFlows(state) ? weight : own.weight, limiter.maximum());
        this->lastAnnouncedChange = now;
    }
}

void Agent::updateTable()
{
    if (this->tableChangeCount == this->peers.changeCount() && this->tableRevision == this->follower.revision()) {
        return;
    }
    this->tableChangeCount = this->peers.changeCount();
    this->tableRevision = this->follower.revision();
    const ServiceRule* rule = this->follower.current().findService(this->settings.service);
    this->table = rule == nullptr
        ? BucketTable()
        : BucketTable(bucketMembers(this->peers.allAgents(), *rule, this->follower.current()));
}

void Agent::sendLoad(TimePoint now, Actions& actions)
{
    if (now < this->nextLoad) {
        return;
    }
    this->nextLoad = now + loadPeriod;
    LoadReport load {
        .service = this->serviceHash,
        .agent = this->settings.address,
        .openFlows = static_cast<uint32_t>(this->flows.size()),
    };
    load.inFlight = static_cast<uint16_t>(this->requests.inFlight() + this->requests.queued());
    load.limit = this->requests.admission().limit();
    if (hasLoadChanged(this->sentLoad, load) || now - this->lastLoad >= loadRefresh) {
        this->peers.sendLoad(load, actions);
        this->sentLoad = load;
        this->lastLoad = now;
    }
}

void Agent::expireFlows(TimePoint now)
{
    if (now < this->nextExpiry) {
        return;
    }
    this->nextExpiry = now + expiryPeriod;
    std::erase_if(this->foreignFlows, [now](const auto& entry) { return entry.second.expires <= now; });
    const size_t expired = std::erase_if(this->flows, [now](const auto& entry) {
        return now - entry.second.lastPacketAt >= flowIdleTime && entry.second.requests.empty() && !entry.second.movingTo.isValid();
    });
    this->count.add(Counter::FlowsExpired, expired);
}

void Agent::tick(TimePoint now, Actions& actions)
{
    this->requests.setAcceptingWork(!this->isHandingOff() && !this->isZoneOut());
    this->updateOwnRecord(now);
    this->updateTable();
    this->requests.tick(now, actions);
    if (this->isZoneOut()) {
        this->giveUpFlows(now, actions); // Those whose move did not succeed.
    }
    this->moveFlows(now, actions);
    this->tickLookups(now, actions);
    this->tickSearches(now, actions);
    this->resendEnds(now, actions);
    this->sendLoad(now, actions);
    this->peers.tick(now, this->follower.revision(), actions);
    this->expireFlows(now);
    this->lastTick = now;
}

std::string Agent::status(TimePoint now, uint64_t droppedDatagrams) const
{
    StatusView view {
        .role = "agent",
        .address = this->settings.address,
        .zone = this->settings.zone,
        .service = this->settings.service,
        .state = toString(this->peers.self().state),
        .revision = this->follower.revision(),
        .counters = &this->count,
    };
    view.revisionAge = now - this->follower.inForceSince();
    view.gauges = {
        { "flows", this->flows.size() },
        { "in_flight", this->requests.inFlight() },
        { "queued", this->requests.queued() },
        { "limit", this->requests.admission().limit() },
        { "slots", this->requests.admission().maximum() },
        { "datagrams_dropped", droppedDatagrams },
        { "peers", this->peers.otherAgents().size() },
        { "last_packet_age_ms", this->lastPacket == TimePoint {} ? 0 : static_cast<uint64_t>(toMilliseconds(now - this->lastPacket)) },
        { "latency_mean_us", static_cast<uint64_t>(std::llround(this->requests.meanLatency() * 1000)) },
        { "latency_p99_us", static_cast<uint64_t>(std::llround(this->requests.latencyQuantile99() * 1000)) },
    };
    return formatStatus(view);
}

} // namespace lavender
