/** @file gossip_watch.cpp Agents: each is watched by the balancers that it announces itself to, or by one that nobody else does. */
#include "member/gossip_base.h"

#include "core/hash_func.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration heartbeatNudge = 1500ms; ///< An agent silent for this long is asked to announce itself.
    constexpr Duration heartbeatTimeout = 3s;

} // namespace

void GossipSystem::onHeartbeat(TimePoint now, Address agent)
{
    this->heartbeats[agent] = now;
}

void GossipSystem::checkAgents(TimePoint now, Actions& actions)
{
    std::vector<Address> silent;
    for (const auto& [agent, heard] : this->heartbeats) {
        const Member* member = this->members.find(agent);
        if (member == nullptr || member->record.liveness != Liveness::Alive) {
            continue;
        }
        if (now - heard >= heartbeatTimeout) {
            silent.push_back(agent);
        } else if (now - heard >= heartbeatNudge) {
            const MemberRecord& record = member->record;
            actions.push_back(SendMessage { agent, AnnounceReply { .balancer = this->own.address, .knownIncarnation = record.incarnation, .knownVersion = record.version, .isNudge = true } });
        }
    }
    for (Address agent : silent) {
        this->heartbeats.erase(agent);
        MemberRecord record = this->members.find(agent)->record;
        record.liveness = Liveness::Suspect;
        this->apply(now, record);
        this->counters.add(Counter::MembersSuspected);
    }
}

/**
 * Watches agents that nobody may watch: those for which this balancer ranks first among the balancers of their zone, or
 * among all where the zone has lost its balancers. Without it the agents of a lost zone would stay alive for ever.
 */
void GossipSystem::adoptAgents(TimePoint now)
{
    std::map<std::string, std::vector<Address>, std::less<>> byZone;
    std::vector<Address> everyone = this->balancers("");
    everyone.push_back(this->own.address);
    for (Address balancer : everyone) {
        byZone[this->members.find(balancer)->record.zone].push_back(balancer);
    }
    for (const auto& [known, member] : this->members.all()) {
        const Address address = known;
        if (member.record.role != MemberRole::Agent || member.record.liveness != Liveness::Alive || this->heartbeats.contains(address)) {
            continue;
        }
        const auto zone = byZone.find(member.record.zone);
        const std::vector<Address>& rivals = zone == byZone.end() ? everyone : zone->second;
        const uint64_t rank = hashPair(this->own.address.packed(), address.packed());
        const bool isMine = std::find(rivals.begin(), rivals.end(), this->own.address) != rivals.end()
            && std::all_of(rivals.begin(), rivals.end(), [&](Address rival) { return hashPair(rival.packed(), address.packed()) <= rank; });
        if (isMine) {
            this->heartbeats[address] = now;
        }
    }
}

void GossipSystem::askDisputed(Actions& actions)
{
    for (const auto& [agent, claim] : std::exchange(this->disputed, {})) {
        actions.push_back(SendMessage { agent, AnnounceReply { .balancer = this->own.address, .knownIncarnation = claim.incarnation, .knownVersion = claim.version, .knownLiveness = claim.liveness, .isNudge = true } });
    }
}

std::vector<Address> GossipSystem::watchedAgents() const
{
    std::vector<Address> agents;
    for (const auto& [agent, heard] : this->heartbeats) {
        agents.push_back(agent);
    }
    return agents;
}

bool GossipSystem::wasJustHeard(TimePoint now, Address agent) const
{
    const auto heard = this->heartbeats.find(agent);
    return heard != this->heartbeats.end() && now - heard->second < heartbeatNudge;
}

} // namespace lavender
