/** @file packet_agent_base.h An agent whose upstream takes opaque packets: it finds each flow's owner and admits new flows. */
#pragma once

#include "agent/peer_base.h"
#include "config/follower_base.h"
#include "core/action_type.h"
#include "core/counter_type.h"
#include "core/event_base.h"
#include "core/metrics_func.h"
#include "packet/cold_gate.h"
#include "packet/packet_flow.h"
#include "packet/refusal_backoff.h"
#include "packet/segment_base.h"
#include "packet/upstream_report.h"
#include "packet/work_time.h"
#include "steer/bucket_table.h"

#include <set>
#include <span>
#include <string>
#include <unordered_map>

namespace lavender {

/** What such an agent is told at its start. */
struct PacketAgentSettings {
    Address address; ///< Where other processes reach it.
    std::string zone;
    std::string service; ///< Service of the upstream.
    uint64_t incarnation = 1; ///< Unix milliseconds of the start; higher than that of any earlier process at this address.
    uint16_t slots = 1; ///< Until the upstream says how many it has.
    Duration reportPeriod = 1s; ///< The upstream reports about this often.
    Duration flowAge = 60s; ///< An older flow may be forgotten.
    TimePoint startedAt {}; ///< When the process began.
};

/** Decisions of an agent that carries opaque packets. */
class PacketAgent {
public:
    PacketAgent(const PacketAgentSettings& settings, const SegmentCodec& codec, Random& random, EventSink& events);

    /** Handles one message from another process. */
    void onMessage(TimePoint now, const Message& message, Actions& actions);

    /** A packet that the upstream sent or gave back. */
    void onUpstreamPacket(TimePoint now, std::span<const uint8_t> packet, Actions& actions);

    /** The upstream reported its state. @return False where the report is not to be used. */
    bool onUpstreamReport(TimePoint now, const UpstreamReport& report);

    /** The upstream said that it ends. @param started Its incarnation; none where it did not say. */
    void onUpstreamGoodbye(TimePoint now, std::optional<uint64_t> started);

    /** A snapshot that was fetched. */
    void onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions);

    /** Balancers that the store or the settings name. */
    void onSeeds(std::span<const Address> seeds) { this->peers.addBalancers(seeds); }

    /** Runs every system once. */
    void tick(TimePoint now, Actions& actions);

    /** Begins to leave: no new flow. */
    void beginStop(TimePoint now, Actions& actions);

    MetricsView metrics() const;
    std::string status(TimePoint now, uint64_t droppedDatagrams) const;

    const Counters& counters() const { return this->count; }
    const ConfigurationFollower& configuration() const { return this->follower; }
    const MemberRecord& self() const { return this->peers.self(); }
    size_t flowCount() const { return this->flows.size(); }
    bool isAcquainted() const { return this->peers.synchronizedSince().has_value(); }

private:
    /** A flow that is searched for among the agents of the service. */
    struct Search {
        ForwardedPacket packet; ///< Latest packet of the flow.
        std::set<Address> waiting; ///< Agents that have not said that they do not hold it.
        std::set<Address> probed; ///< Agents whose upstream was asked by a packet.
        TimePoint begun {};
        TimePoint asked {};
        std::optional<TimePoint> firstRoundEnd; ///< When everyone known then had said no.
        bool isSecondRound = false; ///< Asks everyone again, those too that were heard of since.
    };

    /** An opening packet that came before the rules. */
    struct HeldOpening {
        TimePoint since {};
        ForwardedPacket packet;
    };

    /** Why the upstream takes no new flow now; None where it does. */
    enum class Obstacle : uint8_t {
        None,
        Stopping,
        Draining,
        OtherService,
        ZoneDraining,
        NoRules,
        Silent,
        Refusing,
        Connections,
        QueueFull,
        Cold,
    };

    // packet_agent.cpp
    void setWaiting(TimePoint now, PacketFlow& flow, bool isWaiting);
    void forget(const FlowKey& key);
    void noteRevision(TimePoint now, Address balancer, Revision revision, Actions& actions);
    void applyConfiguration(TimePoint now);
    void beginLifetime(TimePoint now, const UpstreamReport& report);
    void refreshSelf(TimePoint now);
    void refreshTable();
    void expireFlows(TimePoint now);
    void tickSearches(TimePoint now, Actions& actions);
    bool beganWithUpstream() const;

    // packet_admission.cpp
    static std::string_view toText(Obstacle obstacle);
    bool isUpstreamSilent(TimePoint now) const;
    bool isUpstreamAbsent(TimePoint now) const;
    Obstacle obstacle(TimePoint now) const;
    Obstacle obstacle(TimePoint now, const Segment& opening) const;
    size_t queueLimit(Address service) const;

