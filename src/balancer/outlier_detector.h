/** @file outlier_detector.h Outlier detection: finds upstreams that end more requests badly than others of their service. */
#pragma once

#include "core/address_type.h"
#include "core/counter_type.h"
#include "core/event_base.h"
#include "core/time_type.h"
#include "wire/message_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lavender {

/** Settings of an OutlierDetector. */
struct OutlierSettings {
    uint32_t oneIn = 0; ///< At most one in this many known agents of a service is set aside; 0 turns outlier detection off.
};

/**
 * Sets agents aside whose upstreams are ill, by comparing each with the other agents of its service at the same moment.
 *
 * A service that fails or is slow as a whole has no outlier. An agent that is set aside gets trials, less than a fifth of an even share
 * of the service's openings at this balancer, and is back as soon as its latest requests have ended well.
 */
class OutlierDetector {
public:
    OutlierDetector(Counters& counters, EventSink& events)
        : counters(counters)
        , events(events)
    {
    }

    /** Puts new settings in force. With outlier detection off, all agents are back. */
    void configure(const OutlierSettings& newSettings);

    /**
     * Takes what an agent reported of its upstream's requests, and decides on the agent anew.
     * @param service hashText of the service's name.
     */
    void onReport(TimePoint now, uint64_t service, Address agent, const RequestOutcomes& requests);

    /** An upstream of the service accepted an opening of this balancer. */
    void onPlaced(uint64_t service);

    /** An opening is offered to the agent; counts as a trial if the agent is set aside. */
    void onOffer(uint64_t service, Address agent);

    /** True if the agent is set aside and has had its share of trials, so that others come first. */
    bool isHeldBack(uint64_t service, Address agent) const;

    /** True if the agent is set aside. */
    bool isAside(uint64_t service, Address agent) const;

    /** Forgets agents that have not reported for a long time. */
    void expire(TimePoint now);

    /** Agents that are set aside now, of all services. */
    size_t asideCount() const { return this->asideTotal; }

private:
    /** What is known of one agent. */
    struct AgentState {
        RequestOutcomes requests; ///< Its latest report.
        TimePoint reportedAt {};
        std::optional<TimePoint> suspectedSince; ///< Since when each report has shown a fault; none if the latest has not.
        TimePoint backSince {}; ///< When it was last taken back; zero if it never was set aside.
        std::optional<TimePoint> asideSince; ///< When it was set aside; none if it is not.
        uint64_t placedBefore = 0; ///< ServiceState::placed when it was set aside.
        uint64_t trials = 0; ///< Offers to it since then.
    };

    /** The agents of one service. */
    struct ServiceState {
        std::map<Address, AgentState> agents;
        uint64_t placed = 0; ///< Openings that an upstream of the service has accepted.
    };

    /** The other agents of a service at one moment. */
    struct Baseline {
        double failedShare = 0; ///< Share of their requests that end badly.
        double processingUs = 0; ///< Median of their mean processing times; 0 if unknown.
    };

    /** An agent that is set aside; null if it is not. */
    const AgentState* findAside(uint64_t service, Address agent) const;
    std::optional<Baseline> baselineOf(TimePoint notBefore, const ServiceState& state, Address agent) const;
    static std::string_view faultOf(const RequestOutcomes& requests, const Baseline& others, double evidenceNeeded);
    void considerSettingAside(TimePoint now, ServiceState& state, Address agent, AgentState& agentState);
    static bool hasRecovered(const RequestOutcomes& requests, const Baseline& others);
    bool mayAsideOneMore(const ServiceState& state) const;
    void setAside(TimePoint now, ServiceState& state, Address agent, AgentState& agentState, std::string_view fault, const Baseline& others);
    void takeBack(TimePoint now, Address agent, AgentState& agentState, std::string_view reason);

    OutlierSettings settings;
    Counters& counters;
    EventSink& events;
    std::map<uint64_t, ServiceState> services; ///< By hashText of the name.
    size_t asideTotal = 0; ///< Agents that are set aside, of all services.
};

} // namespace lavender
