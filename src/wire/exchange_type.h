/** @file exchange_type.h What callers and agents say to each other inside the packets of a flow. */
#pragma once

#include "core/verdict_type.h"
#include "wire/message_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lavender {

constexpr size_t maximumPartBytes = 900; ///< Bytes of a request or answer in one datagram.
constexpr uint16_t maximumParts = 256; ///< Datagrams of one request or answer.
constexpr size_t maximumKeyBytes = 64; ///< Idempotency key.

/** One part of a request. */
struct RequestPart {
    uint64_t request = 0; ///< Rises within a flow; starts at 1.
    uint32_t attempt = 1; ///< Tries of the same key so far, this one counted.
    uint16_t part = 0; ///< 0..parts-1
    uint16_t parts = 1; ///< 1..maximumParts
    bool isRepeatable = false; ///< True where running it twice does no harm.
    uint32_t remaining = 0; ///< Milliseconds that the caller will still wait.
    std::string key; ///< Names the work over all attempts.
    Bytes body;
    bool operator==(const RequestPart&) const = default;
};

/** One part of an answer, or a refusal. */
struct AnswerPart {
    uint64_t request = 0;
    uint32_t attempt = 1;
    uint16_t part = 0;
    uint16_t parts = 1;
    Verdict verdict = Verdict::Answered;
    VerdictReason reason = VerdictReason::None;
    uint32_t retryAfter = 0; ///< Milliseconds to wait before the next attempt.
    Bytes body;
    bool operator==(const AnswerPart&) const = default;
};

/** The caller names the parts of an answer that it misses, or none once it has all. */
struct AnswerAsk {
    uint64_t request = 0;
    std::vector<uint16_t> missing; ///< Empty: the answer is whole and may be forgotten.
    bool operator==(const AnswerAsk&) const = default;
};

/** What became of the flow itself. */
enum class FlowEvent : uint8_t {
    Open, ///< The caller's opening packet carries it.
    Accepted, ///< An agent holds the flow.
    Refused, ///< No agent takes the flow; nothing ran.
    GivenUp, ///< The flow ended since its zone was taken out.
    Lost, ///< No agent holds the flow.
    Closed, ///< Ended by the caller.
};

/** News of the flow. */
struct FlowNotice {
    FlowEvent event = FlowEvent::Accepted;
    std::string zone; ///< Zone of the agent that says so.
    uint32_t retryAfter = 0; ///< Milliseconds to wait before a new flow, for Refused.
    std::vector<uint64_t> mayHaveRun; ///< Requests that were handed over without an answer, for GivenUp.
    bool operator==(const FlowNotice&) const = default;
};

/** Anything inside a packet of a flow. */
using Exchange = std::variant<RequestPart, AnswerPart, AnswerAsk, FlowNotice>;

} // namespace lavender
