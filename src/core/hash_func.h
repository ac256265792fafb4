/** @file hash_func.h 64-bit XXH3 hashes; all processes must compute the same values. */
#pragma once

#include "core/address_type.h"

#include <cstdint>
#include <string_view>

namespace lavender {

/** Hash of a flow's two addresses. */
uint64_t hashFlow(const FlowKey& flow);

/** Hash of two integers, for rendezvous hashing. */
uint64_t hashPair(uint64_t left, uint64_t right);

/** Hash of a text. */
uint64_t hashText(std::string_view text);

} // namespace lavender
