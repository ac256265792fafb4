/** @file flow_base.h Flows that an agent owns; pointers and tombstones for flows that it does not own. */
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

/** Progress of a request at the agent. */
enum class RequestState : uint8_t {
    Collecting, ///< Some parts have not arrived.
    Queued, ///< Complete; waits until the admission limit allows it.
    HandedOver, ///< Sent to the upstream; not answered yet.
    Ended, ///< Has a verdict; its answer is kept for retransmissions to the caller.
};

/** One request of a flow. */
struct Request {
    uint64_t id = 0; ///< Chosen by the caller; rises within the flow.
    uint32_t attempt = 1; ///< Number of this attempt under the same idempotency key, from 1.
    bool isIdempotent = false; ///< May run more than once.
    RequestState state = RequestState::Collecting;
    std::string key; ///< Idempotency key; may be empty.
    TimePoint deadline {}; ///< After it the request is not handed over, or is cancelled at the upstream.
    TimePoint handedOverAt {}; ///< When it was sent to the upstream.
    TimePoint endedAt {}; ///< When it got its verdict.
    UpstreamRequestId upstreamRequestId; ///< Exchange with the upstream; valid once handed over.
    std::vector<Bytes> parts; ///< Bodies of the parts by number; empty until received, and again after the hand-over.
    std::vector<bool> received; ///< By part number: whether the part has arrived.
    Verdict verdict = Verdict::NotRun;
    VerdictReason reason = VerdictReason::None;
    uint32_t retryAfterMs = 0; ///< Milliseconds that the caller should wait before a retry; 0 unless NotRun.
    Bytes answer; ///< Empty unless the upstream answered.
};

/** Ids of a flow's requests that have ended and whose state was dropped. None of them runs again. */
struct FinishedRequests {
    uint64_t watermark = 0; ///< This id and all lower ones are finished.
    std::vector<uint64_t> aboveWatermark; ///< Finished ids above the watermark, in rising order.

    bool contains(uint64_t id) const;
    void add(uint64_t id);
    /** Raises the watermark until at most @p maximumAbove ids are above it: unfinished ids below it count as finished too. */
    void raiseWatermark(size_t maximumAbove);
    /** Raises the watermark to the highest finished id. */
    void raiseWatermarkToHighest() { this->raiseWatermark(0); }
};

/** One flow that this agent owns. */
struct Flow {
    FlowKey key;
    TimePoint lastPacketAt {}; ///< Arrival of the flow's latest packet.
    FinishedRequests finished; ///< Requests that must not run again.
    std::vector<Request> requests; ///< Requests with state, in rising order of id.
    Address movingTo; ///< Agent that the flow is being moved to; while it is valid, the flow's packets are not processed.
    TimePoint moveSentAt {}; ///< When the latest FlowMove was sent.
    uint32_t moveCount = 0; ///< Number of moves between agents so far.

    /** Request with this id; null if there is none. */
    Request* find(uint64_t id);
};

/** What an agent knows of a flow that it does not own. */
enum class ForeignFlowKind : uint8_t {
    OwnedElsewhere, ///< Pointer: another agent owns the flow or chooses its owner.
    Closed, ///< Tombstone: the caller closed the flow.
    GivenUp, ///< Tombstone: the flow ended because its availability zone was taken out.
};

constexpr Duration tombstoneRetention = 30s; ///< Lifetime of a tombstone, which answers late packets of an ended flow.

/** Pointer to the owner of a flow, or tombstone of an ended flow. */
struct ForeignFlow {
    ForeignFlowKind kind = ForeignFlowKind::OwnedElsewhere;
    Address owner; ///< For OwnedElsewhere; not valid if the pointer turned out to be wrong.
    uint32_t moveCount = 0; ///< Number of moves, the one away from this agent included; 0 if this agent never moved the flow.
    TimePoint confirmedAt {}; ///< When the owner itself last reported that it holds the flow; zero if it has not.
    TimePoint expires {}; ///< When the entry is dropped.
    FinishedRequests mayHaveRun; ///< For GivenUp: requests that may have run; none of the others ever runs.
};

using FlowTable = std::unordered_map<FlowKey, Flow>; ///< Flows that an agent owns.
using ForeignFlowTable = std::unordered_map<FlowKey, ForeignFlow>; ///< Pointers and tombstones.

} // namespace lavender
