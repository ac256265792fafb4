/** @file store_base.h Interface of the key-value store that holds the operators' rules and the list of balancers. */
#pragma once

#include "core/revision_type.h"

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
constexpr std::string_view rosterKey = "/lavender/balancers/roster"; ///< The agents of each service, see Roster. It has balancersPrefix, so that a process reads both with one call.

/** One key of the store with its value. */
struct StoreValue {
    std::string key;
    std::string value;
    StorePosition position; ///< Last write to this key.
    StorePosition readAt; ///< The store when the value was read, so it reflects all writes up to this; not valid if the store does not report it.
};

/** A lease of the store. After a restore of the store the same id may belong to another process. */
struct StoreLease {
    uint64_t id = 0; ///< 0 if there is none.
    uint64_t era = 0; ///< Era of the store in which it was granted.

    bool isValid() const { return this->id != 0; }
};

/** Result of a write. */
struct SwapResult {
    bool isWritten = false; ///< False if the last write to the key was not the expected one.
    StorePosition position; ///< The store after the call; not valid if not known.
};

/** Asynchronous client of the store. All callbacks run on the main loop. */
class Store {
public:
    virtual ~Store() = default;

    /** Called once with the result of a call, or with the error status if it failed. */
    template <typename Result>
    using Done = std::function<void(absl::StatusOr<Result>)>;

    /** Era of the store by its latest answer to any call; 0 before the first one, or if the store does not state it. */
    virtual uint64_t era() const { return 0; }

    /** Reads one key; nullopt if it does not exist. */
    virtual void read(std::string_view key, Done<std::optional<StoreValue>> done) = 0;
    /** Reads all keys that begin with @p prefix. */
    virtual void list(std::string_view prefix, Done<std::vector<StoreValue>> done) = 0;
    /**
     * Writes a key if its last write is still @p expected; one that is not valid requires that the key does not exist. Fails without a
     * write, or with Unavailable if that is not known, where the store was restored since.
     */
    virtual void compareAndSwap(std::string_view key, const StorePosition& expected, std::string_view value, Done<SwapResult> done) = 0;
    /** Writes a key that the store deletes when the lease expires or is revoked. */
    virtual void putWithLease(std::string_view key, std::string_view value, const StoreLease& lease, Done<SwapResult> done) = 0;
    /** Creates a lease that expires @p seconds after its last renewal; @p done gets it. */
    virtual void grantLease(uint32_t seconds, Done<StoreLease> done) = 0;
    /** Renews a lease; the status is NotFound if it has expired or was lost by a restore of the store. */
    virtual void renewLease(const StoreLease& lease, Done<StoreLease> done) = 0;
    /** Ends a lease and deletes its keys; does nothing if the store is known to have been restored since the grant. */
    virtual void revokeLease(const StoreLease& lease, Done<StoreLease> done) = 0;
    /**
     * Watches a key until the watch fails.
     * @param changed Called after a change of the key.
     * @param ended Called once when the watch has ended; OutOfRange if the store no longer has the history that it needs: it was compacted, or the store was restored.
     */
    virtual void watch(std::string_view key, std::function<void(StoreValue)> changed, std::function<void(absl::Status)> ended) = 0;
};

/** Value of rulesKey: the operators' rules and the changes that led to them. */
struct RulesEnvelope {
    std::string change; ///< Id of the change that wrote the rules; shows whether a write whose answer was lost took effect.
    std::string who; ///< Operator who made the change.
    std::string rules; ///< The whole rules file.
    std::vector<std::string> previous; ///< Ids of the changes before it, newest first; at most maximumPreviousChanges.
    uint64_t version = 0; ///< Number that the operators gave the rules, higher for later ones; 0 if they give none.
};

/** Formats the envelope as JSON. */
std::string formatEnvelope(const RulesEnvelope& envelope);
/** Parses the JSON of an envelope. @return InvalidArgument if it is no JSON object or lacks change, who or rules. */
absl::StatusOr<RulesEnvelope> parseEnvelope(std::string_view json);

} // namespace lavender
