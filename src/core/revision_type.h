/** @file revision_type.h Positions in the history of the store, and revisions of the rules. */
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace lavender {

/**
 * A point in the history of the store. The store counts its changes; after it was restored from an older copy it counts from
 * the copy on, so that numbers are given out again, in a later era.
 */
struct StorePosition {
    uint64_t era = 0; ///< Times that the store was restored, as it reports them; 0 if it does not.
    uint64_t number = 0; ///< Number of the change within the store's history; 0 if there is none.

    constexpr bool isValid() const { return this->number != 0; }
    constexpr auto operator<=>(const StorePosition&) const = default;
};

/** Revision of the rules; the later one is higher, and a process never returns to a lower one. */
struct Revision {
    uint64_t version = 0; ///< Number that the operators gave the rules; 0 if they give none. It outlives a restore of the store.
    StorePosition position; ///< Latest change of the store that the rules are made of.

    /** False if there are no rules. */
    constexpr bool isValid() const { return this->position.isValid(); }
    constexpr auto operator<=>(const Revision&) const = default;
};

/** Revision of rules that have no version, in a store that was never restored. */
constexpr Revision revisionAt(uint64_t number) { return { .version = 0, .position = { .era = 0, .number = number } }; }

/** Formats a position as its number, after era and colon if the era is not 0. */
std::string formatPosition(const StorePosition& position);

/** Formats a revision as its position, after version and slash if the version is not 0. */
std::string formatRevision(const Revision& revision);

} // namespace lavender
