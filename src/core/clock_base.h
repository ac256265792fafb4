/** @file clock_base.h Clock for code whose callbacks run between two ticks, so that no tick passes the time to it. */
#pragma once

#include "core/time_type.h"

namespace lavender {

/** A monotonic clock. */
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

} // namespace lavender
