/** @file bucket_table.cpp Weighted rendezvous hashing with logarithmic scores. */
#include "steer/bucket_table.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace lavender {

namespace {

    /** Score of a member for a bucket. A member has the highest score with a probability proportional to its weight. */
    double score(const BucketMember& member, size_t bucket)
    {
        if (member.weight == 0) {
            return 0;
        }
        // The upper 53 bits of the hash, the precision of a double, as a uniform number between 0 and 1.
        constexpr double scale = 1.0 / (1ULL << 53U);
        const uint64_t hash = hashPair(member.address.packed(), bucket) >> 11U;
        const double uniform = (static_cast<double>(hash) + 0.5) * scale;
        return -static_cast<double>(member.weight) / std::log(uniform);
    }

    /** Orders the members by score, equal scores by address, and picks the agents of one bucket. */
    BucketChoice rank(std::span<const BucketMember> members, std::span<const double> scores)
    {
        std::vector<uint16_t> order(members.size());
        for (size_t index = 0; index < order.size(); ++index) {
            order[index] = static_cast<uint16_t>(index);
        }
        std::sort(order.begin(), order.end(), [&](uint16_t left, uint16_t right) {
            return scores[left] != scores[right] ? scores[left] > scores[right] : members[left].address < members[right].address;
        });
        BucketChoice choice;
        for (size_t position = 0; position < std::min(order.size(), rankedChoices); ++position) {
            choice.ranked[position] = order[position];
        }
        for (uint16_t index : order) {
            if (!members[index].isEligible || members[index].weight == 0) {
                continue;
            }
            if (choice.home == BucketChoice::none) {
                choice.home = index;
            } else {
                choice.second = index;
                break;
            }
        }
        return choice;
    }

} // namespace

BucketTable::BucketTable(std::vector<BucketMember> members)
    : entries(std::move(members))
{
    std::vector<double> scores(this->entries.size());
    for (size_t bucket = 0; bucket < bucketCount; ++bucket) {
        std::transform(this->entries.begin(), this->entries.end(), scores.begin(), [bucket](const BucketMember& member) { return score(member, bucket); });
        this->buckets[bucket] = rank(this->entries, scores);
    }
}

std::vector<BucketMember> bucketMembers(std::span<const MemberRecord> records, const ServiceRule& service, const Configuration& configuration)
{
    std::vector<BucketMember> members;
    for (const MemberRecord& record : records) {
        const bool isExcluded = record.service != service.name || record.liveness == Liveness::Gone || configuration.isZoneOut(record.zone)
            || !configuration.mayAnnounce(record.service, record.zone);
        if (isExcluded) {
            continue;
        }
        const auto percentEntry = configuration.agentWeightPercents.find(record.address);
        const uint32_t weight = percentEntry == configuration.agentWeightPercents.end() ? record.weight : uint32_t { record.weight } * percentEntry->second / 100;
        const bool mayTakeNewFlows = isEligible(record) && !configuration.drainedAgents.contains(record.address) && !configuration.isZoneDraining(record.zone);
        members.push_back({ record.address, static_cast<uint16_t>(weight), mayTakeNewFlows });
    }
    std::sort(members.begin(), members.end(), [](const BucketMember& left, const BucketMember& right) { return left.address < right.address; });
    return members;
}

} // namespace lavender
