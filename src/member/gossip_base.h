/** @file gossip_base.h Membership among balancers: probes, suspicion and the spread of changes. */
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
 * Keeps one balancer's member table in step with those of the others.
 *
 * Each period it probes one random balancer; probe and answer carry the latest changes. What a node sends depends on
 * the rate of changes, not on the size of the fleet.
 */
class GossipSystem {
public:
    GossipSystem(MemberRecord self, Random& random, Counters& counters);

    /** Where changes of belief are noted; nowhere without it. */
    void noteTo(EventSink& sink) { this->events = &sink; }

    /** Balancers to ask first; known ones are passed over. */
    void addSeeds(std::span<const Address> seeds, Revision revision, Actions& actions);

    /** Takes a record from an agent, a snapshot or gossip and spreads it if it is new. @return True where it was. */
    bool learn(TimePoint now, const MemberRecord& record);

    /** Takes records from a snapshot; the others have them already, so they are not spread. */
    void absorb(TimePoint now, std::span<const MemberRecord> records);

    /** Services whose agents changed since the last call. */
    std::set<std::string> takeChangedServices() { return this->members.takeChangedServices(); }

    /** Probes, times out, spreads. */
    void tick(TimePoint now, Revision revision, Actions& actions);

    void onGossip(TimePoint now, const Gossip& gossip, Revision revision, Actions& actions);
    void onDigestExchange(TimePoint now, const DigestExchange& exchange, Actions& actions);

    /** An agent's announcement arrived: this balancer watches the agent from now on. */
    void onHeartbeat(TimePoint now, Address agent);

    /** Agents that this balancer watches. */
    std::vector<Address> watchedAgents() const;

    /** Says goodbye: the others stop counting on this balancer. */
    void leave(TimePoint now, Revision revision, Actions& actions);

    const MemberTable& table() const { return this->members; }
    const MemberRecord& self() const { return this->own; }

    /** Alive balancers other than this one, of one zone or of all where @p zone is empty. */
    std::vector<Address> balancers(std::string_view zone) const;

private:
    struct Probe {
        uint32_t sequence = 0;
        TimePoint sent {};
        int tries = 0;
    };

    struct Spread {
        int remaining = 0; ///< Messages that will still carry the record.
    };

    bool apply(TimePoint now, const MemberRecord& record);
    void refute(TimePoint now, const MemberRecord& record);
    std::vector<MemberRecord> takeRecords();
    void sendProbe(TimePoint now, Address peer, Revision revision, Actions& actions);
    void checkProbes(TimePoint now, Revision revision, Actions& actions);
    void forgivePause(TimePoint now);
    void checkSuspects(TimePoint now);
    void checkAgents(TimePoint now, Actions& actions);
    void adoptAgents(TimePoint now);
    void askGone(TimePoint now, Revision revision, Actions& actions);
    void askDisputed(Actions& actions);
    bool wasJustHeard(TimePoint now, Address agent) const;
    void compareDigest(TimePoint now, const Gossip& gossip, Actions& actions);

    MemberRecord own;
    Random& random;
    Counters& counters;
    EventSink* events = nullptr;
    MemberTable members;
    std::map<Address, Spread> spreading;
    std::map<Address, Probe> probes;
    std::map<Address, TimePoint> heartbeats; ///< Agents watched here and when they were last heard.
    std::map<Address, MemberRecord> disputed; ///< Agents heard here that others hold suspect or gone, as those say.
    TimePoint nextRejoin {};
    uint32_t nextSequence = 1;
    TimePoint lastTick {};
    TimePoint judgeAfter {}; ///< No suspect is declared gone before this.
    TimePoint nextProbe {};
    Revision toldRevision = 0; ///< Carried by the latest probes.
    TimePoint nextAdoption {};
    TimePoint nextComparison {};
};

} // namespace lavender
