/** @file bucket_table.h Which agents of a service may own a flow: weighted rendezvous hashing over buckets. */
#pragma once

#include "config/rule_type.h"
#include "core/address_type.h"
#include "member/member_table.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace lavender {

constexpr size_t bucketCount = 1024; ///< Buckets of one service.
constexpr size_t rankedChoices = 4; ///< Agents kept for each bucket.

/** One agent as the table sees it. */
struct BucketMember {
    Address address;
    uint16_t weight = 0; ///< Hundredths of a slot; 0 takes no bucket.
    bool isEligible = false; ///< May be given new flows.
};

/** The agents of one bucket, as indices into BucketTable::members(). */
struct BucketChoice {
    static constexpr uint16_t none = 0xffff;
    std::array<uint16_t, rankedChoices> ranked { none, none, none, none }; ///< By rank, eligible or not.
    uint16_t home = none; ///< First eligible one.
    uint16_t second = none; ///< Next eligible one.
};

/**
 * Buckets of one service. Built from the members alone: the agent that had a bucket before a change ranks next to the one
 * that has it now, so that no history is needed to find it.
 */
class BucketTable {
public:
    BucketTable() = default;
    explicit BucketTable(std::vector<BucketMember> members);

    const BucketChoice& choose(uint64_t flowHash) const { return this->buckets[flowHash % bucketCount]; }
    std::span<const BucketMember> members() const { return this->entries; }
    bool isEmpty() const { return this->entries.empty(); }

private:
    std::vector<BucketMember> entries;
    std::vector<BucketChoice> buckets = std::vector<BucketChoice>(bucketCount);
};

/** Members of a service that may hold its flows: in a zone that is in, not gone, allowed to announce. */
std::vector<BucketMember> bucketMembers(std::span<const MemberRecord> records, const ServiceRule& service, const Configuration& configuration);

} // namespace lavender
