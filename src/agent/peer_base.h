/** @file peer_base.h An agent's view of the other agents of its service and of the balancers. */
#pragma once

#include "core/action_type.h"
#include "core/random_base.h"
#include "member/member_table.h"
#include "steer/bucket_table.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lavender {

/** The load that another agent last reported. */
struct PeerLoad {
    uint32_t openFlows = 0; ///< Flows that it owns.
    uint16_t inFlight = 0; ///< Requests at its upstream or queued.
    uint16_t limit = 0; ///< Requests that it admits at once.
    TimePoint receivedAt {}; ///< When the report arrived.
};

/** Announces this agent to balancers, and keeps the member records and load reports of the other agents. */
class PeerSystem {
public:
    PeerSystem(MemberRecord self, Random& random);

    /** Adds balancers that this agent may announce itself to; those beyond a fixed limit are ignored. */
    void addBalancers(std::span<const Address> balancers);
    /** Handles a balancer's reply to an announcement, or its request for one. */
    void onReply(TimePoint now, const AnnounceReply& reply, Actions& actions);
    /** Stores another agent's load. */
    void onLoadReport(TimePoint now, const LoadReport& report);
    /** Merges a member record; refutes one of this agent that is newer than its own. */
    void mergeRecord(TimePoint now, const MemberRecord& record);

    /** Sends the announcements that are due, and stops using balancers that do not reply. */
    void tick(TimePoint now, const Revision& revision, Actions& actions);

    /** Sends the load to some of the other agents, round robin. */
    void sendLoad(const LoadReport& load, Actions& actions);

    /** Changes the agent's own record; a change is announced at the next tick. */
    void setSelf(MemberState state, uint16_t weight, uint16_t slots);

    /** Announces that this agent is gone. Later ticks announce it again, as long as the process runs. */
    void leave(TimePoint now, const Revision& revision, Actions& actions);

    const MemberRecord& self() const { return this->own; }
    /** Agents of the service, with this one and those that are gone. */
    const MemberTable& table() const { return this->peers; }
    /** Record of an agent of the service; null if it is unknown. */
    const MemberRecord* find(Address peer) const;
    /** Last reported load of another agent; none if it has not reported any. */
    std::optional<PeerLoad> load(Address peer) const;

    /** All agents of the service that are not gone, without this one. */
    std::vector<MemberRecord> otherAgents() const;
    /** All agents of the service that are not gone, with this one. */
    std::vector<MemberRecord> allAgents() const;
    /** When a balancer first confirmed that this agent's view of its service is complete; none before that. */
    std::optional<TimePoint> synchronizedSince() const { return this->firstSynchronized; }
    /** When a balancer last confirmed that the view is complete; zero before the first time. */
    TimePoint lastSynchronizedAt() const { return this->lastSynchronized; }
    /** Announces at the next tick; the balancers reply with the records that are missing here. */
    void announceSoon() { this->isAnnounceDue = true; }
    /**
     * True if at least as many agents of the service were lost within @p age as are left, as on the smaller side of a
     * network partition.
     */
    bool isLikelyMinority(TimePoint now, Duration age) const;
    /** True if an agent of the service was lost within @p age without announcing that it leaves. */
    bool hasRecentlyLostAgents(TimePoint now, Duration age) const { return this->countRecentlyLost(now, age) > 0; }
    /** Number of changes to the member records so far. */
    uint64_t changeCount() const { return this->peers.changeCount(); }

private:
    /** Announcements to one balancer. */
    struct BalancerContact {
        TimePoint sent {}; ///< When the latest announcement was sent.
        TimePoint unansweredSince {}; ///< When the first announcement without a reply was sent; zero if all have one.
        TimePoint avoidUntil {}; ///< Nothing is announced to this balancer before this.
    };

    /** Agents that became gone within @p age while they may have owned flows. */
    size_t countRecentlyLost(TimePoint now, Duration age) const;
    void announce(TimePoint now, Address balancer, const Revision& revision, Actions& actions);
    bool isAnnouncingUrgently() const;
    /** Balancers to announce to, chosen by rendezvous hashing. */
    std::vector<Address> announceTargets(TimePoint now) const;

    MemberRecord own; ///< Record of this agent.
    Random& random;
    MemberTable peers; ///< Agents of the service, with this one.
    std::map<Address, BalancerContact> balancers;
    std::map<Address, PeerLoad> loads; ///< Last load by agent.
    bool isAnnounceDue = true; ///< Announce at the next tick.
    std::optional<TimePoint> firstSynchronized; ///< When a balancer first confirmed that the view is complete.
    TimePoint lastSynchronized {}; ///< When a balancer last confirmed that the view is complete.
    Address lastLoadPeer; ///< Agent that the load was last sent to; the next one in address order follows.
    Revision revision; ///< Revision of the rules held by this agent, at the last tick.
};

} // namespace lavender
