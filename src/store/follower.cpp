/** @file follower.cpp Schedules the store calls; failed calls are retried after a backoff with full jitter. */
#include "store/follower.h"

#include "core/text_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration minimumRetryDelay = 250ms; ///< Also the jitter limit before the first doubling.
    constexpr Duration maximumRetryJitter = 1500ms; ///< With minimumRetryDelay, a recovered store is noticed within 2 s.
    constexpr Duration maximumRetryJitterPerBalancer = 4ms; ///< Keeps 1,800 balancers that each retry two calls under 1,000 calls a second.
    constexpr int maximumBackoffDoublings = 8;
    constexpr Duration maximumWatchResumptionDelay = 100ms; ///< Jitter after HTTP 410: a compaction ends all watches at once, and each reopens with a read.
    constexpr Duration maximumRestoreDelay = 500ms; ///< Jitter after a restore of the store: all balancers learn of it within milliseconds.
    constexpr Duration readPeriodWithoutRules = 5s; ///< Mean interval between reads while this balancer has no rules.
    constexpr Duration seedListPeriod = 60s; ///< Mean interval between lists.
    constexpr Duration isolatedSeedListPeriod = 1s; ///< Mean interval between lists while no other process is known.

} // namespace

Duration storeBackoff(Random& random, int failures, size_t balancers)
{
    const Duration ceiling = std::max<Duration>(maximumRetryJitter, maximumRetryJitterPerBalancer * balancers);
    const Duration span = std::min<Duration>(minimumRetryDelay * (1 << std::min(failures, maximumBackoffDoublings)), ceiling);
    return minimumRetryDelay + random.jitter(span);
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
    if (this->isListPending || this->clock.now() < this->listDue) {
        return;
    }
    this->isListPending = true;
    this->store.list(balancersPrefix, [this](const absl::StatusOr<std::vector<StoreValue>>& values) { this->onList(values); });
}

