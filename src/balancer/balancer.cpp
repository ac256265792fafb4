/** @file balancer.cpp The balancer's events. */
#include "balancer/balancer_base.h"

#include "core/hash_func.h"
#include "core/status_func.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr size_t watchersPerZone = 1;
    constexpr Duration fetchPeriod = 500ms; ///< A newer revision is fetched this often until it is here.
    constexpr Duration settlingTime = 1500ms; ///< After the first agent is known others may still be on their way.
    constexpr size_t maximumHeld = 512; ///< Opening packets of 31 bytes.
    constexpr Duration holdTime = 400ms; ///< The time between a caller's first and last copies.
    constexpr size_t announcedBalancers = 6; ///< Named to an agent in each reply.

    Counter countOf(const absl::Status& offered)
    {
        if (offered.ok()) {
            return Counter::ConfigurationsAccepted;
        }
        return absl::IsAlreadyExists(offered) ? Counter::ConfigurationsOld : Counter::ConfigurationsRefused;
    }

    MemberRecord selfRecord(const BalancerSettings& settings)
    {
        return { .address = settings.address, .role = MemberRole::Balancer, .zone = settings.zone, .incarnation = settings.incarnation, .version = 1, .state = MemberState::Ready };
    }

} // namespace

Balancer::Balancer(const BalancerSettings& settings, std::unique_ptr<Steering> steering, Random& random)
    : settings(settings)
    , steering(std::move(steering))
    , members(selfRecord(settings), random, this->count)
{
}

void Balancer::carryPackets(const SegmentCodec& packetCodec, EventSink& eventSink)
{
    this->codec = &packetCodec;
    this->events = &eventSink;
    this->members.noteTo(eventSink);
    this->openings = std::make_unique<OpeningTracker>(this->count, eventSink);
}

void Balancer::onMessage(TimePoint now, const Message& message, Actions& actions)
{
    if (const auto* packet = std::get_if<FlowPacket>(&message)) {
        this->handle(now, *packet, actions);
    } else if (const auto* announce = std::get_if<Announce>(&message)) {
        this->handle(now, *announce, actions);
    } else if (const auto* gossip = std::get_if<Gossip>(&message)) {
        this->handle(now, *gossip, actions);
    } else if (const auto* exchange = std::get_if<DigestExchange>(&message)) {
        this->members.onDigestExchange(now, *exchange, actions);
    } else if (const auto* outcome = std::get_if<OpeningOutcome>(&message); outcome != nullptr && this->openings != nullptr) {
        this->openings->onOutcome(now, *outcome, actions);
        this->refuseOpenings(now, actions);
    }
}

void Balancer::handle(TimePoint now, const FlowPacket& packet, Actions& actions)
{
    this->count.add(Counter::PacketsReceived);
    const Configuration& configuration = this->follower.current();
    const auto service = configuration.serviceByAddress.find(packet.flow.service);
    if (service == configuration.serviceByAddress.end() || packet.isToCaller) {
        this->count.add(Counter::PacketsNoService);
        this->refuse(now, packet, "no_route", actions);
        return;
    }
    ForwardedPacket forwarded { .packet = packet };
    if (!this->steering->route(now, configuration.services[service->second.value], forwarded)) {
        this->count.add(Counter::PacketsNoUpstream);
        this->refuse(now, packet, "no_upstream", actions);
        return;
    }
    this->count.add(Counter::PacketsForwarded);
    if (this->openings != nullptr) {
        forwarded.balancer = this->settings.address;
        if (packet.mark == PacketMark::Opening) {
            const std::optional<Segment> segment = this->codec->parse(packet.payload);
            this->openings->open(now, std::move(forwarded), segment ? segment->acknowledged : 0, actions);
            this->refuseOpenings(now, actions);
            return;
        }
        this->openings->arrange(now, forwarded);
    }
    const Address first = forwarded.candidates.front();
    actions.push_back(SendMessage { first, std::move(forwarded) });
}

/** Full queues are met by silence while the caller's next copy may find room; behind the last one nothing would come. */
void Balancer::refuseOpenings(TimePoint now, Actions& actions)
{
    for (const RefusedOpening& opening : this->openings->takeRefused()) {
        if (opening.isHopeless) {
            this->count.add(Counter::FlowsRefused);
            this->events->note(EventLevel::Info, "flow-refused", { { "flow", formatFlow(opening.packet.flow) }, { "reason", "queues_full" }, { "copies", std::to_string(lastOpeningCopy + 1) }, { "reset", "true" } });
            pushToCaller(actions, opening.packet.flow, this->codec->makeReset(opening.packet.flow, 0));
        } else if (opening.isFull) {
            this->count.add(Counter::OpeningsDeferred);
            this->events->note(EventLevel::Info, "opening-deferred", { { "flow", formatFlow(opening.packet.flow) }, { "reason", "queues_full" } });
        } else {
            this->refuse(now, opening.packet, "no_agent_takes_it", actions);
        }
    }
}

