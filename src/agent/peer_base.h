/** @file peer_base.h What an agent knows of the other agents of its service and of the balancers. */
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

/** What a peer said of its load and when that came. */
struct PeerLoad {
    uint32_t openFlows = 0;
    uint16_t inFlight = 0;
    uint16_t limit = 0;
    TimePoint heard {};
};

/** Announces this agent to balancers and keeps what they and the peers tell. */
class PeerSystem {
public:
    PeerSystem(MemberRecord self, Random& random);

    void addBalancers(std::span<const Address> balancers);
    void onReply(TimePoint now, const AnnounceReply& reply, Actions& actions);
    void onLoadNews(TimePoint now, const LoadNews& news);
    void learn(TimePoint now, const MemberRecord& record);

    /** Renews announcements that are due. */
    void tick(TimePoint now, Revision revision, Actions& actions);

    /** Sends the load to some peers, in turn. */
    void sendLoad(const LoadNews& load, Actions& actions);

    /** Changes what the agent says of itself; a change is announced at once. */
    void setSelf(MemberState state, uint16_t weight, uint16_t slots);

    /** Says that this agent is gone. */
    void leave(TimePoint now, Revision revision, Actions& actions);

    const MemberRecord& self() const { return this->own; }
    const MemberRecord* find(Address peer) const;
    std::optional<PeerLoad> load(Address peer) const;

    /** All agents of the service but this one that are not gone. */
    std::vector<MemberRecord> others() const;
    /** The same and this one. */
    std::vector<MemberRecord> everyone() const;
    /** When a balancer first agreed that nothing is missing here; none where that has not come yet. */
    std::optional<TimePoint> synchronizedSince() const { return this->agreedSince; }
    /** When a balancer last agreed so. */
    TimePoint agreedAt() const { return this->lastAgreed; }
    /** Announces at the next tick, and so asks whether anything is missing here. */
    void askForNews() { this->isUrgent = true; }
    /** True where at least as many agents of the service were lost within @p age as are left: a cut network looks like that. */
    bool isMinority(TimePoint now, Duration age) const;
    /** True where an agent of the service was lost within @p age without a goodbye. */
    bool hasLost(TimePoint now, Duration age) const { return this->countLost(now, age) > 0; }
    uint64_t changeCount() const { return this->peers.changeCount(); }

private:
    struct BalancerContact {
        TimePoint sent {};
        TimePoint unansweredSince {}; ///< Of the first announcement without an answer; zero where there is none.
        TimePoint avoidUntil {};
    };

    size_t countLost(TimePoint now, Duration age) const;
    void announce(TimePoint now, Address balancer, Revision revision, Actions& actions);
    std::vector<Address> sponsors(TimePoint now) const;

    MemberRecord own;
    Random& random;
    MemberTable peers;
    std::map<Address, BalancerContact> balancers;
    std::map<Address, PeerLoad> loads;
    bool isUrgent = true; ///< Announce at the next tick.
    std::optional<TimePoint> agreedSince;
    TimePoint lastAgreed {};
    Address nextLoadPeer;
    Revision revision = 0;
};

} // namespace lavender
