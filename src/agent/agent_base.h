/** @file agent_base.h The agent beside one upstream: owns flows, places new flows and finds the owners of other flows. */
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

/** Settings of an agent, fixed at its start. */
struct AgentSettings {
    Address address; ///< Address that the agent listens on.
    std::string zone; ///< Availability zone of the agent.
    std::string service; ///< Name of the upstream's service.
    uint64_t incarnation = 1; ///< Higher than the incarnation of any earlier process at this address.
    uint16_t slots = 1; ///< Requests that the upstream can run at once.
    bool isChainingEnabled = true; ///< False: never forwards packets to other agents; only for comparison in replays.
};

/** One reading of the upstream's health endpoint. It may be out of date or wrong. */
struct UpstreamHealth {
    bool isReachable = false; ///< The endpoint answered.
    bool isDraining = false; ///< The upstream is about to stop.
    uint64_t incarnation = 0; ///< Changes at each restart of the upstream; 0 if the endpoint does not report it.
};

/**
 * Decision logic of an agent, without sockets and clocks: events and the time come in, and the resulting messages and
 * requests are appended to Actions.
 */
class Agent {
public:
    Agent(const AgentSettings& settings, Random& random);

    /** Handles one message from the network. */
    void onMessage(TimePoint now, const Message& message, Actions& actions);

    /** Handles the end of an exchange with the upstream. */
    void onUpstreamResult(TimePoint now, const UpstreamResult& result, Actions& actions);

    /** Handles one reading of the upstream's health endpoint. */
    void onUpstreamHealth(TimePoint now, const UpstreamHealth& health);

    /** Applies a snapshot of rules and members that was fetched from a balancer. */
    void onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions);

    /** Adds balancers named by the store's leases or the settings. */
    void onSeeds(std::span<const Address> seeds) { this->peers.addBalancers(seeds); }

    /** Runs periodic work: timeouts, retransmissions, searches, moves, load messages and announcements. */
    void tick(TimePoint now, Actions& actions);

    /** Starts draining: new flows and requests are not accepted any more, and flows move to other agents. */
    void beginStop() { this->isStopping = true; }

    /** True once the agent is stopping and has no flow and no request in flight. */
    bool isDrained() const { return this->isStopping && this->flows.empty() && this->requests.inFlight() == 0; }

    /** Announces to the balancers that this agent is gone; called last before the process ends. */
    void leave(TimePoint now, Actions& actions)
    {
        this->peers.leave(now, this->follower.revision(), actions);
        this->beginResendingEnds(now);
    }

    MetricsView metrics() const
    {
        return {
            .counters = &this->count,
            .gauges = {
                { "flows", this->flows.size() },
                { "requests_in_flight", this->requests.inFlight() },
            },
        };
    }
    /**
     * Status for operators, as JSON.
     * @param droppedDatagrams Datagrams that the process has dropped so far.
     */
    std::string status(TimePoint now, uint64_t droppedDatagrams) const;

    const Counters& counters() const { return this->count; }
    const FlowTable& flowTable() const { return this->flows; }
    const RequestSystem& requestSystem() const { return this->requests; }
    const ConfigurationFollower& configuration() const { return this->follower; }
    const MemberRecord& self() const { return this->peers.self(); }

