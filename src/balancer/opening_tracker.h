/** @file opening_tracker.h Finds an upstream for each opening packet; no open flow depends on what it keeps. */
#pragma once

#include "core/action_type.h"
#include "core/address_type.h"
#include "core/counter_type.h"
#include "core/event_base.h"
#include "core/latency_histogram.h"
#include "core/time_type.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace lavender {

/** An opening packet that no agent takes. */
struct RefusedOpening {
    FlowPacket packet;
    bool isFull = false; ///< Some agent would take it later: its queue is full now.
    bool isHopeless = false; ///< So it was for every copy that its caller sends, all seen here, and no offer was left unanswered.
};

/**
 * Offers opening packets to one agent after the other until an upstream answers.
 *
 * Each answer tells the agent's load, which for some milliseconds spares others the question. An agent that leaves an
 * offer unanswered is passed over from then on, long before its heartbeats are missed. Keeps some seconds of openings, and
 * the owners of flows that are in use, which shortens their way and nothing else.
 */
class OpeningTracker {
public:
    OpeningTracker(Counters& counters, EventSink& events)
        : counters(counters)
        , events(events)
    {
    }

    /** Offers an opening packet, or a copy of one, to its candidates. @param copy Copies that its caller sent before. */
    void open(TimePoint now, ForwardedPacket forwarded, uint32_t copy, Actions& actions);

    /** Puts the candidates of any other packet in the order in which they are to be asked. */
    void arrange(TimePoint now, ForwardedPacket& forwarded);

    /** What an agent made of an offer. */
    void onOutcome(TimePoint now, const OpeningOutcome& outcome, Actions& actions);

    /** Something was heard of the agent: it can be reached. */
    void onHeard(Address agent) { this->avoided.erase(agent); }

    /** Judges offers without an answer. @return Agents that are to be asked for a sign of life now. */
    std::vector<Address> tick(TimePoint now, Actions& actions);

    /** Openings that no agent takes, since the last call. */
    std::vector<RefusedOpening> takeRefused() { return std::exchange(this->refused, {}); }

    /** From the arrival of an opening to an upstream's answer. */
    const LatencyHistogram& placements() const { return this->latencies; }

private:
    struct Opening {
        ForwardedPacket packet;
        size_t offers = 0; ///< Candidates that were asked for a free slot.
        uint32_t asked = 0; ///< Those, a bit for each candidate.
        uint32_t placed = 0; ///< Candidates whose queue was tried, a bit for each.
        Address target; ///< Who has the offer now; not valid where nobody does.
        TimePoint offeredAt {};
        TimePoint begunAt {};
        TimePoint lastUse {};
        Address owner; ///< Not valid until an upstream has answered.
        bool isPending = false; ///< Stands in the list of openings with an offer out.
        bool isPlaced = false; ///< The present offer is for a place in the queue.
        bool isFull = false; ///< Some agent's queue is full.
        uint32_t copy = 0; ///< Copies that the caller had sent before this one.
        uint32_t copiesRefused = 0; ///< Those that found all queues full, a bit for each.
        bool wasUnanswered = false; ///< An agent said nothing to an offer; it may have taken it.
    };

    /** What an agent said last, and what it was offered since. */
    struct AgentLoad {
        uint16_t busy = 0;
        uint16_t slots = 0;
        uint16_t limit = 0;
        TimePoint heard {};
    };

    struct Avoidance {
        TimePoint until {};
        TimePoint asked {};
    };

    void begin(TimePoint now, Opening& opening, ForwardedPacket forwarded, uint32_t copy, Actions& actions);
    void refuse(Opening& opening);
    void offerNext(TimePoint now, Opening& opening, Actions& actions);
    bool askForSlot(TimePoint now, Opening& opening, Actions& actions);
    bool askForPlace(TimePoint now, Opening& opening, Actions& actions);
    void offer(TimePoint now, Opening& opening, Address agent, Actions& actions);
    AgentLoad* recentLoad(TimePoint now, Address agent);
    void sortAvoided(std::vector<Address>& candidates) const;

    Counters& counters;
    EventSink& events;
    std::unordered_map<FlowKey, Opening> openings;
    std::vector<FlowKey> pending; ///< Openings with an offer out; the next tick drops those that were answered.
    TimePoint nextExpiry {};
    std::map<Address, Avoidance> avoided;
    std::map<Address, AgentLoad> loads;
    std::vector<RefusedOpening> refused;
    LatencyHistogram latencies;
    TimePoint lastTick {};
};

} // namespace lavender
