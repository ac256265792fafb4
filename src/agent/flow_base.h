/** @file flow_base.h The flows that an agent owns, and what it remembers of others. */
#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"
#include "core/verdict_type.h"
#include "wire/exchange_type.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavender {

/** How far a request has come. */
enum class RequestState : uint8_t {
    Collecting, ///< Parts are missing.
    Queued, ///< Whole; waits for a place at the upstream.
    HandedOver, ///< The upstream has it.
    Ended, ///< Has its verdict; the answer is kept for the caller.
};

/** One request of a flow. */
struct Request {
    uint64_t id = 0;
    uint32_t attempt = 1;
    bool isRepeatable = false;
    RequestState state = RequestState::Collecting;
    std::string key;
    TimePoint deadline {};
    TimePoint handedOverAt {};
    TimePoint endedAt {};
    HandOverId handOver;
    std::vector<Bytes> parts; ///< Received parts; empty ones are missing.
    std::vector<bool> received; ///< Which parts are there.
    Verdict verdict = Verdict::NotRun;
    VerdictReason reason = VerdictReason::None;
    uint32_t retryAfter = 0; ///< Milliseconds.
    Bytes answer;
};

/** Ids of a flow's requests that ended and were forgotten; they never run again. */
struct FinishedRequests {
    uint64_t through = 0; ///< All up to this one.
    std::vector<uint64_t> beyond; ///< Single ones above, in rising order.

    bool contains(uint64_t id) const;
    void add(uint64_t id);
    /** Counts all ids below the highest one as finished too. */
    void collapse();
};

/** One flow that this agent owns. */
struct Flow {
    FlowKey key;
    TimePoint lastHeard {};
    FinishedRequests finished;
    std::vector<Request> requests; ///< In rising order of id.
    Address movingTo; ///< Valid while the flow is handed to another agent; no work begins then.
    TimePoint moveSent {};
    uint32_t moves = 0; ///< Times that the flow has moved.

    Request* find(uint64_t id);
};

/** Why an agent remembers a flow that it does not own. */
enum class TraceKind : uint8_t {
    Elsewhere, ///< Another agent has it.
    Closed, ///< Its caller ended it.
    GivenUp, ///< It ended with its zone.
};

/** A flow that this agent does not own. */
struct FlowTrace {
    TraceKind kind = TraceKind::Elsewhere;
    Address owner; ///< For Elsewhere.
    uint32_t moves = 0; ///< Times that the flow had moved when it left here; 0 where it was never here.
    TimePoint expires {};
};

using FlowTable = std::unordered_map<FlowKey, Flow>;
using TraceTable = std::unordered_map<FlowKey, FlowTrace>;

} // namespace lavender
