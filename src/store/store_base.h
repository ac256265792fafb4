/** @file store_base.h Interface of the key-value store that holds the operators' rules and the list of balancers. */
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

constexpr std::string_view rulesKey = "/lavender/rules"; ///< Key of the operators' rules, a RulesEnvelope.
constexpr size_t maximumPreviousChanges = 32; ///< Limit of RulesEnvelope::previous.
constexpr std::string_view balancersPrefix = "/lavender/balancers/"; ///< Each balancer writes one key with this prefix and its address under its lease; the value is its availability zone.

/** One key of the store with its value. */
struct StoreValue {
    std::string key;
    std::string value;
    Revision revision = 0; ///< Store revision of the last write to this key.
    Revision readAt = 0; ///< Store revision at which the value was read, so it reflects all writes up to it; 0 if the store does not report it.
};

/** Result of a write. */
struct SwapResult {
    bool isWritten = false; ///< False if the key did not have the expected revision.
    Revision revision = 0; ///< Store revision after the call; 0 if not known.
};

/** Asynchronous client of the store. All callbacks run on the main loop. */
class Store {
public:
    virtual ~Store() = default;

    /** Called once with the result of a call, or with the error status if it failed. */
    template <typename Result>
    using Done = std::function<void(absl::StatusOr<Result>)>;

    /** Reads one key; nullopt if it does not exist. */
    virtual void read(std::string_view key, Done<std::optional<StoreValue>> done) = 0;
    /** Reads all keys that begin with @p prefix. */
    virtual void list(std::string_view prefix, Done<std::vector<StoreValue>> done) = 0;
    /** Writes a key if its revision is still @p expected; 0 requires that the key does not exist. */
    virtual void compareAndSwap(std::string_view key, Revision expected, std::string_view value, Done<SwapResult> done) = 0;
    /** Writes a key that the store deletes when the lease expires or is revoked. */
    virtual void putWithLease(std::string_view key, std::string_view value, uint64_t lease, Done<SwapResult> done) = 0;
    /** Creates a lease that expires @p seconds after its last renewal; @p done gets its id. */
    virtual void grantLease(uint32_t seconds, Done<uint64_t> done) = 0;
    /** Renews a lease; the status is NotFound if it has expired. */
    virtual void renewLease(uint64_t lease, Done<uint64_t> done) = 0;
    /** Ends a lease and deletes its keys. */
    virtual void revokeLease(uint64_t lease, Done<uint64_t> done) = 0;
    /**
     * Watches a key until the watch fails.
     * @param changed Called after a change of the key.
     * @param ended Called once when the watch has ended; OutOfRange if the store has compacted the history that it needs.
     */
    virtual void watch(std::string_view key, std::function<void(StoreValue)> changed, std::function<void(absl::Status)> ended) = 0;
};

/** Value of rulesKey: the operators' rules and the changes that led to them. */
struct RulesEnvelope {
    std::string change; ///< Id of the change that wrote the rules; shows whether a write whose answer was lost took effect.
    std::string who; ///< Operator who made the change.
    std::string rules; ///< The whole rules file.
    std::vector<std::string> previous; ///< Ids of the changes before it, newest first; at most maximumPreviousChanges.
};

/** Formats the envelope as JSON. */
std::string formatEnvelope(const RulesEnvelope& envelope);
/** Parses the JSON of an envelope. @return InvalidArgument if it is no JSON object or lacks change, who or rules. */
absl::StatusOr<RulesEnvelope> parseEnvelope(std::string_view json);

} // namespace lavender
