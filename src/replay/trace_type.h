/** @file trace_type.h A recorded trace: docs/TRACES.md specifies the format. */
#pragma once

#include "core/time_type.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** One line that makes something happen. */
struct TraceEvent {
    size_t line = 0;
    TimePoint at {};
    std::string kind; ///< The word behind "do".
    nlohmann::json fields; ///< The whole line, checked against the event's fields.
};

/** One line that states an outcome. */
struct TraceExpectation {
    size_t line = 0;
    std::string figure;
    std::string subject; ///< Service or zone that the figure is about; empty for the whole.
    bool isUpperBound = true; ///< at_most, else at_least.
    double bound = 0;
};

/** A parsed trace. */
struct Trace {
    nlohmann::json setup;
    std::vector<TraceEvent> events; ///< By time.
    std::vector<TraceExpectation> expectations;
};

/**
 * Parses a trace.
 * @return InvalidArgument that names the line and the reason.
 */
absl::StatusOr<Trace> parseTrace(std::string_view text);

} // namespace lavender
