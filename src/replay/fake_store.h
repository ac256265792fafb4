/** @file fake_store.h The platform store in virtual time: slow, down, or losing the answers of its writes. */
#pragma once

#include "replay/event_queue.h"
#include "store/store_base.h"

#include <map>
#include <string>
#include <vector>

namespace lavender {

/** Keeps keys and leases; calls are answered after a delay. */
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

    /** Down: calls fail after a while and watches end. */
    void setDown(bool isDownNow);

    Duration latency = 3ms;
    uint32_t answersToLose = 0; ///< So many writes take effect without an answer.
    uint64_t reads = 0;
    uint64_t writes = 0;
    /** Called for each change of rulesKey. */
    std::function<void(const StoreValue&)> onRules;

private:
    struct Lease {
        Duration lifetime {};
        TimePoint expires {};
    };
    struct Entry {
        StoreValue value;
        uint64_t lease = 0;
    };
    struct Watcher {
        std::string key;
        std::function<void(StoreValue)> changed;
        std::function<void(absl::Status)> ended;
    };

    /** Carries a call out after half the latency and answers after the other half. */
    template <typename Result>
    void call(std::function<absl::StatusOr<Result>()> perform, Done<Result> done, bool mayLoseAnswer = false);
    void put(std::string_view key, std::string_view value, uint64_t lease);
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
