/** @file counter_table.cpp Metric names and help texts of the counters. */
#include "core/counter_type.h"

namespace lavender {

const std::array<CounterDescription, static_cast<size_t>(Counter::Count)> counterTable { {
    { "packets_received", "Packets of flows that came in" },
    { "packets_forwarded", "Packets of flows sent on to an agent" },
    { "packets_no_service", "Packets dropped: no service has their address" },
    { "packets_no_upstream", "Packets dropped: the service has no upstream" },
    { "packets_wrong_service", "Packets dropped: they belong to another service" },
    { "packets_hop_limit", "Packets dropped: passed too many agents" },
    { "packets_zone_out", "Packets that reached an agent whose zone is out" },
    { "payloads_malformed", "Packets dropped: their payload does not decode" },
    { "flows_opened", "Flows taken by this agent at their opening" },
    { "flows_closed", "Flows ended by their caller" },
    { "flows_given_up", "Flows ended since their zone was taken out" },
    { "flows_refused", "Opening packets refused: no agent takes the flow" },
    { "flows_lost", "Callers told that no agent holds their flow" },
    { "flows_moved", "Flows handed to another agent" },
    { "flows_received", "Flows taken over from another agent" },
    { "flows_expired", "Flows forgotten after the idle time" },
    { "searches", "Searches for the agent that holds a flow" },
    { "searches_limited", "Searches not begun: over the rate" },
    { "chained", "Packets passed on to another agent" },
    { "requests_handed_over", "Requests given to the upstream" },
    { "requests_answered", "Requests ended by an answer of the upstream" },
    { "requests_not_run", "Requests ended without being handed over" },
    { "requests_may_have_run", "Requests handed over that ended without an answer" },
    { "requests_repeated", "Repetitions recognised, not handed over again" },
    { "answers_late", "Answers of the upstream for requests that had ended" },
    { "upstream_failures", "Exchanges with the upstream that broke or were refused" },
    { "announces_refused", "Announcements that no rule allows" },
    { "members_suspected", "Members that missed their probes" },
    { "members_gone", "Members declared gone" },
    { "configurations_accepted", "Revisions put in force" },
    { "configurations_old", "Revisions ignored: not newer than the one in force" },
    { "configurations_refused", "Revisions ignored: their rules do not parse" },
    { "flows_reset", "Resets sent to callers of flows that their upstream no longer holds" },
    { "flows_probed", "Unknown flows that the own upstream was asked for by a packet" },
    { "packets_returned", "Packets that the upstream gave back" },
    { "reports_dropped", "Reports of upstreams that were late or of an earlier lifetime" },
    { "agents_avoided", "Agents passed over for a while: opening packets went unanswered" },
    { "openings_deferred", "Opening packets left to the caller's next copy: all queues were full" },
    { "directory_lookups", "Unknown flows looked up in the flow directory" },
    { "directory_unknown", "Lookups that the flow directory could not answer" },
} };

} // namespace lavender
