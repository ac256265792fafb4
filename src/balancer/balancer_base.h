/** @file balancer_base.h One balancer: forwards packets, follows the configuration, keeps membership. */
#pragma once

#include "balancer/opening_tracker.h"
#include "config/follower_base.h"
#include "core/action_type.h"
#include "core/counter_type.h"
#include "core/metrics_func.h"
#include "core/random_base.h"
#include "member/gossip_base.h"
#include "packet/segment_base.h"
#include "steer/steering_base.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace lavender {

/** What a balancer is told at its start. */
struct BalancerSettings {
    Address address; ///< Where it listens.
    std::string zone; ///< Its availability zone.
    uint64_t incarnation = 1; ///< Higher than that of any earlier process at this address.
};

/** A balancer's decisions. No flow depends on anything that is kept here. */
class Balancer {
public:
    Balancer(const BalancerSettings& settings, std::unique_ptr<Steering> steering, Random& random);

    /** Makes the balancer carry opaque packets: openings are followed, and refused where nobody can take them. */
    void carryPackets(const SegmentCodec& codec, EventSink& events);

    /** Handles one message from the network. */
    void onMessage(TimePoint now, const Message& message, Actions& actions);

    /** Handles a packet of a caller. */
    void onPacket(TimePoint now, const FlowPacket& packet, Actions& actions) { this->handle(now, packet, actions); }

    /** Rules that the store holds. @param readAt Revision of the store at that time; 0 where it does not say. */
    absl::Status onConfiguration(TimePoint now, Revision revision, Revision readAt, std::string_view rules);

    /** A snapshot that was fetched. */
    void onSnapshot(TimePoint now, const Snapshot& snapshot);

    /** Balancers that the store's leases or the settings name. */
    void onSeeds(TimePoint now, std::span<const Address> seeds, Actions& actions);

    /** Runs every system once. */
    void tick(TimePoint now, Actions& actions);

    /** Leaves the fleet; packets that still come are forwarded all the same. */
    void beginStop(TimePoint now, Actions& actions);

    /** What a process that asks for a snapshot is given. */
    Snapshot makeSnapshot(const SnapshotAsk& ask) const;

    /** True where packets can be forwarded: rules are in force and an upstream is known. */
    bool isServing() const;

    /** True where this balancer is one of those of its zone that watch the store. */
    bool isWatcher() const;

    MetricsView metrics() const;

    /** State of the process as JSON. */
    std::string status(TimePoint now, uint64_t droppedDatagrams) const;

    const ConfigurationFollower& configuration() const { return this->follower; }
    const GossipSystem& gossip() const { return this->members; }
    const Counters& counters() const { return this->count; }

private:
    void handle(TimePoint now, const FlowPacket& packet, Actions& actions);
    void handle(TimePoint now, const Announce& announce, Actions& actions);
    void handle(TimePoint now, const Gossip& gossip, Actions& actions);
    void noteRevision(TimePoint now, Address peer, Revision revision, Actions& actions);
    void refuseOpenings(TimePoint now, Actions& actions);
    void refuse(TimePoint now, const FlowPacket& packet, std::string_view reason, Actions& actions);
    void refreshTables(TimePoint now);
    void beginServing(TimePoint now, Actions& actions);
    void tellAgents(Actions& actions);
    void nudge(Address agent, Actions& actions) const;

    BalancerSettings settings;
    std::unique_ptr<Steering> steering;
    Counters count;
    GossipSystem members;
    ConfigurationFollower follower;
    Revision tablesRevision = 0; ///< Revision that the bucket tables stand for.
    TimePoint nextFetch {};
    TimePoint nextSeeds {};
    bool mustFetchWhole = false; ///< The last patch of the rules did not fit.
    uint32_t replies = 0; ///< To announcements.
    const SegmentCodec* codec = nullptr; ///< Of opaque packets; null where flows carry the project's own exchanges.
    EventSink* events = nullptr; ///< Set with the codec.
    std::unique_ptr<OpeningTracker> openings; ///< Set with the codec.
    std::vector<std::pair<TimePoint, FlowPacket>> held; ///< Opening packets that came before that, and when.
    TimePoint servingSince {}; ///< First moment with rules and agents.
    Revision toldRevision = 0; ///< Revision that the watched agents were told of.
};

} // namespace lavender
