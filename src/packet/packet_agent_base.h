/** @file packet_agent_base.h Agent of an upstream that takes opaque packets: admits new flows and finds the owners of others. */
#pragma once

#include "agent/peer_base.h"
#include "config/follower_base.h"
#include "core/action_type.h"
#include "core/counter_type.h"
#include "core/event_base.h"
#include "core/metrics_func.h"
#include "member/roster.h"
#include "packet/admission/cold_start_limiter.h"
#include "packet/admission/opening_limit.h"
#include "packet/admission/refusal_backoff.h"
#include "packet/directory/directory_lookup.h"
#include "packet/directory/flow_directory.h"
#include "packet/directory/flow_registrar.h"
#include "packet/directory/holder_check.h"
#include "packet/directory/known_agents.h"
#include "packet/packet_flow.h"
#include "packet/request/outcome_window.h"
#include "packet/request/processing_time.h"
#include "packet/request/request_queue.h"
#include "packet/segment_base.h"
#include "packet/upstream_report.h"
#include "steer/bucket_table.h"
#include "steer/route_history.h"

#include <deque>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>

namespace lavender {

/** Settings of a PacketAgent, fixed at its start. */
struct PacketAgentSettings {
    Address address; ///< Address at which other processes reach this agent.
    std::string zone; ///< Availability zone of this agent.
    std::string service; ///< Service of the upstream.
    uint64_t incarnation = 1; ///< Unix milliseconds of the start; higher than that of any earlier process at this address.
    uint16_t slots = 1; ///< Requests that the upstream runs at once, until its first report states the number.
    Duration reportPeriod = 1s; ///< Expected interval between two reports of the upstream.
    Duration flowIdleTimeout = 60s; ///< A flow without a packet for longer than this may be forgotten.
    bool hasFlowDirectory = false; ///< The agents of the service keep a directory of their flows.
    bool holdsRequests = true; ///< Requests on open flows wait while the upstream is full, where the rules ask for it.
    TimePoint startedAt {}; ///< When the process started.
};

/** Makes the decisions of an agent whose flows carry opaque packets. */
class PacketAgent {
public:
    PacketAgent(const PacketAgentSettings& settings, const SegmentCodec& codec, Random& random, EventSink& events);

    /** Handles one message from another process. */
    void onMessage(TimePoint now, const Message& message, Actions& actions);

    /** Handles a packet that the upstream sent, or a caller's packet that it returned. */
    void onUpstreamPacket(TimePoint now, std::span<const uint8_t> packet, Actions& actions);

    /** Handles a report of the upstream. @return False if the report was dropped as outdated. */
    bool onUpstreamReport(TimePoint now, const UpstreamReport& report);

    /** Handles the message of upstream @p id that it shuts down. @param started Its start, Unix milliseconds; none if not stated. */
    void onUpstreamDeregistered(TimePoint now, std::string_view id, std::optional<uint64_t> started);

    /** Handles the finding that no upstream runs beside this agent any more: its flows have ended. */
    void onUpstreamEnded();

    /** Handles a snapshot that was fetched from another process. */
    void onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& actions);

    /** Adds balancers that the store or the settings name. */
    void onSeeds(std::span<const Address> seeds) { this->peers.addBalancers(seeds); }

    /** Takes the roster that the store holds: which agents there were before this process started. */
    void onRoster(TimePoint now, const Roster& roster);

    /** Does all periodic work that is due; called at short intervals. */
    void tick(TimePoint now, Actions& actions);

    /** Starts to stop this agent: it takes no new flow from now on, and leaves the membership if its upstream has ended. */
    void beginStop(TimePoint now, Actions& actions);

    /** True once this agent has announced that it is gone. It still forwards packets to other agents. */
    bool hasLeft() const { return this->peers.self().liveness == Liveness::Gone; }

    MetricsView metrics() const;
    std::string status(TimePoint now, uint64_t droppedDatagrams) const;

    const Counters& counters() const { return this->count; }
    const ConfigurationFollower& configuration() const { return this->follower; }
    const MemberRecord& self() const { return this->peers.self(); }
    size_t flowCount() const { return this->flows.size(); }
    /** True once a balancer has confirmed that this agent's view of the membership is complete. */
    bool isSynchronized() const { return this->peers.synchronizedSince().has_value(); }

private:
    /** What a search goes by. */
    enum class SearchSource : uint8_t {
        AllAgents, ///< All agents of the service are asked.
        DirectoryEntry, ///< The owners that the directory lists.
        DirectoryProof, ///< The directory lists no owner; agents that may hold unknown flows are asked.
    };

