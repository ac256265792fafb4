/** @file packet_hold.cpp Requests on open flows: counts their places at the upstream, and holds them while no place is free. */
#include "packet/packet_agent_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration defaultPlaceTime = 2s; ///< A request without an answer keeps its place for this long if the route states no timeout.
    constexpr uint16_t packetsInFlight = 16; ///< Of a caller, at most. A request of more is still on its way to the upstream.
    constexpr Duration logInterval = 1s; ///< Between two requests-held events.

} // namespace

/** True if the rules state a priority or a timeout on a route of the service: then requests on its open flows may be held. */
bool PacketAgent::doRulesHoldRequests() const
{
    const Configuration& configuration = this->follower.current();
    const ServiceRule* rule = configuration.findService(this->settings.service);
    return rule != nullptr && std::any_of(configuration.routes.begin(), configuration.routes.end(), [&](const auto& entry) {
        const RouteRule& route = entry.second;
        const bool isOwn = std::any_of(route.shares.begin(), route.shares.end(), [&](const RouteShare& share) {
            return configuration.services[share.service.value].nameHash == rule->nameHash;
        });
        return isOwn && (route.timeout || route.priority != 0);
    });
}

const RouteRule* PacketAgent::findRoute(Address service) const
{
    const auto& routes = this->follower.current().routes;
    const auto found = routes.find(service);
    return found == routes.end() ? nullptr : &found->second;
}

UpstreamLoad PacketAgent::upstreamLoad() const
{
    return { this->peers.self().slots, this->placesTaken, this->placesTaken + this->extraRequests, this->processingTime.mean() };
}

/** Changes which kind of place a flow's request takes at the upstream, and adjusts the counts. */
void PacketAgent::setPlace(PacketFlow& flow, RequestPlace place)
{
    this->placesTaken -= flow.place == RequestPlace::Regular ? 1 : 0;
    this->extraRequests -= flow.place == RequestPlace::Extra ? 1 : 0;
    flow.place = place;
    this->placesTaken += place == RequestPlace::Regular ? 1 : 0;
    this->extraRequests += place == RequestPlace::Extra ? 1 : 0;
}

/** True if the packet's data was sent to the upstream before: the caller has not seen the acknowledgement. */
bool PacketAgent::isCopy(const PacketFlow& flow, const Segment& segment) const
{
    return this->holdsRequests && flow.sentUpTo && static_cast<int32_t>(segment.sequence + segment.dataBytes - *flow.sentUpTo) <= 0;
}

/** Counts data of a caller that goes to the upstream: the first packet of a request takes a place. @param place Kind of place. */
void PacketAgent::recordRequestData(PacketFlow& flow, const Segment& segment, RequestPlace place, bool isFirst)
{
    if (!this->holdsRequests) {
        return;
    }
    flow.sentUpTo = segment.sequence + segment.dataBytes;
    flow.requestPackets = isFirst ? uint16_t { 1 } : static_cast<uint16_t>(std::min<uint32_t>(flow.requestPackets + 1U, UINT16_MAX));
    if (isFirst) {
        this->setPlace(flow, place);
    } else if (flow.requestPackets > packetsInFlight) {
        this->setPlace(flow, RequestPlace::None); // The upstream works on an upload only when all of it has arrived.
    }
}

/**
 * Holds a caller's packet if it begins a request for which the upstream has no place, or follows a held one.
 * @return False if the packet is to be sent now.
 */
bool PacketAgent::holdPacket(TimePoint now, PacketFlow& flow, const Segment& segment, const Bytes& packet, Actions& actions)
{
    const FlowKey key = segment.flowOfCaller();
    if (!this->holdsRequests || flow.stage != FlowStage::Open || segment.isOpening) {
        return false;
    }
    if (segment.isReset) {
        this->dropHeldRequest(now, key);
        return false;
    }
    if (segment.dataBytes == 0 && !(segment.isFinishing && this->requestQueue.isHeld(key))) {
        return false; // A pure acknowledgement may overtake data: it stops retransmissions of the upstream.
    }
    if (this->requestQueue.isHeld(key)) {
        flow.lastPacketAt = now;
        const FollowResult result = this->requestQueue.follow(key, { segment.sequence, packet });
        if (result == FollowResult::Replaced) {
            this->count.add(Counter::HeldCopies);
        } else if (result == FollowResult::NoRoom) {
            this->sendReleased(now, *this->requestQueue.take(now, key), RequestPlace::Extra, actions);
            return false;
        }
        return true;
    }
    if (flow.requestsAtArrival != 0 || this->isCopy(flow, segment) || this->mustSendAll()) {
        return false;
    }
    this->releaseRequests(now, actions);
    const RequestTerms terms { this->findRoute(key.service), flow.openingAge };
    const UpstreamLoad load = this->upstreamLoad();
    switch (this->requestQueue.admit(now, key, terms, load)) {
    case RequestAdmission::Send:
        return false;
    case RequestAdmission::Hold:
        this->count.add(Counter::RequestsHeld);
        flow.lastPacketAt = now;
        this->setAwaitingAnswer(now, flow, true);
        this->requestQueue.hold(now, key, terms, load, { segment.sequence, packet });
        return true;
    case RequestAdmission::PassOn:
        this->count.add(Counter::RequestsPassedOn);
        this->sendToUpstream(now, flow, segment, packet, RequestPlace::Extra, actions);
        return true;
    }
    return false;
}

