/** @file member_table.h All members that a process knows, with digests to compare tables. */
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

/** One member and when it was last seen to change. */
struct Member {
    MemberRecord record;
    TimePoint changed {}; ///< When the record changed here.
};

/** Members by address; merging in any order gives the same table. */
class MemberTable {
public:
    /** Takes a record if it is newer than the one held. @return True where the table changed. */
    bool merge(TimePoint now, const MemberRecord& record);

    /** Marks a member without a new version, as its watchers do. @return True where the table changed. */
    bool markLiveness(TimePoint now, Address address, Liveness liveness);

    /** Forgets members gone for longer than @p age. */
    void purge(TimePoint now, Duration age);

    const Member* find(Address address) const;
    /** Records of one service's agents, those that are gone too. */
    std::vector<MemberRecord> agentsOf(std::string_view service) const;
    /** Services whose agents changed since the last call. */
    std::set<std::string> takeChangedServices() { return std::exchange(this->changedServices, {}); }
    const std::map<Address, Member>& all() const { return this->members; }

    /** Digest of all members that are not gone. */
    uint64_t digest() const;
    /** The same by parts. */
    const std::array<uint64_t, digestBuckets>& bucketDigests() const { return this->digests; }
    /** Part that a member counts in. */
    static size_t bucketOf(Address address);

    /** Raised by each change. */
    uint64_t changeCount() const { return this->changes; }

private:
    void toggle(const MemberRecord& record);
    void unlist(const MemberRecord& record);

    std::map<Address, Member> members;
    std::map<std::string, std::set<Address>, std::less<>> byService;
    std::set<std::string> changedServices;
    std::array<uint64_t, digestBuckets> digests {};
    uint64_t changes = 0;
};

/** Digest of those of the records that are not gone, for the peers of a service. */
uint64_t digestRecords(std::span<const MemberRecord> records);

/** Bytes that a record takes on the wire at the most. */
size_t encodedBytes(const MemberRecord& record);

} // namespace lavender
