/** @file gossip.cpp SWIM-like membership: random probes, suspicion, refutation by version, changes carried on probes. */
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
    constexpr Duration spreadPeriod = 50ms; ///< Between two probes while changes wait to be spread.
    constexpr size_t spreadFanOut = 3; ///< Peers that are probed at once when the revision rises.
    constexpr Duration probeTimeout = 300ms;
    constexpr int probeTries = 4;
    constexpr Duration suspicionTime = 2500ms; ///< A suspect has this long to refute.
    constexpr Duration rejoinPeriod = 500ms; ///< One balancer that is held gone is asked this often; a cut of 10 balancers heals in seconds.
    constexpr Duration adoptionPeriod = 5s;
    constexpr Duration comparisonPeriod = 1s;
    constexpr Duration pauseThreshold = 1s; ///< A tick this late means that the process stood still.
    constexpr Duration goneAge = 10min;
    constexpr int spreadFactor = 3; ///< Times log2 of the fleet.
    constexpr size_t recordBudgetBytes = 900; ///< Of one datagram.

    /** Adds records until the datagram is full. @return False where this one did not fit. */
    bool packRecord(std::vector<MemberRecord>& records, size_t& bytes, const MemberRecord& record)
    {
        const size_t size = encodedBytes(record);
        if (records.size() >= maximumRecordsPerDatagram || bytes + size > recordBudgetBytes) {
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

void GossipSystem::addSeeds(std::span<const Address> seeds, Revision revision, Actions& actions)
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
        this->events->note(EventLevel::Info, "member-changed", { { "member", formatAddress(record.address) }, { "liveness", std::string(toString(record.liveness)) }, { "before", livenessBefore ? std::string(toString(*livenessBefore)) : "unknown" }, { "state", std::string(toString(record.state)) }, { "version", std::to_string(record.version) }, { "incarnation", std::to_string(record.incarnation) } });
    }
    const auto doublings = static_cast<int>(std::bit_width(this->members.all().size()));
    this->spreading[record.address].remaining = spreadFactor * (doublings + 1);
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
        // A higher incarnation is that of an earlier process here, started before the time of day went back.
        this->own.incarnation = record.incarnation;
        this->own.version = record.version + 1;
        this->apply(now, this->own);
    }
}

bool GossipSystem::learn(TimePoint now, const MemberRecord& record)
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
    // Others can hold against a member only the version that it gave itself; a goodbye comes with a new one.
    const bool isClaim = record.liveness != Liveness::Alive && !isUnknown && record.incarnation == before->record.incarnation && record.version == before->record.version;
    if (isClaim && this->wasJustHeard(now, record.address)) {
        this->disputed[record.address] = record; // The agent itself refutes it; believed here, its flows would be taken for lost meanwhile.
        return false;
    }
    if (!this->apply(now, record)) {
        return false;
    }
    if (record.liveness == Liveness::Alive && !isUnknown) {
        // Someone else heard from the agent: this balancer need not watch it, unless it hears from it again.
        this->heartbeats.erase(record.address);
    }
    return true;
}

void GossipSystem::absorb(TimePoint now, std::span<const MemberRecord> records)
{
    for (const MemberRecord& record : records) {
        if (record.address == this->own.address) {
            this->refute(now, record);
        } else {
            this->members.merge(now, record);
        }
    }
}

std::vector<MemberRecord> GossipSystem::takeRecords()
{
    std::vector<std::pair<int, Address>> order;
    order.reserve(this->spreading.size());
    for (const auto& [address, spread] : this->spreading) {
        order.emplace_back(-spread.remaining, address);
    }
    std::sort(order.begin(), order.end());
    std::vector<MemberRecord> records;
    size_t bytes = 0;
    for (const auto& [rank, address] : order) {
        const Member* member = this->members.find(address);
        if (member != nullptr && !packRecord(records, bytes, member->record)) {
            break;
        }
        if (member == nullptr || --this->spreading[address].remaining <= 0) {
            this->spreading.erase(address);
        }
    }
    return records;
}

