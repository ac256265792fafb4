/**
 * @file embed_bucket_table.cpp Example that uses only the bucket table of the library: prints how many buckets move when a member joins.
 * Exits with 1 if none or half of them or more move.
 */
#include <lavender/steer/bucket_table.h>

#include <iostream>

int main()
{
    using lavender::BucketMember;
    std::vector<BucketMember> members {
        { { 0x0a000001, 7000 }, 500, true },
        { { 0x0a000002, 7000 }, 500, true },
        { { 0x0a000003, 7000 }, 500, true },
    };
    const lavender::BucketTable before(members);
    members.push_back({ { 0x0a000004, 7000 }, 500, true });
    const lavender::BucketTable after(members);
    size_t moved = 0;
    for (uint64_t bucket = 0; bucket < lavender::bucketCount; ++bucket) {
        moved += before.agentsFor(bucket).home != after.agentsFor(bucket).home ? 1 : 0;
    }
    std::cout << "a fourth member takes " << moved << " of " << lavender::bucketCount << " buckets\n";
    return moved > 0 && moved < lavender::bucketCount / 2 ? 0 : 1;
}
