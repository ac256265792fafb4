/** @file figure_func.h Figures of a replay, and the check of a trace's expectations against them. */
#pragma once

#include "replay/world.h"

#include <map>
#include <string>
#include <vector>

namespace lavender {

/** Figures by name; a figure of one service or zone has the name "FIGURE:SUBJECT". docs/TRACES.md lists them with their units. */
using Figures = std::map<std::string, double>;

/** Computes the figures of a replay that has ended. */
Figures collectFigures(const World& world);

/** Expectation that a replay did not meet. */
struct FailedExpectation {
    TraceExpectation expectation;
    double value = 0; ///< Value of the figure; NaN where the replay has no such figure.
    std::vector<std::string> cases; ///< Descriptions of the first faults that the figure counts, where it has any.
};

/** @return Expectations of @p trace that are not met, in their order. */
std::vector<FailedExpectation> checkExpectations(const Trace& trace, const Figures& figures, const World& world);

} // namespace lavender
