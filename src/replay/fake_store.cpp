/** @file fake_store.cpp Store calls as events of the queue; watches. */
#include "replay/fake_store.h"

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
        this->queue.scheduleIn(this->latency / 2, [done, result] { done(result); });
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
        return found == this->entries.end() ? std::nullopt : std::optional(found->second.value);
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
                values.push_back(entry.value);
            }
        }
        return values;
    },
        std::move(done));
}

void FakeStore::put(std::string_view key, std::string_view value, uint64_t lease)
{
    Entry& entry = this->entries[std::string(key)];
    entry = { { std::string(key), std::string(value), ++this->revision }, lease };
    if (key == rulesKey && this->onRules) {
        this->onRules(entry.value);
    }
    for (const Watcher& watcher : this->watchers) {
        if (watcher.key == key) {
            this->queue.scheduleIn(this->latency / 2, [changed = watcher.changed, written = entry.value] { changed(written); });
        }
    }
}

void FakeStore::compareAndSwap(std::string_view key, Revision expected, std::string_view value, Done<SwapResult> done)
{
    ++this->writes;
    this->call<SwapResult>([this, key = std::string(key), expected, value = std::string(value)]() -> absl::StatusOr<SwapResult> {
        const auto found = this->entries.find(key);
        const Revision present = found == this->entries.end() ? 0 : found->second.value.revision;
        if (present != expected) {
            return SwapResult { false, this->revision };
        }
        this->put(key, value, 0);
        return SwapResult { true, this->revision };
    },
        std::move(done), true);
}

void FakeStore::putWithLease(std::string_view key, std::string_view value, uint64_t lease, Done<SwapResult> done)
{
    ++this->writes;
    this->call<SwapResult>([this, key = std::string(key), value = std::string(value), lease]() -> absl::StatusOr<SwapResult> {
        if (!this->leases.contains(lease)) {
            return absl::NotFoundError("store: no such lease");
        }
        this->put(key, value, lease);
        return SwapResult { true, this->revision };
    },
        std::move(done));
}

void FakeStore::grantLease(uint32_t seconds, Done<uint64_t> done)
{
    ++this->writes;
    this->call<uint64_t>([this, seconds]() -> absl::StatusOr<uint64_t> {
        const uint64_t id = this->nextLease++;
        this->leases[id] = { std::chrono::seconds(seconds), this->queue.now() + std::chrono::seconds(seconds) };
        return id;
    },
        std::move(done));
}

void FakeStore::renewLease(uint64_t lease, Done<uint64_t> done)
{
    ++this->writes;
    this->call<uint64_t>([this, lease]() -> absl::StatusOr<uint64_t> {
        const auto found = this->leases.find(lease);
        if (found == this->leases.end()) {
            return absl::NotFoundError("store: the lease has lapsed");
        }
        found->second.expires = this->queue.now() + found->second.lifetime;
        return lease;
    },
        std::move(done));
}

void FakeStore::revokeLease(uint64_t lease, Done<uint64_t> done)
{
    ++this->writes;
    this->call<uint64_t>([this, lease]() -> absl::StatusOr<uint64_t> {
        this->leases.erase(lease);
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

} // namespace lavender
