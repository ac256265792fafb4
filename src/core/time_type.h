/** @file time_type.h Time types of the decision library. */
#pragma once

#include <chrono>

namespace lavender {

using Duration = std::chrono::microseconds; ///< A span of time.
/** Monotonic time since an arbitrary origin, which the program that uses the library chooses. */
using TimePoint = std::chrono::microseconds;

using namespace std::chrono_literals;

/** Converts to whole milliseconds; the fraction is dropped. */
constexpr long long toMilliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace lavender
