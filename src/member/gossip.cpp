/** @file gossip.cpp Membership among balancers: probes, suspicion, refutation, spreading of changes, anti-entropy. */
#include "member/gossip_base.h"

#include "core/hash_func.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <string>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration probePeriod = 200ms;
    constexpr Duration probePeriodWithUpdates = 50ms; ///< Probe period while changed records wait to be sent.
    constexpr size_t newRevisionFanOut = 3; ///< Peers that are probed at once when the configuration revision rises.
    constexpr Duration probeTimeout = 300ms; ///< Time to answer one attempt.
    constexpr int probeAttempts = 4; ///< A balancer that answers none of them becomes suspect.
    constexpr Duration suspicionTime = 2500ms; ///< A suspect that has not refuted the suspicion by then is gone.
    constexpr Duration rejoinPeriod = 500ms; ///< Period for contacting one gone balancer; a partition of 10 balancers heals in seconds.
    constexpr Duration adoptionPeriod = 5s; ///< Period for adopting unwatched agents and purging gone members.
    constexpr Duration digestExchangePeriod = 1s; ///< Shortest time between two digest exchanges that this balancer starts.
    constexpr Duration pauseThreshold = 1s; ///< A longer gap between two ticks means that this process was paused.
    constexpr Duration goneRetention = 10min; ///< Gone members are forgotten after this time.
    constexpr int sendsPerDoubling = 3; ///< Sends of a changed record for each doubling of the number of members.
    constexpr size_t maximumRecordBytes = 900; ///< Bytes of member records in one datagram.

    /** Adds a record to a datagram of @p bytes record bytes. @return False if it does not fit. */
    bool packRecord(std::vector<MemberRecord>& records, size_t& bytes, const MemberRecord& record)
    {
        const size_t size = maximumEncodedBytes(record);
        if (records.size() >= maximumRecordsPerDatagram || bytes + size > maximumRecordBytes) {
            return false;
        }
        records.push_back(record);
        bytes += size;
        return true;
    }

} // namespace

GossipSystem::GossipSystem(MemberRecord self, Random& random, Counters& counters)
    : own(std::move(self))
    , random(random)
    , counters(counters)
{
    this->apply(TimePoint {}, this->own);
}

void GossipSystem::addSeeds(std::span<const Address> seeds, const Revision& revision, Actions& actions)
{
    for (Address seed : seeds) {
        const Member* member = this->members.find(seed);
        if (seed == this->own.address || (member != nullptr && member->record.liveness != Liveness::Gone)) {
            continue;
        }
        Gossip gossip { .sender = this->own.address, .sequence = this->nextSequence++, .revision = revision, .digest = this->members.digest(), .records = { this->own } };
        actions.push_back(SendMessage { seed, std::move(gossip) });
    }
}

bool GossipSystem::apply(TimePoint now, const MemberRecord& record)
{
    const Member* before = this->members.find(record.address);
    const std::optional<Liveness> livenessBefore = before == nullptr ? std::nullopt : std::optional(before->record.liveness);
    if (!this->members.merge(now, record)) {
        return false;
    }
    if (this->events != nullptr && livenessBefore != record.liveness) {
        this->events->log(EventLevel::Info, "member-changed",
            {
                { "member", formatAddress(record.address) },
                { "liveness", std::string(toString(record.liveness)) },
                { "before", livenessBefore ? std::string(toString(*livenessBefore)) : "unknown" },
                { "state", std::string(toString(record.state)) },
                { "version", std::to_string(record.version) },
                { "incarnation", std::to_string(record.incarnation) },
            });
    }
    const auto doublings = static_cast<int>(std::bit_width(this->members.all().size()));
    this->pendingUpdates[record.address].remainingSends = sendsPerDoubling * (doublings + 1);
    if (record.liveness == Liveness::Gone) {
        this->counters.add(Counter::MembersGone);
        this->heartbeats.erase(record.address);
        this->probes.erase(record.address);
    }
    return true;
}

