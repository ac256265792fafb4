/** @file follower.h How processes use the store within its request budget: listing seeds, keeping a lease, following the rules. */
#pragma once

#include "config/stored_rules.h"
#include "core/address_type.h"
#include "core/clock_base.h"
#include "core/random_base.h"
#include "member/roster.h"
#include "store/store_base.h"

#include <absl/status/status.h>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lavender {

/**
 * Delay before a failed store call is retried: exponential backoff with full jitter, so that a recovering store is not overloaded.
 * At most 1.75 s, in a large fleet longer.
 * @param failures Consecutive failures so far.
 * @param balancers Balancers in the fleet.
 */
Duration storeBackoff(Random& random, int failures, size_t balancers = 1);

/** Periodically lists the balancers that hold a lease; their addresses are seeds for joining the fleet. */
class SeedFinder {
public:
    /** Receives the seeds. */
    class Listener {
    public:
        virtual ~Listener() = default;
        /** @param seeds Balancers in the store, those of the finder's availability zone first. */
        virtual void onSeeds(std::span<const Address> seeds) = 0;
        /** The roster of the fleet's agents, if the store holds one. */
        virtual void onRoster(const Roster& /*roster*/) { }
        /** True while the process knows no other process of the fleet; the store is then listed more often. */
        virtual bool isAlone() const = 0;
    };

    /** @param zone Availability zone of this process. */
    SeedFinder(Store& store, const Clock& clock, Random& random, std::string zone, Listener& listener);

    /** Lists the balancers if that is due; called periodically. */
    void tick();

private:
    void onList(const absl::StatusOr<std::vector<StoreValue>>& values);

    Store& store;
    const Clock& clock;
    Random& random;
    std::string zone;
    Listener& listener;
    TimePoint listDue {}; ///< When to list the balancers next.
    int listFailures = 0; ///< Consecutive failed calls.
    bool isListPending = false; ///< A call has not been answered yet.
};

/** Schedule of hedged calls: copies of a call that are sent while it is still unanswered, at intervals that double. */
class HedgeTimer {
public:
    /** Schedules the next copy. @param isFirst False if the call just sent is itself a copy. */
    void onCall(TimePoint now, bool isFirst)
    {
        this->interval = isFirst ? firstInterval : this->interval * 2;
        this->due = now + this->interval;
    }

    /** True when the next copy is to be sent, provided that the call is still unanswered. */
    bool isDue(TimePoint now) const { return now >= this->due; }

private:
    static constexpr Duration firstInterval = 150ms; ///< A store that works answers in some milliseconds. With doubling, only three copies of a call are sent within a timeout of 2 s.

    Duration interval {}; ///< From the latest call to the next copy.
    TimePoint due {}; ///< When to send the next copy.
};

/** Settings of a StoreFollower. */
struct StoreFollowerSettings {
    Address address; ///< Address of this balancer, which the store lists under its lease.
    std::string zone; ///< Availability zone of this balancer.
    Duration leaseTime = 60s; ///< Lifetime of the lease without a renewal.
    Duration readPeriod = 30s; ///< Mean interval between reads of the rules by one balancer.
    Duration fleetReadPeriod {}; ///< Mean interval between reads by the whole fleet; applies where it makes a balancer read more often than readPeriod. 0: unused.
};

/** Keeps a balancer listed in the store and follows the rules by reads and, in selected balancers, a watch. */
class StoreFollower {
public:
    /** Receives the rules and the state of the store, and tells the follower about the balancer. */
    class Listener {
    public:
        virtual ~Listener() = default;
        /** Rules that the store holds, possibly known already. */
        virtual void onRules(const StoredRules& rules) = 0;
        /** The store has begun to answer reads, or has stopped. */
        virtual void onStoreState(bool isUp) = 0;
        /** The lease has expired; a new one is requested. */
        virtual void onLeaseLapsed() = 0;
        /** True if this balancer is one of those that keep a watch on the rules. */
        virtual bool isWatcher() const = 0;
        /** Revision of the rules in force; not valid if there are none. */
        virtual Revision revision() const = 0;
        /** Balancers alive in the fleet, including this one. */
        virtual size_t balancerCount() const = 0;
    };

    StoreFollower(Store& store, const Clock& clock, Random& random, StoreFollowerSettings settings, Listener& listener);

    /** Starts the calls that are due; called periodically. */
    void tick();

    /** Revokes the lease, which removes the balancer from the list; tick() starts no calls from now on. */
    void stop();

private:
    void readRules();
    void requestLease();
    void writeBalancerKey();
    void renewLease();
    void openWatch();
    Duration readInterval() const;
    Duration backoff(int failures);
    void reportRules(const StoreValue& value);
    void updateStoreState(bool isUpNow);
    void noteEra(uint64_t era);

    Store& store;
    const Clock& clock;
    Random& random;
    StoreFollowerSettings settings;
    Listener& listener;
    StoreLease lease; ///< Not valid if there is none.
    uint64_t era = 0; ///< Latest era of the store, by its answers or by the rules in force.
    std::optional<TimePoint> settledAt; ///< When to read the rules again after the store's era has changed; none if they were.
    TimePoint readDue {}; ///< When to read the rules next.
    TimePoint leaseDue {}; ///< When to renew the lease, or to request a new one.
    TimePoint watchDue {}; ///< Earliest time to open the next watch.
    int readFailures = 0; ///< Consecutive failed reads.
    int leaseFailures = 0; ///< Consecutive failed calls for the lease and its key.
    int watchFailures = 0; ///< Watches that ended other than by HTTP 410; reset when the read along with a new watch succeeds.
    int pendingReads = 0; ///< Reads of the rules that are not answered yet: one, and its copies.
    HedgeTimer readHedge; ///< When to send a copy of an unanswered read.
    bool isLeaseCallPending = false; ///< A call for the lease or its key is not answered yet.
    bool isWatchOpen = false; ///< A watch is open or being opened.
    bool isStoreUp = true; ///< Whether the latest read succeeded, as reported to the listener.
    bool isStopped = false; ///< stop() was called.
};

} // namespace lavender
