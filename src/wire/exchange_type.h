/** @file exchange_type.h Messages between callers and agents, carried as payload in the packets of a flow. */
#pragma once

#include "core/verdict_type.h"
#include "wire/message_type.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lavender {

constexpr size_t maximumPartBytes = 900; ///< Body bytes of a request or answer that one datagram carries.
constexpr uint16_t maximumParts = 256; ///< Datagrams that one request or answer is split into at most.
constexpr size_t maximumNoticeRequests = 64; ///< Ids that FlowNotice::mayHaveRun lists at most.
constexpr size_t maximumKeyBytes = 64; ///< Longest idempotency key.

/** One part of a request. The caller retransmits all parts until it sees an answer. */
struct RequestPart {
    uint64_t requestId = 0; ///< Id of the request within its flow: starts at 1 and rises.
    uint32_t attempt = 1; ///< Number of this attempt under the same idempotency key, from 1.
    uint16_t partIndex = 0; ///< Index of this part: 0..partCount-1.
    uint16_t partCount = 1; ///< Number of parts of the request: 1..maximumParts.
    bool isIdempotent = false; ///< Running the request twice does no harm.
    uint32_t remainingMs = 0; ///< Time left until the caller's deadline, in milliseconds.
    std::string key; ///< Idempotency key, the same for all attempts; may be empty.
    Bytes body; ///< This part's piece of the request body.
    bool operator==(const RequestPart&) const = default;
};

/** One part of the answer to a request. A request that was not answered gets its verdict without a body. */
struct AnswerPart {
    uint64_t requestId = 0; ///< RequestPart::requestId of the request that is answered.
    uint32_t attempt = 1; ///< RequestPart::attempt of that request.
    uint16_t partIndex = 0; ///< Index of this part: 0..partCount-1.
    uint16_t partCount = 1; ///< Number of parts of the answer: 1..maximumParts.
    Verdict verdict = Verdict::Answered;
    VerdictReason reason = VerdictReason::None;
    uint32_t retryAfterMs = 0; ///< Milliseconds to wait before the next attempt; set for Verdict::NotRun only.
    Bytes body; ///< This part's piece of the answer body.
    bool operator==(const AnswerPart&) const = default;
};

/** The caller asks for missing parts of an answer, or acknowledges the answer once it has all of them. */
struct AnswerAck {
    uint64_t requestId = 0; ///< RequestPart::requestId of the request whose answer this is about.
    std::vector<uint16_t> missing; ///< Indices of the missing parts; empty: the answer is complete and the agent may forget it.
    bool operator==(const AnswerAck&) const = default;
};

/** Change in the state of a flow. */
enum class FlowEvent : uint8_t {
    Open, ///< The caller opens the flow; sent in its opening packet.
    Accepted, ///< An agent has accepted the flow.
    Refused, ///< No agent accepts the flow; none of its requests has run.
    GivenUp, ///< The agent ended the flow because its availability zone was taken out.
    Lost, ///< No agent of the service holds the flow.
    Closed, ///< The caller closes the flow; sent by the caller, and by the agent to confirm.
};

/** Tells the other end of a change in the state of the flow. */
struct FlowNotice {
    FlowEvent event = FlowEvent::Accepted;
    std::string zone; ///< Availability zone of the agent that sent the notice; empty from a caller.
    uint32_t retryAfterMs = 0; ///< For Refused: milliseconds to wait before opening a new flow.
    std::vector<uint64_t> mayHaveRun; ///< For GivenUp: ids above mayHaveRunThrough of the requests that may have run.
    uint64_t mayHaveRunThrough = 0; ///< For GivenUp: requests with this id or a lower one may have run too. All others have not run and never will.

    /** For GivenUp: true if the request with this id may have run. */
    bool mayRequestHaveRun(uint64_t id) const
    {
        return id <= this->mayHaveRunThrough || std::find(this->mayHaveRun.begin(), this->mayHaveRun.end(), id) != this->mayHaveRun.end();
    }
    bool operator==(const FlowNotice&) const = default;
};

/** Payload of a packet of a flow. The order is part of the wire format. */
using FlowPayload = std::variant<RequestPart, AnswerPart, AnswerAck, FlowNotice>;

} // namespace lavender
