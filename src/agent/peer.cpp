/** @file peer.cpp Announcements to two balancers; load messages to the other agents, round robin. */
#include "agent/peer_base.h"

#include "core/hash_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr size_t announceFanOut = 2; ///< Balancers that an agent announces itself to.
    constexpr Duration announcePeriod = 1s;
    constexpr size_t urgentFanOut = 8; ///< Instead of announceFanOut until the view is first synchronized, and after the leave.
    constexpr Duration urgentAnnouncePeriod = 100ms; ///< Instead of announcePeriod until the view is first synchronized, and after the leave.
    constexpr Duration replyTimeout = 2500ms; ///< A balancer without a reply for this long is avoided.
    constexpr Duration avoidTime = 5s; ///< Time for which a balancer is avoided.
    constexpr size_t maximumBalancers = 64; ///< Balancers that an agent remembers.
    constexpr size_t loadFanOut = 4; ///< Agents that each load message is sent to.

} // namespace

PeerSystem::PeerSystem(MemberRecord self, Random& random)
    : own(std::move(self))
    , random(random)
{
    this->peers.merge(TimePoint {}, this->own);
}

void PeerSystem::addBalancers(std::span<const Address> addresses)
{
    for (Address address : addresses) {
        if (this->balancers.size() < maximumBalancers && address != this->own.address) {
            this->balancers.try_emplace(address);
        }
    }
}

void PeerSystem::mergeRecord(TimePoint now, const MemberRecord& record)
{
    if (record.address != this->own.address) {
        if (record.role == MemberRole::Agent && record.service == this->own.service) {
            this->peers.merge(now, record);
        }
        return;
    }
    if (isNewer(record, this->own)) {
        // Another member holds this agent as suspect or gone, or has a later version of its record. Refute that with a still
        // later version. A higher incarnation belongs to an earlier process at this address that was started before the time
        // of day was set back.
        this->own.incarnation = record.incarnation;
        this->own.version = record.version + 1;
        this->peers.merge(now, this->own);
        this->isAnnounceDue = true;
    }
}

void PeerSystem::onReply(TimePoint now, const AnnounceReply& reply, Actions& actions)
{
    this->addBalancers(std::span(&reply.balancer, 1));
    this->addBalancers(reply.balancers);
    const auto contact = this->balancers.find(reply.balancer);
    if (contact != this->balancers.end()) {
        contact->second.unansweredSince = TimePoint {};
        contact->second.avoidUntil = TimePoint {};
    }
    for (const MemberRecord& record : reply.peers) {
        this->mergeRecord(now, record);
    }
    MemberRecord recordAtBalancer = this->own;
    recordAtBalancer.incarnation = reply.knownIncarnation;
    recordAtBalancer.version = reply.knownVersion;
    recordAtBalancer.liveness = reply.knownLiveness;
    this->mergeRecord(now, recordAtBalancer);
    if (reply.isAnnounceRequest) {
        this->announce(now, reply.balancer, this->revision, actions);
        return;
    }
    if (reply.peers.empty()) {
        this->firstSynchronized = this->firstSynchronized.value_or(now);
        this->lastSynchronized = now;
    }
}

void PeerSystem::onLoadReport(TimePoint now, const LoadReport& report)
{
    if (report.service == hashText(this->own.service) && report.agent != this->own.address) {
        this->loads[report.agent] = { report.openFlows, report.inFlight, report.limit, now };
    }
}

/**
 * True while the view is not synchronized, and after the leave: until the balancers know of it, they and through them the other
 * agents send packets to an agent that is about to end, and it can repeat a lost message only for the short time until then.
 */
bool PeerSystem::isAnnouncingUrgently() const
{
    return !this->firstSynchronized || this->own.liveness == Liveness::Gone;
}

