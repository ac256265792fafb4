/** @file verdict_type.h What became of a request: the one thing that decides whether it may be tried again. */
#pragma once

#include <cstdint>
#include <string_view>

namespace lavender {

/** Whether a request may have run. */
enum class Verdict : uint8_t {
    Answered, ///< The upstream answered; the answer is whole.
    NotRun, ///< The request was never handed to an upstream and never will be.
    MayHaveRun, ///< The request was handed over, or that cannot be excluded.
};

/** Why a request ended as it did. */
enum class VerdictReason : uint8_t {
    None, ///< Nothing to explain.
    QueueFull, ///< More work waits than can be served in time.
    DeadlineExpired, ///< The deadline passed.
    Draining, ///< The upstream leaves and no other one could take the request.
    ZoneOut, ///< Operators took the availability zone out.
    UpstreamShed, ///< The upstream refused the request before it began.
    UpstreamFailed, ///< The exchange with the upstream broke.
    FlowLost, ///< No agent of the service holds the flow.
    Cancelled, ///< The caller closed the flow.
    Malformed, ///< The request broke the rules of its format.
};

constexpr VerdictReason lastVerdictReason = VerdictReason::Malformed; ///< Highest value on the wire.

/** Stable name for logs, reports and traces. */
constexpr std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Answered:
        return "answered";
    case Verdict::NotRun:
        return "not_run";
    case Verdict::MayHaveRun:
        return "may_have_run";
    }
    return "unknown";
}

/** Stable name for logs, reports and traces. */
constexpr std::string_view toString(VerdictReason reason)
{
    switch (reason) {
    case VerdictReason::None:
        return "none";
    case VerdictReason::QueueFull:
        return "queue_full";
    case VerdictReason::DeadlineExpired:
        return "deadline_expired";
    case VerdictReason::Draining:
        return "draining";
    case VerdictReason::ZoneOut:
        return "zone_out";
    case VerdictReason::UpstreamShed:
        return "upstream_shed";
    case VerdictReason::UpstreamFailed:
        return "upstream_failed";
    case VerdictReason::FlowLost:
        return "flow_lost";
    case VerdictReason::Cancelled:
        return "cancelled";
    case VerdictReason::Malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace lavender
