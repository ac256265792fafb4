/** @file follower.cpp Store calls on a schedule; each failure backs off with full jitter. */
#include "store/follower.h"

#include "core/text_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration retryFloor = 250ms;
    constexpr Duration retryCeiling = 1500ms; ///< A store that returns is heard of in less than 2 s.
    constexpr Duration retryCeilingPerBalancer = 4ms; ///< 1,800 balancers with two calls each stay under 1,000 calls a second.
    constexpr int maximumDoublings = 8;
    constexpr Duration historyLostDelay = 100ms; ///< Spreads the reads of all watchers whose history was dropped at once.
    constexpr Duration emptyReadPeriod = 5s; ///< About the time between two reads while the store has no rules.
    constexpr Duration seedPeriod = 60s;
    constexpr Duration aloneSeedPeriod = 1s;

} // namespace

Duration storeBackoff(Random& random, int failures, size_t balancers)
{
    const Duration ceiling = std::max<Duration>(retryCeiling, retryCeilingPerBalancer * balancers);
    const Duration span = std::min<Duration>(retryFloor * (1 << std::min(failures, maximumDoublings)), ceiling);
    return retryFloor + random.jitter(span);
}

SeedFinder::SeedFinder(Store& store, const Clock& clock, Random& random, std::string zone, Listener& listener)
    : store(store)
    , clock(clock)
    , random(random)
    , zone(std::move(zone))
    , listener(listener)
{
}

void SeedFinder::tick()
{
    if (this->isBusy || this->clock.now() < this->due) {
        return;
    }
    this->isBusy = true;
    this->store.list(balancersPrefix, [this](const absl::StatusOr<std::vector<StoreValue>>& values) { this->onList(values); });
}

void SeedFinder::onList(const absl::StatusOr<std::vector<StoreValue>>& values)
{
    this->isBusy = false;
    this->failures = values.ok() ? 0 : this->failures + 1;
    if (values.ok()) {
        std::vector<StoreValue> entries = *values;
        // Those of the own zone first; an agent remembers only some.
        std::stable_partition(entries.begin(), entries.end(), [this](const StoreValue& value) { return value.value == this->zone; });
        std::vector<Address> seeds;
        for (const StoreValue& value : entries) {
            const absl::StatusOr<Address> seed = parseAddress(std::string_view(value.key).substr(balancersPrefix.size()));
            if (seed.ok()) {
                seeds.push_back(*seed);
            }
        }
        this->listener.onSeeds(seeds);
    }
    const Duration period = this->listener.isAlone() ? aloneSeedPeriod : seedPeriod;
    const Duration delay = values.ok() ? period / 2 + this->random.jitter(period) : storeBackoff(this->random, this->failures);
    this->due = this->clock.now() + delay;
}

StoreFollower::StoreFollower(Store& store, const Clock& clock, Random& random, StoreFollowerSettings settings, Listener& listener)
    : store(store)
    , clock(clock)
    , random(random)
    , settings(std::move(settings))
    , listener(listener)
{
}

Duration StoreFollower::backoff(int failures)
{
    return storeBackoff(this->random, failures, this->listener.balancerCount());
}

void StoreFollower::noteState(bool isUpNow)
{
    if (isUpNow != this->isUp) {
        this->isUp = isUpNow;
        this->listener.onStoreState(isUpNow);
    }
}

void StoreFollower::takeValue(const StoreValue& value)
{
    const absl::StatusOr<RulesEnvelope> envelope = parseEnvelope(value.value);
    if (envelope.ok()) {
        this->listener.onRules(value.revision, value.readAt, envelope->rules);
    }
}

void StoreFollower::tick()
{
    if (this->isStopped) {
        return;
    }
    const TimePoint now = this->clock.now();
    const bool isRepeatDue = !this->listener.hasRules() && this->readRepeat.isDue(now);
    if (this->readsOut == 0 ? now >= this->readDue : isRepeatDue) {
        this->readRules();
    }
    if (!this->isLeasing && now >= this->leaseDue) {
        this->lease == 0 ? this->takeLease() : this->renewLease();
    }
    if (!this->isWatching && now >= this->watchDue && this->listener.isWatcher()) {
        this->openWatch();
    }
}

