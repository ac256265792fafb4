/** @file figure_func.h The figures of a replay and whether they are as the trace states. */
#pragma once

#include "replay/world.h"

#include <map>
#include <string>
#include <vector>

namespace lavender {

/** Figures by name; those of one service or zone as "NAME:SUBJECT". */
using Figures = std::map<std::string, double>;

Figures collectFigures(const World& world);

/** One outcome that is not as stated. */
struct FailedExpectation {
    TraceExpectation expectation;
    double value = 0;
    std::vector<std::string> cases; ///< When, and by which flow.
};

std::vector<FailedExpectation> checkExpectations(const Trace& trace, const Figures& figures, const World& world);

} // namespace lavender
