/** @file action_type.h Actions that the decision library returns for its daemon to carry out. */
#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"
#include "wire/message_type.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace lavender {

/** Send a message to another balancer or agent, as one datagram. */
struct SendMessage {
    Address to;
    Message message;
};

/** Send a packet of a flow to its caller, through the fabric. */
struct SendToCaller {
    FlowPacket packet;
};

/** Deliver an opaque packet to the agent's upstream. */
struct SendToUpstream {
    Bytes packet;
};

/** Pass a request to the upstream; its result is reported under the same id. */
struct StartUpstreamRequest {
    UpstreamRequestId id;
    std::string service; ///< Name of the service that the caller addressed.
    std::string key; ///< Idempotency key; may be empty.
    uint32_t attempt = 1; ///< Number of this attempt under the key, counted by the caller from 1.
    Duration remaining {}; ///< Time left until the caller's deadline.
    Bytes body;
};

/** Cancel a request that was passed to the upstream. */
struct CancelUpstreamRequest {
    UpstreamRequestId id;
};

/** Fetch the configuration, and members if asked for, from another process over TCP. */
struct FetchSnapshot {
    Address from;
    SnapshotRequest request;
};

/** One action. */
using Action = std::variant<SendMessage, SendToCaller, SendToUpstream, StartUpstreamRequest, CancelUpstreamRequest, FetchSnapshot>;

/** Actions in the order in which they are carried out. */
using Actions = std::vector<Action>;

/** Appends an action that sends @p payload to the caller of @p flow. */
inline void pushToCaller(Actions& actions, const FlowKey& flow, Bytes payload)
{
    FlowPacket& packet = std::get<SendToCaller>(actions.emplace_back(std::in_place_type<SendToCaller>)).packet;
    packet.flow = flow;
    packet.isToCaller = true;
    packet.payload = std::move(payload);
}

/** Appends an action that delivers @p packet to the upstream. */
inline void pushToUpstream(Actions& actions, Bytes packet)
{
    std::get<SendToUpstream>(actions.emplace_back(std::in_place_type<SendToUpstream>)).packet = std::move(packet);
}

} // namespace lavender
