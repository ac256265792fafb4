/** @file bench_type.h Rows of a benchmark's table, and the benchmarks that make them. */
#pragma once

#include <string>
#include <vector>

namespace lavender {

constexpr double reportedOnly = -1; ///< BenchRow::bound of a figure that has no bound.

/** One measured figure and its bound. */
struct BenchRow {
    std::string name; ///< What was measured.
    double value = 0; ///< The figure, in BenchRow::unit.
    std::string unit; ///< For example "ms" or "ratio".
    double bound = 0; ///< Highest value allowed, or the lowest if isLowerBound is set; below 0 if the figure is only reported.
    bool isLowerBound = false; ///< True if BenchRow::bound is the lowest value allowed.
    std::string note; ///< How the figure was measured, or figures to compare it with; may be empty.

    bool isWithinBound() const { return this->bound < 0 || (this->isLowerBound ? this->value >= this->bound : this->value <= this->bound); }
};

/** Memory, control traffic and processor time of balancers, agents and store, extrapolated to the target's size. */
std::vector<BenchRow> benchCapacity();

/**
 * Broken flows, imbalance, extra hops and time per decision of flow steering, compared with plain consistent hashing and modulo hashing.
 * @param seeds Simulations run with seeds 1..seeds.
 * @param traces Folder of the traces that are replayed.
 */
std::vector<BenchRow> benchSteering(unsigned seeds, const std::string& traces);

} // namespace lavender
