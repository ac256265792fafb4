/** @file clock_base.h Where time comes from, for parts whose callbacks come between ticks. */
#pragma once

#include "core/time_type.h"

namespace lavender {

/** A clock that never goes back. */
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

} // namespace lavender