void GossipSystem::refute(TimePoint now, const MemberRecord& record)
{
    if (isNewer(record, this->own)) {
        // The incarnation is the start time: it is higher than our own if an earlier process at this address started before
        // the clock was set back.
        this->own.incarnation = record.incarnation;
        this->own.version = record.version + 1;
        this->apply(now, this->own);
    }
}

bool GossipSystem::mergeRecord(TimePoint now, const MemberRecord& record)
{
    if (record.address == this->own.address) {
        this->refute(now, record);
        return false;
    }
    const Member* before = this->members.find(record.address);
    const bool isUnknown = before == nullptr;
    if (isUnknown && record.liveness == Liveness::Gone) {
        return false;
    }
    // A suspicion by others carries the version that the member last gave itself; its own leave message carries a higher one.
    const bool isClaimByOthers = record.liveness != Liveness::Alive && !isUnknown && record.incarnation == before->record.incarnation
        && record.version == before->record.version;
    if (isClaimByOthers && this->wasRecentlyHeard(now, record.address)) {
        // The agent is asked to refute this. Until it does, marking it here would make its flows look lost.
        this->disputedClaims[record.address] = record;
        return false;
    }
    if (!this->apply(now, record)) {
        return false;
    }
    if (record.liveness == Liveness::Alive && !isUnknown) {
        // Another balancer heard from the agent and watches it; this one stops until it hears from the agent itself.
        this->heartbeats.erase(record.address);
    }
    return true;
}

void GossipSystem::mergeSnapshot(TimePoint now, std::span<const MemberRecord> records)
{
    for (const MemberRecord& record : records) {
        if (record.address == this->own.address) {
            this->refute(now, record);
        } else {
            this->members.merge(now, record);
        }
    }
}

std::vector<MemberRecord> GossipSystem::takePendingRecords()
{
    std::vector<std::pair<int, Address>> order;
    order.reserve(this->pendingUpdates.size());
    for (const auto& [address, update] : this->pendingUpdates) {
        order.emplace_back(-update.remainingSends, address);
    }
    std::sort(order.begin(), order.end());
    std::vector<MemberRecord> records;
    size_t bytes = 0;
    for (const auto& [rank, address] : order) {
        const Member* member = this->members.find(address);
        if (member != nullptr && !packRecord(records, bytes, member->record)) {
            break;
        }
        if (member == nullptr || --this->pendingUpdates[address].remainingSends <= 0) {
            this->pendingUpdates.erase(address);
        }
    }
    return records;
}

std::vector<Address> GossipSystem::balancers(std::string_view zone) const
{
    std::vector<Address> result;
    for (const auto& [address, member] : this->members.all()) {
        const MemberRecord& record = member.record;
        const bool isMatch = record.role == MemberRole::Balancer && record.liveness == Liveness::Alive
            && address != this->own.address;
        if (isMatch && (zone.empty() || record.zone == zone)) {
            result.push_back(address);
        }
    }
    return result;
}

void GossipSystem::sendProbe(TimePoint now, Address peer, const Revision& revision, Actions& actions)
{
    Probe& probe = this->probes[peer];
    probe.sequence = this->nextSequence++;
    probe.sent = now;
    ++probe.attempts;
    Gossip gossip {
        .sender = this->own.address,
        .sequence = probe.sequence,
        .revision = revision,
        .digest = this->members.digest(),
        .records = this->takePendingRecords(),
    };
    actions.push_back(SendMessage { peer, std::move(gossip) });
}

void GossipSystem::checkProbes(TimePoint now, const Revision& revision, Actions& actions)
{
    std::vector<Address> timedOut;
    for (const auto& [peer, probe] : this->probes) {
        if (now - probe.sent >= probeTimeout) {
            timedOut.push_back(peer);
        }
    }
    for (Address peer : timedOut) {
        if (this->probes[peer].attempts < probeAttempts) {
            this->sendProbe(now, peer, revision, actions);
            continue;
        }
        this->probes.erase(peer);
        if (this->members.markLiveness(now, peer, Liveness::Suspect)) {
            this->counters.add(Counter::MembersSuspected);
            this->pendingUpdates[peer].remainingSends = sendsPerDoubling * 8;
        }
    }
}

