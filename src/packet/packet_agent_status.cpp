/** @file packet_agent_status.cpp Metrics and status of a PacketAgent. */
#include "packet/packet_agent_base.h"

#include "core/status_func.h"

namespace lavender {

MetricsView PacketAgent::metrics() const
{
    return {
        .counters = &this->count,
        .gauges = {
            { "flows", this->flows.size() },
            { "requests_in_flight", this->flowsAwaitingAnswer },
            { "requests_held", this->requestQueue.size() },
            { "held_bytes", this->requestQueue.bytes() },
            { "directory_flows", this->directory.flowCount() },
            { "registrations_pending", this->registrar.pendingCount() },
            { "revision", this->follower.revision().position.number },
            { "era", this->follower.revision().position.era },
        },
        .histograms = {
            { "handshake", &this->handshakeLatencies },
            { "answer", &this->answerLatencies },
            { "request_wait", &this->requestWaits },
        },
    };
}

std::string PacketAgent::status(TimePoint now, uint64_t droppedDatagrams) const
{
    StatusView view {
        .role = "agent",
        .address = this->settings.address,
        .zone = this->settings.zone,
        .service = this->settings.service,
        .state = toString(this->peers.self().state),
        .revision = this->follower.revision(),
        .counters = &this->count,
    };
    view.revisionAge = now - this->follower.inForceSince();
    view.gauges = {
        { "flows", this->flows.size() },
        { "in_flight", this->flowsAwaitingAnswer },
        { "held", this->requestQueue.size() },
        { "slots", this->peers.self().slots },
        { "datagrams_dropped", droppedDatagrams },
        { "peers", this->peers.otherAgents().size() },
        { "report_age_ms", static_cast<uint64_t>(toMilliseconds(now - this->latestReportAt)) },
    };
    return formatStatus(view);
}

} // namespace lavender