/** True if no request may wait here: this agent stops, or the upstream that they wait for is gone. */
bool PacketAgent::mustSendAll() const
{
    return this->isStopping || this->hasDeregistered || this->isUpstreamReplaced || !this->holdsRequests;
}

/** Sends the requests for which there is a place now, the most urgent first. */
void PacketAgent::releaseRequests(TimePoint now, Actions& actions)
{
    while (this->requestQueue.size() != 0 && this->upstreamLoad().hasPlace()) {
        this->sendReleased(now, *this->requestQueue.takeNext(now), RequestPlace::Regular, actions);
    }
}

/** Sends all held requests: the upstream takes, sheds or returns them, and the callers are told. */
void PacketAgent::releaseAllRequests(TimePoint now, Actions& actions)
{
    while (const auto released = this->requestQueue.takeNext(now)) {
        this->sendReleased(now, *released, RequestPlace::Extra, actions);
    }
    this->isUpstreamReplaced = false;
}

void PacketAgent::sendReleased(TimePoint now, const ReleasedRequest& released, RequestPlace place, Actions& actions)
{
    const auto found = this->flows.find(released.flow);
    if (found == this->flows.end()) {
        return;
    }
    this->count.add(place == RequestPlace::Regular ? Counter::RequestsReleased : Counter::RequestsPassedOn);
    this->requestWaits.add(released.waited);
    this->longestWait = std::max(this->longestWait, released.waited);
    for (const HeldPacket& held : released.packets) {
        this->sendToUpstream(now, found->second, *this->codec.parse(held.packet), held.packet, place, actions);
    }
}

/** Drops the held request of a flow that has ended: its caller ended it or is told so, and no part of it has reached the upstream. */
void PacketAgent::dropHeldRequest(TimePoint now, const FlowKey& flow)
{
    if (this->requestQueue.take(now, flow)) {
        this->count.add(Counter::HeldDropped);
    }
}

/** Handles the held request of a flow that its upstream closes, then the places that the upstream's packet has freed. */
void PacketAgent::onUpstreamProgress(TimePoint now, const Segment& segment, Actions& actions)
{
    const FlowKey key = segment.flowOfUpstream();
    if (segment.isReset) {
        this->dropHeldRequest(now, key);
    } else if (segment.isFinishing) {
        if (const auto released = this->requestQueue.take(now, key)) {
            this->sendReleased(now, *released, RequestPlace::Extra, actions);
        }
    }
    this->releaseRequests(now, actions);
}

/** Frees the places of requests that the upstream has left unanswered for longer than their callers wait. */
void PacketAgent::expirePlace(TimePoint now, const FlowKey& key, PacketFlow& flow)
{
    if (flow.place == RequestPlace::None) {
        return;
    }
    const RouteRule* route = this->findRoute(key.service);
    if (now - flow.awaitingSince >= (route != nullptr && route->timeout ? *route->timeout : defaultPlaceTime)) {
        this->setPlace(flow, RequestPlace::None);
    }
}

/** Begins to count anew for another lifetime of the upstream, which has none of the requests. */
void PacketAgent::resetPlaces()
{
    for (auto& [key, flow] : this->flows) {
        this->setPlace(flow, RequestPlace::None);
    }
    this->isUpstreamReplaced = this->requestQueue.size() != 0;
}

/** Sends what is due, and logs that requests were held. */
void PacketAgent::tickHeldRequests(TimePoint now, Actions& actions)
{
    if (this->mustSendAll()) {
        this->releaseAllRequests(now, actions);
    }
    this->releaseRequests(now, actions);
    while (const auto due = this->requestQueue.takeDue(now)) {
        this->sendReleased(now, *due, RequestPlace::Extra, actions);
    }
    const uint64_t held = this->count.get(Counter::RequestsHeld);
    if (held == this->loggedHeld || now < this->nextHoldLog) {
        return;
    }
    this->events.log(EventLevel::Info, "requests-held",
        {
            { "held", std::to_string(held - this->loggedHeld) },
            { "now", std::to_string(this->requestQueue.size()) },
            { "longest_wait_ms", std::to_string(toMilliseconds(this->longestWait)) },
            { "places_taken", std::to_string(this->placesTaken) },
            { "extra", std::to_string(this->extraRequests) },
            { "slots", std::to_string(this->peers.self().slots) },
        });
    this->loggedHeld = held;
    this->nextHoldLog = now + logInterval;
    this->longestWait = {};
}

} // namespace lavender