    /** Search for the owner of a flow among the agents of the service. */
    struct Search {
        ForwardedPacket packet; ///< Latest packet of the flow; sent to the owner when it is found.
        std::set<Address> pendingPeers; ///< Agents that have not yet denied the flow in this round.
        std::set<Address> askedPeers; ///< Agents that were asked in the second round.
        std::set<Address> probedPeers; ///< Agents that were sent the packet in this round, to probe their upstream.
        TimePoint startedAt {};
        TimePoint lastQueryAt {};
        std::optional<TimePoint> firstRoundEndedAt; ///< When all agents known at the start had denied the flow; none before.
        bool isLookup = false; ///< Begun because the owner did not report: it does not probe, and never declares the flow lost.
        bool isSecondRound = false; ///< All agents are asked again, including those that have become known since.
        SearchSource source = SearchSource::AllAgents;
        bool isPacketSent = false; ///< The packet was sent to the agents that may own the flow.
        bool isRepeated = false; ///< The packet was sent to them a second time.
        bool isConfirming = false; ///< All agents are asked whether they hold the flow, before it is reset.
        bool isConfirmed = false; ///< All have denied it but those in pendingPeers, which are probed.
    };

    /** A packet of an unknown flow is on its way along the candidates; the owner is to report to this agent. */
    struct Lookup {
        ForwardedPacket packet; ///< Latest packet of the flow, as this agent received it; sent to the owner when a search finds it.
        TimePoint dueAt {}; ///< When the search begins if the owner has not reported.
        bool isDirectoryAsked = false; ///< The directory could not tell the owner.
    };

    /** An opening packet that arrived before the first rules. */
    struct HeldOpening {
        TimePoint receivedAt {};
        ForwardedPacket packet;
    };

    /** Why a new flow is not admitted now. */
    enum class Obstacle : uint8_t {
        None, ///< New flows are admitted.
        Stopping, ///< This agent is shutting down.
        Draining, ///< The upstream reports that it drains, or the rules drain this agent.
        OtherService, ///< The upstream reports another service than the settings.
        ZoneDraining, ///< The rules drain the availability zone or take it out.
        NoRules, ///< The rules do not contain the service.
        Silent, ///< The upstream has shut down or shows no sign of life.
        Refusing, ///< The upstream has returned opening packets; the backoff has not expired.
        Connections, ///< The connection limit of the service is reached.
        QueueFull, ///< The upstream's slots and queue are full.
        Cold, ///< The cold upstream has had as many openings as its rate allows.
    };

    // packet_agent.cpp
    void fetchNewerRules(TimePoint now, Address balancer, const Revision& revision, Actions& actions);
    void applyConfiguration(TimePoint now);
    void beginUpstreamLifetime(TimePoint now, const UpstreamReport& report);
    void updateOwnRecord(TimePoint now);
    void updateTable();
    bool isUpstreamYoungerThanAgent() const;
    bool hasUpstreamEnded(TimePoint now) const;

    // packet_flow.cpp
    void setAwaitingAnswer(TimePoint now, PacketFlow& flow, bool isAwaiting);
    void setUnclaimed(PacketFlow& flow, bool isUnclaimed);
    void eraseFlow(const FlowKey& key);
    void releaseUnusedPlaces(TimePoint now);
    void expireFlows(TimePoint now);

    // packet_admission.cpp
    static std::string_view toText(Obstacle obstacle);
    bool isUpstreamSilent(TimePoint now) const;
    bool areProbesUnanswered(TimePoint now) const;
    bool isUpstreamAbsent(TimePoint now) const;
    Obstacle obstacle(TimePoint now) const;
    Obstacle obstacle(TimePoint now, const Segment& opening) const;
    OpeningLimits openingLimits(Address service) const;

    void countTaken(const Segment& opening);
    // packet_outcome.cpp
    void observeRequestPart(TimePoint now, PacketFlow& flow, const Segment& segment);
    void observeUpstreamPacket(TimePoint now, const FlowKey& key, PacketFlow& flow, const Segment& segment);
    void tickOutcomes(TimePoint now);

    // packet_opening.cpp
    void handleOpening(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions);
    void reportOutcome(TimePoint now, const FlowKey& flow, OpeningResult result, Address balancer, Actions& actions) const;
    void holdOpening(TimePoint now, const ForwardedPacket& forwarded, Actions& actions);
    void releaseHeldOpenings(TimePoint now, Actions& actions);
    void openFlow(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions);

