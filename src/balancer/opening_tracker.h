/** @file opening_tracker.h Finds an agent, and so an upstream, for each opening packet of an opaque flow. */
#pragma once

#include "balancer/outlier_detector.h"
#include "core/action_type.h"
#include "core/address_type.h"
#include "core/counter_type.h"
#include "core/event_base.h"
#include "core/flow_timing.h"
#include "core/latency_histogram.h"
#include "core/time_type.h"
#include "member/member_table.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lavender {

/** What the route of an opening packet asks for. */
struct OpeningNeeds {
    std::optional<Duration> timeout; ///< How long the caller waits for the answer; unknown if not set.
};

/** An opening packet that no agent accepted. */
struct RefusedOpening {
    FlowPacket packet;
    bool hasBusyAgent = false; ///< At least one agent refused only because of its load, and may accept a retransmission.
    bool areCopiesExhausted = false; ///< The original and all retransmissions were refused with hasBusyAgent, and no offer timed out.
    uint32_t copies = 0; ///< Copies that the caller has sent, the refused one included.
    bool mayBeAccepted = false; ///< An offer timed out: its agent may have accepted the opening nevertheless.
    Duration age {}; ///< Longest time since the packet arrived.
    bool isUnservable = false; ///< No agent would answer within the route's timeout, and no copy so far was accepted or may have been.
};

/**
 * Offers each opening packet to one agent after the other until an upstream answers it.
 *
 * First looks for an agent with a free slot, then for a place in the shortest known queue. Each outcome carries the
 * agent's load, which decides for some milliseconds where other openings are offered. An agent that lets an offer time out
 * is avoided for some seconds, long before missed heartbeats make it suspect.
 *
 * Keeps the openings of the last seconds and the owners of flows in use. This state only saves hops: a flow that is open
 * never depends on it.
 */
class OpeningTracker {
public:
    OpeningTracker(const FlowTiming& timing, Counters& counters, EventSink& events)
        : timing(timing)
        , counters(counters)
        , events(events)
        , outliers(counters, events)
    {
    }

    /** Switches outlier detection on or off. */
    void configureOutliers(const OutlierSettings& settings) { this->outliers.configure(settings); }

    /**
     * Offers an opening packet, or a retransmission of one, to its candidates.
     * @param copy Copies that the caller sent before this one: 0 for the original.
     * @param waited Longest time that the packet may have waited in this process.
     */
    void onOpening(TimePoint now, ForwardedPacket forwarded, uint32_t copy, Actions& actions, const OpeningNeeds& needs = {}, Duration waited = {});

    /** Orders the candidates of a packet other than an opening: the known owner first, avoided agents last. An owner that is gone is no candidate. */
    void orderCandidates(TimePoint now, ForwardedPacket& forwarded, const MemberTable& members);

    /** Service of the known owner of a flow; nullopt if none is known. */
    std::optional<uint64_t> serviceOf(const FlowKey& flow) const;

    /** Takes an agent's report that it owns an open flow. */
    void learnOwner(TimePoint now, const OpeningOutcome& outcome);

    /** Handles the answer of an agent to an offer: updates its load and, unless it accepted, makes the next offer. */
    void onOutcome(TimePoint now, const OpeningOutcome& outcome, Actions& actions);

    /** An announcement of the agent arrived, so it can be reached: ends its avoidance. */
    void onHeartbeat(Address agent) { this->avoided.erase(agent); }

    /** Times out offers and expires old state. @return Avoided agents to ask for an announcement now. */
    std::vector<Address> tick(TimePoint now, Actions& actions);

    /** Opening packets that no agent accepted since the last call. */
    std::vector<RefusedOpening> takeRefused() { return std::exchange(this->refused, {}); }

    /** Agents that are set aside as outliers now. */
    size_t outlierCount() const { return this->outliers.asideCount(); }

