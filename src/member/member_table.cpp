/** @file member_table.cpp Digests are the exclusive or of record hashes, so that a change costs two hashes. */
#include "member/member_table.h"

#include "core/hash_func.h"

#include <numeric>

namespace lavender {

namespace {

    uint64_t hashRecord(const MemberRecord& record)
    {
        const uint64_t identity = hashPair(record.address.packed(), record.incarnation);
        const uint64_t content = hashPair(uint64_t { record.version } << 16 | static_cast<uint64_t>(record.liveness),
            uint64_t { record.weight } << 8 | static_cast<uint64_t>(record.state));
        return hashPair(identity, content);
    }

} // namespace

size_t MemberTable::bucketOf(Address address)
{
    return hashPair(address.packed(), 0) % digestBuckets;
}

/** Adds a record to the digest of its bucket, or removes it: exclusive or is its own inverse. */
void MemberTable::toggleDigest(const MemberRecord& record)
{
    // Gone members are left out: processes purge them at different times, so their digests would never agree.
    if (record.liveness != Liveness::Gone) {
        this->digests[bucketOf(record.address)] ^= hashRecord(record);
    }
}

bool MemberTable::merge(TimePoint now, const MemberRecord& record)
{
    const auto [entry, isNew] = this->members.try_emplace(record.address);
    Member& member = entry->second;
    if (!isNew) {
        if (!isNewer(record, member.record)) {
            return false;
        }
        this->toggleDigest(member.record);
        this->removeFromServiceIndex(member.record);
    }
    if (record.role == MemberRole::Agent) {
        this->agentsByService[record.service].insert(record.address);
        this->changedServices.insert(record.service);
    }
    member.record = record;
    member.changedAt = now;
    this->toggleDigest(record);
    member.change = ++this->changes;
    return true;
}

bool MemberTable::markLiveness(TimePoint now, Address address, Liveness liveness)
{
    const Member* member = this->find(address);
    if (member == nullptr || member->record.liveness >= liveness) {
        return false;
    }
    MemberRecord record = member->record;
    record.liveness = liveness;
    return this->merge(now, record);
}

void MemberTable::purge(TimePoint now, Duration age)
{
    std::erase_if(this->members, [this, now, age](const auto& entry) {
        const bool isExpired = entry.second.record.liveness == Liveness::Gone && now - entry.second.changedAt > age;
        if (isExpired) {
            this->removeFromServiceIndex(entry.second.record);
        }
        return isExpired;
    });
}

/** Also called when a record changes, because an agent may come back at its address for another service. */
void MemberTable::removeFromServiceIndex(const MemberRecord& record)
{
    const auto service = this->agentsByService.find(record.service);
    if (record.role != MemberRole::Agent || service == this->agentsByService.end()) {
        return;
    }
    service->second.erase(record.address);
    this->changedServices.insert(record.service);
    if (service->second.empty()) {
        this->agentsByService.erase(service);
    }
}

std::vector<MemberRecord> MemberTable::agentsOf(std::string_view service, uint64_t change) const
{
    std::vector<MemberRecord> records;
    if (const auto found = this->agentsByService.find(service); found != this->agentsByService.end()) {
        for (Address address : found->second) {
            if (const Member& member = this->members.at(address); member.change > change) {
                records.push_back(member.record);
            }
        }
    }
    return records;
}

const Member* MemberTable::find(Address address) const
{
    const auto found = this->members.find(address);
    return found == this->members.end() ? nullptr : &found->second;
}

uint64_t MemberTable::digest() const
{
    return std::accumulate(this->digests.begin(), this->digests.end(), uint64_t { 0 },
        [](uint64_t left, uint64_t right) { return hashPair(left, right); });
}

uint64_t digestRecords(std::span<const MemberRecord> records)
{
    uint64_t digest = 0;
    for (const MemberRecord& record : records) {
        digest ^= record.liveness == Liveness::Gone ? 0 : hashRecord(record);
    }
    return digest;
}

size_t maximumEncodedBytes(const MemberRecord& record)
{
    constexpr size_t fixedBytes = 36; // All fields but the characters of the two names.
    return fixedBytes + record.zone.size() + record.service.size();
}

} // namespace lavender