    // packet_route.cpp
    void handle(TimePoint now, const ForwardedPacket& received, Actions& actions);
    bool handleKnownFlow(TimePoint now, PacketFlow& flow, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions);
    void deliverToUpstream(TimePoint now, PacketFlow& flow, const Segment& segment, const Bytes& packet, Actions& actions);
    void sendToUpstream(TimePoint now, PacketFlow& flow, const Segment& segment, const Bytes& packet, RequestPlace place, Actions& actions);
    void probeUpstream(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions);
    void handleProbeRequest(TimePoint now, const Segment& segment, const ForwardedPacket& forwarded, Actions& actions);
    void forwardUnknownFlow(TimePoint now, const Segment& segment, ForwardedPacket& forwarded, Actions& actions);
    void forwardAlongCandidates(TimePoint now, ForwardedPacket& forwarded, Actions& actions);
    void forwardWithoutDirectory(TimePoint now, ForwardedPacket& forwarded, Actions& actions);
    void reportOwner(const PacketFlow& flow, const ForwardedPacket& forwarded, Actions& actions) const;
    bool forwardToNextCandidate(ForwardedPacket& forwarded, Actions& actions);
    void forward(ForwardedPacket& forwarded, Address to, Actions& actions);
    bool mayUpstreamHold(TimePoint now, const FlowKey& flow) const;
    void sendFlowQueryReply(const FlowKey& flow, Address searcher, bool isHere, Actions& actions) const;
    bool mayUpstreamHoldUnknownFlows(TimePoint now) const;
    void cacheOwner(TimePoint now, const FlowKey& flow, Address owner);
    void fillCandidates(ForwardedPacket& forwarded) const;

    // packet_service.cpp
    bool isRoutedElsewhere(const ForwardedPacket& opening) const;
    void refuseRoutedElsewhere(TimePoint now, const ForwardedPacket& opening, Actions& actions);
    bool passToNextService(ForwardedPacket packet, Actions& actions);
    bool endBriefSearch(const FlowKey& flow, Actions& actions);
    void endOverdueBriefSearches(TimePoint now, Actions& actions);
    void reportOwnerToOtherService(const FlowKey& flow, Address home, Address balancer, Actions& actions) const;
    bool wereAllServicesAsked(TimePoint now, const ForwardedPacket& packet) const;

    // packet_lookup.cpp
    void forgetElsewhere(const FlowKey& flow);
    void beginLookup(TimePoint now, const ForwardedPacket& forwarded, bool isDirectoryAsked);
    void handleLookupNotice(TimePoint now, const FlowQueryReply& reply);
    void tickLookups(TimePoint now, Actions& actions);

    // packet_directory.cpp
    RegistrarIdentity registrarIdentity(TimePoint now) const;
    void registerFlow(TimePoint now, const FlowKey& flow, Actions& actions);
    void updateRegistrations(TimePoint now, Actions& actions);
    void onHeardFrom(TimePoint now, const AgentIncarnation& agent);
    void tickDirectory(TimePoint now, Actions& actions);
    void requestRegistrations(TimePoint now, Actions& actions);
    void handle(TimePoint now, const FlowRegistration& registration, Actions& actions);
    void handle(TimePoint now, const DirectoryQuery& query, Actions& actions);
    void handle(TimePoint now, const DirectoryReply& reply, Actions& actions);
    void askOwnDirectory(TimePoint now, const FlowKey& flow, Address searcher, Actions& actions);
    void sendDirectoryAnswer(TimePoint now, const DirectoryAnswer& answer, Actions& actions);
    void logDirectoryState(TimePoint now);
    bool mayAskDirectory() const;
    bool isViewComplete(TimePoint now) const;
    DirectoryView directoryView() const;
    void answerOwnQuestions(TimePoint now, Actions& actions);
    bool lookUpInDirectory(TimePoint now, const ForwardedPacket& forwarded, Actions& actions);
    void handleDirectoryResult(TimePoint now, DirectoryResult& result, Actions& actions);
    bool isDeniedAgain(TimePoint now, const FlowKey& flow);
    bool isKnownToOthers(TimePoint now);
    void introduce(TimePoint now, Actions& actions);
    // packet_confirmation.cpp
    void confirmLoss(TimePoint now, const FlowKey& flow, Actions& actions);
    void handle(TimePoint now, const HoldersQuery& query, Actions& actions);
    void handle(TimePoint now, const HoldersReply& reply, Actions& actions);
    void handle(TimePoint now, const AgentLeft& left);
    const KnownAgents& agentsToAsk(TimePoint now);
    void handleFindings(TimePoint now, std::span<const HolderFinding> findings, Actions& actions);
    void handleFinding(TimePoint now, const HolderFinding& finding, Actions& actions);
    void renewConfirmation(TimePoint now, Search& search);
    bool isDenied(TimePoint now, const FlowKey& flow) const;
    void tickConfirmations(TimePoint now, Actions& actions);
    void announceLeave(TimePoint now, Actions& actions);
    // packet_hold.cpp
    bool doRulesHoldRequests() const;
    const RouteRule* findRoute(Address service) const;
    UpstreamLoad upstreamLoad() const;
    void setPlace(PacketFlow& flow, RequestPlace place);
    bool isCopy(const PacketFlow& flow, const Segment& segment) const;
    void recordRequestData(PacketFlow& flow, const Segment& segment, RequestPlace place, bool isFirst);
    bool holdPacket(TimePoint now, PacketFlow& flow, const Segment& segment, const Bytes& packet, Actions& actions);
    bool mustSendAll() const;
    void releaseRequests(TimePoint now, Actions& actions);
    void releaseAllRequests(TimePoint now, Actions& actions);
    void sendReleased(TimePoint now, const ReleasedRequest& released, RequestPlace place, Actions& actions);
    void dropHeldRequest(TimePoint now, const FlowKey& flow);
    void onUpstreamProgress(TimePoint now, const Segment& segment, Actions& actions);
    void expirePlace(TimePoint now, const FlowKey& key, PacketFlow& flow);
    void resetPlaces();
    void tickHeldRequests(TimePoint now, Actions& actions);

