/** @file balancer.cpp Messages, configuration, membership and status of a balancer. */
#include "balancer/balancer_base.h"

#include "core/hash_func.h"
#include "core/status_func.h"
#include "core/text_func.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr size_t watchersPerZone = 1; ///< Balancers of a zone that watch the store.
    constexpr Duration fetchPeriod = 500ms; ///< A newer revision is fetched this often until it has arrived. Also the shortest time between two uses of seeds.
    constexpr size_t maximumListedBalancers = 6; ///< Balancers that one reply to an announcement lists.

    constexpr uint32_t lowestOutlierDivisor = 3; ///< With more than a third set aside, the others could not carry the load.

    Counter offerCounter(const absl::Status& offered)
    {
        if (offered.ok()) {
            return Counter::ConfigurationsAccepted;
        }
        return absl::IsAlreadyExists(offered) ? Counter::ConfigurationsOld : Counter::ConfigurationsRefused;
    }

    MemberRecord initialRecord(const BalancerSettings& settings)
    {
        return {
            .address = settings.address,
            .role = MemberRole::Balancer,
            .zone = settings.zone,
            .incarnation = settings.incarnation,
            .version = 1,
            .state = MemberState::Ready,
        };
    }

} // namespace

Balancer::Balancer(const BalancerSettings& settings, std::unique_ptr<Steering> steering, Random& random)
    : settings(settings)
    , steering(std::move(steering))
    , readiness(random)
    , members(initialRecord(settings), random, this->count)
{
}

void Balancer::enableOpaquePackets(const SegmentCodec& packetCodec, EventSink& eventSink)
{
    this->codec = &packetCodec;
    this->events = &eventSink;
    this->members.setEventSink(eventSink);
    this->openingTracker = std::make_unique<OpeningTracker>(packetCodec.timing(), this->count, eventSink);
}

void Balancer::configureOutliers(const OutlierSettings& settings)
{
    if (this->openingTracker != nullptr) {
        this->openingTracker->configureOutliers({ .oneIn = settings.oneIn == 0 ? 0 : std::max(settings.oneIn, lowestOutlierDivisor) });
    }
}

void Balancer::onMessage(TimePoint now, const Message& message, Actions& actions)
{
    if (const auto* packet = std::get_if<FlowPacket>(&message)) {
        this->handle(now, *packet, Duration::zero(), actions);
    } else if (const auto* announce = std::get_if<Announce>(&message)) {
        this->handle(now, *announce, actions);
    } else if (const auto* gossip = std::get_if<Gossip>(&message)) {
        this->handle(now, *gossip, actions);
    } else if (const auto* exchange = std::get_if<DigestExchange>(&message)) {
        this->members.onDigestExchange(now, *exchange, actions);
    } else if (const auto* outcome = std::get_if<OpeningOutcome>(&message); outcome != nullptr && this->openingTracker != nullptr) {
        this->handle(now, *outcome, actions);
    }
}

void Balancer::handle(TimePoint now, const Announce& announce, Actions& actions)
{
    const MemberRecord& record = announce.record;
    const Configuration& configuration = this->follower.current();
    if (record.role != MemberRole::Agent || record.address == this->settings.address
        || (this->follower.hasRules() && !configuration.mayAnnounce(record.service, record.zone))) {
        this->count.add(Counter::AnnouncesRefused);
        return;
    }
    this->fetchNewerRules(now, record.address, announce.revision, actions); // All balancers may have started again since it got them.
    this->members.mergeRecord(now, record);
    const bool isLeave = record.liveness == Liveness::Gone;
    if (!isLeave) {
        this->members.onHeartbeat(now, record.address);
    }
    if (this->openingTracker != nullptr && !isLeave) {
        this->openingTracker->onHeartbeat(record.address);
    }
    const Member* known = this->members.table().find(record.address);
    AnnounceReply reply { .balancer = this->settings.address, .revision = this->follower.revision() };
    if (known != nullptr) {
        reply.knownIncarnation = known->record.incarnation;
        reply.knownVersion = known->record.version;
        reply.knownLiveness = known->record.liveness;
    }
    if (digestRecords(this->members.table().agentsOf(record.service)) != announce.peersDigest) {
        // Peers that do not fit into one datagram are split over several replies.
        constexpr size_t peersBudgetBytes = 1100;
        size_t bytes = 0;
        for (const MemberRecord& peer : this->peerLists.recordsFor(now, announce, this->members.table())) {
            bytes += maximumEncodedBytes(peer);
            if (bytes > peersBudgetBytes || reply.peers.size() >= maximumRecordsPerDatagram) {
                actions.push_back(SendMessage { record.address, reply });
                reply.peers.clear();
                bytes = maximumEncodedBytes(peer);
            }
            reply.peers.push_back(peer);
        }
    }
    // An agent that already has a configuration knows balancers, so only some replies carry their list.
    constexpr uint32_t repliesPerList = 8;
    if (announce.revision.isValid() && this->announceReplies++ % repliesPerList != 0) {
        actions.push_back(SendMessage { record.address, std::move(reply) });
        return;
    }
    // Ordered by rendezvous hashing, so that the agents of a zone spread over its balancers.
    reply.balancers = this->members.balancers(record.zone);
    std::sort(reply.balancers.begin(), reply.balancers.end(), [&record](Address left, Address right) {
        return hashPair(left.packed(), record.address.packed()) > hashPair(right.packed(), record.address.packed());
    });
    reply.balancers.resize(std::min(reply.balancers.size(), maximumListedBalancers));
    actions.push_back(SendMessage { record.address, std::move(reply) });
}

