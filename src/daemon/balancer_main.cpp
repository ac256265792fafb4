/** @file balancer_main.cpp lavender-balancer: the balancer's decisions with sockets, the store and a clock. */
#include "balancer/balancer_base.h"
#include "core/text_func.h"
#include "daemon/log_func.h"
#include "daemon/process_base.h"
#include "daemon/program_func.h"
#include "settings/setting_func.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace lavender {

namespace {

    constexpr Duration storeRetryFloor = 250ms;
    constexpr Duration storeRetryCeiling = 20s;
    constexpr Duration seedPeriod = 20s; ///< About the time between two readings of the balancers' leases.
    constexpr Duration watchCheckPeriod = 1s;

    class BalancerProcess final : public Process {
    public:
        explicit BalancerProcess(const BalancerProcessSettings& settings)
            : Process(settings.listen)
            , settings(settings)
            , balancer({ settings.listen, settings.zone, Process::makeIncarnation() }, makeSteering(settings.steering), this->random)
        {
            if (!settings.storeUrl.empty()) {
                this->store = std::make_unique<HttpStore>(settings.storeUrl, settings.storeTimeout);
            }
        }

        /** Begins the store's part; the sockets are bound by run(). */
        void startStore()
        {
            this->seedTimer.startOnce(1ms, [this] { this->findSeeds(); });
            if (this->store != nullptr) {
                this->readTimer.startOnce(1ms, [this] { this->readRules(); });
                this->leaseTimer.startOnce(1ms, [this] { this->takeLease(); });
                this->watchTimer.start(watchCheckPeriod, [this] { this->checkWatch(); });
            }
        }

    protected:
        void onMessage(TimePoint now, const Message& message, Actions& actions) override { this->balancer.onMessage(now, message, actions); }
        void onTick(TimePoint now, Actions& actions) override
        {
            if (!this->isStopping) {
                this->balancer.tick(now, actions);
            }
            this->noteRevision();
        }
        void onSnapshot(TimePoint now, const Snapshot& snapshot, Actions& /*actions*/) override { this->balancer.onSnapshot(now, snapshot); }
        std::string openWork() const override { return ""; }
        std::string status(TimePoint now) const override { return this->balancer.status(now); }
        Snapshot makeSnapshot(const SnapshotAsk& ask) const override { return this->balancer.makeSnapshot(ask); }

        void onStop(TimePoint now, Actions& actions) override
        {
            this->balancer.beginStop(now, actions);
            this->seedTimer.stop();
            this->readTimer.stop();
            this->leaseTimer.stop();
            this->watchTimer.stop();
            if (this->store != nullptr && this->lease != 0) {
                this->store->revokeLease(this->lease, [](const absl::StatusOr<uint64_t>&) {});
            }
            this->lingerTimer.startOnce(this->settings.linger, [this] { this->finish(ExitCode::Done); });
        }

    private:
        /** Doubles up to a ceiling, with full jitter, so that a returning store is not overrun. */
        Duration backoff(int failures)
        {
            const Duration span = std::min<Duration>(storeRetryFloor * (1 << std::min(failures, 8)), storeRetryCeiling);
            return storeRetryFloor + this->random.jitter(span);
        }

        void findSeeds()
        {
            const auto take = [this](std::span<const Address> seeds) {
                Actions actions;
                this->balancer.onSeeds(Process::now(), seeds, actions);
                this->performAll(actions);
            };
            take(this->settings.seeds);
            const bool isAlone = this->balancer.gossip().balancers("").empty();
            this->seedTimer.startOnce(isAlone ? this->backoff(2) : seedPeriod / 2 + this->random.jitter(seedPeriod), [this] { this->findSeeds(); });
            if (this->store == nullptr) {
                return;
            }
            this->store->list(balancersPrefix, [take](const absl::StatusOr<std::vector<StoreValue>>& values) {
                std::vector<Address> seeds;
                for (const StoreValue& value : values.ok() ? *values : std::vector<StoreValue>()) {
                    const absl::StatusOr<Address> seed = parseAddress(std::string_view(value.key).substr(balancersPrefix.size()));
                    if (seed.ok()) {
                        seeds.push_back(*seed);
                    }
                }
                take(seeds);
            });
        }

        void offerRules(const StoreValue& value)
        {
            const absl::StatusOr<RulesEnvelope> envelope = parseEnvelope(value.value);
            if (!envelope.ok()) {
                logWarning("rules-refused", envelope.status().ToString());
                return;
            }
            const absl::Status status = this->balancer.onConfiguration(Process::now(), value.revision, envelope->rules);
            if (absl::IsInvalidArgument(status)) {
                logWarning("rules-refused", status.ToString());
            }
            this->noteRevision();
        }

        void noteRevision()
        {
            if (this->balancer.configuration().revision() != this->loggedRevision) {
                this->loggedRevision = this->balancer.configuration().revision();
                logInfo("rules-in-force", concat("revision ", this->loggedRevision));
            }
        }