private:
    /** A search for a flow's owner among all agents of the service. */
    struct Search {
        ForwardedPacket packet; ///< Latest packet of the flow; forwarded once the owner is found.
        std::set<Address> pending; ///< Agents that were queried in this round and have not replied.
        int round = 1; ///< 1 or 2: all agents are queried twice before the flow is declared lost.
        int redirects = 0; ///< Replies that named another agent as owner.
        bool mayDeclareLost = false; ///< A packet of the flow has visited all its candidates.
        TimePoint startedAt {}; ///< When the search began.
        TimePoint queriedAt {}; ///< When the pending agents were last queried.
    };

    /** A packet is on its way to another agent; the owner is to report to this agent. */
    struct Lookup {
        ForwardedPacket packet; ///< Latest packet of the flow; forwarded once a search finds the owner.
        TimePoint startedAt {}; ///< When the first packet was forwarded.
    };

    // agent.cpp
    void handle(TimePoint now, const AnnounceReply& reply, Actions& actions);
    /** Fetches the configuration from a balancer that has a later one. */
    void fetchNewerRules(TimePoint now, Address balancer, const Revision& revision, Actions& actions);
    void applyConfiguration(TimePoint now, Actions& actions);
    /** Updates the agent's own member record from the upstream's state and the admission limit. */
    void updateOwnRecord(TimePoint now);
    /** Rebuilds the bucket table after a change of the members or the rules. */
    void updateTable();
    /** True if the agent is stopping, its upstream is draining, or operators drain it. */
    bool isLeaving() const;
    /** True while flows move to other agents and no request is handed to the upstream. */
    bool isHandingOff() const { return this->isUpstreamDown || this->isLeaving(); }
    bool isZoneOut() const { return this->follower.current().isZoneOut(this->settings.zone); }
    /** Ends the flows while the agent's zone is out, apart from those that are moving, and notifies their callers. */
    void giveUpFlows(TimePoint now, Actions& actions);
    /** Begins to resend the notices of the flows that ended a short time ago; no packet reaches this agent any more that could be answered. */
    void beginResendingEnds(TimePoint now);
    void resendEnds(TimePoint now, Actions& actions);
    /** Sends the load to other agents if it has changed or is due again. */
    void sendLoad(TimePoint now, Actions& actions);
    void expireFlows(TimePoint now);

    // agent_route.cpp
    void handle(TimePoint now, const ForwardedPacket& received, Actions& actions);
    void handleWithoutChaining(TimePoint now, const FlowPacket& packet, Actions& actions);
    void handleOpening(TimePoint now, ForwardedPacket& forwarded, Actions& actions);
    /** Accepts an opening packet here or forwards it to the second choice, whichever is less loaded. */
    void placeOpening(TimePoint now, ForwardedPacket& forwarded, Actions& actions);
    /** Tells the caller that its flow is not accepted; a caller whose flow is open already ignores it. */
    void refuseOpening(const FlowKey& flow, Actions& actions);
    /** Processes a packet of a flow that this agent owns. */
    void deliver(TimePoint now, Flow& flow, const FlowPacket& packet, Actions& actions);
    void closeFlow(TimePoint now, Flow& flow, Actions& actions);
    void acceptFlow(TimePoint now, const FlowPacket& packet, Actions& actions);
    /** Forwards a packet to an agent; drops it at the hop limit. */
    void forward(ForwardedPacket& forwarded, Address to, Actions& actions);
    /** Forwards a packet to the first usable candidate that it has not visited. @return False if there is none. */
    bool forwardToNext(ForwardedPacket& forwarded, Actions& actions);
    void notify(const FlowKey& flow, const FlowNotice& notice, Actions& actions) const;
    /** Notifies the caller of an ended flow of its end and of the requests that may have run. */
    void notifyEnd(const FlowKey& flow, const ForeignFlow& tombstone, Actions& actions) const;
    /** True if this agent may take one more flow. */
    bool canAcceptFlow() const;
    /** False if another agent is known to be gone or in an availability zone that is out. */
    bool isUsableAgent(Address agent) const;
    bool isMoreLoadedThan(TimePoint now, Address other) const;
    /** Stores a pointer to a flow's owner, or a tombstone. */
    ForeignFlow& remember(TimePoint now, const FlowKey& flow, ForeignFlowKind kind, Address owner);

    // agent_lookup.cpp
    void beginLookup(TimePoint now, ForwardedPacket& forwarded);
    void reportToFirstAgent(const ForwardedPacket& forwarded, FlowQueryReply reply, Actions& actions) const;
    void handleLookupReport(TimePoint now, const FlowQueryReply& reply);
    /** Stores a pointer to an owner that has itself reported that it holds the flow. */
    void rememberConfirmed(TimePoint now, const FlowKey& flow, Address owner);
    void tickLookups(TimePoint now, Actions& actions);

    // agent_search.cpp
    /** True if the limits allow one more search now. */
    bool maySearch() const;
    void beginSearch(TimePoint now, const ForwardedPacket& forwarded, bool mayDeclareLost, Actions& actions);
    void tickSearches(TimePoint now, Actions& actions);
    void handle(const FlowQuery& query, Actions& actions);
    void handle(TimePoint now, const FlowQueryReply& reply, Actions& actions);
    bool canDeclareLost(TimePoint now) const;
    void queryAllAgents(TimePoint now, const FlowKey& flow, Search& search, Actions& actions);
    void queryPendingAgents(TimePoint now, const FlowKey& flow, Search& search, Actions& actions);
    /** Once all pending agents have replied, starts the second round or declares the flow lost. */
    void finishSearch(TimePoint now, const FlowKey& flow, Actions& actions);

    // agent_move.cpp
    void moveFlows(TimePoint now, Actions& actions);
    void sendMove(TimePoint now, Flow& flow, Address target, Actions& actions);
    /** Agent that the balancers will choose for a flow without this one; not valid if there is none. */
    Address moveTarget(const FlowKey& flow) const;
    void handle(TimePoint now, const FlowMove& move, Actions& actions);
    void handle(TimePoint now, const FlowMoveReply& reply);
    /** Drops a flow that another agent has taken, and keeps a pointer to that agent. */
    void completeMove(TimePoint now, const FlowKey& flow, Address owner, uint32_t moveCount);

    AgentSettings settings;
    uint64_t serviceHash;
    Random& random;
    Counters count;
    FlowTable flows;
    ForeignFlowTable foreignFlows; ///< Pointers and tombstones of flows that are not in flows.
    RequestSystem requests;
    PeerSystem peers;
    ConfigurationFollower follower;
    BucketTable table; ///< Bucket table of the agent's service, computed as the balancers do.
    uint64_t tableChangeCount = 0; ///< PeerSystem::changeCount() that the table was built from.
    Revision tableRevision; ///< Revision of the rules that the table was built from.
    std::unordered_map<FlowKey, Lookup> lookups; ///< Flows for which this agent is the first on a packet's way and awaits the owner's report.
    std::unordered_map<FlowKey, Search> searches;
    double searchTokens = 0; ///< Token bucket that limits the rate of searches.
    TimePoint lastTick {};
    TimePoint nextFetch {}; ///< No snapshot is fetched before this.
    bool needsFullRules = false; ///< The last rules patch could not be applied to the rules held here.
    TimePoint nextLoad {}; ///< No load message is considered before this.
    TimePoint lastLoad {}; ///< When the latest load message was sent.
    TimePoint nextExpiry {}; ///< No flow expires before this.
    TimePoint lastAnnouncedChange {}; ///< When the agent's own record last changed.
    TimePoint lastPacket {}; ///< Arrival of the latest packet of any flow; zero if none has come.
    LoadReport sentLoad; ///< The latest load message.
    uint64_t upstreamIncarnation = 0; ///< Latest one reported by the health endpoint; 0 if unknown.
    bool isUpstreamDraining = false;
    bool isUpstreamDown = false; ///< Health reads failed repeatedly, and the upstream has not answered a request recently.
    int failedHealthReads = 0; ///< Consecutive readings of the health endpoint without an answer.
    bool isStopping = false;
    bool wasZoneOut = false; ///< Whether the previous configuration had the agent's zone out.
    std::vector<FlowKey> unconfirmedEnds; ///< Flows whose end is notified a few times: callers do not acknowledge it, and may get no other message of it.
    int endResendsLeft = 0;
    TimePoint nextEndResend {};
};

} // namespace lavender