/**
 * Answers an opening packet that nobody can take. Later copies and other packets get silence: their flow may be open
 * by a view that this balancer does not have.
 */
void Balancer::refuse(TimePoint now, const FlowPacket& packet, std::string_view reason, Actions& actions)
{
    if (this->codec == nullptr || packet.mark != PacketMark::Opening) {
        return;
    }
    if (this->servingSince == TimePoint {}) {
        if (this->held.size() < maximumHeld) {
            this->held.emplace_back(now, packet);
        }
        return;
    }
    const std::optional<Segment> segment = this->codec->parse(packet.payload);
    const bool maySay = segment && segment->acknowledged == 0 && this->servingSince != TimePoint {} && now - this->servingSince >= settlingTime;
    this->count.add(Counter::FlowsRefused);
    this->events->note(EventLevel::Info, "flow-refused", { { "flow", formatFlow(packet.flow) }, { "reason", std::string(reason) }, { "revision", std::to_string(this->follower.revision()) }, { "revision_age_ms", std::to_string(toMilliseconds(now - this->follower.inForceSince())) }, { "reset", maySay ? "true" : "false" } });
    if (maySay) {
        pushToCaller(actions, packet.flow, this->codec->makeReset(packet.flow, 0));
    }
}

void Balancer::handle(TimePoint now, const Announce& announce, Actions& actions)
{
    const MemberRecord& record = announce.record;
    const Configuration& configuration = this->follower.current();
    if (record.role != MemberRole::Agent || record.address == this->settings.address || (this->follower.hasAny() && !configuration.mayAnnounce(record.service, record.zone))) {
        this->count.add(Counter::AnnouncesRefused);
        return;
    }
    this->members.learn(now, record);
    this->members.onHeartbeat(now, record.address);
    if (this->openings != nullptr) {
        this->openings->onHeard(record.address);
    }
    const Member* known = this->members.table().find(record.address);
    AnnounceReply reply { .balancer = this->settings.address, .revision = this->follower.revision() };
    if (known != nullptr) {
        reply.knownIncarnation = known->record.incarnation;
        reply.knownVersion = known->record.version;
        reply.knownLiveness = known->record.liveness;
    }
    std::vector<MemberRecord> peers = this->members.table().agentsOf(record.service);
    if (digestRecords(peers) != announce.peersDigest) {
        constexpr size_t peersBudgetBytes = 1100;
        size_t bytes = 0;
        for (const MemberRecord& peer : peers) {
            bytes += encodedBytes(peer);
            if (bytes > peersBudgetBytes || reply.peers.size() >= maximumRecordsPerDatagram) {
                actions.push_back(SendMessage { record.address, reply });
                reply.peers.clear();
                bytes = encodedBytes(peer);
            }
            reply.peers.push_back(peer);
        }
    }
    // An agent that knows its balancers needs their list now and then only.
    constexpr uint32_t repliesPerList = 8;
    if (announce.revision != 0 && this->replies++ % repliesPerList != 0) {
        actions.push_back(SendMessage { record.address, std::move(reply) });
        return;
    }
    reply.balancers = this->members.balancers(record.zone);
    std::sort(reply.balancers.begin(), reply.balancers.end(), [&record](Address left, Address right) {
        return hashPair(left.packed(), record.address.packed()) > hashPair(right.packed(), record.address.packed());
    });
    reply.balancers.resize(std::min(reply.balancers.size(), announcedBalancers));
    actions.push_back(SendMessage { record.address, std::move(reply) });
}

void Balancer::handle(TimePoint now, const Gossip& gossip, Actions& actions)
{
    this->members.onGossip(now, gossip, this->follower.revision(), actions);
    this->noteRevision(now, gossip.sender, gossip.revision, actions);
}

void Balancer::noteRevision(TimePoint now, Address peer, Revision revision, Actions& actions)
{
    if (revision <= this->follower.revision() || now < this->nextFetch) {
        return;
    }
    this->nextFetch = now + fetchPeriod;
    actions.push_back(FetchSnapshot { peer, { .have = this->mustFetchWhole ? 0 : this->follower.revision() } });
}

absl::Status Balancer::onConfiguration(TimePoint now, Revision revision, Revision readAt, std::string_view rules)
{
    // Rules that differ from those in force, and were read later than those were committed, are newer: the removal of a
    // key leaves no revision behind.
    const bool isRemoval = revision <= this->follower.revision() && readAt > this->follower.revision() && rules != this->follower.current().text;
    absl::Status status = this->follower.offer(now, isRemoval ? readAt : revision, rules);
    this->count.add(countOf(status));
    this->refreshTables(now);
    return status;
}