    // packet_search.cpp
    bool maySearch() const;
    void beginSearch(TimePoint now, const ForwardedPacket& forwarded, bool isLookup, Actions& actions);
    std::set<Address> peersWithUpstream() const;
    void queryPeers(const FlowKey& flow, const Search& search, Actions& actions);
    void handle(TimePoint now, const FlowQuery& query, Actions& actions);
    void handle(TimePoint now, const FlowQueryReply& reply, Actions& actions);
    void sendProbeRequest(const Search& search, Address agent, Actions& actions) const;
    void repeatProbeRequests(TimePoint now, Search& search, Actions& actions) const;
    void endRoundIfComplete(TimePoint now, const FlowKey& flow, Actions& actions);
    bool wereAllAsked(const Search& search) const;
    void beginSecondRound(TimePoint now, const FlowKey& flow, Search& search, Actions& actions);
    void endLostFlow(TimePoint now, const FlowKey& flow, bool mayReset, Actions& actions);
    void declareFlowLost(TimePoint now, const FlowKey& flow, Actions& actions);
    bool isSynchronizedFor(TimePoint now, Duration time) const;
    bool isRosterAgentMissing(TimePoint now) const;
    bool mayReset(TimePoint now, const FlowKey& flow, SearchSource source);
    static std::string_view toText(SearchSource source);
    void tickSearches(TimePoint now, Actions& actions);

    // packet_return.cpp
    void handleReturnedPacket(TimePoint now, const Segment& segment, std::span<const uint8_t> packet, Actions& actions);
    void handleUpstreamPacket(TimePoint now, const Segment& segment, std::span<const uint8_t> packet, Actions& actions);
    bool handleUpstreamReset(TimePoint now, const FlowKey& key, const PacketFlow& flow, Actions& actions);
    void resetFlow(const FlowKey& key, const PacketFlow& flow, std::string_view reason, Actions& actions);

