/** @file agent_base.h One agent: owns the flows of its upstream, places new ones, finds those of others. */
#pragma once

#include "agent/flow_base.h"
#include "agent/peer_base.h"
#include "agent/request_base.h"
#include "config/follower_base.h"
#include "core/action_type.h"
#include "core/counter_type.h"
#include "core/metrics_func.h"
#include "core/random_base.h"
#include "steer/bucket_table.h"

#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

namespace lavender {

/** What an agent is told at its start. */
struct AgentSettings {
    Address address; ///< Where it listens.
    std::string zone; ///< Its availability zone.
    std::string service; ///< Service of its upstream.
    uint64_t incarnation = 1; ///< Higher than that of any earlier process at this address.
    uint16_t slots = 1; ///< Requests that the upstream runs at once.
    bool isChaining = true; ///< False: the naive version, which knows only its own flows.
};

/** What the upstream's health endpoint said. It may be late or wrong. */
struct UpstreamHealth {
    bool isReachable = false;
    bool isDraining = false; ///< The upstream is about to leave.
    uint64_t incarnation = 0; ///< Changes when the upstream starts anew; 0 where it does not say.
};

/** An agent's decisions. */
class Agent {
public:
    Agent(const AgentSettings& settings, Random& random);

    /** Handles one message from the network. */
    void onMessage(TimePoint now, const Message& message, Actions& actions);

    /** An exchange with the upstream ended. */
    void onUpstreamResult(TimePoint now, const UpstreamResult& result, Actions& actions);

    /** The health endpoint was read. */
    void onUpstreamHealth(TimePoint now, const UpstreamHealth& health);

    /** A snapshot that was fetched. */
    void onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions);

    /** Balancers that the store's leases or the settings name. */
    void onSeeds(std::span<const Address> seeds) { this->peers.addBalancers(seeds); }

    /** Runs every system once. */
    void tick(TimePoint now, Actions& actions);

    /** Begins to leave: no new flow, no new work, flows move to other agents. */
    void beginStop() { this->isStopping = true; }

    /** True once nothing is left to finish. */
    bool isDrained() const { return this->isStopping && this->flows.empty() && this->requests.inFlight() == 0; }

    /** Says farewell to the balancers; the last thing before the process ends. */
    void leave(TimePoint now, Actions& actions) { this->peers.leave(now, this->follower.revision(), actions); }

    MetricsView metrics() const { return { .counters = &this->count, .gauges = { { "flows", this->flows.size() }, { "requests_in_flight", this->requests.inFlight() } } }; }
    std::string status(TimePoint now, uint64_t droppedDatagrams) const;

    const Counters& counters() const { return this->count; }
    const FlowTable& flowTable() const { return this->flows; }
    const RequestSystem& requestSystem() const { return this->requests; }
    const ConfigurationFollower& configuration() const { return this->follower; }
    const MemberRecord& self() const { return this->peers.self(); }

private:
    /** A flow that is searched for among the agents of the service. */
    struct Search {
        ForwardedPacket packet; ///< Latest packet of the flow; sent on when the owner is found.
        std::set<Address> waiting; ///< Agents that have not answered.
        int round = 1; ///< Everyone is asked twice before the flow counts as lost.
        int redirections = 0; ///< Agents that named another one.
        TimePoint begun {};
        TimePoint asked {};
    };

    // agent.cpp
    void handle(TimePoint now, const AnnounceReply& reply, Actions& actions);
    void noteRevision(TimePoint now, Address balancer, Revision revision, Actions& actions);
    void applyConfiguration(TimePoint now, Actions& actions);
    void refreshSelf(TimePoint now);
    void refreshTable();
    bool isLeaving() const;
    /** True while flows move to other agents and no work begins here. */
    bool isHandingOff() const { return this->isUpstreamDown || this->isLeaving(); }
    bool isZoneOut() const { return this->follower.current().isZoneOut(this->settings.zone); }
    void giveUpFlows(TimePoint now, Actions& actions);
    void repeatNotices(TimePoint now, Actions& actions);
    void sendLoad(TimePoint now, Actions& actions);
    void expireFlows(TimePoint now);

    // agent_route.cpp
    void handle(TimePoint now, const ForwardedPacket& received, Actions& actions);
    void handleUnchained(TimePoint now, const FlowPacket& packet, Actions& actions);
    void handleOpening(TimePoint now, ForwardedPacket& forwarded, Actions& actions);
    void placeOpening(TimePoint now, ForwardedPacket& forwarded, Actions& actions);
    void deliver(TimePoint now, Flow& flow, const FlowPacket& packet, Actions& actions);
    void closeFlow(TimePoint now, Flow& flow, Actions& actions);
    void acceptFlow(TimePoint now, const FlowPacket& packet, Actions& actions);
    void forward(ForwardedPacket& forwarded, Address to, Actions& actions);
    bool forwardToNext(ForwardedPacket& forwarded, Actions& actions);
    void notify(const FlowKey& flow, const FlowNotice& notice, Actions& actions) const;
    bool canCarry() const;
    bool mayReceive(Address agent) const;
    bool isOverloadedAgainst(TimePoint now, Address other) const;
    void remember(TimePoint now, const FlowKey& flow, TraceKind kind, Address owner);

    // agent_search.cpp
    void beginSearch(TimePoint now, const ForwardedPacket& forwarded, Actions& actions);
    void tickSearches(TimePoint now, Actions& actions);
    void handle(const FlowQuery& query, Actions& actions);
    void handle(TimePoint now, const FlowQueryReply& reply, Actions& actions);
    bool maySayLost(TimePoint now) const;
    void askEveryone(TimePoint now, const FlowKey& flow, Search& search, Actions& actions);
    void askWaiting(TimePoint now, const FlowKey& flow, Search& search, Actions& actions);
    void finishSearch(TimePoint now, const FlowKey& flow, Actions& actions);

    // agent_move.cpp
    void moveFlows(TimePoint now, Actions& actions);
    void sendMove(TimePoint now, Flow& flow, Address target, Actions& actions);
    Address moveTarget(const FlowKey& flow) const;
    void handle(TimePoint now, const FlowMove& move, Actions& actions);
    void handle(TimePoint now, const FlowMoveReply& reply);

    AgentSettings settings;
    uint64_t serviceHash;
    Random& random;
    Counters count;
    FlowTable flows;
    TraceTable traces;
    RequestSystem requests;
    PeerSystem peers;
    ConfigurationFollower follower;
    BucketTable table; ///< Of the own service, as the balancers compute it.
    uint64_t tableAt = 0;
    Revision tableRevision = 0;
    std::unordered_map<FlowKey, Search> searches;
    double searchTokens = 0;
    TimePoint lastTick {};
    TimePoint nextFetch {};
    bool mustFetchWhole = false; ///< The last patch of the rules did not fit.
    TimePoint nextLoad {};
    TimePoint lastLoad {};
    TimePoint nextExpiry {};
    TimePoint lastAnnouncedChange {};
    TimePoint lastPacket {}; ///< Arrival of the latest packet of a flow.
    LoadNews sentLoad;
    uint64_t upstreamIncarnation = 0;
    bool isUpstreamDraining = false;
    bool isUpstreamDown = false;
    int missedHealth = 0; ///< Readings of the health endpoint in a row that got no answer.
    bool isStopping = false;
    bool wasZoneOut = false;
    std::vector<std::pair<FlowKey, FlowNotice>> notices; ///< Sent again a few times: their callers get no other news.
    int noticeRounds = 0;
    TimePoint nextNotice {};
};

} // namespace lavender
