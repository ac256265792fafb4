/** @file clock_base.h Clock for code that runs in callbacks between two ticks, where no tick passes in the time. */
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
