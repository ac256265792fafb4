/** @file trace_type.h Parsed traces; docs/TRACES.md specifies the format. */
#pragma once

#include "core/time_type.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** Line of a trace that describes an event: a change in the simulated world. */
struct TraceEvent {
    size_t line = 0; ///< Line number in the trace, from 1.
    TimePoint at {}; ///< Virtual time of the event.
    std::string kind; ///< Value of "do".
    nlohmann::json fields; ///< The whole line; its fields fit the kind.
};

/** Line of a trace that sets a bound on a figure. */
struct TraceExpectation {
    size_t line = 0; ///< Line number in the trace, from 1.
    std::string figure; ///< Name of the figure, without the subject.
    std::string subject; ///< Service or zone of the figure; empty where it covers the whole replay.
    bool isUpperBound = true; ///< True for "at_most", false for "at_least".
    double bound = 0; ///< In the unit of the figure.
};

/** Parsed trace. */
struct Trace {
    nlohmann::json setup; ///< Services, balancers, upstreams and end time, checked.
    std::vector<TraceEvent> events; ///< In the order of time, then of lines.
    std::vector<TraceExpectation> expectations;
};

/**
 * Parses a trace.
 * @return InvalidArgument that names the line and the reason.
 */
absl::StatusOr<Trace> parseTrace(std::string_view text);

} // namespace lavender