void Balancer::handle(TimePoint now, const Gossip& gossip, Actions& actions)
{
    this->members.onGossip(now, gossip, this->follower.revision(), actions);
    this->fetchNewerRules(now, gossip.sender, gossip.revision, actions);
}

void Balancer::fetchNewerRules(TimePoint now, Address peer, const Revision& revision, Actions& actions)
{
    if (revision <= this->follower.revision() || now < this->nextFetch) {
        return;
    }
    this->nextFetch = now + fetchPeriod;
    actions.push_back(FetchSnapshot { peer, { .knownRevision = this->needsFullRules ? Revision {} : this->follower.revision() } });
}

absl::Status Balancer::onConfiguration(TimePoint now, const StoredRules& stored)
{
    const std::optional<Revision> revision = this->storedRules.revisionOf(now, stored, this->follower.current());
    if (!revision) {
        this->count.add(Counter::ConfigurationsOld);
        return absl::FailedPreconditionError(concat("revision ", formatRevision(stored.revision), " is from a store that was restored since or lately"));
    }
    absl::Status status = this->follower.applyIfNewer(now, *revision, stored.text);
    this->count.add(offerCounter(status));
    this->refreshTables(now);
    return status;
}

void Balancer::onSnapshot(TimePoint now, const Snapshot& snapshot)
{
    this->members.mergeSnapshot(now, snapshot.members);
    if (snapshot.revision.isValid()) {
        const absl::Status status = this->follower.applyIfNewer(now, snapshot.revision, snapshot.rules);
        this->count.add(offerCounter(status));
        this->needsFullRules = absl::IsDataLoss(status);
    }
    this->refreshTables(now);
}

void Balancer::onSeeds(TimePoint now, std::span<const Address> seeds, Actions& actions)
{
    if (now < this->nextSeeds || seeds.empty()) {
        return;
    }
    this->nextSeeds = now + fetchPeriod;
    this->members.addSeeds(seeds, this->follower.revision(), actions);
    // A balancer that knows no other fetches the whole member table at once instead of waiting for gossip.
    if (this->members.balancers("").empty() && now >= this->nextFetch) {
        for (Address seed : seeds) {
            if (seed != this->settings.address) {
                this->nextFetch = now + fetchPeriod;
                actions.push_back(FetchSnapshot { seed, { .knownRevision = this->follower.revision(), .includeMembers = true } });
                break;
            }
        }
    }
}

void Balancer::refreshTables(TimePoint now)
{
    const Configuration& configuration = this->follower.current();
    const bool isNewRevision = this->follower.revision() != this->tablesRevision;
    const std::set<std::string> changed = this->members.takeChangedServices();
    if (isNewRevision) {
        this->tablesRevision = this->follower.revision();
        this->updateRoutes(now);
        this->steering->removeUnconfiguredServices(configuration);
        for (const ServiceRule& service : configuration.services) {
            this->steering->updateService(now, service, configuration, this->members.table().agentsOf(service.name));
        }
        return;
    }
    for (const std::string& name : changed) {
        if (const ServiceRule* service = configuration.findService(name); service != nullptr) {
            this->steering->updateService(now, *service, configuration, this->members.table().agentsOf(name));
        }
    }
}

void Balancer::tick(TimePoint now, Actions& actions)
{
    this->members.tick(now, this->follower.revision(), actions);
    this->refreshTables(now);
    this->requestAnnouncesForNewRevision(actions);
    this->peerLists.expire(now);
    if (this->openingTracker == nullptr) {
        return;
    }
    for (Address agent : this->openingTracker->tick(now, actions)) {
        this->requestAnnounce(agent, actions);
    }
    this->handleRefusedOpenings(now, actions);
    this->beginServing(now, actions);
}

/** Asks the watched agents for an announcement after a new revision, so that they learn of it before their next regular announcement. */
void Balancer::requestAnnouncesForNewRevision(Actions& actions)
{
    if (this->announceRequestRevision == this->follower.revision()) {
        return;
    }
    this->announceRequestRevision = this->follower.revision();
    for (Address agent : this->members.watchedAgents()) {
        this->requestAnnounce(agent, actions);
    }
}

