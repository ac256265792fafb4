/** @file upstream_report.cpp Compares the lifetimes of reports. */
#include "packet/upstream_report.h"

namespace lavender {

bool isSameLifetime(const UpstreamReport& left, const UpstreamReport& right)
{
    const bool isSameStart = !left.started || !right.started || *left.started == *right.started;
    return left.id == right.id && isSameStart;
}

bool isLaterLifetime(const UpstreamReport& later, const UpstreamReport& earlier)
{
    if (isSameLifetime(later, earlier)) {
        return false;
    }
    // Without both start times the order is unknown; the report that arrived last counts as later.
    return !later.started || !earlier.started || *later.started >= *earlier.started;
}

} // namespace lavender