std::vector<Address> GossipSystem::balancers(std::string_view zone) const
{
    std::vector<Address> result;
    for (const auto& [address, member] : this->members.all()) {
        const MemberRecord& record = member.record;
        const bool isMatch = record.role == MemberRole::Balancer && record.liveness == Liveness::Alive && address != this->own.address;
        if (isMatch && (zone.empty() || record.zone == zone)) {
            result.push_back(address);
        }
    }
    return result;
}

void GossipSystem::sendProbe(TimePoint now, Address peer, Revision revision, Actions& actions)
{
    Probe& probe = this->probes[peer];
    probe.sequence = this->nextSequence++;
    probe.sent = now;
    ++probe.tries;
    Gossip gossip { .sender = this->own.address, .sequence = probe.sequence, .revision = revision, .digest = this->members.digest(), .records = this->takeRecords() };
    actions.push_back(SendMessage { peer, std::move(gossip) });
}

void GossipSystem::checkProbes(TimePoint now, Revision revision, Actions& actions)
{
    std::vector<Address> overdue;
    for (const auto& [peer, probe] : this->probes) {
        if (now - probe.sent >= probeTimeout) {
            overdue.push_back(peer);
        }
    }
    for (Address peer : overdue) {
        if (this->probes[peer].tries < probeTries) {
            this->sendProbe(now, peer, revision, actions);
            continue;
        }
        this->probes.erase(peer);
        if (this->members.markLiveness(now, peer, Liveness::Suspect)) {
            this->counters.add(Counter::MembersSuspected);
            this->spreading[peer].remaining = spreadFactor * 8;
        }
    }
}

/** After a pause of this process the silence of the others was its own: all watches begin anew. */
void GossipSystem::forgivePause(TimePoint now)
{
    if (this->lastTick != TimePoint {} && now - this->lastTick > pauseThreshold) {
        this->probes.clear();
        for (auto& [agent, heard] : this->heartbeats) {
            heard = now;
        }
        this->judgeAfter = now + suspicionTime;
    }
    this->lastTick = now;
}

void GossipSystem::checkSuspects(TimePoint now)
{
    if (now < this->judgeAfter) {
        return;
    }
    std::vector<MemberRecord> lapsed;
    for (const auto& [address, member] : this->members.all()) {
        if (member.record.liveness == Liveness::Suspect && now - member.changed >= suspicionTime) {
            lapsed.push_back(member.record);
        }
    }
    for (MemberRecord& record : lapsed) {
        record.liveness = Liveness::Gone;
        this->apply(now, record);
    }
}

/**
 * After a cut both sides hold each other gone, and nobody probes who is gone. Whoever is asked so hears what is held of it and
 * refutes that; its answer tells the asker the same.
 */