    // packet_route.cpp
    void handle(TimePoint now, const ForwardedPacket& received, Actions& actions);
    void handleOpening(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions);
    void report(TimePoint now, const FlowKey& flow, OpeningResult result, Address balancer, Actions& actions) const;
    void hold(TimePoint now, const ForwardedPacket& forwarded, Actions& actions);
    void releaseHeld(TimePoint now, Actions& actions);
    void open(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions);
    bool handleKnown(TimePoint now, PacketFlow& flow, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions);
    void deliver(TimePoint now, PacketFlow& flow, const Segment& segment, const Bytes& packet, Actions& actions);
    void probe(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions);
    void probeFor(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions);
    void passOn(TimePoint now, const Segment& segment, ForwardedPacket& forwarded, Actions& actions);
    bool forwardToNext(ForwardedPacket& forwarded, Actions& actions);
    void forward(ForwardedPacket& forwarded, Address to, Actions& actions);
    bool isUnsureOf(TimePoint now, const FlowKey& flow) const;
    void answerAsker(const FlowKey& flow, Address asker, bool isHere, Actions& actions) const;
    bool mayHoldUnknown(TimePoint now) const;
    void remember(TimePoint now, const FlowKey& flow, Address owner);
    void fillCandidates(ForwardedPacket& forwarded) const;

    // packet_search.cpp
    void beginSearch(TimePoint now, const ForwardedPacket& forwarded, Actions& actions);
    std::set<Address> peersWithFlows() const;
    void askPeers(const FlowKey& flow, const Search& search, Actions& actions);
    void handle(TimePoint now, const FlowQuery& query, Actions& actions);
    void handle(TimePoint now, const FlowQueryReply& reply, Actions& actions);
    void endRound(TimePoint now, const FlowKey& flow, Actions& actions);
    void beginSecondRound(TimePoint now, const FlowKey& flow, Search& search, Actions& actions);
    void concludeSearch(TimePoint now, const FlowKey& flow, Actions& actions);
    bool mayDeclareLost(TimePoint now) const;

    // packet_return.cpp
    void handleReturned(TimePoint now, const Segment& segment, std::span<const uint8_t> packet, Actions& actions);
    void handleFromUpstream(TimePoint now, const Segment& segment, std::span<const uint8_t> packet, Actions& actions);
    bool takeDenial(TimePoint now, const FlowKey& key, const PacketFlow& flow, Actions& actions);
    void resetFlow(const FlowKey& key, const PacketFlow& flow, std::string_view reason, Actions& actions);

    PacketAgentSettings settings;
    const SegmentCodec& codec;
    EventSink& events;
    uint64_t serviceHash;
    Counters count;
    PeerSystem peers;
    ConfigurationFollower follower;
    BucketTable table; ///< Of the own service, as the balancers compute it.
    uint64_t tableAt = 0;
    Revision tableRevision = 0;
    std::unordered_map<FlowKey, PacketFlow> flows;
    std::unordered_map<FlowKey, PacketTrace> traces;
    std::unordered_map<FlowKey, Search> searches;
    std::vector<HeldOpening> held;
    size_t waitingFlows = 0; ///< Flows whose upstream owes an answer, or will when their request comes.
    uint32_t requests = 0; ///< Requests that the upstream has.
    LatencyHistogram handshakes; ///< From an opening to the upstream's answer.
    LatencyHistogram answers; ///< From a caller's data to the first data back.
    double searchTokens = 0;
    ColdGate gate;
    RefusalBackoff refusals;
    WorkTime workTime;
    std::optional<UpstreamReport> latestReport; ///< That counts.
    TimePoint reportedAt {};
    Duration firstColdLeft {}; ///< As the first report of the lifetime said.
    TimePoint firstReportAt {};
    TimePoint lastUpstreamPacket {};
    TimePoint unansweredSince {}; ///< First opening packet that the upstream has not answered; zero where there is none.
    size_t unansweredProbes = 0; ///< Until the upstream's first sign of life.
    TimePoint firstProbeAt {};
    bool hasUpstreamSpoken = false; ///< Sent a packet of its own since this process began, not only callers' back.
    bool hasSaidGoodbye = false;
    bool isStopping = false;
    bool wasZoneDraining = false;
    bool mustFetchWhole = false;
    TimePoint lastTick {};
    TimePoint nextFetch {};
    TimePoint nextExpiry {};
    Obstacle loggedObstacle = Obstacle::None;
};

} // namespace lavender
