/** @file balancer_route.cpp Chooses the service of a caller's packet, and lists the other services that its flow may be at. */
#include "balancer/balancer_base.h"

#include "core/text_func.h"

#include <algorithm>

namespace lavender {

namespace {

    std::string formatServices(const Configuration& configuration, Address address)
    {
        std::string text;
        for (const WeightedService& service : servicesAt(configuration, address)) {
            const auto id = configuration.serviceByHash.at(service.service);
            appendText(text, text.empty() ? "" : ",", configuration.services[id.value].name, ":", service.weight);
        }
        return text.empty() ? "none" : text;
    }

} // namespace

/** Takes the routes of rules that have come into force. */
void Balancer::updateRoutes(TimePoint now)
{
    const Configuration& configuration = this->follower.current();
    this->splitTraffic.update(configuration);
    for (Address address : this->routeHistory.update(now, configuration)) {
        if (this->events != nullptr) {
            this->events->log(EventLevel::Info, "route-changed",
                {
                    { "route", formatAddress(address) },
                    { "services", formatServices(configuration, address) },
                    { "revision", formatRevision(this->follower.revision()) },
                });
        }
    }
}

/** Services of a packet: one for an opening packet, for another one all that its flow may be at, that of its known owner first. */
std::vector<uint64_t> Balancer::servicesFor(TimePoint now, const FlowPacket& packet) const
{
    std::vector<uint64_t> services;
    // Without opaque packets agents do not look in other services, and openings are not marked reliably.
    if (packet.mark == PacketMark::Opening || this->openingTracker == nullptr) {
        if (const std::optional<uint64_t> service = this->routeHistory.serviceForOpening(packet.flow)) {
            services.push_back(*service);
        }
        return services;
    }
    services = this->routeHistory.servicesFor(now, packet.flow);
    if (const std::optional<uint64_t> known = this->openingTracker->serviceOf(packet.flow)) {
        std::erase(services, *known);
        services.insert(services.begin(), *known);
        services.resize(std::min(services.size(), maximumRouteServices));
    }
    return services;
}

/**
 * Sets service, candidates and other services of a packet. Agents look for the flow in one service after the other, first briefly and
 * then, since a brief look is not enough to reset a flow, thoroughly. The last service needs no brief one.
 * @return False if no service has an agent that can take the packet.
 */
bool Balancer::selectAgents(TimePoint now, ForwardedPacket& forwarded)
{
    const Configuration& configuration = this->follower.current();
    std::vector<ServiceEntry> entries;
    for (uint64_t service : this->servicesFor(now, forwarded.packet)) {
        const auto id = configuration.serviceByHash.find(service);
        if (id == configuration.serviceByHash.end()) {
            continue; // A former service that the rules no longer define.
        }
        ForwardedPacket inService { .packet = { .flow = forwarded.packet.flow, .mark = forwarded.packet.mark } };
        if (!this->steering->selectCandidates(now, configuration.services[id->second.value], inService)) {
            continue;
        }
        if (this->openingTracker != nullptr && forwarded.packet.mark != PacketMark::Opening) {
            this->openingTracker->orderCandidates(now, inService, this->members.table());
        }
        if (entries.empty()) {
            forwarded.service = inService.service;
            forwarded.home = inService.home;
            forwarded.candidates = inService.candidates;
        }
        entries.push_back({ service, inService.candidates.front() });
    }
    if (entries.empty()) {
        return false;
    }
    this->splitTraffic.add(forwarded.packet.flow.service, forwarded.service, forwarded.packet.mark == PacketMark::Opening);
    forwarded.otherServices.assign(entries.begin() + 1, entries.end());
    forwarded.otherServices.insert(forwarded.otherServices.end(), entries.begin(), entries.end() - 1);
    return true;
}

/** Handles an agent's answer to an offer, or its report that it owns a flow that was looked for in another service. */
void Balancer::handle(TimePoint now, const OpeningOutcome& outcome, Actions& actions)
{
    if (outcome.isOpen) {
        this->openingTracker->learnOwner(now, outcome);
        return;
    }
    this->openingTracker->onOutcome(now, outcome, actions);
    this->handleRefusedOpenings(now, actions);
    if (outcome.result == OpeningResult::OtherRules) {
        this->requestAnnounce(outcome.agent, actions); // Its announcement shows the newer revision, and the rules are fetched.
    }
}

} // namespace lavender