void GossipSystem::askGone(TimePoint now, Revision revision, Actions& actions)
{
    if (now < this->nextRejoin) {
        return;
    }
    this->nextRejoin = now + rejoinPeriod;
    std::vector<MemberRecord> gone;
    for (const auto& [address, member] : this->members.all()) {
        const bool saidGoodbye = member.record.state == MemberState::Draining;
        if (member.record.role == MemberRole::Balancer && member.record.liveness == Liveness::Gone && !saidGoodbye && address != this->own.address) {
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

void GossipSystem::tick(TimePoint now, Revision revision, Actions& actions)
{
    this->forgivePause(now);
    this->checkProbes(now, revision, actions);
    this->checkSuspects(now);
    this->checkAgents(now, actions);
    this->askGone(now, revision, actions);
    this->askDisputed(actions);
    if (now >= this->nextAdoption) {
        this->nextAdoption = now + adoptionPeriod;
        this->adoptAgents(now);
        this->members.purge(now, goneAge);
    }
    if (now < this->nextProbe && revision == this->toldRevision) {
        return;
    }
    const std::vector<Address> peers = this->balancers("");
    this->nextProbe = now + (this->spreading.empty() || peers.empty() ? probePeriod : spreadPeriod);
    const size_t fanOut = revision != this->toldRevision ? spreadFanOut : 1;
    this->toldRevision = revision;
    for (size_t sent = 0; sent < std::min(fanOut, peers.size()); ++sent) {
        const Address peer = peers[this->random.below(static_cast<uint32_t>(peers.size()))];
        if (!this->probes.contains(peer)) {
            this->sendProbe(now, peer, revision, actions);
        }
    }
}

void GossipSystem::compareDigest(TimePoint now, const Gossip& gossip, Actions& actions)
{
    // Changes still on their way make tables differ for a moment; those need no comparison.
    const bool isBusy = !this->spreading.empty() || !gossip.records.empty();
    if (isBusy || now < this->nextComparison || gossip.digest == this->members.digest()) {
        return;
    }
    this->nextComparison = now + comparisonPeriod;
    const auto& digests = this->members.bucketDigests();
    actions.push_back(SendMessage { gossip.sender, DigestExchange { .sender = this->own.address, .buckets = { digests.begin(), digests.end() } } });
}

void GossipSystem::onGossip(TimePoint now, const Gossip& gossip, Revision revision, Actions& actions)
{
    for (const MemberRecord& record : gossip.records) {
        this->learn(now, record);
    }
    const Member* sender = this->members.find(gossip.sender);
    if (gossip.isReply) {
        const auto probe = this->probes.find(gossip.sender);
        if (probe != this->probes.end()) {
            this->probes.erase(probe);
        }
    } else {
        Gossip reply { .sender = this->own.address, .sequence = gossip.sequence, .isReply = true, .revision = revision, .digest = this->members.digest(), .records = this->takeRecords() };
        if (sender == nullptr && std::find(reply.records.begin(), reply.records.end(), this->own) == reply.records.end()) {
            reply.records.insert(reply.records.begin(), this->own);
            reply.records.resize(std::min(reply.records.size(), maximumRecordsPerDatagram));
        }
        if (sender != nullptr && sender->record.liveness != Liveness::Alive) {
            // Lets the sender refute what is held of it here.
            reply.records.resize(std::min(reply.records.size(), maximumRecordsPerDatagram - 1));
            reply.records.push_back(sender->record);
        }
        actions.push_back(SendMessage { gossip.sender, std::move(reply) });
    }
    this->compareDigest(now, gossip, actions);
}

void GossipSystem::onDigestExchange(TimePoint now, const DigestExchange& exchange, Actions& actions)
{
    for (const MemberRecord& record : exchange.records) {
        this->learn(now, record);
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
        // Parts and records together could pass the datagram's limit: two messages then.
        DigestExchange parts { .sender = reply.sender, .isReply = true, .buckets = std::move(reply.buckets) };
        reply.buckets.clear();
        actions.push_back(SendMessage { exchange.sender, std::move(reply) });
        if (!parts.buckets.empty()) {
            actions.push_back(SendMessage { exchange.sender, std::move(parts) });
        }
    }
}

void GossipSystem::leave(TimePoint now, Revision revision, Actions& actions)
{
    this->own.version += 1;
    this->own.state = MemberState::Draining;
    this->own.liveness = Liveness::Gone;
    this->apply(now, this->own);
    std::vector<Address> peers = this->balancers("");
    constexpr size_t farewells = 4;
    for (size_t sent = 0; sent < farewells && !peers.empty(); ++sent) {
        const size_t pick = this->random.below(static_cast<uint32_t>(peers.size()));
        Gossip gossip { .sender = this->own.address, .sequence = this->nextSequence++, .revision = revision, .digest = this->members.digest(), .records = { this->own } };
        actions.push_back(SendMessage { peers[pick], std::move(gossip) });
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

} // namespace lavender