/** Asks an agent to announce itself now. */
void Balancer::requestAnnounce(Address agent, Actions& actions) const
{
    const Member* member = this->members.table().find(agent);
    if (member != nullptr) {
        const MemberRecord& record = member->record;
        actions.push_back(SendMessage {
            agent,
            AnnounceReply {
                .balancer = this->settings.address,
                .revision = this->follower.revision(),
                .knownIncarnation = record.incarnation,
                .knownVersion = record.version,
                .isAnnounceRequest = true,
            },
        });
    }
}

bool Balancer::isServing() const
{
    const auto& all = this->members.table().all();
    return this->follower.hasRules() && std::any_of(all.begin(), all.end(), [](const auto& entry) {
        return entry.second.record.role == MemberRole::Agent && isEligible(entry.second.record);
    });
}

void Balancer::onBacklog(TimePoint now, Duration packetBacklog)
{
    this->backlog = packetBacklog;
    if (this->readiness.update(now, packetBacklog) && this->events != nullptr) {
        this->events->log(EventLevel::Info, "readiness-changed",
            {
                { "ready", this->readiness.isReady() ? "true" : "false" },
                { "backlog_ms", std::to_string(toMilliseconds(packetBacklog)) },
                { "zone_balancers", std::to_string(this->members.balancers(this->settings.zone).size() + 1) },
            });
    }
}

void Balancer::beginStop(TimePoint now, Actions& actions)
{
    this->members.leave(now, this->follower.revision(), actions);
}

Snapshot Balancer::makeSnapshot(const SnapshotRequest& request) const
{
    Snapshot snapshot;
    if (this->follower.revision() > request.knownRevision) {
        snapshot.revision = this->follower.revision();
        snapshot.rules = this->follower.patchFrom(request.knownRevision);
    }
    if (!request.includeMembers) {
        return snapshot;
    }
    for (const auto& [address, member] : this->members.table().all()) {
        if (request.service == 0 || hashText(member.record.service) == request.service) {
            snapshot.members.push_back(member.record);
        }
    }
    return snapshot;
}

bool Balancer::isWatcher() const
{
    // All balancers of the zone rank each other by the same rendezvous hash, so no election is needed.
    const uint64_t ownRank = hashPair(this->settings.address.packed(), hashText(this->settings.zone));
    size_t higherRanked = 0;
    for (Address peer : this->members.balancers(this->settings.zone)) {
        higherRanked += hashPair(peer.packed(), hashText(this->settings.zone)) > ownRank ? 1 : 0;
    }
    return higherRanked < watchersPerZone;
}

bool Balancer::isRosterKeeper() const
{
    const uint64_t roster = hashText("roster");
    const std::vector<Address> others = this->members.balancers("");
    return this->follower.hasRules() && std::all_of(others.begin(), others.end(), [&](Address other) {
        return hashPair(other.packed(), roster) < hashPair(this->settings.address.packed(), roster);
    });
}

Roster Balancer::makeRoster(TimePoint now, const Roster& earlier) const
{
    // A balancer that serves for a minute has heard of all agents, or of their loss.
    constexpr Duration discoveryTime = 1min;
    const bool mayBeIncomplete = this->servingSince == TimePoint {} || now - this->servingSince < discoveryTime;
    return lavender::makeRoster(now, this->members.table(), earlier, mayBeIncomplete);
}

MetricsView Balancer::metrics() const
{
    MetricsView view {
        .counters = &this->count,
        .gauges = {
            { "balancers", this->members.balancers("").size() + 1 },
            { "members", this->members.table().all().size() },
            { "revision", this->follower.revision().position.number },
            { "era", this->follower.revision().position.era },
        },
        .labelledCounters = this->splitTraffic.series(),
    };
    if (this->backlog) {
        view.gauges.emplace_back("backlog_ms", toMilliseconds(*this->backlog));
        view.gauges.emplace_back("ready", this->isReady() ? 1 : 0);
    }
    if (this->openingTracker != nullptr) {
        view.gauges.emplace_back("outliers", this->openingTracker->outlierCount());
        view.histograms.emplace_back("placement", &this->openingTracker->placementTimes());
    }
    return view;
}

std::string Balancer::status(TimePoint now, uint64_t droppedDatagrams) const
{
    StatusView view {
        .role = "balancer",
        .address = this->settings.address,
        .zone = this->settings.zone,
        .revision = this->follower.revision(),
        .counters = &this->count,
    };
    view.revisionAge = now - this->follower.inForceSince();
    view.gauges = {
        { "balancers", this->members.balancers("").size() + 1 },
        { "members", this->members.table().all().size() },
        { "datagrams_dropped", droppedDatagrams },
        { "watcher", this->isWatcher() ? 1U : 0U },
    };
    if (this->backlog) {
        view.gauges.emplace_back("backlog_ms", toMilliseconds(*this->backlog));
        view.gauges.emplace_back("ready", this->isReady() ? 1 : 0);
    }
    return formatStatus(view);
}

} // namespace lavender