        /** Each balancer reads now and then even without a watch: a fallback for lost gossip. */
        void readRules()
        {
            this->store->read(rulesKey, [this](const absl::StatusOr<std::optional<StoreValue>>& value) {
                this->noteStore(value.ok());
                if (value.ok() && value->has_value()) {
                    this->offerRules(**value);
                }
                const bool isSettled = value.ok() && this->balancer.configuration().hasAny();
                const Duration delay = isSettled ? this->settings.readPeriod / 2 + this->random.jitter(this->settings.readPeriod) : this->backoff(value.ok() ? 0 : ++this->readFailures);
                this->readFailures = value.ok() ? 0 : this->readFailures;
                if (!this->isStopping) {
                    this->readTimer.startOnce(delay, [this] { this->readRules(); });
                }
            });
        }

        void noteStore(bool isUp)
        {
            if (isUp != this->isStoreUp) {
                this->isStoreUp = isUp;
                isUp ? logInfo("store-up", "") : logWarning("store-down", "rules in force stay in force");
            }
        }

        void takeLease()
        {
            const auto seconds = static_cast<uint32_t>(toMilliseconds(this->settings.leaseTime) / 1000);
            this->store->grantLease(seconds, [this](const absl::StatusOr<uint64_t>& granted) {
                if (this->isStopping) {
                    return;
                }
                if (!granted.ok()) {
                    this->leaseTimer.startOnce(this->backoff(++this->leaseFailures), [this] { this->takeLease(); });
                    return;
                }
                this->lease = *granted;
                const std::string key = concat(balancersPrefix, formatAddress(this->settings.listen));
                this->store->putWithLease(key, this->settings.zone, this->lease, [this](const absl::StatusOr<SwapResult>& written) {
                    this->leaseFailures = written.ok() ? 0 : this->leaseFailures + 1;
                    if (this->isStopping) {
                        return;
                    }
                    const Duration delay = written.ok() ? this->settings.leaseTime / 3 : this->backoff(this->leaseFailures);
                    this->leaseTimer.startOnce(delay, [this, isWritten = written.ok()] { isWritten ? this->renewLease() : this->takeLease(); });
                });
            });
        }

        void renewLease()
        {
            this->store->renewLease(this->lease, [this](const absl::StatusOr<uint64_t>& renewed) {
                if (this->isStopping) {
                    return;
                }
                if (absl::IsNotFound(renewed.status())) {
                    logWarning("lease-lapsed", "taking a new one");
                    this->takeLease();
                    return;
                }
                this->leaseFailures = renewed.ok() ? 0 : this->leaseFailures + 1;
                const Duration delay = renewed.ok() ? this->settings.leaseTime / 3 : this->backoff(this->leaseFailures);
                this->leaseTimer.startOnce(delay, [this] { this->renewLease(); });
            });
        }

        /** Opens a watch where this balancer is one of its zone's watchers and has none. */
        void checkWatch()
        {
            if (this->isWatching || Process::now() < this->nextWatch || !this->balancer.isWatcher()) {
                return;
            }
            this->isWatching = true;
            this->store->watch(
                rulesKey, [this](const StoreValue& value) { this->offerRules(value); }, [this](const absl::Status& /*status*/) {
                    this->isWatching = false;
                    this->nextWatch = Process::now() + this->backoff(++this->watchFailures);
                });
            // What was written before the watch stood is not seen by it.
            this->store->read(rulesKey, [this](const absl::StatusOr<std::optional<StoreValue>>& value) {
                if (value.ok() && value->has_value()) {
                    this->watchFailures = 0;
                    this->offerRules(**value);
                }
            });
        }

        BalancerProcessSettings settings;
        Balancer balancer;
        std::unique_ptr<HttpStore> store;
        LoopTimer seedTimer;
        LoopTimer readTimer;
        LoopTimer leaseTimer;
        LoopTimer watchTimer;
        LoopTimer lingerTimer;
        uint64_t lease = 0;
        int readFailures = 0;
        int leaseFailures = 0;
        int watchFailures = 0;
        bool isWatching = false;
        bool isStoreUp = true;
        TimePoint nextWatch {};
        Revision loggedRevision = 0;
    };

} // namespace

} // namespace lavender

int main(int argc, char** argv)
{
    using namespace lavender; // NOLINT(google-build-using-namespace): the program's only function
    const auto check = [](const std::string& text) { return std::string(parseBalancerSettings(text).status().message()); };
    const auto run = [](const std::string& text) {
        const BalancerProcessSettings settings = *parseBalancerSettings(text);
        setupLog(settings.logFormat, settings.logLevel);
        BalancerProcess process(settings);
        process.startStore();
        return static_cast<int>(process.run());
    };
    return runProgram(argc, argv, balancerSettingTable, check, run);
}
