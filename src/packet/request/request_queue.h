/** @file request_queue.h Requests on open flows that wait at the agent while the slots and the short queue of its upstream are full. */
#pragma once

#include "config/rule_type.h"
#include "core/address_type.h"
#include "core/time_type.h"
#include "wire/message_type.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lavender {

/** How full an upstream is, as its agent counts. */
struct UpstreamLoad {
    size_t slots = 1; ///< Requests that the upstream runs at once.
    size_t placesTaken = 0; ///< Requests at the upstream that take one of the places.
    size_t pending = 0; ///< All requests at the upstream that are not answered yet.
    std::optional<Duration> processing; ///< Mean time that the upstream works on one request; unknown at first.

    /** Places at the upstream: its slots and a short queue, so that it has the next request when it ends one. */
    size_t places() const;
    bool hasPlace() const { return this->placesTaken < this->places(); }
};

/** How soon a request has to be answered. */
struct RequestTerms {
    const RouteRule* route = nullptr; ///< Route of the flow; null if unknown.
    Duration spent {}; ///< Of the route's goal and timeout, before the request arrived: the caller waited for its flow to open.

    /** Time in which the answer has to come to be of use: the goal, or where it has passed or is not stated, the timeout. */
    std::optional<Duration> answerTime() const;
};

/** What becomes of the first packet of a request. */
enum class RequestAdmission : uint8_t {
    Send, ///< The upstream has a place for it.
    Hold, ///< It waits here.
    PassOn, ///< It can't be answered in time from here, or the memory is full: the upstream takes or sheds it, and the caller is told at once.
};

/** What became of a later packet of a flow whose request is held. */
enum class FollowResult : uint8_t {
    Added, ///< It waits behind the held packets of its flow.
    Replaced, ///< It is the caller's copy of a held packet, and replaces it.
    NoRoom, ///< The memory is full: the flow has to be released.
};

/** A packet that waits, in the order of its flow. */
struct HeldPacket {
    uint32_t sequence = 0; ///< Sequence number of its first data byte.
    Bytes packet;
};

/** A request that leaves the queue. */
struct ReleasedRequest {
    FlowKey flow;
    std::vector<HeldPacket> packets; ///< In the order of the flow; at least one.
    Duration waited {}; ///< Since its first packet arrived.
};

/**
 * Queue of the requests of open flows, at most one a flow, ordered by the priority of the flow's route, then by the time left.
 * For some hundred requests; it neither reads a clock nor sends.
 */
class RequestQueue {
public:
    /** Decides on the first packet of a request that arrives now on flow @p flow, which is not held. */
    RequestAdmission admit(TimePoint now, const FlowKey& flow, const RequestTerms& terms, const UpstreamLoad& load) const;

    /** Holds the first packet of a request, after admit() said Hold. */
    void hold(TimePoint now, const FlowKey& flow, const RequestTerms& terms, const UpstreamLoad& load, HeldPacket packet);

    /** Adds a later packet of a held flow, or replaces the held packet that it is a copy of. */
    FollowResult follow(const FlowKey& flow, HeldPacket packet);

    /** Takes the most urgent request out. @return None if nothing is held. */
    std::optional<ReleasedRequest> takeNext(TimePoint now);

    /** Takes out a request that could not be answered within its time any more if it waited longer. @return None if none is due. */
    std::optional<ReleasedRequest> takeDue(TimePoint now);

    /** Takes out the request of one flow. @return None if the flow is not held. */
    std::optional<ReleasedRequest> take(TimePoint now, const FlowKey& flow);

    bool isHeld(const FlowKey& flow) const { return this->requests.contains(flow); }
    size_t size() const { return this->requests.size(); }
    size_t bytes() const { return this->heldBytes; } ///< Bytes of all held packets.

    static constexpr size_t maximumRequests = 256;
    static constexpr size_t maximumBytes = size_t { 512 } * 1024; ///< Of held packets; an agent's machine may have 64 MB.
    static constexpr size_t maximumPacketsPerFlow = 16; ///< Packets that a caller has in flight at most.

private:
    /** Position of a request in the order; the lowest leaves first. */
    struct Rank {
        uint8_t priority = 0;
        TimePoint leaveBy {}; ///< When it has to leave, so that it can still be answered within its time.
        FlowKey flow;

        auto operator<=>(const Rank&) const = default;
    };

    struct Request {
        Rank rank;
        TimePoint arrivedAt {};
        std::vector<HeldPacket> packets;
    };

    static Rank rankOf(TimePoint now, const FlowKey& flow, const RequestTerms& terms, const UpstreamLoad& load);

    std::unordered_map<FlowKey, Request> requests;
    std::set<Rank> order; ///< Rank of each entry of requests.
    size_t heldBytes = 0;
};

} // namespace lavender
