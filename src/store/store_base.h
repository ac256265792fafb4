/** @file store_base.h The platform's key-value store as this project uses it. */
#pragma once

#include "core/strong_type.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lavender {

constexpr std::string_view rulesKey = "/lavender/rules"; ///< Operators' rules as a RulesEnvelope.
constexpr size_t rememberedChanges = 32; ///< RulesEnvelope::previous holds so many.
constexpr std::string_view balancersPrefix = "/lavender/balancers/"; ///< One key a balancer, under its lease.

/** One value of the store. */
struct StoreValue {
    std::string key;
    std::string value;
    Revision revision = 0; ///< Store's revision of the last write to this key.
    Revision readAt = 0; ///< Store's revision that the value stands for; 0 where the store does not say.
};

/** Result of a compare-and-swap. */
struct SwapResult {
    bool isWritten = false; ///< False: another write came first.
    Revision revision = 0; ///< Store's revision after the call.
};

/** Asynchronous calls to the store; each callback comes once, on the main loop. */
class Store {
public:
    virtual ~Store() = default;

    template <typename Result>
    using Done = std::function<void(absl::StatusOr<Result>)>;

    /** Reads one key; none where it does not exist. */
    virtual void read(std::string_view key, Done<std::optional<StoreValue>> done) = 0;
    /** Reads all keys that begin with @p prefix. */
    virtual void list(std::string_view prefix, Done<std::vector<StoreValue>> done) = 0;
    /** Writes a key if its revision is still @p expected; 0 where it must not exist. */
    virtual void compareAndSwap(std::string_view key, Revision expected, std::string_view value, Done<SwapResult> done) = 0;
    /** Writes a key that vanishes with the lease. */
    virtual void putWithLease(std::string_view key, std::string_view value, uint64_t lease, Done<SwapResult> done) = 0;
    /** Takes a lease. @return Its id. */
    virtual void grantLease(uint32_t seconds, Done<uint64_t> done) = 0;
    /** Renews a lease; NotFound where it has lapsed. */
    virtual void renewLease(uint64_t lease, Done<uint64_t> done) = 0;
    /** Ends a lease and its keys. */
    virtual void revokeLease(uint64_t lease, Done<uint64_t> done) = 0;
    /** Watches a key: @p changed for each write, @p ended once when the watch breaks. */
    virtual void watch(std::string_view key, std::function<void(StoreValue)> changed, std::function<void(absl::Status)> ended) = 0;
};

/** What stands behind rulesKey. */
struct RulesEnvelope {
    std::string change; ///< Id of the change; tells whether a write whose answer was lost took effect.
    std::string who; ///< Operator that applied it.
    std::string rules; ///< The file.
    std::vector<std::string> previous; ///< Ids of the latest changes before this one, newest first.
};

std::string formatEnvelope(const RulesEnvelope& envelope);
absl::StatusOr<RulesEnvelope> parseEnvelope(std::string_view json);

} // namespace lavender
