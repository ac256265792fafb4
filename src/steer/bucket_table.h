/** @file bucket_table.h Maps flows to the agents of a service: weighted rendezvous hashing over a fixed number of buckets. */
#pragma once

#include "config/rule_type.h"
#include "core/address_type.h"
#include "member/member_table.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace lavender {

constexpr size_t bucketCount = 1024; ///< Buckets in the table of one service.
constexpr size_t rankedChoices = 4; ///< Highest-ranked agents that are stored for each bucket.

/** An agent as input to a bucket table. */
struct BucketMember {
    Address address;
    uint16_t weight = 0; ///< Share of the work, in hundredths of a slot; an agent with weight 0 is never home or second.
    bool isEligible = false; ///< The agent may be given new flows.
};

/** The agents chosen for one bucket, as indices into BucketTable::members(). */
struct BucketChoice {
    static constexpr uint16_t none = 0xffff; ///< Entry without an agent.
    std::array<uint16_t, rankedChoices> ranked { none, none, none, none }; ///< Highest-ranked agents, best first, whether eligible or not.
    uint16_t home = none; ///< Highest-ranked eligible agent.
    uint16_t second = none; ///< Second-highest-ranked eligible agent.
};

/**
 * Bucket table of one service, a pure function of its members.
 *
 * After a change of the members, the previous home of a bucket ranks next to the present one, so a flow's earlier owner
 * is found without any history.
 */
class BucketTable {
public:
    BucketTable() = default;
    explicit BucketTable(std::vector<BucketMember> members);

    /** Agents of the bucket that a flow falls into. @param flowHash hashFlow of the flow. */
    const BucketChoice& agentsFor(uint64_t flowHash) const { return this->buckets[flowHash % bucketCount]; }
    /** All members in the order in which they were given to the constructor. */
    std::span<const BucketMember> members() const { return this->entries; }
    bool isEmpty() const { return this->entries.empty(); }

private:
    std::vector<BucketMember> entries;
    std::vector<BucketChoice> buckets = std::vector<BucketChoice>(bucketCount);
};

/**
 * Members of a service's bucket table, sorted by address: agents that may hold its flows. Those that are gone, in a zone
 * that is out of service, or not allowed to announce the service are left out.
 */
std::vector<BucketMember> bucketMembers(std::span<const MemberRecord> records, const ServiceRule& service, const Configuration& configuration);

} // namespace lavender
