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

    void read(std::string_view key, Done<std::optional<StoreValue>> done) override;
    void list(std::string_view prefix, Done<std::vector<StoreValue>> done) override;
    void compareAndSwap(std::string_view key, Revision expected, std::string_view value, Done<SwapResult> done) override;
    void putWithLease(std::string_view key, std::string_view value, uint64_t lease, Done<SwapResult> done) override;
    void grantLease(uint32_t seconds, Done<uint64_t> done) override;
    void renewLease(uint64_t lease, Done<uint64_t> done) override;
    void revokeLease(uint64_t lease, Done<uint64_t> done) override;
    void watch(std::string_view key, std::function<void(StoreValue)> changed, std::function<void(absl::Status)> ended) override;

    /** Starts or ends an outage. During one, calls fail with Unavailable 2 s after they reach the store; at its start all watches end. */
    void setDown(bool isDownNow);

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
    /** Erases expired leases and their entries. */
    void dropExpired();

    EventQueue& queue;
    std::map<std::string, Entry, std::less<>> entries;
    std::map<uint64_t, Lease> leases;
    std::vector<Watcher> watchers;
    Revision revision = 1;
    uint64_t nextLease = 1;
    bool isDown = false;
};

} // namespace lavender
