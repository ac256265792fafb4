/** @file packet_service.cpp Routes with several services: which openings an agent takes, and the way to a flow's owner in another service. */
#include "packet/packet_agent_base.h"

#include "core/text_func.h"
#include "steer/route_choice.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration briefSearchTime = 60ms; ///< 20 trips between zones; one agent without a reply must not hide a flow of another service.

    /** True if the packet returns to its present service, so that a first look there may be brief. */
    bool returnsToService(const ForwardedPacket& packet)
    {
        return std::any_of(packet.otherServices.begin(), packet.otherServices.end(), [&](const ServiceEntry& entry) { return entry.service == packet.service; });
    }

} // namespace

/**
 * True if the rules in force here do not send this opening packet to this agent's service. A balancer with later rules is trusted, and
 * so is one that does not state its rules, unless the rules send the packet to other services only.
 */
bool PacketAgent::isRoutedElsewhere(const ForwardedPacket& opening) const
{
    if (!this->follower.hasRules() || opening.rulesRevision > this->follower.revision()) {
        return false;
    }
    const std::vector<WeightedService> services = servicesAt(this->follower.current(), opening.packet.flow.service);
    if (services.empty()) {
        return opening.rulesRevision.isValid();
    }
    return std::none_of(services.begin(), services.end(), [this](const WeightedService& entry) { return entry.service == this->serviceHash && entry.weight > 0; });
}

/** Refuses an opening packet that the rules send to other services. The balancer gets newer rules, and the caller's next copy follows them. */
void PacketAgent::refuseRoutedElsewhere(TimePoint now, const ForwardedPacket& opening, Actions& actions)
{
    this->count.add(Counter::OpeningsRoutedElsewhere);
    this->events.log(EventLevel::Info, "opening-passed",
        {
            { "flow", formatFlow(opening.packet.flow) },
            { "reason", "route_of_other_services" },
            { "revision", formatRevision(this->follower.revision()) },
            { "balancer_revision", formatRevision(opening.rulesRevision) },
        });
    this->reportOutcome(now, opening.packet.flow, OpeningResult::OtherRules, opening.balancer, actions);
}

/** Sends a packet to an agent of the next service that its flow may be at. @return False if there is none. */
bool PacketAgent::passToNextService(ForwardedPacket packet, Actions& actions)
{
    if (packet.otherServices.empty()) {
        return false;
    }
    const ServiceEntry next = packet.otherServices.front();
    packet.otherServices.erase(packet.otherServices.begin());
    packet.service = next.service;
    packet.candidates.clear();
    packet.visited = 0;
    packet.hops = 1; // The first agent on the way still awaits the owner's report.
    ++packet.servicePasses;
    packet.searcher = {};
    this->count.add(Counter::PacketsPassedToService);
    this->events.log(EventLevel::Info, "flow-passed-to-service",
        {
            { "flow", formatFlow(packet.packet.flow) },
            { "agent", formatAddress(next.agent) },
            { "services_left", std::to_string(packet.otherServices.size()) },
        });
    if (packet.home.isValid() && packet.home != this->settings.address) {
        // Not a denial: the first agent waits for the owner a little longer.
        actions.push_back(SendMessage { packet.home, FlowQueryReply { .flow = packet.packet.flow, .responder = this->settings.address, .mayHoldFlow = true } });
    }
    actions.push_back(SendMessage { next.agent, std::move(packet) });
    return true;
}

/**
 * Ends a search that was only to be brief, and passes its packet to the next service. So does a search for a lookup: its packet may have
 * been lost before it reached that service.
 * @return False if the search has to go on.
 */
bool PacketAgent::endBriefSearch(const FlowKey& flow, Actions& actions)
{
    const auto found = this->searches.find(flow);
    if (found == this->searches.end() || !(found->second.isLookup || returnsToService(found->second.packet))) {
        return false;
    }
    if (found->second.packet.otherServices.empty()) {
        return false;
    }
    ForwardedPacket packet = std::move(found->second.packet);
    this->searches.erase(found);
    return this->passToNextService(std::move(packet), actions);
}

/** Ends the brief searches that some agent has not answered in time. */
void PacketAgent::endOverdueBriefSearches(TimePoint now, Actions& actions)
{
    std::vector<FlowKey> overdue;
    for (const auto& [flow, search] : this->searches) {
        if (now - search.startedAt >= briefSearchTime && !search.packet.otherServices.empty()) {
            overdue.push_back(flow);
        }
    }
    for (const FlowKey& flow : overdue) {
        (void)this->endBriefSearch(flow, actions);
    }
}

/** Reports a flow that was looked for in another service to the balancer and to the first agent on the packet's way, which stops looking. */
void PacketAgent::reportOwnerToOtherService(const FlowKey& flow, Address home, Address balancer, Actions& actions) const
{
    const Address own = this->settings.address;
    if (home.isValid() && home != own) {
        actions.push_back(SendMessage { home, FlowQueryReply { .flow = flow, .responder = own, .owner = own, .isOtherService = true } });
    }
    if (balancer.isValid()) {
        actions.push_back(SendMessage { balancer, OpeningOutcome { .flow = flow, .agent = own, .result = OpeningResult::Accepted, .service = this->serviceHash, .isOpen = true } });
    }
}

/** True if a flow that no agent of this service holds cannot be at another one: the packet has been to all services of its route. */
bool PacketAgent::wereAllServicesAsked(TimePoint now, const ForwardedPacket& packet) const
{
    const size_t services = this->routeHistory.serviceCount(now, packet.packet.flow.service);
    return services <= 1 || packet.servicePasses + size_t { 2 } >= 2 * services;
}

} // namespace lavender
