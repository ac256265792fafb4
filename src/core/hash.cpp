/** @file hash.cpp Hash functions, computed with libxxhash. */
#include "core/hash_func.h"

#include <xxhash.h>

#include <array>

namespace lavender {

uint64_t hashFlow(const FlowKey& flow)
{
    return hashPair(flow.caller.packed(), flow.service.packed());
}

uint64_t hashPair(uint64_t left, uint64_t right)
{
    const std::array<uint64_t, 2> words { left, right };
    return XXH3_64bits(words.data(), sizeof(words));
}

uint64_t hashText(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace lavender
