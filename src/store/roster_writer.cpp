/** @file roster_writer.cpp Compares, reads and swaps the roster. */
#include "store/roster_writer.h"

#include "store/follower.h"

namespace lavender {

namespace {

    constexpr Duration checkPeriod = 1s; ///< Least time between two writes: agents that come and go together cost one.

} // namespace

void RosterWriter::tick()
{
    if (this->isPending || this->clock.now() < this->due) {
        return;
    }
    this->due = this->clock.now() + checkPeriod;
    if (!this->listener.isRosterKeeper()) {
        this->isCurrent = false; // Another process may write it from now on.
        return;
    }
    if (!this->isCurrent || (this->position.isValid() && this->position.era != this->store.era())) {
        this->read();
        return;
    }
    const Roster roster = this->listener.makeRoster(this->stored);
    if (roster == this->stored) {
        return;
    }
    if (const std::string text = formatRoster(roster); text.size() <= maximumRosterBytes) {
        this->write(text);
    } else if (this->position.isValid()) {
        this->write("{}"); // Incomplete ones are worse than none.
    }
}

void RosterWriter::read()
{
    this->isPending = true;
    this->store.read(rosterKey, [this](const absl::StatusOr<std::optional<StoreValue>>& value) {
        this->isPending = false;
        if (!value.ok()) {
            this->fail();
            return;
        }
        this->failures = 0;
        this->isCurrent = true;
        this->position = value->has_value() ? (*value)->position : StorePosition {};
        this->stored = value->has_value() ? parseRoster((*value)->value).value_or(Roster {}) : Roster {};
        this->due = this->clock.now();
    });
}

void RosterWriter::write(const std::string& text)
{
    this->isPending = true;
    this->store.compareAndSwap(rosterKey, this->position, text, [this, text](const absl::StatusOr<SwapResult>& result) {
        this->isPending = false;
        if (!result.ok()) {
            this->isCurrent = false; // The write may have taken effect.
            this->fail();
            return;
        }
        this->failures = 0;
        this->isCurrent = result->isWritten && result->position.isValid();
        if (this->isCurrent) {
            this->position = result->position;
            this->stored = *parseRoster(text);
            this->listener.onRosterWritten(this->stored, text.size());
        }
    });
}

void RosterWriter::fail()
{
    this->due = this->clock.now() + storeBackoff(this->random, ++this->failures, this->listener.balancerCount());
}

} // namespace lavender