    /** Times from the arrival of an opening packet to the upstream's answer. */
    const LatencyHistogram& placementTimes() const { return this->placementHistogram; }

private:
    /** State of one flow from its opening packet on. */
    struct Opening {
        ForwardedPacket packet; ///< The opening packet; its payload is dropped once an upstream has answered.
        size_t slotOffers = 0; ///< Number of candidates that were offered the packet for a free slot.
        uint32_t slotOfferMask = 0; ///< Candidates that were offered the packet for a free slot, one bit each.
        uint32_t queueOfferMask = 0; ///< Candidates that were offered the packet for a place in their queue, one bit each.
        Address offeredTo; ///< Agent whose answer to the current offer is due; not valid without an offer.
        TimePoint offeredAt {}; ///< When the current offer was sent.
        TimePoint startedAt {}; ///< When the packet was handled first.
        TimePoint arrivedAfter {}; ///< The packet arrived later than this.
        TimePoint lastUsedAt {}; ///< When the last packet of the flow arrived, or its opening was accepted.
        Address owner; ///< Agent whose upstream answered; not valid before.
        bool isPending = false; ///< The flow is listed in OpeningTracker::pending.
        bool isQueueOffer = false; ///< Offers are for a place in the queue now; free slots are no longer tried.
        bool hasBusyAgent = false; ///< At least one agent has no free slot now, but takes new flows.
        uint32_t copy = 0; ///< Copies that the caller sent before this one: 0 for the original.
        OpeningNeeds needs; ///< Of the route.
        uint32_t refusedCopyMask = 0; ///< Copies that were refused with hasBusyAgent, one bit each.
        bool hadTimeout = false; ///< An offer timed out; the agent may have accepted it nevertheless.
    };

    /** Load of an agent as of its last outcome, plus the offers sent to it since. */
    struct AgentLoad {
        uint16_t busy = 0; ///< Requests at the upstream; each offer since the last outcome counts as one more.
        uint16_t slots = 0; ///< Requests that the upstream runs at once.
        uint16_t limit = 0; ///< Requests at the upstream from which on the agent accepts no new flow; 0 if it accepts none at all.
        TimePoint reportedAt {}; ///< When the last outcome arrived.
        Duration processingTime {}; ///< Mean time that the upstream works on one request; zero if unknown.
        uint16_t lastChanceLimit = 0; ///< Like limit, for a caller's last chance.

        /** Requests at the upstream from which on the agent does not accept this opening. */
        uint16_t limitFor(const FlowTiming& timing, const Opening& opening) const;

        /** Expected time until one more request is answered; none if the processing time is unknown. */
        std::optional<Duration> answerTime() const;
    };

    /** An agent that let an offer time out: it comes last among the candidates. */
    struct Avoidance {
        TimePoint until {}; ///< When the avoidance ends.
        TimePoint announceRequestedAt {}; ///< When tick() last returned the agent.
    };

    void startOffers(TimePoint now, Opening& opening, ForwardedPacket forwarded, uint32_t copy, const OpeningNeeds& needs, Duration waited, Actions& actions);
    void refuse(TimePoint now, Opening& opening);
    void offerNext(TimePoint now, Opening& opening, Actions& actions);
    bool offerFreeSlot(TimePoint now, Opening& opening, bool includesHeldBack, Actions& actions);
    bool offerQueuePlace(TimePoint now, Opening& opening, Actions& actions);
    void sendOffer(TimePoint now, Opening& opening, Address agent, Actions& actions);
    /** Load of an agent that is recent enough to rely on; null otherwise. */
    AgentLoad* recentLoad(TimePoint now, Address agent);
    static bool isOverTimeout(const AgentLoad& load, const OpeningNeeds& needs);
    bool isUnservable(const Opening& opening) const;
    void moveAvoidedLast(std::vector<Address>& candidates) const;

    FlowTiming timing; ///< Of the callers.
    Counters& counters;
    EventSink& events;
    OutlierDetector outliers;
    std::unordered_map<FlowKey, Opening> openings; ///< By flow; expire when the flow is idle.
    std::vector<FlowKey> pending; ///< Flows with an unanswered offer; the next tick drops those that were answered in the meantime.
    TimePoint nextExpiry {}; ///< When idle openings are removed next.
    std::map<Address, Avoidance> avoided; ///< By agent.
    std::map<Address, AgentLoad> loads; ///< By agent.
    std::vector<RefusedOpening> refused; ///< Not yet fetched by takeRefused().
    LatencyHistogram placementHistogram;
    TimePoint lastTick {}; ///< When tick() last ran, to detect a pause of the process.
};

} // namespace lavender
