/** @file member_table.h Table of the members that a process knows, with digests for anti-entropy. */
#pragma once

#include "core/time_type.h"
#include "member/member_type.h"
#include "wire/message_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lavender {

/** Record of one member and when this process last changed it. */
struct Member {
    MemberRecord record;
    TimePoint changedAt {}; ///< Local time at which the table took the record.
    uint64_t change = 0; ///< Value of MemberTable::changeCount() when the table took the record.
};

/** Members by address. Merging the same records in any order gives the same table. */
class MemberTable {
public:
    /** Takes a record if it is newer than the one in the table, see isNewer(). @return True if the table changed. */
    bool merge(TimePoint now, const MemberRecord& record);

    /** Raises the liveness of a member and keeps its version; for members that are suspected. @return True if the table changed. */
    bool markLiveness(TimePoint now, Address address, Liveness liveness);

    /** Removes members that have been gone for longer than @p age. */
    void purge(TimePoint now, Duration age);

    const Member* find(Address address) const;
    /** Records of the agents of a service, including those that are gone. */
    std::vector<MemberRecord> agentsOf(std::string_view service) const { return this->agentsOf(service, 0); }
    /** The same, only those that changed after changeCount() was @p change. */
    std::vector<MemberRecord> agentsOf(std::string_view service, uint64_t change) const;
    /** Returns the services whose agents changed since the last call. */
    std::set<std::string> takeChangedServices() { return std::exchange(this->changedServices, {}); }
    const std::map<Address, Member>& all() const { return this->members; }

    /** Digest of all members that are not gone. */
    uint64_t digest() const;
    /** Digest of each bucket; gone members are left out here too. */
    const std::array<uint64_t, digestBuckets>& bucketDigests() const { return this->digests; }
    /** Index of the bucket that a member belongs to. */
    static size_t bucketOf(Address address);

    /** Number of merges that changed the table; callers rebuild what they derive from the table when it rises. */
    uint64_t changeCount() const { return this->changes; }

private:
    void toggleDigest(const MemberRecord& record);
    void removeFromServiceIndex(const MemberRecord& record);

    std::map<Address, Member> members;
    std::map<std::string, std::set<Address>, std::less<>> agentsByService; ///< Addresses of the agents of each service.
    std::set<std::string> changedServices;
    std::array<uint64_t, digestBuckets> digests {}; ///< Of each bucket: exclusive or of the record hashes.
    uint64_t changes = 0;
};

/** Digest of the records that are not gone, in any order. Agents and balancers compare the agents of a service with it. */
uint64_t digestRecords(std::span<const MemberRecord> records);

/** Upper bound of the encoded size of a record in bytes. */
size_t maximumEncodedBytes(const MemberRecord& record);

} // namespace lavender
