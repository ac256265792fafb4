/** @file fake_store.h In-memory store in virtual time with configurable latency, outages and lost answers. */
#pragma once

#include "replay/event_queue.h"
#include "store/store_base.h"

#include <map>
#include <string>
#include <vector>

namespace lavender {

/** Keeps keys, leases and watches in memory; answers each call after a delay. */
class FakeStore final : public Store {
public:
    explicit FakeStore(EventQueue& queue)
        : queue(queue)
    {
    }

    uint64_t era() const override { return this->answeredEra; }
    void read(std::string_view key, Done<std::optional<StoreValue>> done) override;
    void list(std::string_view prefix, Done<std::vector<StoreValue>> done) override;
    void compareAndSwap(std::string_view key, const StorePosition& expected, std::string_view value, Done<SwapResult> done) override;
    void putWithLease(std::string_view key, std::string_view value, const StoreLease& lease, Done<SwapResult> done) override;
    void grantLease(uint32_t seconds, Done<StoreLease> done) override;
    void renewLease(const StoreLease& lease, Done<StoreLease> done) override;
    void revokeLease(const StoreLease& lease, Done<StoreLease> done) override;
    void watch(std::string_view key, std::function<void(StoreValue)> changed, std::function<void(absl::Status)> ended) override;

    /** Starts or ends an outage. During one, calls fail with Unavailable 2 s after they reach the store; at its start all watches end. */
    void setDown(bool isDownNow);

    /** Writes a key at once, as operators and upstreams do, who do not depend on the state of the calls here. */
    void writeDirectly(std::string_view key, std::string_view value) { this->put(key, value, 0); }

    /** Replaces the content by what it was @p age ago, as from a copy: leases and later writes are lost, and a new era begins. Watches end. */
    void restore(Duration age);

    Duration latency = 3ms; ///< Time from a call to its answer.
    uint32_t answersToLose = 0; ///< Number of coming compareAndSwap calls that take effect but fail with Unavailable.
    uint64_t reads = 0; ///< Calls of read, list and watch.
    uint64_t writes = 0; ///< Calls of compareAndSwap and putWithLease, and those that grant, renew or end a lease.
    /** Called on each write of rulesKey, at the moment it takes effect. */
    std::function<void(const StoreValue&)> onRules;

private:
    struct Lease {
        Duration lifetime {}; ///< Time from each renewal to expiry.
        TimePoint expires {};
    };
    struct Entry {
        StoreValue value;
        uint64_t lease = 0; ///< Lease that the entry expires with; 0: none.
    };
    /** Content after a write. */
    struct Copy {
        TimePoint writtenAt {};
        std::map<std::string, Entry, std::less<>> entries;
        uint64_t number = 1;
    };
    struct Watcher {
        std::string key;
        std::function<void(StoreValue)> changed;
        std::function<void(absl::Status)> ended;
    };

    /**
     * Performs a call after half the latency and answers after the other half.
     * @param mayLoseAnswer The call counts against answersToLose.
     */
    template <typename Result>
    void call(std::function<absl::StatusOr<Result>()> perform, Done<Result> done, bool mayLoseAnswer = false);
    /** Writes an entry with a new revision and notifies its watchers. */
    void put(std::string_view key, std::string_view value, uint64_t lease);
    /** The value of an entry as it is returned now. */
    StoreValue toValue(const Entry& entry) const;
    /** Erases expired leases and their entries. */
    void dropExpired();

    EventQueue& queue;
    std::map<std::string, Entry, std::less<>> entries;
    std::map<uint64_t, Lease> leases;
    std::vector<Watcher> watchers;
    std::vector<Copy> copies; ///< One for each write of the current era, and the content that the era began with.
    uint64_t number = 1; ///< Of the latest write.
    uint64_t restores = 0; ///< Times that the store was restored.
    uint64_t answeredEra = 0; ///< Value of restores at the latest answer.
    uint64_t nextLease = 1;
    bool isDown = false;
};

} // namespace lavender
