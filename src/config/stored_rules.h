/** @file stored_rules.h Decides which rules that the store returns are the operators' latest, also after it was restored from an older copy. */
#pragma once

#include "config/rule_type.h"
#include "core/revision_type.h"
#include "core/time_type.h"

#include <optional>
#include <string_view>

namespace lavender {

/**
 * How long a restored store may show what the operators have changed since. In this time they write again what was lost, and rules in
 * force stay as they are. With a read and gossip before and after it, a change made right after the restore is in force within 3 s.
 */
constexpr Duration restoreSettleTime = 2s;

/** Position of rules from a store that was restored lately, in a process without any others: below every position that a store gives out. */
constexpr StorePosition provisionalPosition { .era = 0, .number = 1 };

/** Rules as read from the store. */
struct StoredRules {
    Revision revision; ///< The operators' version, and the latest write that the rules are made of.
    StorePosition readAt; ///< The store when they were read; not valid if the store does not report it.
    std::string_view text;
};

/** Assigns the rules that the store returns their revision, in which they follow those in force or do not. */
class StoredRulesFilter {
public:
    /**
     * Revision to put rules from the store in force with, if that is later than the one in force.
     * @param inForce Configuration in force, possibly from another process.
     * @return None if the rules are not to be used now: an answer from an earlier era, or one from a store that was restored lately.
     */
    std::optional<Revision> revisionOf(TimePoint now, const StoredRules& stored, const Configuration& inForce);

private:
    std::optional<uint64_t> era; ///< Latest era of the store; none before the first answer.
    TimePoint eraSeenAt {}; ///< When an answer of this era first arrived.
};

} // namespace lavender
