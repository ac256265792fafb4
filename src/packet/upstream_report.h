/** @file upstream_report.h The periodic report (heartbeat) of an upstream. */
#pragma once

#include "core/address_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lavender {

/** One report of an upstream on its state. */
struct UpstreamReport {
    std::string id; ///< Name of the upstream's lifetime; a restart usually changes it, but not always.
    std::string service; ///< Service that the upstream belongs to.
    std::optional<uint64_t> started; ///< Start of the lifetime in Unix milliseconds, which orders lifetimes; none if not stated.
    uint64_t sequence = 0; ///< Sequence number of the report; increases within a lifetime.
    uint16_t slots = 1; ///< Requests that the upstream runs at once.
    bool isDraining = false; ///< The upstream takes no new flows, as it is about to shut down.
    Duration coldLeft {}; ///< Remaining cold time; zero if warm.
};

/**
 * True if the lifetime of @p later follows that of @p earlier. Without both start times any other lifetime counts as later.
 * @param later Report that arrived last.
 */
bool isLaterLifetime(const UpstreamReport& later, const UpstreamReport& earlier);

/** True if both reports are of one lifetime: the same id and, where both state it, the same start. */
bool isSameLifetime(const UpstreamReport& left, const UpstreamReport& right);

} // namespace lavender
