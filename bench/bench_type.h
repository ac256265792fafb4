/** @file bench_type.h Rows of a benchmark's table. */
#pragma once

#include <string>
#include <vector>

namespace lavender {

/** One measured figure against its bound. */
struct BenchRow {
    std::string name;
    double value = 0;
    std::string unit;
    double bound = 0; ///< The most that is allowed; less than 0 where the figure is only reported.
    bool isLowerBound = false; ///< The bound is the least that is allowed.
    std::string note; ///< How it was measured.

    bool isOk() const { return this->bound < 0 || (this->isLowerBound ? this->value >= this->bound : this->value <= this->bound); }
};

/** Slopes of state, messages and time, and what they make at the target's sizes. */
std::vector<BenchRow> benchCapacity();

/** Broken flows, imbalance, hops and decision time of flow steering. @param seeds Seeds 1..seeds are run. */
std::vector<BenchRow> benchSteering(unsigned seeds, const std::string& traces);

} // namespace lavender
