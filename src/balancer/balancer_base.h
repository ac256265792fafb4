/** @file balancer_base.h The balancer: forwards packets to agents, follows the configuration and takes part in the membership. */
#pragma once

#include "balancer/opening_tracker.h"
#include "balancer/peer_lists.h"
#include "balancer/readiness_gate.h"
#include "balancer/split_traffic.h"
#include "config/follower_base.h"
#include "config/stored_rules.h"
#include "core/action_type.h"
#include "core/counter_type.h"
#include "core/metrics_func.h"
#include "core/random_base.h"
#include "member/gossip_base.h"
#include "member/roster.h"
#include "packet/segment_base.h"
#include "steer/route_history.h"
#include "steer/steering_base.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lavender {

/** Settings of one balancer process. */
struct BalancerSettings {
    Address address; ///< Where the balancer listens for messages of other processes; identifies it as a member.
    std::string zone; ///< Availability zone of the balancer.
    uint64_t incarnation = 1; ///< Must be higher than that of every earlier process at this address.
};

/**
 * Decides what a balancer does: takes packets and messages, and returns actions for the process to perform.
 *
 * An open flow never depends on state that is kept here, so a balancer can be lost or replaced at any time.
 */
class Balancer {
public:
    Balancer(const BalancerSettings& settings, std::unique_ptr<Steering> steering, Random& random);

    /**
     * Switches to flows of opaque packets: the balancer finds an agent for each opening packet, and refuses those that
     * no agent accepts. Both arguments must outlive the balancer.
     */
    void enableOpaquePackets(const SegmentCodec& codec, EventSink& events);

    /** Switches outlier detection on or off; without opaque packets it has no effect. */
    void configureOutliers(const OutlierSettings& settings);

    /** Handles a message of another process; unexpected kinds are ignored. */
    void onMessage(TimePoint now, const Message& message, Actions& actions);

    /** Forwards a caller's packet. @param waited Longest time that the packet may have waited in this process. */
    void onCallerPacket(TimePoint now, const FlowPacket& packet, Actions& actions, Duration waited = {}) { this->handle(now, packet, waited, actions); }

    /**
     * Takes the rules as read from the store.
     * @return The result of ConfigurationFollower::applyIfNewer; FailedPrecondition if StoredRulesFilter does not let them through.
     */
    absl::Status onConfiguration(TimePoint now, const StoredRules& stored);

    /** Takes the answer to a FetchSnapshot action: members, and rules if they are newer. */
    void onSnapshot(TimePoint now, const Snapshot& snapshot);

    /** Contacts balancers that the store lists under a lease or that the settings name. */
    void onSeeds(TimePoint now, std::span<const Address> seeds, Actions& actions);

    /** Performs what is due: gossip, table updates, and timeouts of offers. Call it regularly. */
    void tick(TimePoint now, Actions& actions);

    /** Tells the other balancers that this one leaves; it still forwards packets that arrive. */
    void beginStop(TimePoint now, Actions& actions);

    /** The snapshot for a process that asks for one. */
    Snapshot makeSnapshot(const SnapshotRequest& request) const;

    /**
     * Takes the time that packets now wait for the link. Only a balancer that knows its link's rate calls this.
     * Call it regularly: it decides whether the balancer is ready.
     */
    void onBacklog(TimePoint now, Duration backlog);

    /** True if routers should deliver packets here: the balancer serves, and is not short of link. */
    bool isReady() const { return this->isServing() && this->readiness.isReady(); }

    /** True if rules are in force and at least one agent is eligible for new flows, so packets can be forwarded. */
    bool isServing() const;

    /** True if this balancer is one of those of its zone that watch the store. */
    bool isWatcher() const;

    /** True if this balancer is to keep the roster in the store: it ranks first of all. */
    bool isRosterKeeper() const;

    /** The agents that may hold flows. @param earlier The roster that this one is to replace. */
    Roster makeRoster(TimePoint now, const Roster& earlier) const;

    /** Counters, gauges and histograms for the metrics page. */
    MetricsView metrics() const;

    /** State of the process as a JSON object. @param droppedDatagrams Datagrams that the process has dropped so far. */
    std::string status(TimePoint now, uint64_t droppedDatagrams) const;

    const ConfigurationFollower& configuration() const { return this->follower; }
    const GossipSystem& gossip() const { return this->members; }
    const Counters& counters() const { return this->count; }
    Counters& counters() { return this->count; }

private:
    void handle(TimePoint now, const FlowPacket& packet, Duration waited, Actions& actions);
    void handle(TimePoint now, const Announce& announce, Actions& actions);
    void handle(TimePoint now, const Gossip& gossip, Actions& actions);
    void handle(TimePoint now, const OpeningOutcome& outcome, Actions& actions);
    void updateRoutes(TimePoint now);
    std::vector<uint64_t> servicesFor(TimePoint now, const FlowPacket& packet) const;
    bool selectAgents(TimePoint now, ForwardedPacket& forwarded);
    void fetchNewerRules(TimePoint now, Address peer, const Revision& revision, Actions& actions);
    void handleRefusedOpenings(TimePoint now, Actions& actions);
    void refuseIfOpening(TimePoint now, const FlowPacket& packet, std::string_view reason, bool mayBeAccepted, Duration age, Actions& actions);
    void refreshTables(TimePoint now);
    void beginServing(TimePoint now, Actions& actions);
    void requestAnnouncesForNewRevision(Actions& actions);
    void requestAnnounce(Address agent, Actions& actions) const;

    BalancerSettings settings;
    std::unique_ptr<Steering> steering;
    Counters count;
    ReadinessGate readiness;
    std::optional<Duration> backlog; ///< Last value of onBacklog(); none if the rate of the link is not known.
    GossipSystem members; ///< All known balancers and agents.
    PeerLists peerLists; ///< What agents were told of other agents.
    ConfigurationFollower follower; ///< The rules in force.
    StoredRulesFilter storedRules;
    RouteHistory routeHistory; ///< The services of each route, now and before.
    SplitTraffic splitTraffic;
    Revision tablesRevision; ///< Revision of the rules that the bucket tables were built with.
    TimePoint nextFetch {}; ///< No snapshot is fetched before this time.
    TimePoint nextSeeds {}; ///< Seeds are ignored before this time.
    bool needsFullRules = false; ///< The last patch of the rules did not apply; the next fetch asks for the whole rules.
    uint32_t announceReplies = 0; ///< Replies to announcements so far; selects those that carry the list of balancers.
    const SegmentCodec* codec = nullptr; ///< Codec of opaque packets; null if flows carry the project's own exchanges.
    EventSink* events = nullptr; ///< Null without a codec.
    std::unique_ptr<OpeningTracker> openingTracker; ///< Null without a codec.
    std::vector<std::pair<TimePoint, FlowPacket>> heldOpenings; ///< Opening packets that arrived before servingSince, with the times after which they arrived.
    TimePoint servingSince {}; ///< When rules and an eligible agent were first known; zero before.
    Revision announceRequestRevision; ///< Revision of the rules for which the watched agents were last asked for an announcement.
};

} // namespace lavender