/** A watch may be silent while changes are made. The fleet reads at a fixed rate, whatever its size; gossip spreads the find. */
Duration StoreFollower::nextRead() const
{
    if (!this->listener.hasRules()) {
        return emptyReadPeriod;
    }
    const Duration shared = this->settings.fleetReadPeriod * this->listener.balancerCount();
    return shared > Duration::zero() ? std::min(shared, this->settings.readPeriod) : this->settings.readPeriod;
}

/**
 * Every balancer reads now and then, watch or not: the way out where gossip and watches fail. A balancer without rules serves
 * nobody, so it does not wait for the time-out of a call that a store on its way back has lost.
 */
void StoreFollower::readRules()
{
    this->readRepeat.onCall(this->clock.now(), this->readsOut == 0);
    ++this->readsOut;
    this->store.read(rulesKey, [this](const absl::StatusOr<std::optional<StoreValue>>& value) {
        --this->readsOut;
        if (!value.ok() && this->readsOut > 0) {
            return; // A later call may still be answered.
        }
        this->noteState(value.ok());
        this->readFailures = value.ok() ? 0 : this->readFailures + 1;
        if (value.ok() && value->has_value()) {
            this->takeValue(**value);
        }
        const Duration period = this->nextRead();
        this->readDue = this->clock.now() + (value.ok() ? period / 2 + this->random.jitter(period) : this->backoff(this->readFailures));
    });
}

void StoreFollower::takeLease()
{
    this->isLeasing = true;
    const auto seconds = static_cast<uint32_t>(toMilliseconds(this->settings.leaseTime) / 1000);
    this->store.grantLease(seconds, [this](const absl::StatusOr<uint64_t>& granted) {
        if (!granted.ok() || this->isStopped) {
            this->isLeasing = false;
            this->leaseDue = this->clock.now() + this->backoff(++this->leaseFailures);
            return;
        }
        this->lease = *granted;
        this->writeLease();
    });
}

void StoreFollower::writeLease()
{
    const std::string key = concat(balancersPrefix, formatAddress(this->settings.address));
    this->store.putWithLease(key, this->settings.zone, this->lease, [this](const absl::StatusOr<SwapResult>& written) {
        this->isLeasing = false;
        if (!written.ok()) {
            this->lease = 0; // The key may stand or not; a new lease writes it again.
            this->leaseDue = this->clock.now() + this->backoff(++this->leaseFailures);
            return;
        }
        this->leaseFailures = 0;
        this->leaseDue = this->clock.now() + this->settings.leaseTime / 3;
    });
}

void StoreFollower::renewLease()
{
    this->isLeasing = true;
    this->store.renewLease(this->lease, [this](const absl::StatusOr<uint64_t>& renewed) {
        this->isLeasing = false;
        if (absl::IsNotFound(renewed.status())) {
            this->listener.onLeaseLapsed();
            this->lease = 0;
            this->leaseDue = this->clock.now();
            return;
        }
        this->leaseFailures = renewed.ok() ? 0 : this->leaseFailures + 1;
        this->leaseDue = this->clock.now() + (renewed.ok() ? this->settings.leaseTime / 3 : this->backoff(this->leaseFailures));
    });
}

void StoreFollower::openWatch()
{
    this->isWatching = true;
    this->store.watch(
        rulesKey, [this](const StoreValue& value) { this->takeValue(value); }, [this](const absl::Status& status) {
            this->isWatching = false;
            const bool isHistoryLost = absl::IsOutOfRange(status);
            this->watchDue = this->clock.now() + (isHistoryLost ? this->random.jitter(historyLostDelay) : this->backoff(++this->watchFailures)); });
    // What was written before the watch stood is not seen by it.
    this->store.read(rulesKey, [this](const absl::StatusOr<std::optional<StoreValue>>& value) {
        if (value.ok()) {
            this->watchFailures = 0;
        }
        if (value.ok() && value->has_value()) {
            this->takeValue(**value);
        }
    });
}

void StoreFollower::stop()
{
    this->isStopped = true;
    if (this->lease != 0) {
        this->store.revokeLease(this->lease, [](const absl::StatusOr<uint64_t>&) {});
    }
}

} // namespace lavender
