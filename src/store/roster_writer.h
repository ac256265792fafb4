/** @file roster_writer.h Keeps the roster of agents in the store in step with what the balancers know. */
#pragma once

#include "core/clock_base.h"
#include "core/random_base.h"
#include "member/roster.h"
#include "store/store_base.h"

namespace lavender {

/**
 * Writes the roster when it has changed. The balancer that ranks first does so; if two take themselves for it, as on both sides of a
 * network partition, each write builds on the one before, since an agent that is left out by mistake could have its flows reset.
 */
class RosterWriter {
public:
    /** Tells the writer about the fleet. */
    class Listener {
    public:
        virtual ~Listener() = default;
        /** True if this process is to write the roster. */
        virtual bool isRosterKeeper() const = 0;
        /** The roster as it should be. @param earlier The one in the store. */
        virtual Roster makeRoster(const Roster& earlier) const = 0;
        /** Balancers alive in the fleet, including this one. */
        virtual size_t balancerCount() const = 0;
        /** The roster was written. @param bytes Length of its text. */
        virtual void onRosterWritten(const Roster& roster, size_t bytes) = 0;
    };

    RosterWriter(Store& store, const Clock& clock, Random& random, Listener& listener)
        : store(store)
        , clock(clock)
        , random(random)
        , listener(listener)
    {
    }

    /** Reads or writes what is due; called periodically. */
    void tick();

private:
    void read();
    void write(const std::string& text);
    void fail();

    Store& store;
    const Clock& clock;
    Random& random;
    Listener& listener;
    bool isCurrent = false; ///< @c stored and @c position are those of the store, as far as known.
    Roster stored;
    StorePosition position; ///< Of the stored roster; not valid if there is none.
    bool isPending = false; ///< A call has not been answered yet.
    TimePoint due {}; ///< Earliest time of the next check.
    int failures = 0; ///< Consecutive failed calls.
};

} // namespace lavender
