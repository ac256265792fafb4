/** @file counter_type.h The counters of a process. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lavender {

/** One counter. counterTable has the names and help texts in the same order. */
enum class Counter : uint8_t {
    PacketsReceived, ///< Packets of flows received: at a balancer from callers, at an agent from balancers and agents.
    PacketsForwarded, ///< Packets for which a balancer found candidate agents.
    PacketsNoService, ///< Packets not routed by a balancer: no service of the configuration has their address.
    PacketsNoUpstream, ///< Packets not routed by a balancer: the service has no agent to send them to.
    PacketsWrongService, ///< Packets, flow queries and flow moves dropped by an agent of another service.
    PacketsHopLimit, ///< Packets dropped: they passed maximumHops agents or their candidate list is full.
    PacketsZoneOut, ///< Packets of unknown flows that reached an agent whose availability zone was taken out; they are not dropped for that.
    PayloadsMalformed, ///< Packets dropped: their content does not decode.
    FlowsOpened, ///< Flows that this agent accepted at their opening packet.
    FlowsClosed, ///< Flows that their caller closed.
    FlowsGivenUp, ///< Flows that an agent ended because its availability zone was taken out.
    FlowsRefused, ///< Opening packets declined by an agent, or refused by a balancer since no agent took them.
    FlowsLost, ///< Flows for which no agent was found that holds them; the caller is not told in every case.
    FlowsMoved, ///< Flows handed over to another agent.
    FlowsReceived, ///< Flows taken over from another agent.
    FlowsExpired, ///< Flows forgotten by an agent after they were unused, or not opened, for too long.
    PlacesUnused, ///< Flows whose callers sent no request in time, so that their places at the upstream were given back.
    Searches, ///< Searches begun: all agents of the service are asked for the owner of a flow.
    SearchesLimited, ///< Searches not begun: the token bucket is empty or too many searches are under way.
    Chained, ///< Packets that an agent forwarded to another agent (daisy chaining).
    RequestsHandedOver, ///< Requests passed to the upstream.
    RequestsAnswered, ///< Requests that ended as Verdict::Answered.
    RequestsNotRun, ///< Requests that ended as Verdict::NotRun.
    RequestsMayHaveRun, ///< Requests that ended as Verdict::MayHaveRun.
    RequestsRepeated, ///< Retransmissions of a request that an agent recognised and did not run again.
    AnswersLate, ///< Results of the upstream for requests that had already ended.
    UpstreamFailures, ///< Requests that the upstream shed, or whose exchange with it failed.
    AnnouncesRefused, ///< Announcements that a balancer ignored: not of an agent, with the balancer's own address, or not allowed by the rules.
    MembersSuspected, ///< Members marked suspect after missed probes or heartbeats.
    MembersGone, ///< Members marked as gone.
    ConfigurationsAccepted, ///< Configuration revisions put in force.
    ConfigurationsOld, ///< Configuration revisions ignored: not newer than the one in force.
    ConfigurationsRefused, ///< Configuration revisions ignored: the rules do not parse, or the patch does not fit.
    FlowsReset, ///< Resets sent to callers since the upstream returned a packet of an open flow.
    FlowsProbed, ///< Unknown flows of which a packet was delivered to the agent's own upstream to learn whether it holds them.
    PacketsReturned, ///< Packets that the upstream returned: it does not hold their flow, or takes no new one.
    ReportsDropped, ///< Heartbeats and deregistrations of the upstream dropped: out of order or from an earlier lifetime.
    AgentsAvoided, ///< Agents that left an offered opening packet unanswered and are tried last for a while.
    OpeningsDeferred, ///< Opening packets dropped without a reset since all queues were full; a retransmission may succeed.
    DirectoryLookups, ///< Unknown flows that an agent looked up in the flow directory.
    DirectoryUnknown, ///< Such lookups without a result: the flow is searched for in another way.
    RequestsHeld, ///< Requests on open flows that an agent held, since its upstream's slots and short queue were full.
    RequestsReleased, ///< Held requests that were sent when the upstream had a place for them.
    RequestsPassedOn, ///< Requests that were sent to a full upstream, since they could not be answered in time from the queue.
    HeldCopies, ///< Callers' copies of held packets, which replaced them.
    HeldDropped, ///< Held requests dropped with their flow, which had ended.
    PacketsQueueFull, ///< Packets dropped by a balancer: its link is full, and their flow had the most bytes waiting for it.
    PacketsOutdated, ///< Packets dropped by a balancer: they waited for its link until their sender retransmitted them.
    PacketsDelayed, ///< Packets that a balancer sent after they had waited for its link.
    OpeningsUnservable, ///< Opening packets reset on their first copy: no agent can answer within the route's timeout.
    OpeningsTakenPriority0, ///< Opening packets that this agent admitted, of priority 0; the next ones are of priority 1, 2, and 3 or less urgent.
    OpeningsTakenPriority1,
    OpeningsTakenPriority2,
    OpeningsTakenPriority3,
    OutliersAside, ///< Agents set aside since their upstreams end more requests badly than others of their service.
    OutlierTrials, ///< Openings offered to agents while they were set aside.
    OpeningsRoutedElsewhere, ///< Opening packets that an agent refused: its rules, later than the balancer's, send them to other services.
    PacketsPassedToService, ///< Packets that an agent passed to another service of their route, as no agent of its own holds the flow.
    HolderRounds, ///< Rounds in which all agents were asked whether they hold flows that seem to be gone.
    LossesRefuted, ///< Flows that seemed to be gone, but that an agent holds.
    LossesUnconfirmed, ///< Flows that seem to be gone and are not reset, as some agent did not answer.
    Count, ///< Number of counters.
};

/** Name and help text of one counter. */
struct CounterDescription {
    std::string_view name; ///< Without the "lavender_" prefix and "_total" suffix of the metric.
    std::string_view help; ///< One line for metric scrapers.
};

extern const std::array<CounterDescription, static_cast<size_t>(Counter::Count)> counterTable; ///< In the order of Counter.

/** The counters of one process; their values never decrease. */
class Counters {
public:
    void add(Counter counter, uint64_t amount = 1) { this->values[static_cast<size_t>(counter)] += amount; }
    uint64_t get(Counter counter) const { return this->values[static_cast<size_t>(counter)]; }

private:
    std::array<uint64_t, static_cast<size_t>(Counter::Count)> values {};
};

} // namespace lavender