void Balancer::onSnapshot(TimePoint now, const Snapshot& snapshot)
{
    this->members.absorb(now, snapshot.members);
    if (snapshot.revision != 0) {
        const absl::Status status = this->follower.offer(now, snapshot.revision, snapshot.rules);
        this->count.add(countOf(status));
        this->mustFetchWhole = absl::IsDataLoss(status);
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
    // A process that knows nobody takes the whole table at once instead of waiting for gossip.
    if (this->members.balancers("").empty() && now >= this->nextFetch) {
        for (Address seed : seeds) {
            if (seed != this->settings.address) {
                this->nextFetch = now + fetchPeriod;
                actions.push_back(FetchSnapshot { seed, { .have = this->follower.revision(), .wantsMembers = true } });
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
        this->steering->removeUnconfiguredServices(configuration);
        for (const ServiceRule& service : configuration.services) {
            this->steering->update(now, service, configuration, this->members.table().agentsOf(service.name));
        }
        return;
    }
    for (const std::string& name : changed) {
        if (const ServiceRule* service = configuration.findService(name); service != nullptr) {
            this->steering->update(now, *service, configuration, this->members.table().agentsOf(name));
        }
    }
}

void Balancer::tick(TimePoint now, Actions& actions)
{
    this->members.tick(now, this->follower.revision(), actions);
    this->refreshTables(now);
    this->tellAgents(actions);
    if (this->openings == nullptr) {
        return;
    }
    for (Address agent : this->openings->tick(now, actions)) {
        this->nudge(agent, actions);
    }
    this->refuseOpenings(now, actions);
    this->beginServing(now, actions);
}

/** A new revision does not wait for the agents' next announcements. */
void Balancer::tellAgents(Actions& actions)
{
    if (this->toldRevision == this->follower.revision()) {
        return;
    }
    this->toldRevision = this->follower.revision();
    for (Address agent : this->members.watchedAgents()) {
        this->nudge(agent, actions);
    }
}

/** Asks an agent to announce itself. */
void Balancer::nudge(Address agent, Actions& actions) const
{
    const Member* member = this->members.table().find(agent);
    if (member != nullptr) {
        const MemberRecord& record = member->record;
        actions.push_back(SendMessage { agent, AnnounceReply { .balancer = this->settings.address, .revision = this->follower.revision(), .knownIncarnation = record.incarnation, .knownVersion = record.version, .isNudge = true } });
    }
}

bool Balancer::isServing() const
{
    const auto& all = this->members.table().all();
    return this->follower.hasAny() && std::any_of(all.begin(), all.end(), [](const auto& entry) { return entry.second.record.role == MemberRole::Agent && isEligible(entry.second.record); });
}

/** Sends what came before the first rules and agents were known, unless the caller's next copy is due. */
void Balancer::beginServing(TimePoint now, Actions& actions)
{
    if (this->servingSince != TimePoint {} || !this->isServing()) {
        return;
    }
    this->servingSince = now;
    for (const auto& [since, packet] : std::exchange(this->held, {})) {
        if (now - since < holdTime) {
            this->handle(now, packet, actions);
        }
    }
}

void Balancer::beginStop(TimePoint now, Actions& actions)
{
    this->members.leave(now, this->follower.revision(), actions);
}

Snapshot Balancer::makeSnapshot(const SnapshotAsk& ask) const
{
    Snapshot snapshot;
    if (this->follower.revision() > ask.have) {
        snapshot.revision = this->follower.revision();
        snapshot.rules = this->follower.patchFrom(ask.have);
    }
    if (!ask.wantsMembers) {
        return snapshot;
    }
    for (const auto& [address, member] : this->members.table().all()) {
        if (ask.service == 0 || hashText(member.record.service) == ask.service) {
            snapshot.members.push_back(member.record);
        }
    }
    return snapshot;
}

bool Balancer::isWatcher() const
{
    const uint64_t own = hashPair(this->settings.address.packed(), hashText(this->settings.zone));
    size_t better = 0;
    for (Address peer : this->members.balancers(this->settings.zone)) {
        better += hashPair(peer.packed(), hashText(this->settings.zone)) > own ? 1 : 0;
    }
    return better < watchersPerZone;
}

MetricsView Balancer::metrics() const
{
    MetricsView view { .counters = &this->count, .gauges = { { "balancers", this->members.balancers("").size() + 1 }, { "members", this->members.table().all().size() }, { "revision", this->follower.revision() } } };
    if (this->openings != nullptr) {
        view.histograms.emplace_back("placement", &this->openings->placements());
    }
    return view;
}

std::string Balancer::status(TimePoint now, uint64_t droppedDatagrams) const
{
    StatusView view { .role = "balancer", .address = this->settings.address, .zone = this->settings.zone, .revision = this->follower.revision(), .counters = &this->count };
    view.revisionAge = now - this->follower.inForceSince();
    view.numbers = {
        { "balancers", this->members.balancers("").size() + 1 },
        { "members", this->members.table().all().size() },
        { "datagrams_dropped", droppedDatagrams },
        { "watcher", this->isWatcher() ? 1U : 0U },
    };
    return formatStatus(view);
}

} // namespace lavender
