/** @file commit.cpp Sends one compare-and-swap with a change id. If it fails or is not answered, reads the store to find the outcome. */
#include "store/commit.h"

#include "core/text_func.h"

#include <algorithm>
#include <utility>

namespace lavender {

namespace {

    constexpr int maximumOutcomeReads = 8;
    constexpr Duration outcomeReadDelay = 500ms; ///< Before the next read; multiplied by the reads so far if the last one failed.

    /** One commit in progress; kept alive by its pending callback. */
    struct Commit : std::enable_shared_from_this<Commit> {
        Store& store;
        RuleCommand command;
        std::string change;
        bool isDryRun;
        Delay delay;
        std::function<void(CommitResult)> done;
        CommitResult result {};
        StorePosition expected; ///< Last write of the rules that the command was applied to; not valid if there were none.
        int outcomeReads = 0;

        Commit(Store& store, RuleCommand command, std::string change, bool isDryRun, Delay delay, std::function<void(CommitResult)> done)
            : store(store)
            , command(std::move(command))
            , change(std::move(change))
            , isDryRun(isDryRun)
            , delay(std::move(delay))
            , done(std::move(done))
        {
        }

        void finish(CommitOutcome outcome, std::string detail)
        {
            this->result.outcome = outcome;
            this->result.detail = std::move(detail);
            this->done(this->result);
        }

        void start()
        {
            this->store.read(rulesKey, [self = this->shared_from_this()](const absl::StatusOr<std::optional<StoreValue>>& value) {
                if (!value.ok()) {
                    self->finish(CommitOutcome::Unavailable, std::string(value.status().message()));
                    return;
                }
                self->write(*value);
            });
        }

        /** Applies the command to the rules just read and writes the result. */
        void write(const std::optional<StoreValue>& current)
        {
            RulesEnvelope before;
            if (current) {
                this->expected = current->position;
                const absl::StatusOr<RulesEnvelope> envelope = parseEnvelope(current->value);
                before = envelope.ok() ? *envelope : RulesEnvelope();
            }
            const absl::StatusOr<RuleOutcome> outcome = testCommand(before.rules, this->command);
            if (!outcome.ok()) {
                this->finish(CommitOutcome::Refused, std::string(outcome.status().message()));
                return;
            }
            this->result.warnings = outcome->warnings;
            this->result.position = this->expected;
            if (current && outcome->text == before.rules) {
                this->finish(CommitOutcome::Unchanged, "the store already has these rules");
                return;
            }
            if (this->isDryRun) {
                this->finish(CommitOutcome::Committed, "dry run: nothing was written");
                return;
            }
            RulesEnvelope after { this->change, this->command.who, outcome->text, std::move(before.previous), before.version };
            if (!before.change.empty()) {
                after.previous.insert(after.previous.begin(), before.change);
                after.previous.resize(std::min(after.previous.size(), maximumPreviousChanges));
            }
            const std::string value = formatEnvelope(after);
            this->store.compareAndSwap(rulesKey, this->expected, value, [self = this->shared_from_this()](const absl::StatusOr<SwapResult>& swap) {
                if (swap.ok() && swap->isWritten) {
                    self->result.position = swap->position;
                    self->finish(CommitOutcome::Committed, "");
                    return;
                }
                self->readOutcome();
            });
        }

        /** Reads the rules again: the write failed, or was sent but not answered. */
        void readOutcome()
        {
            this->store.read(rulesKey, [self = this->shared_from_this()](const absl::StatusOr<std::optional<StoreValue>>& value) {
                if (value.ok()) {
                    self->resolveOutcome(*value);
                } else if (++self->outcomeReads < maximumOutcomeReads) {
                    self->delay(outcomeReadDelay * self->outcomeReads, [self] { self->readOutcome(); });
                } else {
                    self->finish(CommitOutcome::Unknown, "the store stopped answering before the outcome of the write was known: run \"lavenderctl show\" once it is back");
                }
            });
        }

        /** Derives the outcome of the write from the rules that the store holds now; reads again while that is not possible. */
        void resolveOutcome(const std::optional<StoreValue>& value)
        {
            const absl::StatusOr<RulesEnvelope> stored = value ? parseEnvelope(value->value) : RulesEnvelope();
            const bool isLatest = stored.ok() && stored->change == this->change;
            const bool isSuperseded = stored.ok() && std::find(stored->previous.begin(), stored->previous.end(), this->change) != stored->previous.end();
            if (isLatest || isSuperseded) {
                this->result.position = value->position;
                this->finish(CommitOutcome::Committed, isLatest ? "" : concat("change ", stored->change, " of ", stored->who, " has been committed since"));
            } else if (value && value->position != this->expected) {
                // The rules were written again, or the store was restored, and their history lacks this change: the compare-and-swap can no longer succeed.
                const std::string other = stored.ok() ? concat("change ", stored->change, " of ", stored->who) : "a change of unknown form";
                this->result.position = value->position;
                this->finish(CommitOutcome::Raced, concat(other, " came first, revision ", formatPosition(value->position)));
            } else if (++this->outcomeReads < maximumOutcomeReads) {
                // The rules are as before; a delayed write may still reach the store.
                this->delay(outcomeReadDelay, [self = this->shared_from_this()] { self->readOutcome(); });
            } else {
                this->finish(CommitOutcome::Unknown, "the store did not acknowledge the write and still holds the previous rules; the write may yet take effect");
            }
        }
    };

} // namespace

void commitCommand(Store& store, const RuleCommand& command, const std::string& change, bool isDryRun, Delay delay, std::function<void(CommitResult)> done)
{
    std::make_shared<Commit>(store, command, change, isDryRun, std::move(delay), std::move(done))->start();
}

} // namespace lavender
