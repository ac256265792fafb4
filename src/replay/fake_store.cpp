/** @file fake_store.cpp Store calls as events of the queue; watches. */
#include "replay/fake_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration callTimeout = 2s; ///< Time until a call without an answer fails.

} // namespace

template <typename Result>
void FakeStore::call(std::function<absl::StatusOr<Result>()> perform, Done<Result> done, bool mayLoseAnswer)
{
    const auto fail = [this, done] { this->queue.scheduleIn(callTimeout, [done] { done(absl::UnavailableError("store: no answer")); }); };
    this->queue.scheduleIn(this->latency / 2, [this, perform = std::move(perform), done, fail, mayLoseAnswer] {
        if (this->isDown) {
            fail();
            return;
        }
        this->dropExpired();
        const absl::StatusOr<Result> result = perform();
        if (mayLoseAnswer && this->answersToLose > 0) {
            --this->answersToLose;
            fail();
            return;
        }
        this->queue.scheduleIn(this->latency / 2, [this, era = this->restores, done, result] {
            this->answeredEra = std::max(this->answeredEra, era);
            done(result);
        });
    });
}

void FakeStore::dropExpired()
{
    std::erase_if(this->leases, [this](const auto& entry) { return entry.second.expires <= this->queue.now(); });
    std::erase_if(this->entries, [this](const auto& entry) { return entry.second.lease != 0 && !this->leases.contains(entry.second.lease); });
}

void FakeStore::read(std::string_view key, Done<std::optional<StoreValue>> done)
{
    ++this->reads;
    this->call<std::optional<StoreValue>>([this, key = std::string(key)]() -> absl::StatusOr<std::optional<StoreValue>> {
        const auto found = this->entries.find(key);
        return found == this->entries.end() ? std::nullopt : std::optional(this->toValue(found->second));
    },
        std::move(done));
}

void FakeStore::list(std::string_view prefix, Done<std::vector<StoreValue>> done)
{
    ++this->reads;
    this->call<std::vector<StoreValue>>([this, prefix = std::string(prefix)]() -> absl::StatusOr<std::vector<StoreValue>> {
        std::vector<StoreValue> values;
        for (const auto& [key, entry] : this->entries) {
            if (key.starts_with(prefix)) {
                values.push_back(this->toValue(entry));
            }
        }
        return values;
    },
        std::move(done));
}

void FakeStore::put(std::string_view key, std::string_view value, uint64_t lease)
{
    Entry& entry = this->entries[std::string(key)];
    entry = { { std::string(key), std::string(value), { this->restores, ++this->number }, {} }, lease };
    this->copies.push_back({ this->queue.now(), this->entries, this->number });
    if (key == rulesKey && this->onRules) {
        this->onRules(this->toValue(entry));
    }
    for (const Watcher& watcher : this->watchers) {
        if (watcher.key == key) {
            this->queue.scheduleIn(this->latency / 2, [changed = watcher.changed, written = this->toValue(entry)] { changed(written); });
        }
    }
}

void FakeStore::compareAndSwap(std::string_view key, const StorePosition& expected, std::string_view value, Done<SwapResult> done)
{
    ++this->writes;
    this->call<SwapResult>([this, key = std::string(key), expected, value = std::string(value)]() -> absl::StatusOr<SwapResult> {
        const auto found = this->entries.find(key);
        const StorePosition present = found == this->entries.end() ? StorePosition {} : this->toValue(found->second).position;
        if (present != expected) {
            return SwapResult { false, { this->restores, this->number } };
        }
        this->put(key, value, 0);
        return SwapResult { true, { this->restores, this->number } };
    },
        std::move(done), true);
}

void FakeStore::putWithLease(std::string_view key, std::string_view value, const StoreLease& lease, Done<SwapResult> done)
{
    ++this->writes;
    this->call<SwapResult>([this, key = std::string(key), value = std::string(value), lease]() -> absl::StatusOr<SwapResult> {
        if (lease.era != this->restores || !this->leases.contains(lease.id)) {
            return absl::NotFoundError("store: no such lease");
        }
        this->put(key, value, lease.id);
        return SwapResult { true, { this->restores, this->number } };
    },
        std::move(done));
}

void FakeStore::grantLease(uint32_t seconds, Done<StoreLease> done)
{
    ++this->writes;
    this->call<StoreLease>([this, seconds]() -> absl::StatusOr<StoreLease> {
        const uint64_t id = this->nextLease++;
        this->leases[id] = { std::chrono::seconds(seconds), this->queue.now() + std::chrono::seconds(seconds) };
        return StoreLease { id, this->restores };
    },
        std::move(done));
}

void FakeStore::renewLease(const StoreLease& lease, Done<StoreLease> done)
{
    ++this->writes;
    this->call<StoreLease>([this, lease]() -> absl::StatusOr<StoreLease> {
        const auto found = this->leases.find(lease.id);
        if (lease.era != this->restores || found == this->leases.end()) {
            return absl::NotFoundError("store: the lease has lapsed");
        }
        found->second.expires = this->queue.now() + found->second.lifetime;
        return lease;
    },
        std::move(done));
}

void FakeStore::revokeLease(const StoreLease& lease, Done<StoreLease> done)
{
    ++this->writes;
    this->call<StoreLease>([this, lease]() -> absl::StatusOr<StoreLease> {
        if (lease.era == this->restores) {
            this->leases.erase(lease.id);
        }
        return lease;
    },
        std::move(done));
}

void FakeStore::watch(std::string_view key, std::function<void(StoreValue)> changed, std::function<void(absl::Status)> ended)
{
    ++this->reads;
    if (this->isDown) {
        this->queue.scheduleIn(callTimeout, [ended = std::move(ended)] { ended(absl::UnavailableError("store: no answer")); });
        return;
    }
    this->watchers.push_back({ std::string(key), std::move(changed), std::move(ended) });
}

void FakeStore::setDown(bool isDownNow)
{
    this->isDown = isDownNow;
    if (!isDownNow) {
        return;
    }
    for (const Watcher& watcher : std::exchange(this->watchers, {})) {
        this->queue.scheduleIn(this->latency / 2, [ended = watcher.ended] { ended(absl::UnavailableError("store: watch closed")); });
    }
}

StoreValue FakeStore::toValue(const Entry& entry) const
{
    StoreValue value = entry.value;
    value.position.era = this->restores; // Answers tell the store's era only, not that of each write.
    value.readAt = { this->restores, this->number };
    return value;
}

void FakeStore::restore(Duration age)
{
    const auto later = std::find_if(this->copies.begin(), this->copies.end(), [this, age](const Copy& copy) { return copy.writtenAt > this->queue.now() - age; });
    const Copy copy = later == this->copies.begin() ? Copy {} : *std::prev(later);
    this->entries = copy.entries;
    this->number = copy.number;
    this->copies = { copy };
    this->leases.clear();
    this->nextLease = 1;
    ++this->restores;
    for (const Watcher& watcher : std::exchange(this->watchers, {})) {
        this->queue.scheduleIn(this->latency / 2, [ended = watcher.ended] { ended(absl::OutOfRangeError("store: this history is gone")); });
    }
}

} // namespace lavender
