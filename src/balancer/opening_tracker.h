/** @file opening_tracker.h What became of the opening packets that a balancer sent lately; no flow depends on it. */
#pragma once

#include "core/address_type.h"
#include "core/counter_type.h"
#include "core/event_base.h"
#include "core/time_type.h"
#include "wire/message_type.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace lavender {

/**
 * Learns from openings that nobody answered which agents cannot be reached, long before their heartbeats are missed.
 *
 * Holds some seconds of openings, and nothing that grows with the open flows.
 */
class OpeningTracker {
public:
    OpeningTracker(Counters& counters, EventSink& events)
        : counters(counters)
        , events(events)
    {
    }

    /** Puts the candidates of a packet in the order in which they are to be tried. */
    void arrange(TimePoint now, ForwardedPacket& forwarded);

    /** An upstream answered an opening packet, or no agent had one for it. */
    void onOutcome(TimePoint now, const OpeningOutcome& outcome);

    /** Something was heard of the agent: it can be reached. */
    void onHeard(Address agent) { this->avoided.erase(agent); }

    /** Judges openings without an answer. @return Agents that are to be asked for a sign of life now. */
    std::vector<Address> tick(TimePoint now);

    bool isAvoided(Address agent) const { return this->avoided.contains(agent); }

private:
    struct Opening {
        Address target; ///< First agent of the latest copy.
        TimePoint sent {};
        bool isJudged = false; ///< Answered, or counted against the target.
        Address owner; ///< Not valid until the upstream has answered.
        std::vector<Address> tried; ///< Targets of earlier copies.
    };

    struct Avoidance {
        TimePoint until {};
        TimePoint asked {};
    };

    Counters& counters;
    EventSink& events;
    std::unordered_map<FlowKey, Opening> openings;
    std::map<Address, Avoidance> avoided;
    TimePoint lastTick {};
};

} // namespace lavender
