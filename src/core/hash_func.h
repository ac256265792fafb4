/** @file hash_func.h Hashes that every node computes alike (XXH3, 64 bits). */
#pragma once

#include "core/address_type.h"

#include <cstdint>
#include <string_view>

namespace lavender {

/** Hash of a flow's two ends; the same on every node. */
uint64_t hashFlow(const FlowKey& flow);

/** Hash of two integers, for rendezvous hashing. */
uint64_t hashPair(uint64_t left, uint64_t right);

/** Hash of a text. */
uint64_t hashText(std::string_view text);

} // namespace lavender
