/** @file peer.cpp Announcements to two balancers of the zone; load news to the peers in turn. */
#include "agent/peer_base.h"

#include "core/hash_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr size_t sponsorCount = 2;
    constexpr Duration announcePeriod = 1s;
    constexpr size_t strangerSponsors = 8; ///< Until the first answer more balancers are asked, and more often.
    constexpr Duration strangerPeriod = 100ms;
    constexpr Duration replyTimeout = 2500ms;
    constexpr Duration avoidTime = 5s; ///< A balancer that did not answer is passed over for this long.
    constexpr size_t maximumBalancers = 64; ///< Balancers that an agent remembers.
    constexpr size_t loadFanOut = 4; ///< Peers that each load message goes to.

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

void PeerSystem::learn(TimePoint now, const MemberRecord& record)
{
    if (record.address != this->own.address) {
        if (record.role == MemberRole::Agent && record.service == this->own.service) {
            this->peers.merge(now, record);
        }
        return;
    }
    if (isNewer(record, this->own)) {
        // Somebody holds this agent suspect or gone, or has a version of it that it has not: say otherwise. A higher
        // incarnation is that of an earlier process here, started before the time of day went back.
        this->own.incarnation = record.incarnation;
        this->own.version = record.version + 1;
        this->peers.merge(now, this->own);
        this->isUrgent = true;
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
        this->learn(now, record);
    }
    MemberRecord known = this->own;
    known.incarnation = reply.knownIncarnation;
    known.version = reply.knownVersion;
    known.liveness = reply.knownLiveness;
    this->learn(now, known);
    if (reply.isNudge) {
        this->announce(now, reply.balancer, this->revision, actions);
        return;
    }
    if (reply.peers.empty()) {
        this->agreedSince = this->agreedSince.value_or(now);
        this->lastAgreed = now;
    }
}

void PeerSystem::onLoadNews(TimePoint now, const LoadNews& news)
{
    if (news.service == hashText(this->own.service) && news.agent != this->own.address) {
        this->loads[news.agent] = { news.openFlows, news.inFlight, news.limit, now };
    }
}

std::vector<Address> PeerSystem::sponsors(TimePoint now) const
{
    std::vector<std::pair<uint64_t, Address>> ranked;
    for (const auto& [address, contact] : this->balancers) {
        if (contact.avoidUntil <= now) {
            ranked.emplace_back(hashPair(address.packed(), this->own.address.packed()), address);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<Address> result;
    const size_t wanted = this->agreedSince ? sponsorCount : strangerSponsors;
    for (size_t place = 0; place < std::min(ranked.size(), wanted); ++place) {
        result.push_back(ranked[place].second);
    }
    return result;
}

void PeerSystem::announce(TimePoint now, Address balancer, Revision haveRevision, Actions& actions)
{
    const auto contact = this->balancers.find(balancer);
    if (contact == this->balancers.end()) {
        return;
    }
    contact->second.sent = now;
    if (contact->second.unansweredSince == TimePoint {}) {
        contact->second.unansweredSince = now;
    }
    actions.push_back(SendMessage { balancer, Announce { this->own, haveRevision, digestRecords(this->everyone()) } });
}

void PeerSystem::tick(TimePoint now, Revision haveRevision, Actions& actions)
{
    this->revision = haveRevision;
    for (auto& [address, contact] : this->balancers) {
        if (contact.unansweredSince != TimePoint {} && now - contact.unansweredSince >= replyTimeout) {
            contact.avoidUntil = now + avoidTime;
            contact.unansweredSince = TimePoint {};
        }
    }
    for (Address sponsor : this->sponsors(now)) {
        if (this->isUrgent || now - this->balancers[sponsor].sent >= (this->agreedSince ? announcePeriod : strangerPeriod)) {
            this->announce(now, sponsor, haveRevision, actions);
        }
    }
    this->isUrgent = this->isUrgent && this->balancers.empty();
}

void PeerSystem::sendLoad(const LoadNews& load, Actions& actions)
{
    const std::vector<MemberRecord> targets = this->others();
    if (targets.empty()) {
        return;
    }
    auto next = std::find_if(targets.begin(), targets.end(), [this](const MemberRecord& record) { return record.address > this->nextLoadPeer; });
    for (size_t sent = 0; sent < std::min(loadFanOut, targets.size()); ++sent) {
        if (next == targets.end()) {
            next = targets.begin();
        }
        actions.push_back(SendMessage { next->address, load });
        this->nextLoadPeer = next->address;
        ++next;
    }
}

void PeerSystem::setSelf(MemberState state, uint16_t weight, uint16_t slots)
{
    if (this->own.state == state && this->own.weight == weight && this->own.slots == slots) {
        return;
    }
    this->own.state = state;
    this->own.weight = weight;
    this->own.slots = slots;
    this->own.version += 1;
    this->peers.merge(TimePoint {}, this->own);
    this->isUrgent = true;
}

void PeerSystem::leave(TimePoint now, Revision haveRevision, Actions& actions)
{
    this->own.version += 1;
    this->own.liveness = Liveness::Gone;
    for (Address sponsor : this->sponsors(now)) {
        this->announce(now, sponsor, haveRevision, actions);
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

std::vector<MemberRecord> PeerSystem::others() const
{
    std::vector<MemberRecord> records;
    for (const auto& [address, member] : this->peers.all()) {
        if (address != this->own.address && member.record.liveness != Liveness::Gone) {
            records.push_back(member.record);
        }
    }
    return records;
}

bool PeerSystem::isMinority(TimePoint now, Duration age) const
{
    const auto& all = this->peers.all();
    const auto left = std::count_if(all.begin(), all.end(), [](const auto& entry) { return entry.second.record.liveness != Liveness::Gone; });
    return this->countLost(now, age) >= static_cast<size_t>(left);
}

size_t PeerSystem::countLost(TimePoint now, Duration age) const
{
    const auto& all = this->peers.all();
    const auto lost = std::count_if(all.begin(), all.end(), [now, age](const auto& entry) {
        const Member& member = entry.second;
        // Those that said goodbye were not lost, and with those that had no upstream no flow was.
        const bool hadFlows = member.record.state != MemberState::Draining && member.record.state != MemberState::Vacant;
        return member.record.liveness == Liveness::Gone && hadFlows && now - member.changed < age;
    });
    return static_cast<size_t>(lost);
}

std::vector<MemberRecord> PeerSystem::everyone() const
{
    std::vector<MemberRecord> records = this->others();
    records.push_back(this->own);
    return records;
}

} // namespace lavender