std::vector<Address> PeerSystem::announceTargets(TimePoint now) const
{
    std::vector<std::pair<uint64_t, Address>> ranked;
    for (const auto& [address, contact] : this->balancers) {
        if (contact.avoidUntil <= now) {
            ranked.emplace_back(hashPair(address.packed(), this->own.address.packed()), address);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<Address> result;
    const size_t fanOut = this->isAnnouncingUrgently() ? urgentFanOut : announceFanOut;
    for (size_t rank = 0; rank < std::min(ranked.size(), fanOut); ++rank) {
        result.push_back(ranked[rank].second);
    }
    return result;
}

void PeerSystem::announce(TimePoint now, Address balancer, const Revision& haveRevision, Actions& actions)
{
    const auto contact = this->balancers.find(balancer);
    if (contact == this->balancers.end()) {
        return;
    }
    contact->second.sent = now;
    if (contact->second.unansweredSince == TimePoint {}) {
        contact->second.unansweredSince = now;
    }
    actions.push_back(SendMessage { balancer, Announce { this->own, haveRevision, digestRecords(this->allAgents()) } });
}

void PeerSystem::tick(TimePoint now, const Revision& haveRevision, Actions& actions)
{
    this->revision = haveRevision;
    for (auto& [address, contact] : this->balancers) {
        if (contact.unansweredSince != TimePoint {} && now - contact.unansweredSince >= replyTimeout) {
            contact.avoidUntil = now + avoidTime;
            contact.unansweredSince = TimePoint {};
        }
    }
    for (Address target : this->announceTargets(now)) {
        if (this->isAnnounceDue
            || now - this->balancers[target].sent >= (this->isAnnouncingUrgently() ? urgentAnnouncePeriod : announcePeriod)) {
            this->announce(now, target, haveRevision, actions);
        }
    }
    this->isAnnounceDue = this->isAnnounceDue && this->balancers.empty();
}

void PeerSystem::sendLoad(const LoadReport& load, Actions& actions)
{
    const std::vector<MemberRecord> targets = this->otherAgents();
    if (targets.empty()) {
        return;
    }
    auto next = std::find_if(targets.begin(), targets.end(), [this](const MemberRecord& record) {
        return record.address > this->lastLoadPeer;
    });
    for (size_t sent = 0; sent < std::min(loadFanOut, targets.size()); ++sent) {
        if (next == targets.end()) {
            next = targets.begin();
        }
        actions.push_back(SendMessage { next->address, load });
        this->lastLoadPeer = next->address;
        ++next;
    }
}

void PeerSystem::setSelf(MemberState state, uint16_t weight, uint16_t slots)
{
    const bool isUnchanged = this->own.state == state && this->own.weight == weight && this->own.slots == slots;
    if (isUnchanged || this->own.liveness == Liveness::Gone) {
        return; // The record of the leave is final.
    }
    this->own.state = state;
    this->own.weight = weight;
    this->own.slots = slots;
    this->own.version += 1;
    this->peers.merge(TimePoint {}, this->own);
    this->isAnnounceDue = true;
}

void PeerSystem::leave(TimePoint now, const Revision& haveRevision, Actions& actions)
{
    this->own.version += 1;
    this->own.state = MemberState::NoUpstream; // Tells a leave from a loss: see countRecentlyLost.
    this->own.liveness = Liveness::Gone;
    for (Address target : this->announceTargets(now)) {
        this->announce(now, target, haveRevision, actions);
    }
}

const MemberRecord* PeerSystem::find(Address peer) const
{
    const Member* member = this->peers.find(peer);
    return member == nullptr ? nullptr : &member->record;
}

std::optional<PeerLoad> PeerSystem::load(Address peer) const
{
    const auto found = this->loads.find(peer);
    return found == this->loads.end() ? std::nullopt : std::optional(found->second);
}

std::vector<MemberRecord> PeerSystem::otherAgents() const
{
    std::vector<MemberRecord> records;
    for (const auto& [address, member] : this->peers.all()) {
        if (address != this->own.address && member.record.liveness != Liveness::Gone) {
            records.push_back(member.record);
        }
    }
    return records;
}

bool PeerSystem::isLikelyMinority(TimePoint now, Duration age) const
{
    const auto& all = this->peers.all();
    const auto remaining = std::count_if(all.begin(), all.end(), [](const auto& entry) {
        return entry.second.record.liveness != Liveness::Gone;
    });
    return this->countRecentlyLost(now, age) >= static_cast<size_t>(remaining);
}

size_t PeerSystem::countRecentlyLost(TimePoint now, Duration age) const
{
    const auto& all = this->peers.all();
    const auto lost = std::count_if(all.begin(), all.end(), [now, age](const auto& entry) {
        const Member& member = entry.second;
        // An agent without an upstream owned no flow, and neither did one that announced its leave. A draining one that did not
        // announce it was lost: its upstream may hold flows until it has ended, and the process beside it may be starting again.
        const bool mayHaveHadFlows = member.record.state != MemberState::NoUpstream;
        return member.record.liveness == Liveness::Gone && mayHaveHadFlows && now - member.changedAt < age;
    });
    return static_cast<size_t>(lost);
}

std::vector<MemberRecord> PeerSystem::allAgents() const
{
    std::vector<MemberRecord> records = this->otherAgents();
    records.push_back(this->own);
    return records;
}

} // namespace lavender
