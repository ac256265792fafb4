/** @file gossip_watch.cpp Heartbeats of agents, watched by the balancers that receive them or by one that adopts the agent. */
#include "member/gossip_base.h"

#include "core/hash_func.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration announceRequestDelay = 1500ms; ///< An agent silent for this long is asked to announce itself.
    constexpr Duration heartbeatTimeout = 3s; ///< An agent silent for this long becomes suspect.

} // namespace

void GossipSystem::onHeartbeat(TimePoint now, Address agent)
{
    this->heartbeats[agent] = now;
}

void GossipSystem::checkHeartbeats(TimePoint now, Actions& actions)
{
    std::vector<Address> silent;
    for (const auto& [agent, heard] : this->heartbeats) {
        const Member* member = this->members.find(agent);
        if (member == nullptr || member->record.liveness != Liveness::Alive) {
            continue;
        }
        if (now - heard >= heartbeatTimeout) {
            silent.push_back(agent);
        } else if (now - heard >= announceRequestDelay) {
            const MemberRecord& record = member->record;
            actions.push_back(SendMessage {
                agent,
                AnnounceReply {
                    .balancer = this->own.address,
                    .knownIncarnation = record.incarnation,
                    .knownVersion = record.version,
                    .isAnnounceRequest = true,
                },
            });
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
 * Watches alive agents for which this balancer ranks first by rendezvous hashing among the balancers of the agent's zone, or
 * among all balancers if the zone has none. Without this an agent that no balancer watches, as in a zone that was lost as a
 * whole, would stay alive in the tables forever.
 */
void GossipSystem::adoptUnwatchedAgents(TimePoint now)
{
    std::map<std::string, std::vector<Address>, std::less<>> byZone;
    std::vector<Address> everyone = this->balancers("");
    everyone.push_back(this->own.address);
    for (Address balancer : everyone) {
        byZone[this->members.find(balancer)->record.zone].push_back(balancer);
    }
    for (const auto& [known, member] : this->members.all()) {
        const Address address = known;
        if (member.record.role != MemberRole::Agent || member.record.liveness != Liveness::Alive
            || this->heartbeats.contains(address)) {
            continue;
        }
        const auto zone = byZone.find(member.record.zone);
        const std::vector<Address>& candidates = zone == byZone.end() ? everyone : zone->second;
        const uint64_t rank = hashPair(this->own.address.packed(), address.packed());
        const bool ranksFirst = std::find(candidates.begin(), candidates.end(), this->own.address) != candidates.end()
            && std::all_of(candidates.begin(), candidates.end(), [&](Address candidate) {
                   return hashPair(candidate.packed(), address.packed()) <= rank;
               });
        if (ranksFirst) {
            this->heartbeats[address] = now;
        }
    }
}

/** Sends each disputed claim to the agent that it is about, which answers with a higher version if it is alive. */
void GossipSystem::requestRefutations(Actions& actions)
{
    for (const auto& [agent, claim] : std::exchange(this->disputedClaims, {})) {
        actions.push_back(SendMessage {
            agent,
            AnnounceReply {
                .balancer = this->own.address,
                .knownIncarnation = claim.incarnation,
                .knownVersion = claim.version,
                .knownLiveness = claim.liveness,
                .isAnnounceRequest = true,
            },
        });
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

bool GossipSystem::wasRecentlyHeard(TimePoint now, Address agent) const
{
    const auto heard = this->heartbeats.find(agent);
    return heard != this->heartbeats.end() && now - heard->second < announceRequestDelay;
}

} // namespace lavender
