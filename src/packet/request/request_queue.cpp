#include "packet/request/request_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration holdWithoutBudget = 150ms; ///< Unknown timeout: shorter than the time until a caller's first retransmission.
    constexpr size_t maximumPacketBytes = 2048; ///< No packet has more.
    constexpr Duration trip = 20ms; ///< Of the latency goal: the packet's way here, and the answer's way back.
    constexpr Duration leaveMargin = 70ms; ///< Of the timeout: the trip, and the time until the next tick.
    constexpr Duration upstreamQueueTime = 20ms; ///< Work that the upstream keeps queued, so that a delay of this agent leaves no slot idle.
    constexpr size_t maximumQueuedPerSlot = 3; ///< Upstreams queue some four requests a slot.

} // namespace

size_t UpstreamLoad::places() const
{
    const size_t fewest = std::max<size_t>(1, this->slots / 2);
    if (!this->processing) {
        return this->slots + fewest;
    }
    const auto queued = static_cast<size_t>(upstreamQueueTime * static_cast<int64_t>(this->slots) / std::max<Duration>(*this->processing, 1ms));
    return this->slots + std::clamp(queued, fewest, std::max(fewest, this->slots * maximumQueuedPerSlot));
}

std::optional<Duration> RequestTerms::answerTime() const
{
    if (this->route == nullptr) {
        return std::nullopt;
    }
    const bool isGoalOpen = this->route->latencyGoal && *this->route->latencyGoal > this->spent;
    const std::optional<Duration>& time = isGoalOpen ? this->route->latencyGoal : this->route->timeout;
    return time ? std::optional(*time - this->spent) : std::nullopt;
}

/** A request leaves when the time that is left is only twice the mean processing time, as half of all requests take longer than the mean. */
RequestQueue::Rank RequestQueue::rankOf(TimePoint now, const FlowKey& flow, const RequestTerms& terms, const UpstreamLoad& load)
{
    const RouteRule* route = terms.route;
    const uint8_t priority = route == nullptr ? 0 : route->priority;
    if (route == nullptr || !route->timeout) {
        return { priority, now + holdWithoutBudget, flow };
    }
    const Duration reserve = leaveMargin + load.processing.value_or(Duration::zero()) * 2;
    return { priority, now + std::max<Duration>(*route->timeout - terms.spent - reserve, Duration::zero()), flow };
}

/**
 * A request is held only if its answer can be expected within the route's goal, or within the timeout if there is no goal or it has passed: elsewhere
 * there may be room, where a caller who is told so at once is served in time.
 */
RequestAdmission RequestQueue::admit(TimePoint now, const FlowKey& flow, const RequestTerms& terms, const UpstreamLoad& load) const
{
    if (load.hasPlace()) {
        return RequestAdmission::Send;
    }
    const Rank rank = rankOf(now, flow, terms, load);
    if (rank.leaveBy <= now || this->requests.size() >= maximumRequests || this->heldBytes + maximumPacketBytes > maximumBytes) {
        return RequestAdmission::PassOn;
    }
    const std::optional<Duration> answerTime = terms.answerTime();
    if (!answerTime || !load.processing) {
        return RequestAdmission::Hold;
    }
    const auto ahead = load.pending + static_cast<size_t>(std::distance(this->order.begin(), this->order.lower_bound(rank)));
    const Duration wait = *load.processing * static_cast<int64_t>(ahead) / static_cast<int64_t>(std::max<size_t>(load.slots, 1));
    // Half of all requests take longer than the mean; 4/3 of the mean covers most of them.
    return wait + *load.processing * 4 / 3 + trip <= *answerTime ? RequestAdmission::Hold : RequestAdmission::PassOn;
}

void RequestQueue::hold(TimePoint now, const FlowKey& flow, const RequestTerms& terms, const UpstreamLoad& load, HeldPacket packet)
{
    const Rank rank = rankOf(now, flow, terms, load);
    this->heldBytes += packet.packet.size();
    this->order.insert(rank);
    Request& request = this->requests[flow];
    request.rank = rank;
    request.arrivedAt = now;
    request.packets.push_back(std::move(packet));
}

FollowResult RequestQueue::follow(const FlowKey& flow, HeldPacket packet)
{
    std::vector<HeldPacket>& packets = this->requests.at(flow).packets;
    // Sequence numbers wrap around, so they are compared by their distance.
    const auto place = std::find_if(packets.begin(), packets.end(), [&packet](const HeldPacket& held) {
        return static_cast<int32_t>(held.sequence - packet.sequence) >= 0;
    });
    if (place != packets.end() && place->sequence == packet.sequence) {
        this->heldBytes = this->heldBytes - place->packet.size() + packet.packet.size();
        *place = std::move(packet);
        return FollowResult::Replaced;
    }
    if (packets.size() >= maximumPacketsPerFlow || this->heldBytes + packet.packet.size() > maximumBytes) {
        return FollowResult::NoRoom;
    }
    this->heldBytes += packet.packet.size();
    packets.insert(place, std::move(packet));
    return FollowResult::Added;
}

std::optional<ReleasedRequest> RequestQueue::takeNext(TimePoint now)
{
    return this->order.empty() ? std::nullopt : this->take(now, FlowKey(this->order.begin()->flow));
}

std::optional<ReleasedRequest> RequestQueue::takeDue(TimePoint now)
{
    const auto due = std::find_if(this->order.begin(), this->order.end(), [now](const Rank& rank) { return rank.leaveBy <= now; });
    return due == this->order.end() ? std::nullopt : this->take(now, FlowKey(due->flow));
}

std::optional<ReleasedRequest> RequestQueue::take(TimePoint now, const FlowKey& flow)
{
    const auto node = this->requests.extract(flow);
    if (node.empty()) {
        return std::nullopt;
    }
    Request& request = node.mapped();
    this->order.erase(request.rank);
    for (const HeldPacket& held : request.packets) {
        this->heldBytes -= held.packet.size();
    }
    return ReleasedRequest { flow, std::move(request.packets), now - request.arrivedAt };
}

} // namespace lavender