/** Restarts all timeouts after a pause of this process, during which it could not hear from the others. */
void GossipSystem::resetTimersAfterPause(TimePoint now)
{
    if (this->lastTick != TimePoint {} && now - this->lastTick > pauseThreshold) {
        this->probes.clear();
        for (auto& [agent, heard] : this->heartbeats) {
            heard = now;
        }
        this->suspectExpiryPausedUntil = now + suspicionTime;
    }
    this->lastTick = now;
}

void GossipSystem::expireSuspects(TimePoint now)
{
    if (now < this->suspectExpiryPausedUntil) {
        return;
    }
    std::vector<MemberRecord> expired;
    for (const auto& [address, member] : this->members.all()) {
        if (member.record.liveness == Liveness::Suspect && now - member.changedAt >= suspicionTime) {
            expired.push_back(member.record);
        }
    }
    for (MemberRecord& record : expired) {
        record.liveness = Liveness::Gone;
        this->apply(now, record);
    }
}

/**
 * Sends a gone balancer our record of it, which it refutes if it is alive. Its reply carries its record of this balancer.
 * Without this a network partition would never heal: each side declares the other gone, and gone members are not probed.
 */
void GossipSystem::contactGoneBalancer(TimePoint now, const Revision& revision, Actions& actions)
{
    if (now < this->nextRejoin) {
        return;
    }
    this->nextRejoin = now + rejoinPeriod;
    std::vector<MemberRecord> gone;
    for (const auto& [address, member] : this->members.all()) {
        const bool hasLeft = member.record.state == MemberState::Draining;
        if (member.record.role == MemberRole::Balancer && member.record.liveness == Liveness::Gone && !hasLeft
            && address != this->own.address) {
            gone.push_back(member.record);
        }
    }
    if (gone.empty()) {
        return;
    }
    const MemberRecord& target = gone[this->random.below(static_cast<uint32_t>(gone.size()))];
    Gossip gossip { .sender = this->own.address, .sequence = this->nextSequence++, .revision = revision, .digest = this->members.digest(), .records = { this->own, target } };
    actions.push_back(SendMessage { target.address, std::move(gossip) });
}

void GossipSystem::tick(TimePoint now, const Revision& revision, Actions& actions)
{
    this->resetTimersAfterPause(now);
    this->checkProbes(now, revision, actions);
    this->expireSuspects(now);
    this->checkHeartbeats(now, actions);
    this->contactGoneBalancer(now, revision, actions);
    this->requestRefutations(actions);
    if (now >= this->nextAdoption) {
        this->nextAdoption = now + adoptionPeriod;
        this->adoptUnwatchedAgents(now);
        this->members.purge(now, goneRetention);
    }
    if (now < this->nextProbe && revision == this->probedRevision) {
        return;
    }
    const std::vector<Address> peers = this->balancers("");
    this->nextProbe = now + (this->pendingUpdates.empty() || peers.empty() ? probePeriod : probePeriodWithUpdates);
    const size_t fanOut = revision != this->probedRevision ? newRevisionFanOut : 1;
    this->probedRevision = revision;
    for (size_t sent = 0; sent < std::min(fanOut, peers.size()); ++sent) {
        const Address peer = peers[this->random.below(static_cast<uint32_t>(peers.size()))];
        if (!this->probes.contains(peer)) {
            this->sendProbe(now, peer, revision, actions);
        }
    }
}

void GossipSystem::startDigestExchange(TimePoint now, const Gossip& gossip, Actions& actions)
{
    // Tables may differ while changes are still spreading; that needs no anti-entropy.
    const bool isBusy = !this->pendingUpdates.empty() || !gossip.records.empty();
    if (isBusy || now < this->nextDigestExchange || gossip.digest == this->members.digest()) {
        return;
    }
    this->nextDigestExchange = now + digestExchangePeriod;
    const auto& digests = this->members.bucketDigests();
    actions.push_back(SendMessage { gossip.sender, DigestExchange { .sender = this->own.address, .buckets = { digests.begin(), digests.end() } } });
}