    PacketAgentSettings settings;
    const SegmentCodec& codec;
    EventSink& events;
    uint64_t serviceHash; ///< hashText of the service's name.
    Counters count;
    PeerSystem peers;
    ConfigurationFollower follower;
    RouteHistory routeHistory; ///< The services of each route, now and before.
    BucketTable table; ///< Buckets of this agent's service, as the balancers compute them.
    uint64_t tableChangeCount = 0; ///< Change count of the peers that the table was computed from.
    Revision tableRevision; ///< Revision of the rules that the table was computed from.
    std::unordered_map<FlowKey, PacketFlow> flows; ///< Flows at the own upstream.
    std::unordered_map<FlowKey, CachedOwner> ownerCache; ///< Owners of flows that are not at the own upstream.
    std::unordered_map<FlowKey, Lookup> lookups; ///< Flows for which this agent is the first on a packet's way and awaits the owner's notice.
    std::unordered_map<FlowKey, Search> searches;
    RosterAgents roster; ///< Agents of the service as of the store; empty if it does not tell.
    DirectoryMembers directoryMembers; ///< Agents of the service, as the flow directory ranks them.
    uint64_t directoryChangeCount = 0; ///< Change count of the peers that directoryMembers was computed from.
    FlowRegistrar registrar; ///< Registers the flows at the own upstream.
    FlowDirectory directory; ///< This agent's part of the directory.
    bool wasDirectoryComplete = false; ///< As of the latest directory-changed event.
    DirectoryLookups directoryLookups;
    KnownAgents knownAgents; ///< Agents that have to deny a flow before it is reset.
    HolderCheck holderCheck; ///< Asks them.
    bool isIntroduced = false; ///< Latest result of isKnownToOthers(); stays true.
    TimePoint nextLeaveNotice {}; ///< Earliest time of the next AgentLeft messages, once this agent has left.
    std::unordered_map<FlowKey, TimePoint> ownerDenials; ///< When the owners that the directory lists first denied the flow.
    TimePoint nextRegistrationRequest {};
    std::vector<HeldOpening> heldOpenings;
    size_t flowsAwaitingAnswer = 0; ///< Number of flows with isAwaitingAnswer: they take the upstream's slots and queue places.
    std::deque<std::pair<TimePoint, FlowKey>> placesToClaim; ///< Flows that were opened lately, with the time of the upstream's answer; oldest first.
    size_t unclaimedFlows = 0; ///< Number of flows with isUnclaimed.
    uint32_t pendingRequests = 0; ///< Requests that were delivered to the upstream and not answered yet.
    LatencyHistogram handshakeLatencies; ///< From an opening packet to the upstream's answer.
    LatencyHistogram answerLatencies; ///< From a caller's data to the first data of the upstream's answer.
    bool holdsRequests = false; ///< Requests on open flows may be held: the rules in force ask for it.
    RequestQueue requestQueue; ///< Requests on open flows that wait for a place at the upstream.
    size_t placesTaken = 0; ///< Number of flows with RequestPlace::Regular.
    size_t extraRequests = 0; ///< Number of flows with RequestPlace::Extra.
    bool isUpstreamReplaced = false; ///< Requests that are held for an earlier lifetime of the upstream leave at the next tick.
    LatencyHistogram requestWaits; ///< How long requests were held.
    Duration longestWait {}; ///< Longest wait since the latest requests-held event.
    uint64_t loggedHeld = 0; ///< Counter::RequestsHeld at the latest requests-held event.
    TimePoint nextHoldLog {}; ///< Earliest time of the next requests-held event.
    double searchTokens = 0; ///< Token bucket: each search that begins takes one token.
    ColdStartLimiter coldStartLimiter;
    RefusalBackoff refusalBackoff;
    ProcessingTime processingTime;
    OutcomeWindow outcomeWindow;
    std::optional<UpstreamReport> latestReport; ///< Latest report that was accepted; none before the first.
    TimePoint latestReportAt {}; ///< When latestReport arrived.
    UpstreamReport firstReport; ///< First report of the upstream's lifetime that arrived here.
    TimePoint firstReportAt {}; ///< When firstReport arrived.
    TimePoint lastUpstreamPacket {}; ///< When the upstream last sent or returned a packet; zero if it never did.
    TimePoint unansweredSince {}; ///< First opening packet since the upstream's last packet or report; zero if there is none.
    size_t probesSent = 0; ///< Probes sent to the upstream since this process started.
    TimePoint firstProbeAt {}; ///< When this process sent its first probe to the upstream.
    bool hasUpstreamSentOwnPacket = false; ///< Since this process started; returned packets and resets that answer a probe do not count.
    bool hasDeregistered = false; ///< The upstream has said that it shuts down, and no report has come since.
    bool isUpstreamKnownEnded = false; ///< No process listens at the upstream's address, and no sign of life has come since.
    bool isStopping = false;
    bool wasZoneDraining = false; ///< The rules that were applied last drain the availability zone.
    bool needsFullRules = false; ///< The latest patch of the rules did not apply.
    TimePoint lastTick {};
    TimePoint nextFetch {}; ///< Earliest time of the next snapshot request.
    TimePoint nextExpiry {};
    Obstacle loggedObstacle = Obstacle::None; ///< Obstacle of the latest admission-changed event.
};

} // namespace lavender
