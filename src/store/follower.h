/** @file follower.h A node's use of the store: seeds, lease, reads and watches of the rules, within a budget of calls. */
#pragma once

#include "core/address_type.h"
#include "core/clock_base.h"
#include "core/random_base.h"
#include "store/store_base.h"

#include <absl/status/status.h>

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/** Time before the next try of a failed store call: doubles up to 1.5 s, in a large fleet to more, with full jitter, so that a store that returns is not overrun. */
Duration storeBackoff(Random& random, int failures, size_t balancers = 1);

/** Lists the balancers that hold a lease, again and again. */
class SeedFinder {
public:
    /** What the finder reports to. */
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onSeeds(std::span<const Address> seeds) = 0;
        /** True while the node knows nobody: it asks more often then. */
        virtual bool isAlone() const = 0;
    };

    SeedFinder(Store& store, const Clock& clock, Random& random, std::string zone, Listener& listener);

    void tick();

private:
    void onList(const absl::StatusOr<std::vector<StoreValue>>& values);

    Store& store;
    const Clock& clock;
    Random& random;
    std::string zone;
    Listener& listener;
    TimePoint due {};
    int failures = 0;
    bool isBusy = false;
};

/** When a call without an answer is made once more, beside the first. */
class CallRepeat {
public:
    /** @param isFirst False for a repetition. */
    void onCall(TimePoint now, bool isFirst)
    {
        this->wait = isFirst ? firstWait : this->wait * 2;
        this->due = now + this->wait;
    }

    bool isDue(TimePoint now) const { return now >= this->due; }

private:
    static constexpr Duration firstWait = 150ms; ///< A store that answers takes some milliseconds; doubled, a call in a fleet's outage costs three more.

    Duration wait {};
    TimePoint due {};
};

/** What a balancer is told of the store. */
struct StoreFollowerSettings {
    Address address; ///< Listed under a lease.
    std::string zone;
    Duration leaseTime = 60s;
    Duration readPeriod = 30s; ///< About the time between two reads of the rules by one balancer.
    Duration fleetReadPeriod {}; ///< About the time between two reads by any balancer, where that is sooner; 0: none.
};

/** Keeps a balancer listed and its rules up to date. */
class StoreFollower {
public:
    /** What the follower reports to. */
    class Listener {
    public:
        virtual ~Listener() = default;
        /** Rules that the store holds. @param readAt Revision of the store at that time; 0 where it does not say. */
        virtual void onRules(Revision revision, Revision readAt, std::string_view rules) = 0;
        virtual void onStoreState(bool isUp) = 0;
        virtual void onLeaseLapsed() = 0;
        /** True where this balancer is one of those that watch. */
        virtual bool isWatcher() const = 0;
        virtual bool hasRules() const = 0;
        /** Balancers that are alive, this one counted. */
        virtual size_t balancerCount() const = 0;
    };

    StoreFollower(Store& store, const Clock& clock, Random& random, StoreFollowerSettings settings, Listener& listener);

    /** Starts what is due. */
    void tick();

    /** Gives the lease up; nothing is started any more. */
    void stop();

private:
    void readRules();
    void takeLease();
    void writeLease();
    void renewLease();
    void openWatch();
    Duration nextRead() const;
    Duration backoff(int failures);
    void takeValue(const StoreValue& value);
    void noteState(bool isUp);

    Store& store;
    const Clock& clock;
    Random& random;
    StoreFollowerSettings settings;
    Listener& listener;
    uint64_t lease = 0;
    TimePoint readDue {};
    TimePoint leaseDue {};
    TimePoint watchDue {};
    int readFailures = 0;
    int leaseFailures = 0;
    int watchFailures = 0;
    int readsOut = 0; ///< Reads of the rules without an answer yet.
    CallRepeat readRepeat;
    bool isLeasing = false;
    bool isWatching = false;
    bool isUp = true;
    bool isStopped = false;
};

} // namespace lavender