void GossipSystem::onGossip(TimePoint now, const Gossip& gossip, const Revision& revision, Actions& actions)
{
    for (const MemberRecord& record : gossip.records) {
        this->mergeRecord(now, record);
    }
    const Member* sender = this->members.find(gossip.sender);
    if (gossip.isReply) {
        const auto probe = this->probes.find(gossip.sender);
        if (probe != this->probes.end()) {
            this->probes.erase(probe);
        }
    } else {
        Gossip reply {
            .sender = this->own.address,
            .sequence = gossip.sequence,
            .isReply = true,
            .revision = revision,
            .digest = this->members.digest(),
            .records = this->takePendingRecords(),
        };
        if (sender == nullptr && std::find(reply.records.begin(), reply.records.end(), this->own) == reply.records.end()) {
            reply.records.insert(reply.records.begin(), this->own);
            reply.records.resize(std::min(reply.records.size(), maximumRecordsPerDatagram));
        }
        if (sender != nullptr && sender->record.liveness != Liveness::Alive) {
            // Lets the sender refute that it is suspect or gone.
            reply.records.resize(std::min(reply.records.size(), maximumRecordsPerDatagram - 1));
            reply.records.push_back(sender->record);
        }
        actions.push_back(SendMessage { gossip.sender, std::move(reply) });
    }
    this->startDigestExchange(now, gossip, actions);
}

void GossipSystem::onDigestExchange(TimePoint now, const DigestExchange& exchange, Actions& actions)
{
    for (const MemberRecord& record : exchange.records) {
        this->mergeRecord(now, record);
    }
    if (exchange.buckets.size() != digestBuckets) {
        return;
    }
    const auto& digests = this->members.bucketDigests();
    DigestExchange reply { .sender = this->own.address, .isReply = true };
    size_t bytes = 0;
    const size_t start = this->random.below(digestBuckets);
    for (size_t step = 0; step < digestBuckets; ++step) {
        const size_t bucket = (start + step) % digestBuckets;
        if (digests[bucket] == exchange.buckets[bucket]) {
            continue;
        }
        for (const auto& [address, member] : this->members.all()) {
            if (MemberTable::bucketOf(address) == bucket && !packRecord(reply.records, bytes, member.record)) {
                break;
            }
        }
    }
    if (!exchange.isReply) {
        reply.buckets = { digests.begin(), digests.end() };
    }
    if (!reply.records.empty() || !exchange.isReply) {
        // Bucket digests and records together could exceed the datagram limit, so they are sent as two messages.
        DigestExchange bucketMessage { .sender = reply.sender, .isReply = true, .buckets = std::move(reply.buckets) };
        reply.buckets.clear();
        actions.push_back(SendMessage { exchange.sender, std::move(reply) });
        if (!bucketMessage.buckets.empty()) {
            actions.push_back(SendMessage { exchange.sender, std::move(bucketMessage) });
        }
    }
}

void GossipSystem::leave(TimePoint now, const Revision& revision, Actions& actions)
{
    this->own.version += 1;
    this->own.state = MemberState::Draining;
    this->own.liveness = Liveness::Gone;
    this->apply(now, this->own);
    std::vector<Address> peers = this->balancers("");
    constexpr size_t leaveMessages = 4;
    for (size_t sent = 0; sent < leaveMessages && !peers.empty(); ++sent) {
        const size_t pick = this->random.below(static_cast<uint32_t>(peers.size()));
        Gossip gossip { .sender = this->own.address, .sequence = this->nextSequence++, .revision = revision, .digest = this->members.digest(), .records = { this->own } };
        actions.push_back(SendMessage { peers[pick], std::move(gossip) });
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

} // namespace lavender