void SeedFinder::onList(const absl::StatusOr<std::vector<StoreValue>>& values)
{
    this->isListPending = false;
    this->listFailures = values.ok() ? 0 : this->listFailures + 1;
    if (values.ok()) {
        std::vector<StoreValue> entries = *values;
        // Balancers of the own availability zone first: an agent keeps only a limited number of seeds.
        std::stable_partition(entries.begin(), entries.end(), [this](const StoreValue& value) { return value.value == this->zone; });
        std::vector<Address> seeds;
        for (const StoreValue& value : entries) {
            if (value.key == rosterKey) {
                if (const absl::StatusOr<Roster> roster = parseRoster(value.value); roster.ok()) {
                    this->listener.onRoster(*roster);
                }
                continue;
            }
            const absl::StatusOr<Address> seed = parseAddress(std::string_view(value.key).substr(balancersPrefix.size()));
            if (seed.ok()) {
                seeds.push_back(*seed);
            }
        }
        this->listener.onSeeds(seeds);
    }
    const Duration period = this->listener.isAlone() ? isolatedSeedListPeriod : seedListPeriod;
    const Duration delay = values.ok() ? period / 2 + this->random.jitter(period) : storeBackoff(this->random, this->listFailures);
    this->listDue = this->clock.now() + delay;
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

void StoreFollower::updateStoreState(bool isUpNow)
{
    if (isUpNow != this->isStoreUp) {
        this->isStoreUp = isUpNow;
        this->listener.onStoreState(isUpNow);
    }
}

/**
 * Notes the store's era. After a restore the lease is lost, and perhaps given to another process. The rules are read again once the
 * operators have written what was lost; the first process that has read them tells the others by gossip.
 */
void StoreFollower::noteEra(uint64_t newEra)
{
    if (newEra <= this->era) {
        return;
    }
    this->era = newEra;
    const TimePoint now = this->clock.now();
    this->settledAt = now + restoreSettleTime + this->random.jitter(maximumRestoreDelay);
    if (this->lease.isValid() && this->lease.era != newEra) {
        this->listener.onLeaseLapsed();
        this->lease = {};
        this->leaseDue = now + this->random.jitter(maximumRestoreDelay);
    }
}

void StoreFollower::reportRules(const StoreValue& value)
{
    const absl::StatusOr<RulesEnvelope> envelope = parseEnvelope(value.value);
    if (envelope.ok()) {
        this->listener.onRules({ .revision = { envelope->version, value.position }, .readAt = value.readAt, .text = envelope->rules });
    }
}

void StoreFollower::tick()
{
    if (this->isStopped) {
        return;
    }
    const TimePoint now = this->clock.now();
    this->noteEra(std::max(this->store.era(), this->listener.revision().position.era));
    const bool isHedgeDue = !this->listener.revision().isValid() && this->readHedge.isDue(now);
    if (this->settledAt && now >= *this->settledAt) {
        this->settledAt.reset();
        this->readDue = this->listener.revision().position.era == this->era ? this->readDue : now;
    }
    if (this->pendingReads == 0 ? now >= this->readDue : isHedgeDue) {
        this->readRules();
    }
    if (!this->isLeaseCallPending && now >= this->leaseDue) {
        this->lease.isValid() ? this->renewLease() : this->requestLease();
    }
    if (!this->isWatchOpen && now >= this->watchDue && this->listener.isWatcher()) {
        this->openWatch();
    }
}

/**
 * Reads are needed beside watches, since a watch may go silent without an error and miss changes. The fleet reads at a constant
 * rate whatever its size; gossip passes changed rules on.
 */
Duration StoreFollower::readInterval() const
{
    if (!this->listener.revision().isValid()) {
        return readPeriodWithoutRules;
    }
    const Duration sharedPeriod = this->settings.fleetReadPeriod * this->listener.balancerCount();
    return sharedPeriod > Duration::zero() ? std::min(sharedPeriod, this->settings.readPeriod) : this->settings.readPeriod;
}

/**
 * Every balancer reads periodically, with a watch or without: the fallback if gossip and watches fail. A balancer without rules
 * forwards nothing, so it hedges the read instead of waiting for the timeout of a call that a restarting store has lost.
 */
void StoreFollower::readRules()
{
    this->readHedge.onCall(this->clock.now(), this->pendingReads == 0);
    ++this->pendingReads;
    this->store.read(rulesKey, [this](const absl::StatusOr<std::optional<StoreValue>>& value) {
        --this->pendingReads;
        if (!value.ok() && this->pendingReads > 0) {
            return; // Another copy of this read may still be answered.
        }
        this->updateStoreState(value.ok());
        this->readFailures = value.ok() ? 0 : this->readFailures + 1;
        if (value.ok() && value->has_value()) {
            this->reportRules(**value);
        }
        const Duration period = this->readInterval();
        this->readDue = this->clock.now() + (value.ok() ? period / 2 + this->random.jitter(period) : this->backoff(this->readFailures));
    });
}

void StoreFollower::requestLease()
{
    this->isLeaseCallPending = true;
    const auto seconds = static_cast<uint32_t>(toMilliseconds(this->settings.leaseTime) / 1000);
    this->store.grantLease(seconds, [this](const absl::StatusOr<StoreLease>& granted) {
        if (!granted.ok() || this->isStopped) {
            this->isLeaseCallPending = false;
            this->leaseDue = this->clock.now() + this->backoff(++this->leaseFailures);
            return;
        }
        this->lease = *granted;
        this->writeBalancerKey();
    });
}

void StoreFollower::writeBalancerKey()
{
    const std::string key = concat(balancersPrefix, formatAddress(this->settings.address));
    this->store.putWithLease(key, this->settings.zone, this->lease, [this](const absl::StatusOr<SwapResult>& written) {
        this->isLeaseCallPending = false;
        if (!written.ok()) {
            this->lease = {}; // Whether the key was written is unknown; it is written again under a new lease.
            this->leaseDue = this->clock.now() + this->backoff(++this->leaseFailures);
            return;
        }
        this->leaseFailures = 0;
        this->leaseDue = this->clock.now() + this->settings.leaseTime / 3;
    });
}

void StoreFollower::renewLease()
{
    this->isLeaseCallPending = true;
    this->store.renewLease(this->lease, [this](const absl::StatusOr<StoreLease>& renewed) {
        this->isLeaseCallPending = false;
        if (absl::IsNotFound(renewed.status())) {
            this->listener.onLeaseLapsed();
            this->lease = {};
            this->leaseDue = this->clock.now();
            return;
        }
        this->leaseFailures = renewed.ok() ? 0 : this->leaseFailures + 1;
        this->leaseDue = this->clock.now() + (renewed.ok() ? this->settings.leaseTime / 3 : this->backoff(this->leaseFailures));
    });
}

void StoreFollower::openWatch()
{
    this->isWatchOpen = true;
    this->store.watch(
        rulesKey, [this](const StoreValue& value) { this->reportRules(value); }, [this](const absl::Status& status) {
            this->isWatchOpen = false;
            const bool isHistoryLost = absl::IsOutOfRange(status);
            this->watchDue = this->clock.now() + (isHistoryLost ? this->random.jitter(maximumWatchResumptionDelay) : this->backoff(++this->watchFailures)); });
    // The watch does not report writes from before it was open.
    this->store.read(rulesKey, [this](const absl::StatusOr<std::optional<StoreValue>>& value) {
        if (value.ok()) {
            this->watchFailures = 0;
        }
        if (value.ok() && value->has_value()) {
            this->reportRules(**value);
        }
    });
}

void StoreFollower::stop()
{
    this->isStopped = true;
    if (this->lease.isValid()) {
        this->store.revokeLease(this->lease, [](const absl::StatusOr<StoreLease>&) {});
    }
}

} // namespace lavender
