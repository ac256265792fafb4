/** @file verdict_type.h Outcome of a request; it decides whether the caller may safely retry. */
#pragma once

#include <cstdint>
#include <string_view>

namespace lavender {

/** Outcome of a request: whether it ran, did not run, or may have run. */
enum class Verdict : uint8_t {
    Answered, ///< The upstream answered and the answer is complete.
    NotRun, ///< The request never reached an upstream and never will; a retry is safe.
    MayHaveRun, ///< The request reached an upstream, or may have; only an idempotent one may be retried.
};

/** Reason for the verdict of a request. */
enum class VerdictReason : uint8_t {
    None, ///< The request was answered; there is nothing to explain.
    QueueFull, ///< The agent's queue of waiting requests is full.
    DeadlineExpired, ///< The caller's deadline passed.
    Draining, ///< The upstream is draining and no other one could take the request.
    ZoneOut, ///< The operators took the availability zone of the agent out.
    UpstreamShed, ///< The upstream refused the request before running it (load shedding).
    UpstreamFailed, ///< The upstream could not be reached, or gave no complete answer.
    FlowLost, ///< No agent of the service holds the flow.
    Cancelled, ///< The caller closed the flow, or an earlier attempt under the same idempotency key may have run.
    Malformed, ///< The request does not follow the format.
};

constexpr VerdictReason lastVerdictReason = VerdictReason::Malformed; ///< Highest value that is valid on the wire.

/** Name in logs, reports and traces; must not change. */
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

/** Name in logs, reports and traces; must not change. */
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
