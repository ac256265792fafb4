/** @file time_type.h Points and spans of time as the decision library sees them. */
#pragma once

#include <chrono>

namespace lavender {

using Duration = std::chrono::microseconds; ///< A span of time.
using TimePoint = std::chrono::microseconds; ///< Time since an origin that only the caller of the library knows; never goes back.

using namespace std::chrono_literals;

/** Whole milliseconds in @p span, rounded down. */
constexpr long long toMilliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace lavender
