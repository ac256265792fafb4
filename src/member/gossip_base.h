/** @file gossip_base.h SWIM-like membership protocol among balancers. */
#pragma once

#include "core/action_type.h"
#include "core/counter_type.h"
#include "core/event_base.h"
#include "core/random_base.h"
#include "member/member_table.h"

#include <map>
#include <span>
#include <vector>

namespace lavender {

/**
 * Keeps the member table of one balancer in step with those of the other balancers.
 *
 * Every probe period it probes one random balancer. Probes and their replies carry recent membership changes. The traffic
 * of a balancer depends on the rate of changes, not on the number of balancers.
 */
class GossipSystem {
public:
    GossipSystem(MemberRecord self, Random& random, Counters& counters);

    /** Sets where "member-changed" events are written; without it there are none. */
    void setEventSink(EventSink& sink) { this->events = &sink; }

    /** Contacts seed balancers that are unknown or gone in the table. */
    void addSeeds(std::span<const Address> seeds, const Revision& revision, Actions& actions);

    /**
     * Merges a record from an agent or from gossip and spreads it if it changes the table. Refutes a newer record of this
     * balancer itself.
     * @return True if the table took the record; always false for a record of this balancer.
     */
    bool mergeRecord(TimePoint now, const MemberRecord& record);

    /** Merges records from a snapshot. They are not spread, because the other balancers have them already. */
    void mergeSnapshot(TimePoint now, std::span<const MemberRecord> records);

    /** Returns the services whose agents changed since the last call. */
    std::set<std::string> takeChangedServices() { return this->members.takeChangedServices(); }

    /** Sends the probes and requests that are due and moves silent members to suspect and gone. */
    void tick(TimePoint now, const Revision& revision, Actions& actions);

    /** Handles a probe or the reply to one; merges its records and answers a probe. */
    void onGossip(TimePoint now, const Gossip& gossip, const Revision& revision, Actions& actions);
    /** Handles one message of a digest exchange: merges its records and sends those of buckets that differ. */
    void onDigestExchange(TimePoint now, const DigestExchange& exchange, Actions& actions);

    /** Handles the announcement of an agent: this balancer watches the agent from now on. */
    void onHeartbeat(TimePoint now, Address agent);

    /** Agents that this balancer watches for missing heartbeats. */
    std::vector<Address> watchedAgents() const;

    /** Marks this balancer as gone and tells some others, which spread it. */
    void leave(TimePoint now, const Revision& revision, Actions& actions);

    const MemberTable& table() const { return this->members; }
    const MemberRecord& self() const { return this->own; }

    /** Alive balancers other than this one, of one zone or, if @p zone is empty, of all zones. */
    std::vector<Address> balancers(std::string_view zone) const;

private:
    /** Probe of one balancer that has not been answered yet. */
    struct Probe {
        uint32_t sequence = 0;
        TimePoint sent {}; ///< Time of the latest attempt.
        int attempts = 0;
    };

    /** Changed record that is still sent to other balancers. */
    struct PendingUpdate {
        int remainingSends = 0; ///< Messages that will still carry the record.
    };

    /** Merges a record; schedules it for spreading if it changes the table. @return True if it did. */
    bool apply(TimePoint now, const MemberRecord& record);
    /** Raises the own version above that of a newer record about this balancer. */
    void refute(TimePoint now, const MemberRecord& record);
    /** Records for one datagram, those with the most sends left first; counts them as sent. */
    std::vector<MemberRecord> takePendingRecords();
    void sendProbe(TimePoint now, Address peer, const Revision& revision, Actions& actions);
    void checkProbes(TimePoint now, const Revision& revision, Actions& actions);
    void resetTimersAfterPause(TimePoint now);
    void expireSuspects(TimePoint now);
    void checkHeartbeats(TimePoint now, Actions& actions);
    void adoptUnwatchedAgents(TimePoint now);
    void contactGoneBalancer(TimePoint now, const Revision& revision, Actions& actions);
    void requestRefutations(Actions& actions);
    bool wasRecentlyHeard(TimePoint now, Address agent) const;
    /** Starts a digest exchange with the sender if the tables differ and none was started recently. */
    void startDigestExchange(TimePoint now, const Gossip& gossip, Actions& actions);

    MemberRecord own;
    Random& random;
    Counters& counters;
    EventSink* events = nullptr;
    MemberTable members;
    std::map<Address, PendingUpdate> pendingUpdates; ///< By address of the member that changed.
    std::map<Address, Probe> probes; ///< By address of the probed balancer.
    std::map<Address, TimePoint> heartbeats; ///< Time of the last heartbeat of each agent that this balancer watches.
    std::map<Address, MemberRecord> disputedClaims; ///< Suspect or gone records received about agents that were heard recently.
    TimePoint nextRejoin {}; ///< When a gone balancer is contacted next.
    uint32_t nextSequence = 1;
    TimePoint lastTick {};
    TimePoint suspectExpiryPausedUntil {}; ///< No suspect is declared gone before this time.
    TimePoint nextProbe {};
    Revision probedRevision; ///< Configuration revision that the latest probes carried.
    TimePoint nextAdoption {};
    TimePoint nextDigestExchange {};
};

} // namespace lavender
